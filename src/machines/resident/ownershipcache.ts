/**
 * Caches the ownership of key ranges as this host has read it from the store, for routing.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { StoreObject } from "../../contracts/objectstore.ts";
import { findRangeOfKey, type OwnedRange, type Ownership, ownershipSchema } from "../../contracts/ownership.ts";
import type { Log } from "../../links/logs.ts";

export type OwnershipCache = {
    /** Finds the range that contains the key; undefined while the key has no owner. */
    findRange: (pool: string, key: number) => OwnedRange | undefined;
    /** Returns the pool's ownership; undefined until it was read. */
    get: (pool: string) => Ownership | undefined;
    /** Takes in an ownership object. Ignores revisions that are not newer than the cached one. */
    put: (object: StoreObject) => void;
    /** Resolves when the pool's ownership changes, at the latest after the given time. */
    waitForChange: (pool: string, milliseconds: number) => Promise<void>;
};

/** Creates an empty cache. */
export const createOwnershipCache = (clock: Clock, log: Log, signal: AbortSignal): OwnershipCache => {
    const byPool = new Map<string, { ownership: Ownership; revision: number }>();
    const waiters = new Map<string, Set<() => void>>();

    const notify = (pool: string): void => {
        const callbacks = waiters.get(pool);
        waiters.delete(pool);
        callbacks?.forEach(callback => callback());
    };

    return {
        findRange: (pool, key) => {
            const cached = byPool.get(pool);
            return cached === undefined ? undefined : findRangeOfKey(cached.ownership.ranges, key);
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
            notify(name);
        },
        waitForChange: (pool, milliseconds) =>
            new Promise(resolve => {
                const callbacks = waiters.get(pool) ?? new Set();
                waiters.set(pool, callbacks);
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
