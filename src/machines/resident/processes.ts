/**
 * The processes that run on the hosts, as registered in the store when they start. A host runs one process at a time,
 * so a newer process there proves that an older one has ended.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore } from "../../contracts/objectstore.ts";
import type { Log } from "../../links/logs.ts";

export type Processes = {
    /** Resolves to true when the process has certainly ended, and to false also while the store does not answer. */
    hasEnded: (process: string) => Promise<boolean>;
    /**
     * Returns the number of hosts that ever registered, removed ones included; undefined before the first count.
     */
    hostCount: () => number | undefined;
    /** Returns the largest processor of these hosts, in cores; undefined before the first count. */
    maxProcessor: () => number | undefined;
};

export type ProcessesOptions = {
    store: ObjectStore;
    /** Name of this process: its host's name, a slash, and a unique suffix. */
    self: string;
    /** Processor of this host, in cores. */
    processor: number;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

const kind = "hosts";
const retryMilliseconds = 500;
/** Interval of the host count: hosts join rarely, and the share of a new host may take effect some seconds late. */
const countIntervalMilliseconds = 10_000;
/**
 * Pauses before the first two counts: hosts of a deployment start together, so the first count may miss some of
 * them.
 */
const firstCountDelaysMilliseconds = [700, 2_300];
const recordSchema = z.object({ process: z.string(), processor: z.number().default(0) });

/** Returns the name of the process's host. */
const hostOf = (process: string): string => process.slice(0, process.lastIndexOf("/"));

/** Registers this process in the store, retrying until it succeeds, and counts the hosts from time to time. */
export const registerProcess = ({ store, self, processor, clock, log, signal }: ProcessesOptions): Processes => {
    const register = async (): Promise<void> => {
        const name = hostOf(self);
        const value = { process: self, processor };
        const created = await store.create(kind, name, value, signal);
        if (created.result === "conflict" && created.current !== undefined) {
            await store.replace(kind, name, value, created.current.revision, signal);
        }
    };

    let known: { hosts: number; maxProcessor: number } | undefined;

    const readHosts = async (): Promise<void> => {
        try {
            const objects = await store.staleList(kind, signal);
            const records = objects.map(object => recordSchema.safeParse(object.value).data?.processor ?? 0);
            known = { hosts: objects.length, maxProcessor: Math.max(processor, ...records) };
        }
        catch (error) {
            log.info("host-count-failed", { known: known?.hosts, error: messageOf(error) });
        }
    };

    const readHostsRepeatedly = async (): Promise<void> => {
        for (const pause of firstCountDelaysMilliseconds) {
            await clock.sleep(pause, signal);
            await readHosts();
        }
        while (!signal.aborted) {
            await clock.sleep(countIntervalMilliseconds, signal);
            await readHosts();
        }
    };

    const registerWithRetries = async (): Promise<void> => {
        while (!signal.aborted) {
            try {
                await register();
                return;
            }
            catch (error) {
                log.warn("registration-failed", { process: self, error: messageOf(error) });
                await clock.sleep(retryMilliseconds, signal);
            }
        }
    };
    void registerWithRetries();
    void readHostsRepeatedly();

    return {
        hostCount: () => known?.hosts,
        maxProcessor: () => known?.maxProcessor,
        hasEnded: async process => {
            try {
                const object = await store.get(kind, hostOf(process), signal);
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
