/**
 * The processes that run on the hosts, as they registered at their start. A host runs one process at a time, so that a
 * newer one there shows that an older one has ended.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore } from "../../contracts/objectstore.ts";
import type { Log } from "../../links/logs.ts";

export type Processes = {
    /** Whether the process has certainly ended; false also while the store does not answer. */
    hasEnded: (process: string) => Promise<boolean>;
    /** Hosts that registered, those gone since then too; undefined while it was not read. */
    hostCount: () => number | undefined;
    /** The most processor that any of them has, in cores. */
    maxProcessor: () => number | undefined;
};

export type ProcessesOptions = {
    store: ObjectStore;
    /** Name of this process: its host, a slash, and what no other process has. */
    self: string;
    /** Processor of this host, in cores. */
    processor: number;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

const kind = "hosts";
const retryMilliseconds = 500;
/** Hosts join rarely; one that joined has its own part of what all share soon enough. */
const countMilliseconds = 10_000;
/** The hosts of a deployment start together: the first count may miss some of them. */
const firstCountsMilliseconds = [700, 2_300];
const recordSchema = z.object({ process: z.string(), processor: z.number().default(0) });

/** The host of a process. */
const hostOf = (process: string): string => process.slice(0, process.lastIndexOf("/"));

/** Registers this process, again and again until the store has it. */
export const registerProcess = ({ store, self, processor, clock, log, signal }: ProcessesOptions): Processes => {
    const register = async (): Promise<void> => {
        const name = hostOf(self);
        const value = { process: self, processor };
        const created = await store.create(kind, name, value, signal);
        if (created.result === "conflict" && created.current !== undefined) {
            await store.replace(kind, name, value, created.current.revision, signal);
        }
    };

    let known: { hosts: number; mostProcessor: number } | undefined;

    const count = async (): Promise<void> => {
        try {
            const objects = await store.staleList(kind, signal);
            const records = objects.map(object => recordSchema.safeParse(object.value).data?.processor ?? 0);
            known = { hosts: objects.length, mostProcessor: Math.max(processor, ...records) };
        }
        catch (error) {
            log.info("hosts-unknown", { known: known?.hosts, error: messageOf(error) });
        }
    };

    const countHosts = async (): Promise<void> => {
        for (const pause of firstCountsMilliseconds) {
            await clock.sleep(pause, signal);
            await count();
        }
        while (!signal.aborted) {
            await clock.sleep(countMilliseconds, signal);
            await count();
        }
    };

    const run = async (): Promise<void> => {
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
    void run();
    void countHosts();

    return {
        hostCount: () => known?.hosts,
        maxProcessor: () => known?.mostProcessor,
        hasEnded: async process => {
            try {
                const object = await store.get(kind, hostOf(process), signal);
                const parsed = recordSchema.safeParse(object?.value);
                return parsed.success && parsed.data.process !== process;
            }
            catch (error) {
                log.info("process-unknown", { process, error: messageOf(error) });
                return false;
            }
        },
    };
};
