/**
 * The ownership of key ranges as this host has read it from the store, for routing.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { StoreObject } from "../../contracts/objectstore.ts";
import { findRangeOfKey, type OwnedRange, type Ownership, ownershipSchema } from "../../contracts/ownership.ts";
import type { Log } from "../../links/logs.ts";

export type OwnershipCache = {
    /** The range that holds the key; undefined while it has no owner. */
    findRange: (pool: string, key: number) => OwnedRange | undefined;
    get: (pool: string) => Ownership | undefined;
    put: (object: StoreObject) => void;
    /** Resolves when the pool's ownership changes, or after the time given. */
    waitForChange: (pool: string, milliseconds: number) => Promise<void>;
};

/** Creates the view, empty at first. */
export const createOwnershipCache = (clock: Clock, log: Log, signal: AbortSignal): OwnershipCache => {
    const byPool = new Map<string, { ownership: Ownership; revision: number }>();
    const waiting = new Map<string, Set<() => void>>();

    const wake = (pool: string): void => {
        const callbacks = waiting.get(pool);
        waiting.delete(pool);
        callbacks?.forEach(callback => callback());
    };

    return {
        findRange: (pool, key) => {
            const held = byPool.get(pool);
            return held === undefined ? undefined : findRangeOfKey(held.ownership.ranges, key);
        },
        get: pool => byPool.get(pool)?.ownership,
        put: ({ name, revision, value }) => {
            const parsed = ownershipSchema.safeParse(value);
            if (!parsed.success) {
                log.error("ownership-unreadable", { pool: name, revision, finding: parsed.error.message });
                return;
            }
            if (revision <= (byPool.get(name)?.revision ?? 0)) {
                return;
            }
            byPool.set(name, { ownership: parsed.data, revision });
            const moving = parsed.data.ranges.filter(range => range.predecessors.length > 0).length;
            log.info("ownership-read", { pool: name, revision, ranges: parsed.data.ranges.length, moving });
            wake(name);
        },
        waitForChange: (pool, milliseconds) =>
            new Promise(resolve => {
                const callbacks = waiting.get(pool) ?? new Set();
                waiting.set(pool, callbacks);
                const finish = (): void => {
                    callbacks.delete(finish);
                    cancel();
                    resolve();
                };
                const cancel = clock.after(milliseconds, finish, signal);
                callbacks.add(finish);
            }),
    };
};
