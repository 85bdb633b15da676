/**
 * The processes that run on the hosts, as registered in the store when they start. A host runs one process at a time,
 * so a newer process there proves that an older one has ended. After a return of the store from an older copy, records of
 * the time since are gone: each host writes its own again, and those of others are kept until they had the time to.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreEvent, StoreObject, StoreWriteResult } from "../../contracts/objectstore.ts";
import { eraOf, isLater, laterOf } from "../../contracts/storehistory.ts";
import type { Log } from "../../links/logs.ts";
import { digestHash } from "../../zones/digesthash.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";

export type Processes = {
    /** Resolves when the other hosts are known or cannot be read, so that a source of state can be chosen. */
    known: Promise<void>;
    /** Returns the registered hosts. The same array is returned while they are the same. */
    hosts: () => readonly ReaderCandidate[];
    /** Returns the registrations of the other hosts. */
    others: () => Registration[];
    /** Takes in all records, as the store held them at the position. */
    applyList: (objects: StoreObject[], position: number) => void;
    /** Takes in changes of records up to the position. */
    applyChanges: (events: StoreEvent[], position: number) => void;
    /** Removes a registration unless it has changed. Resolves to whether it is gone. */
    remove: (registration: Registration) => Promise<boolean>;
    /**
     * Whether the registration of this process is confirmed in the latest era of the store. Only then does another name in
     * its host's record show that it has ended.
     */
    isRegistered: () => boolean;
    /**
     * Resolves to true when the process, which was registered once, has certainly ended, and to false also while the
     * store does not answer.
     */
    hasEnded: (process: string) => Promise<boolean>;
    /**
     * Returns the number of registered hosts; undefined before the first was read.
     */
    hostCount: () => number | undefined;
    /** Returns the names of these hosts, this one included. The same array is returned while they are the same. */
    hostNames: () => readonly string[];
    /** Whether this host had registered before this process started; undefined until it is known. */
    wasRegistered: () => boolean | undefined;
    /** Monotonic time at which the registration of this process was confirmed; undefined before. */
    registeredAt: () => number | undefined;
    /** Returns the largest processor of these hosts, in cores; undefined before the first was read. */
    maxProcessor: () => number | undefined;
};

/** The process that a host registered, with the revision of the record. */
export type Registration = { name: string; process: string; address: string; revision: number };

export type ProcessesOptions = {
    store: ObjectStore;
    /** Name of this process: its host's name, a slash, and a unique suffix. */
    self: string;
    /** What other hosts need to know of this one. */
    host: ReaderCandidate;
    clock: Clock;
    log: Log;
    /** Resolves when the host accepts links, at once by default. Others leave a host out for a while that they know and can not reach. */
    listening?: Promise<void>;
    signal: AbortSignal;
};

/** Kind of the objects in which processes are registered, one for each host. */
export const processKind = "hosts";

const retryMilliseconds = 500;
/** A host writes its registration again at once when it is gone, but no more often than this. */
const rewriteMilliseconds = 5_000;
/** Hosts whose registrations are missing in a new era write them within this time for each host that is known. */
const rewriteSpreadMilliseconds = 20;
/** Time for which the others are kept beyond that. */
const keptMilliseconds = 5_000;
const hashRange = 2 ** 32;
/** Hosts that are new start together with others, which have registered after this time. */
const joinMilliseconds = 600;
const recordSchema = z.object({
    process: z.string(),
    processor: z.number().default(0),
    zone: z.string().default(""),
    address: z.string().default(""),
    linkMegabits: z.number().positive().optional(),
    /** Era in which the record was written; in a later one, a copy of the store may have brought it back. */
    era: z.int().default(0),
});
type ProcessRecord = z.infer<typeof recordSchema>;

/** Returns the name of the process's host. */
const hostOf = (process: string): string => process.slice(0, process.lastIndexOf("/"));

