/**
 * Caches the ownership of key ranges as this host has read it from the store, for routing. What is known stays until there is
 * a later one: when the store begins a new era, that is the object of the new era, not an older copy of the known one.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { StoreObject } from "../../contracts/objectstore.ts";
import { findRangeOfKey, type OwnedRange, type Ownership, ownershipSchema } from "../../contracts/ownership.ts";
import { eraOf, isLater, laterOf } from "../../contracts/storehistory.ts";
import { firstEra, readPoolObjectName } from "../../decisions/poolobjectnames.ts";
import type { Log } from "../../links/logs.ts";

export type OwnershipCache = {
    /** Finds the range that contains the key; undefined while the key has no owner. */
    findRange: (pool: string, key: number) => OwnedRange | undefined;
    /** Returns the pool's ownership; undefined until it was read. */
    get: (pool: string) => Ownership | undefined;
    /** Returns the pool's ownership unless it is known only from a copy that the store came back from. */
    getRemembered: (pool: string) => Ownership | undefined;
    /** Takes in an ownership object. Ignores those that are not later than the cached one. */
    put: (object: StoreObject) => void;
    /** Resolves when the pool's ownership changes, at the latest after the given time. */
    waitForChange: (pool: string, milliseconds: number) => Promise<void>;
};

type CachedOwnership = {
    ownership: Ownership;
    revision: number;
    /** The era whose coordinators write the object. */
    era: number;
};

/** Whether the object was read in the era whose coordinators write it, and not from a copy in a later one. */
const isOfItsEra = ({ revision, era }: CachedOwnership): boolean => laterOf(eraOf(revision), firstEra) === era;

/** Whether an ownership takes the place of the cached one. A copy takes only that of another copy. */
const replaces = (next: CachedOwnership, cached: CachedOwnership | undefined): boolean => {
    if (cached === undefined) {
        return true;
    }
    if (isOfItsEra(next) !== isOfItsEra(cached)) {
        return isOfItsEra(next);
    }
    return next.era === cached.era ? isLater(next.revision, cached.revision) : isLater(next.era, cached.era);
};

/** Creates an empty cache. */
export const createOwnershipCache = (clock: Clock, log: Log, signal: AbortSignal): OwnershipCache => {
    const byPool = new Map<string, CachedOwnership>();
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
        getRemembered: pool => {
            const cached = byPool.get(pool);
            return cached !== undefined && isOfItsEra(cached) ? cached.ownership : undefined;
        },
        put: ({ name, revision, value }) => {
            const { pool, era } = readPoolObjectName(name);
            const parsed = ownershipSchema.safeParse(value);
            if (!parsed.success) {
                log.error("ownership-unreadable", { pool, era, revision, finding: parsed.error.message });
                return;
            }
            const next = { ownership: parsed.data, revision, era };
            if (!replaces(next, byPool.get(pool))) {
                return;
            }
            byPool.set(pool, next);
            const { ranges, term } = parsed.data;
            const moving = ranges.filter(range => range.predecessors.length > 0).length;
            log.info("ownership-read", { pool, era, term, revision, ranges: ranges.length, moving });
            notify(pool);
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
