/**
 * Admission to one target: how many requests run there at once, which wait in which order, and which are refused
 * because they can not finish in time.
 */
import type { Reason } from "../contracts/outcome.ts";
import type { ConcurrencyLimit } from "./concurrencylimit.ts";

/** Order of waiting requests; lower goes first. Deferrable requests wait behind all others. */
export const priorities = { once: 0, interactive: 1, deferrable: 2 } as const;
export type Priority = (typeof priorities)[keyof typeof priorities];

/** What becomes of a waiting request: it may be sent, its place must be decided again, or it is refused. */
export type Verdict = "admitted" | "dispersed" | Reason;

export type QueuedRequest = {
    priority: Priority;
    /** Monotonic milliseconds. */
    deadlineAt: number;
    /** Called once for an entrant that was told to wait. */
    decide: (verdict: Verdict) => void;
};

export type AdmissionQueue = {
    /** Admits at once, lets wait, or refuses with a reason. */
    submit: (entrant: QueuedRequest, now: number) => "admitted" | "waiting" | Reason;
    /** An admitted request is over. */
    complete: (now: number) => void;
    /** Takes a waiting entrant out, whose caller is gone. */
    cancel: (entrant: QueuedRequest) => void;
    /** Admits nothing until the time given. */
    backOffUntil: (time: number) => void;
    /** Admits what may go now and refuses what has become too late. */
    advance: (now: number) => void;
    /** Sends all waiting entrants back to have their place decided again. */
    rerouteAll: () => void;
    /** When `advance` is due although nothing leaves; undefined when it is not. */
    nextAdvanceAt: (now: number) => number | undefined;
    running: () => number;
    waiting: () => number;
};

const latencyHalfLifeMilliseconds = 500;

const goesBefore = (left: QueuedRequest, right: QueuedRequest): boolean =>
    left.priority !== right.priority ? left.priority < right.priority : left.deadlineAt < right.deadlineAt;

/**
 * Creates the lane to one target. Times are monotonic milliseconds.
 *
 * @example
 * const limit = createConcurrencyLimit({ concurrency: 1, rampMilliseconds: 1_000 }, { share: 1, connections: 1 });
 * const queue = createAdmissionQueue(limit, 1);
 * const decided: string[] = [];
 * const request = { priority: priorities.interactive, deadlineAt: 500, decide: verdict => decided.push(verdict) };
 * queue.submit({ ...request }, 0); // "admitted"
 * queue.submit({ ...request }, 1); // "waiting"
 * queue.submit({ ...request }, 2); // "queue-full"
 * queue.complete(10);
 * decided.slice(); // ["admitted"]
 */
export const createAdmissionQueue = (limit: ConcurrencyLimit, queueLength: number): AdmissionQueue => {
    let queue: QueuedRequest[] = [];
    let running = 0;
    let blockedUntil = 0;

    const placeOf = (entrant: QueuedRequest): number => {
        let low = 0;
        let high = queue.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (goesBefore(entrant, queue[middle])) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return low;
    };

    const isLate = (entrant: QueuedRequest, ahead: number, now: number): boolean => {
        const latency = limit.latency(now, latencyHalfLifeMilliseconds);
        const startsAt = Math.max(now, blockedUntil) + (ahead * latency) / limit.currentLimit(now);
        return startsAt + latency > entrant.deadlineAt;
    };

    const advance = (now: number): void => {
        while (queue.length > 0 && now >= blockedUntil && running < limit.currentLimit(now)) {
            const next = queue.shift() as QueuedRequest;
            if (isLate(next, 0, now)) {
                next.decide("deadline-unreachable");
                continue;
            }
            running += 1;
            next.decide("admitted");
        }
    };

    return {
        submit: (entrant, now) => {
            if (queue.length === 0 && now >= blockedUntil && running < limit.currentLimit(now)) {
                running += 1;
                return "admitted";
            }
            const place = placeOf(entrant);
            if (isLate(entrant, place + 1, now)) {
                return "deadline-unreachable";
            }
            if (queue.length >= queueLength) {
                if (place >= queue.length) {
                    return "queue-full";
                }
                queue.pop()?.decide("queue-full");
            }
            queue.splice(place, 0, entrant);
            return "waiting";
        },
        complete: now => {
            running -= 1;
            advance(now);
        },
        cancel: entrant => {
            queue = queue.filter(other => other !== entrant);
        },
        backOffUntil: time => {
            blockedUntil = Math.max(blockedUntil, time);
        },
        advance,
        rerouteAll: () => {
            const dispersed = queue;
            queue = [];
            dispersed.forEach(entrant => entrant.decide("dispersed"));
        },
        nextAdvanceAt: now => {
            if (queue.length === 0) {
                return undefined;
            }
            if (blockedUntil > now) {
                return blockedUntil;
            }
            return running === 0 ? now : undefined;
        },
        running: () => running,
        waiting: () => queue.length,
    };
};
