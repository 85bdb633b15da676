/**
 * The load of a pool's keys, in requests a second of recent time, and the work that its targets need for one. Old
 * requests lose weight, so that the load follows the keys that are busy now.
 */
import { maxKey } from "../contracts/ownership.ts";

/** Neighbouring keys that are moved together, with their load. */
export type KeySegment = { from: number; to: number; load: number };

export type KeyLoads = {
    /** Notes a request, or a part of one. */
    recordRequest: (key: number, now: number, weight?: number) => void;
    /** Requests a second, all keys together. */
    rate: (now: number) => number;
    /** Requests on which the figures rest, the older ones for less than one each. */
    sampleCount: (now: number) => number;
    /** All keys in order; a busy key is an atom of its own. */
    segments: (now: number) => KeySegment[];
};

export const bucketCount = 1_024;
export const keysPerBucket = (maxKey + 1) / bucketCount;

/** Time in which a request loses half of its weight. */
const halfLifeMilliseconds = 4_000;
const meanLifeSeconds = halfLifeMilliseconds / 1_000 / Math.LN2;
/** The same for keys that have just become busy: their load is known sooner, and less exactly. */
const quickHalfLifeMilliseconds = 600;
const quickMeanLifeSeconds = quickHalfLifeMilliseconds / 1_000 / Math.LN2;
/** Weight at which a key is an atom of its own: that many requests within the mean life. */
const busyKeyWeight = 3;
const forgottenWeight = 0.05;
/** Requests of the last moments that may be missing by chance, however few there were. */
const quickSlack = 2;
/** Part of the load that counts as spread evenly: keys without recent requests are asked for too. */
const evenShare = 0.05;

type Aging = { weight: number; quickWeight: number; at: number };

const agedWeight = (held: Aging, now: number): number => held.weight * 0.5 ** ((now - held.at) / halfLifeMilliseconds);

const agedQuickWeight = (held: Aging, now: number): number =>
    held.quickWeight * 0.5 ** ((now - held.at) / quickHalfLifeMilliseconds);

type Weights = { aged: number; quick: number };

/**
 * The weight over the longer time, unless the last moments speak against it: they bound it from below by one standard
 * deviation and from above by two, so that a load that came or went is known within a second.
 */
const likelyWeight = ({ aged, quick }: Weights): number => {
    const scale = meanLifeSeconds / quickMeanLifeSeconds;
    const deviation = Math.sqrt(quick);
    const least = (quick - deviation) * scale;
    const most = (quick + 2 * deviation + quickSlack) * scale;
    return Math.min(most, Math.max(aged, least));
};

/** Creates the figures of one pool, all zero. */
export const createKeyLoads = (): KeyLoads => {
    const keys = new Map<number, Aging>();
    const total: Aging = { weight: 0, quickWeight: 0, at: 0 };

    const add = (held: Aging, now: number, weight: number): void => {
        held.quickWeight = agedQuickWeight(held, now) + weight;
        held.weight = agedWeight(held, now) + weight;
        held.at = now;
    };

    const bucketWeights = (now: number): { weights: number[]; busy: Array<{ key: number; weight: number }> } => {
        const spread = Array.from({ length: bucketCount }, (): Weights => ({ aged: 0, quick: 0 }));
        const busy: Array<{ key: number; weight: number }> = [];
        for (const [key, held] of keys) {
            const own = { aged: agedWeight(held, now), quick: agedQuickWeight(held, now) };
            const weight = likelyWeight(own);
            if (own.aged < forgottenWeight) {
                keys.delete(key);
            }
            else if (weight >= busyKeyWeight) {
                busy.push({ key, weight });
            }
            else {
                const bucket = spread[Math.floor(key / keysPerBucket)];
                bucket.aged += own.aged;
                bucket.quick += own.quick;
            }
        }
        return { weights: spread.map(likelyWeight), busy: busy.sort((left, right) => left.key - right.key) };
    };

    return {
        recordRequest: (key, now, weight = 1) => {
            const held = keys.get(key) ?? { weight: 0, quickWeight: 0, at: now };
            keys.set(key, held);
            add(held, now, weight);
            add(total, now, weight);
        },
        rate: now => agedWeight(total, now) / meanLifeSeconds,
        sampleCount: now => agedWeight(total, now),
        segments: now => {
            const { weights, busy } = bucketWeights(now);
            const spread = weights.reduce((sum, weight) => sum + weight, 0);
            const even = Math.max(spread, 1) / bucketCount;
            const atoms: KeySegment[] = [];
            const push = (from: number, to: number, weight: number): void => {
                atoms.push({ from, to, load: weight / meanLifeSeconds });
            };
            let next = 0;
            for (let bucket = 0; bucket < bucketCount; bucket += 1) {
                const end = (bucket + 1) * keysPerBucket - 1;
                const weight = (1 - evenShare) * weights[bucket] + evenShare * even;
                let from = bucket * keysPerBucket;
                while (next < busy.length && busy[next].key <= end) {
                    const { key, weight: keyWeight } = busy[next];
                    if (key > from) {
                        push(from, key - 1, weight * (key - from) / keysPerBucket);
                    }
                    push(key, key, keyWeight);
                    from = key + 1;
                    next += 1;
                }
                if (from <= end) {
                    push(from, end, weight * (end - from + 1) / keysPerBucket);
                }
            }
            return atoms;
        },
    };
};
