/**
 * Estimates the load of a pool's keys in requests per second. The weight of a request decays with its age, so that the
 * estimate follows the keys that are busy now.
 */
import { maxKey } from "../contracts/ownership.ts";

/** A run of keys that is only moved as a whole, both ends included, with its load in requests per second. */
export type KeySegment = { from: number; to: number; load: number };

export type KeyLoads = {
    /** Records a request for the key, or a fraction of one. Times are monotonic milliseconds. */
    recordRequest: (key: number, now: number, weight?: number) => void;
    /** Requests per second for all keys together. */
    rate: (now: number) => number;
    /** Number of requests on which the estimate is based; older requests count for less than one each. */
    sampleCount: (now: number) => number;
    /** The part, from 0 to 1, of the time on which the estimate is to be based that has passed since the first request. */
    knownShare: (now: number) => number;
    /** All keys in ascending order; each busy key is a segment of its own. */
    segments: (now: number) => KeySegment[];
};

/** Number of buckets into which the keys are divided; keys that are not busy are counted by bucket. */
export const bucketCount = 1_024;
export const keysPerBucket = (maxKey + 1) / bucketCount;

/** Time in which the weight of a request halves. */
const halfLifeMilliseconds = 4_000;
const meanLifeSeconds = halfLifeMilliseconds / 1_000 / Math.LN2;
/** Half-life of the short-term weight, which shows a change of load sooner but less precisely. */
const shortTermHalfLifeMilliseconds = 600;
const shortTermMeanLifeSeconds = shortTermHalfLifeMilliseconds / 1_000 / Math.LN2;
/** From this weight on, which is the number of requests within the mean life, a key is a segment of its own. */
const busyKeyWeight = 3;
/** Keys with less weight than this are dropped. */
const minKeyWeight = 0.05;
/** Number of recent requests that may be missing by chance, however few there were. */
const shortTermSlack = 2;
/** A load is taken to have lasted at least this long, since the first report tells of requests some time before it. */
const minKnownMilliseconds = 1_000;
/** Share of the load that is spread evenly over all buckets, since keys without recent requests are requested too. */
const evenShare = 0.05;

type DecayingWeight = { weight: number; shortTermWeight: number; at: number };

const longTermWeightAt = (held: DecayingWeight, now: number): number =>
    held.weight * 0.5 ** ((now - held.at) / halfLifeMilliseconds);

const shortTermWeightAt = (held: DecayingWeight, now: number): number =>
    held.shortTermWeight * 0.5 ** ((now - held.at) / shortTermHalfLifeMilliseconds);

type Weights = { longTerm: number; shortTerm: number };

/**
 * Returns the long-term weight, clamped to what the short-term weight allows: at least its value less one standard
 * deviation, at most its value plus two and the slack. A load that has started or stopped thus shows within a second.
 */
const likelyWeight = ({ longTerm, shortTerm }: Weights, scale: number): number => {
    const deviation = Math.sqrt(shortTerm);
    const least = (shortTerm - deviation) * scale;
    const most = (shortTerm + 2 * deviation + shortTermSlack) * scale;
    return Math.min(most, Math.max(longTerm, least));
};

/** Creates the estimate for one pool, without any load. */
export const createKeyLoads = (): KeyLoads => {
    const keys = new Map<number, DecayingWeight>();
    const total: DecayingWeight = { weight: 0, shortTermWeight: 0, at: 0 };
    let startedAt: number | undefined;

    const add = (held: DecayingWeight, now: number, weight: number): void => {
        held.shortTermWeight = shortTermWeightAt(held, now) + weight;
        held.weight = longTermWeightAt(held, now) + weight;
        held.at = now;
    };

    const knownMilliseconds = (now: number): number => Math.max(minKnownMilliseconds, now - (startedAt ?? now));
    const longTermSeconds = (now: number): number =>
        meanLifeSeconds * (1 - 0.5 ** (knownMilliseconds(now) / halfLifeMilliseconds));
    const shortTermSeconds = (now: number): number =>
        shortTermMeanLifeSeconds * (1 - 0.5 ** (knownMilliseconds(now) / shortTermHalfLifeMilliseconds));

    const bucketWeights = (now: number): { weights: number[]; busy: Array<{ key: number; weight: number }> } => {
        const scale = longTermSeconds(now) / shortTermSeconds(now);
        const spread = Array.from({ length: bucketCount }, (): Weights => ({ longTerm: 0, shortTerm: 0 }));
        const busy: Array<{ key: number; weight: number }> = [];
        for (const [key, held] of keys) {
            const own = { longTerm: longTermWeightAt(held, now), shortTerm: shortTermWeightAt(held, now) };
            const weight = likelyWeight(own, scale);
            if (own.longTerm < minKeyWeight) {
                keys.delete(key);
            }
            else if (weight >= busyKeyWeight) {
                busy.push({ key, weight });
            }
            else {
                const bucket = spread[Math.floor(key / keysPerBucket)];
                bucket.longTerm += own.longTerm;
                bucket.shortTerm += own.shortTerm;
            }
        }
        return {
            weights: spread.map(weights => likelyWeight(weights, scale)),
            busy: busy.sort((left, right) => left.key - right.key),
        };
    };

    return {
        recordRequest: (key, now, weight = 1) => {
            const held = keys.get(key) ?? { weight: 0, shortTermWeight: 0, at: now };
            keys.set(key, held);
            add(held, now, weight);
            add(total, now, weight);
            startedAt ??= now;
        },
        rate: now => longTermWeightAt(total, now) / longTermSeconds(now),
        sampleCount: now => longTermWeightAt(total, now),
        knownShare: now => longTermSeconds(now) / meanLifeSeconds,
        segments: now => {
            const { weights, busy } = bucketWeights(now);
            const spread = weights.reduce((sum, weight) => sum + weight, 0);
            const even = Math.max(spread, 1) / bucketCount;
            const segments: KeySegment[] = [];
            const seconds = longTermSeconds(now);
            const push = (from: number, to: number, weight: number): void => {
                segments.push({ from, to, load: weight / seconds });
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
            return segments;
        },
    };
};
