/**
 * The processes that run on the hosts, as registered in the store when they start. A host runs one process at a time,
 * so a newer process there proves that an older one has ended.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreObject } from "../../contracts/objectstore.ts";
import type { Log } from "../../links/logs.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";

export type Processes = {
    /** Resolves when the other hosts are known or cannot be read, so that a source of state can be chosen. */
    known: Promise<void>;
    /** Returns the hosts that ever registered, removed ones included. The same array is returned while they are the same. */
    hosts: () => readonly ReaderCandidate[];
    /** Takes in the records of all hosts, or changes of some. */
    applyObjects: (objects: StoreObject[]) => void;
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
     * Returns the number of hosts that ever registered, removed ones included; undefined before the first was read.
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
    let names: readonly string[] = [];
    let hosts: readonly ReaderCandidate[] | undefined;
    const value: ProcessRecord = {
        process: self,
        processor: host.processor,
        zone: host.zone,
        address: host.address,
    };

    const applyObjects = (objects: StoreObject[]): void => {
        for (const object of objects) {
            const parsed = recordSchema.safeParse(object.value);
            if (parsed.success && object.revision > (records.get(object.name)?.revision ?? 0)) {
                records.set(object.name, { record: parsed.data, revision: object.revision });
                hosts = undefined;
            }
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

    /**
     * Writes the record over the one of the host's process before, if there is one. Resolves to whether the store has
     * the record.
     */
    const register = async (): Promise<boolean> => {
        const before = records.get(host.name)?.revision;
        const write = before === undefined
            ? await store.create(processKind, host.name, value, signal)
            : await store.replace(processKind, host.name, value, before, signal);
        if (write.result === "written") {
            applyObjects([write.object]);
            return true;
        }
        if (write.current === undefined) {
            return (await store.create(processKind, host.name, value, signal)).result === "written";
        }
        // An earlier attempt may have been written without an answer.
        return recordSchema.safeParse(write.current.value).data?.process === self
            || (await store.replace(processKind, host.name, value, write.current.revision, signal)).result
                === "written";
    };

    const registerWithRetries = async (): Promise<void> => {
        while (!signal.aborted) {
            try {
                if (await register()) {
                    registeredAt = clock.now();
                    return;
                }
            }
            catch (error) {
                log.warn("registration-failed", { process: self, error: messageOf(error) });
            }
            await clock.sleep(retryMilliseconds, signal);
        }
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
        applyObjects,
        hostCount: () => records.size === 0 ? undefined : records.size,
        maxProcessor: () =>
            records.size === 0
                ? undefined
                : Math.max(host.processor, ...[...records.values()].map(({ record }) => record.processor)),
        hostNames: () => {
            const count = records.size + Number(!records.has(host.name));
            if (count !== names.length) {
                names = [...new Set([...records.keys(), host.name])];
            }
            return names;
        },
        wasRegistered: () => wasRegistered,
        registeredAt: () => registeredAt,
        isRegistered: () => registeredAt !== undefined,
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
