/**
 * When refused callers should retry. Each caller that a host refuses at a target, or at a pool without key owners, is
 * told a later time than the one before, so that not all of them return when the first request has been served. A retry
 * that comes too late for its objective takes capacity from requests that could still be in time, so that callers are
 * told to return early when most requests are refused.
 */
import { LRUMap } from "mnemonist";

export type RetryRequest = {
    pool: string;
    /** Target of a key owner, or pool. */
    place: string;
    /** Time until the requests that are there now have been served so far that the caller's request would be sent. */
    excessMilliseconds: number;
    /** Mean time from the end of one request there to the next. */
    intervalMilliseconds: number;
    /** Requests of this host and of all hosts there: the host tells callers only its part of the capacity. */
    own: number;
    load: number;
    /** Time by which the answer could come later than the longest expected time and still be in time. */
    spareMilliseconds: number;
    /** Monotonic time. */
    now: number;
};

export type RetryTimes = {
    /** Records that a request to the pool was sent and not refused. */
    recordSent: (pool: string, now: number) => void;
    /** Returns the milliseconds after which the refused caller should retry, and records the time for the next callers. */
    next: (request: RetryRequest) => number;
};

/** Retries that are told for each request that the host's part of the capacity serves. */
const retriesPerInterval = 2;
/**
 * Retries are spread over this share of the spare time, times the share of requests that are not refused. Without that
 * factor, the goodput at three times the capacity falls from 117 to 105 a second (test/decisions/placement.test.ts).
 */
const spreadShareOfSpare = 0.5;
/** A retry is told to come at least this long after the refusal. */
const minMilliseconds = 40;
/** The time is spread at random over at least this share of the wait. */
const spreadShareOfWait = 0.5;
/** Times that were told to callers count no further ahead than this. */
const maxAheadMilliseconds = 3_000;
/** Time in which the counts of sent and refused requests shrink to a third. */
const countDecayMilliseconds = 5_000;
/** Bounds the memory for targets that are gone. */
const maxPlaces = 1_024;

type PoolCount = { sent: number; refused: number; countedAt: number };

/**
 * Creates the retry times of one host.
 *
 * @param random returns a number from 0 up to, but not including, 1.
 */
export const createRetryTimes = (random: () => number): RetryTimes => {
    /** Time of the next retry at each place. */
    const nextAt = new LRUMap<string, number>(maxPlaces);
    const counts = new Map<string, PoolCount>();

    const countOf = (pool: string, now: number): PoolCount => {
        const count = counts.get(pool) ?? { sent: 0, refused: 0, countedAt: now };
        const left = Math.exp((count.countedAt - now) / countDecayMilliseconds);
        count.sent *= left;
        count.refused *= left;
        count.countedAt = now;
        counts.set(pool, count);
        return count;
    };

    return {
        recordSent: (pool, now) => {
            countOf(pool, now).sent += 1;
        },
        next: ({ pool, place, excessMilliseconds, intervalMilliseconds, own, load, spareMilliseconds, now }) => {
            const count = countOf(pool, now);
            count.refused += 1;
            const sentShare = count.sent / (count.sent + count.refused);
            const ahead = Math.min(maxAheadMilliseconds, spareMilliseconds * spreadShareOfSpare * sentShare);
            const capacityAt = now + Math.max(minMilliseconds, excessMilliseconds);
            const latest = Math.max(capacityAt, now + ahead);
            const retryAt = Math.min(latest, Math.max(capacityAt, nextAt.get(place) ?? -Infinity));
            const interval = intervalMilliseconds * (load + 1) / (Math.min(own, load) + 1) / retriesPerInterval;
            nextAt.set(place, Math.min(latest, retryAt + interval));
            const wait = retryAt - now;
            return wait + random() * Math.max(wait * spreadShareOfWait, latest - retryAt);
        },
    };
};
