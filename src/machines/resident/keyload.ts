/**
 * The load of each pool's keys as this host sees it, aging so that it follows the keys that are busy now.
 */
import type { Clock } from "../../contracts/clock.ts";
import { bucketCount, type KeyLoad, keysPerBucket } from "../../decisions/rangeplan.ts";

export type KeyLoads = {
    count: (pool: string, key: number) => void;
    of: (pool: string) => KeyLoad;
};

/** Time in which a counted request loses half of its weight. */
const halfLifeMilliseconds = 4_000;

type Aging = { buckets: number[]; total: number; agedAt: number };

/** Creates the counters, all at zero. */
export const createKeyLoads = (clock: Clock): KeyLoads => {
    const pools = new Map<string, Aging>();

    const aged = (pool: string): Aging => {
        const now = clock.now();
        const held = pools.get(pool) ?? { buckets: new Array<number>(bucketCount).fill(0), total: 0, agedAt: now };
        pools.set(pool, held);
        return held;
    };

    const age = (held: Aging): void => {
        const now = clock.now();
        const factor = 0.5 ** ((now - held.agedAt) / halfLifeMilliseconds);
        held.buckets = held.buckets.map(count => count * factor);
        held.total *= factor;
        held.agedAt = now;
    };

    return {
        count: (pool, key) => {
            const held = aged(pool);
            held.buckets[Math.floor(key / keysPerBucket)] += 1;
            held.total += 1;
        },
        of: pool => {
            const held = aged(pool);
            age(held);
            return { buckets: held.buckets, total: held.total };
        },
    };
};
