/**
 * The processes that run on the hosts, as registered in the store when they start. A host runs one process at a time,
 * so a newer process there proves that an older one has ended.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreEvent, StoreObject, StoreWriteResult } from "../../contracts/objectstore.ts";
import type { Log } from "../../links/logs.ts";
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
     * Whether the registration of this process is confirmed. Only then does another name in its host's record show that
     * it has ended.
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
/** Hosts that are new start together with others, which have registered after this time. */
const joinMilliseconds = 600;
const recordSchema = z.object({
    process: z.string(),
    processor: z.number().default(0),
    zone: z.string().default(""),
    address: z.string().default(""),
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
    /** When the record was last written. */
    let writtenAt = -Infinity;
    /** Position in the store's history up to which all records are known. */
    let knownTo = 0;
    let names: readonly string[] | undefined;
    let hosts: readonly ReaderCandidate[] | undefined;
    const value: ProcessRecord = {
        process: self,
        processor: host.processor,
        zone: host.zone,
        address: host.address,
    };

    /** Takes in records. One that is unknown, although it is older than what is known, was removed meanwhile. */
    const applyObjects = (objects: StoreObject[]): void => {
        for (const { name, revision, value: stored } of objects) {
            const parsed = recordSchema.safeParse(stored);
            if (parsed.success && revision > (records.get(name)?.revision ?? knownTo)) {
                names = records.has(name) || name === host.name ? names : undefined;
                records.set(name, { record: parsed.data, revision });
                hosts = undefined;
            }
        }
    };

    /** Drops the record if it is not newer than the position at which it was missing. */
    const drop = (name: string, position: number): void => {
        const known = records.get(name);
        if (known === undefined || known.revision > position) {
            return;
        }
        records.delete(name);
        hosts = undefined;
        names = name === host.name ? names : undefined;
        // The record of a later process of this host is for that one to write again.
        if (name === host.name && known.record.process === self && isRegistered) {
            isRegistered = false;
            log.warn("registration-gone", { process: self, position });
            void registerAgain();
        }
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
            ? store.create(processKind, host.name, value, signal)
            : store.replace(processKind, host.name, value, revision, signal);

    /**
     * Writes the record over the one of the host's process before, if there is one. Resolves to the object if the store
     * has the record.
     */
    const register = async (): Promise<StoreObject | undefined> => {
        const first = await write(records.get(host.name)?.revision);
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

    const registerAgain = async (): Promise<void> => {
        await clock.sleep(Math.max(0, writtenAt + rewriteMilliseconds - clock.now()), signal);
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
            [...records.keys()].filter(name => !listed.has(name)).forEach(name => drop(name, position));
            knownTo = Math.max(knownTo, position);
        },
        applyChanges: (events, position) => {
            applyObjects(events.filter(({ removed }) => !removed).map(({ object }) => object));
            events.filter(({ removed }) => removed).forEach(({ object }) => drop(object.name, position));
            knownTo = Math.max(knownTo, position);
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
        isRegistered: () => isRegistered,
        hasEnded: async process => {
            try {
                const object = await store.get(processKind, hostOf(process), signal);
                const parsed = recordSchema.safeParse(object?.value);
                return parsed.success && parsed.data.process !== process;
            }
            catch (error) {
                log.info("process-lookup-failed", { process, error: messageOf(error) });
                return false;
            }
        },
    };
};