/** Registers this process in the store, retrying until it succeeds. */
export const registerProcess = ({ store, self, host, clock, log, signal, listening }: ProcessesOptions): Processes => {
    const records = new Map<string, { record: ProcessRecord; revision: number }>();
    let registeredAt: number | undefined;
    let wasRegistered: boolean | undefined;
    let isRegistered = false;
    /** Place at which the record of this process was read or written last. */
    let confirmedAt = 0;
    /** When the record was last written. */
    let writtenAt = -Infinity;
    /** Position in the store's history up to which all records are known. */
    let knownTo = 0;
    let names: readonly string[] | undefined;
    let hosts: readonly ReaderCandidate[] | undefined;
    const createRecord = (): ProcessRecord => ({
        process: self,
        processor: host.processor,
        zone: host.zone,
        address: host.address,
        linkMegabits: host.linkMegabits,
        era: store.era(),
    });
    const isConfirmed = (): boolean => isRegistered && eraOf(confirmedAt) === store.era();
    const spreadMilliseconds = (): number => rewriteSpreadMilliseconds * records.size;

    /** Takes in the record of this host. One of another process, read first in a new era, is older than this process. */
    const applyOwn = ({ process }: ProcessRecord, place: number): void => {
        if (process === self) {
            confirmedAt = place;
        }
        else if (isRegistered && isLater(eraOf(place), eraOf(confirmedAt))) {
            loseRegistration(place);
        }
    };

    /** Takes in records. One that is unknown, although it is older than what is known, was removed meanwhile. */
    const applyObjects = (objects: StoreObject[]): void => {
        for (const { name, revision, value: stored } of objects) {
            const parsed = recordSchema.safeParse(stored);
            if (parsed.success && isLater(revision, records.get(name)?.revision ?? knownTo)) {
                if (name === host.name) {
                    applyOwn(parsed.data, revision);
                }
                names = records.has(name) || name === host.name ? names : undefined;
                records.set(name, { record: parsed.data, revision });
                hosts = undefined;
            }
        }
    };

    /** Writes the record again that the store has lost: soon when it was removed, and not with all others in a new era. */
    const loseRegistration = (position: number): void => {
        const isLostInReturn = isLater(eraOf(position), eraOf(confirmedAt));
        const spread = spreadMilliseconds() * digestHash(`${self} ${eraOf(position)}`, hashRange) / hashRange;
        const pause = isLostInReturn ? spread : Math.max(0, writtenAt + rewriteMilliseconds - clock.now());
        isRegistered = false;
        log.warn("registration-gone", { process: self, position, pauseMilliseconds: Math.round(pause) });
        void registerAgain(pause);
    };

    /** Drops the record if it is not newer than the position at which it was missing. */
    const drop = (name: string, position: number): void => {
        const known = records.get(name);
        if (known === undefined || isLater(known.revision, position)) {
            return;
        }
        const isOwn = name === host.name;
        const isEndedEra = isLater(eraOf(position), eraOf(known.revision));
        // What the store lost in a return counts until it is written again.
        if (!(isOwn && isEndedEra)) {
            records.delete(name);
            hosts = undefined;
            names = isOwn ? names : undefined;
        }
        // The record of a later process of this host is for that one to write again.
        if (isOwn && known.record.process === self && isRegistered) {
            loseRegistration(position);
        }
    };

    /** Drops the others of ended eras, which nobody has seen since. */
    const dropEnded = (): void => {
        const ended = [...records].filter(([name, { revision }]) =>
            name !== host.name && isLater(eraOf(knownTo), eraOf(revision))
        );
        if (ended.length > 0) {
            log.info("hosts-not-back", { position: knownTo, count: ended.length });
        }
        ended.forEach(([name]) => drop(name, knownTo));
    };

    const readHosts = async (): Promise<void> => {
        try {
            applyObjects(await store.staleList(processKind, signal));
        }
        catch (error) {
            log.info("hosts-read-failed", { known: records.size, error: messageOf(error) });
        }
    };

    const write = (revision: number | undefined): Promise<StoreWriteResult> =>
        revision === undefined
            ? store.create(processKind, host.name, createRecord(), signal)
            : store.replace(processKind, host.name, createRecord(), revision, signal);

    /**
     * Writes the record over the one of the host's process before, if there is one. Resolves to the object if the store
     * has the record.
     */
    const register = async (): Promise<StoreObject | undefined> => {
        const known = records.get(host.name)?.revision;
        const isOfEra = known !== undefined && eraOf(known) === store.era();
        const first = await write(isOfEra ? known : undefined);
        if (first.result === "written") {
            return first.object;
        }
        // An earlier attempt may have been written without an answer.
        if (recordSchema.safeParse(first.current?.value).data?.process === self) {
            return first.current;
        }
        const second = await write(first.current?.revision);
        return second.result === "written" ? second.object : undefined;
    };

    const registerWithRetries = async (): Promise<void> => {
        while (!signal.aborted) {
            try {
                const object = await register();
                if (object !== undefined) {
                    writtenAt = clock.now();
                    applyObjects([object]);
                    // It may have been removed before the answer came.
                    isRegistered = records.has(host.name);
                }
                if (isRegistered) {
                    registeredAt ??= clock.now();
                    return;
                }
            }
            catch (error) {
                log.warn("registration-failed", { process: self, error: messageOf(error) });
            }
            await clock.sleep(retryMilliseconds, signal);
        }
    };

    const registerAgain = async (pause: number): Promise<void> => {
        await clock.sleep(pause, signal);
        await registerWithRetries();
    };

    const join = async (): Promise<void> => {
        await readHosts();
        await listening;
        wasRegistered = records.has(host.name);
        void registerWithRetries();
        if (!wasRegistered) {
            await clock.sleep(joinMilliseconds, signal);
            await readHosts();
        }
    };

    return {
        known: join(),
        hosts: () => {
            hosts ??= [...records].filter(([, { record }]) => record.address !== "").map(([name, { record }]) => ({
                name,
                zone: record.zone,
                address: record.address,
                processor: record.processor,
                linkMegabits: record.linkMegabits,
            }));
            return hosts;
        },
        others: () =>
            [...records].filter(([name]) => name !== host.name).map(([name, { record, revision }]) => ({
                name,
                process: record.process,
                address: record.address,
                revision,
            })),
        applyList: (objects, position) => {
            applyObjects(objects);
            const listed = new Set(objects.map(({ name }) => name));
            const missing = [...records].filter(([name]) => !listed.has(name));
            const isKept = (name: string, revision: number): boolean =>
                name !== host.name && isLater(eraOf(position), eraOf(revision));
            const kept = missing.filter(([name, { revision }]) => isKept(name, revision));
            missing.filter(([name, { revision }]) => !isKept(name, revision)).forEach(([name]) => drop(name, position));
            if (kept.length > 0) {
                clock.after(spreadMilliseconds() + keptMilliseconds, dropEnded, signal);
            }
            knownTo = laterOf(knownTo, position);
        },
        applyChanges: (events, position) => {
            applyObjects(events.filter(({ removed }) => !removed).map(({ object }) => object));
            events.filter(({ removed }) => removed).forEach(({ object }) => drop(object.name, position));
            knownTo = laterOf(knownTo, position);
        },
        remove: ({ name, revision }) => store.remove(processKind, name, revision, signal),
        hostCount: () => records.size === 0 ? undefined : records.size,
        maxProcessor: () =>
            records.size === 0
                ? undefined
                : Math.max(host.processor, ...[...records.values()].map(({ record }) => record.processor)),
        hostNames: () => {
            names ??= [...new Set([...records.keys(), host.name])];
            return names;
        },
        wasRegistered: () => wasRegistered,
        registeredAt: () => registeredAt,
        isRegistered: isConfirmed,
        hasEnded: async process => {
            try {
                const object = await store.get(processKind, hostOf(process), signal);
                const parsed = recordSchema.safeParse(object?.value);
                // A record that a copy brought back may be of a process before.
                const isOfEra = object !== undefined && parsed.data?.era === eraOf(object.revision);
                return parsed.success && isOfEra && parsed.data.process !== process;
            }
            catch (error) {
                log.info("process-lookup-failed", { process, error: messageOf(error) });
                return false;
            }
        },
    };
};
