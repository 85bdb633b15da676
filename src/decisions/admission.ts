/**
 * Admission control for one target: how many requests run there at once, in which order the others wait, and which are
 * refused because they cannot finish before their deadline.
 */
import type { Reason } from "../contracts/outcome.ts";
import type { ConcurrencyLimit } from "./concurrencylimit.ts";

/** Priority of waiting requests; the lowest number goes first. Deferrable requests wait behind all others. */
export const priorities = { once: 0, interactive: 1, deferrable: 2 } as const;
export type Priority = (typeof priorities)[keyof typeof priorities];

/**
 * Decision on a waiting request: it may be sent, it must be routed again (`dispersed`), or it is refused with a reason.
 */
export type Verdict = "admitted" | "dispersed" | Reason;

export type QueuedRequest = {
    priority: Priority;
    /** Monotonic milliseconds. */
    deadlineAt: number;
    /** Called once, and only for a request that had to wait. */
    decide: (verdict: Verdict) => void;
};

export type AdmissionQueue = {
    /** Admits the request at once, queues it, or refuses it with a reason. */
    submit: (request: QueuedRequest, now: number) => "admitted" | "waiting" | Reason;
    /** Must be called when an admitted request has ended; admits the next ones. */
    complete: (now: number) => void;
    /** Removes a waiting request whose caller has disconnected or whose deadline has passed. */
    cancel: (request: QueuedRequest) => void;
    /** Admits nothing before the time given. An earlier time than the one already set has no effect. */
    backOffUntil: (time: number) => void;
    /** Admits waiting requests up to the limit and refuses those that can no longer finish before their deadline. */
    advance: (now: number) => void;
    /** Empties the queue: every waiting request is to be routed again. */
    rerouteAll: () => void;
    /** Time at which `advance` must be called even if no request completes; undefined when that is not needed. */
    nextAdvanceAt: (now: number) => number | undefined;
    /** Number of admitted requests that have not completed. */
    running: () => number;
    /** Number of queued requests. */
    waiting: () => number;
};

/** The expected latency halves in this time without an answer. */
const latencyHalfLifeMilliseconds = 500;

const goesBefore = (left: QueuedRequest, right: QueuedRequest): boolean =>
    left.priority !== right.priority ? left.priority < right.priority : left.deadlineAt < right.deadlineAt;

/**
 * Creates the admission queue of one target. Times are monotonic milliseconds.
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

    const positionOf = (request: QueuedRequest): number => {
        let low = 0;
        let high = queue.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (goesBefore(request, queue[middle])) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return low;
    };

    const cannotFinish = (request: QueuedRequest, ahead: number, now: number): boolean => {
        const latency = limit.latency(now, latencyHalfLifeMilliseconds);
        const startsAt = Math.max(now, blockedUntil) + (ahead * latency) / limit.currentLimit(now);
        return startsAt + latency > request.deadlineAt;
    };

    const advance = (now: number): void => {
        while (queue.length > 0 && now >= blockedUntil && running < limit.currentLimit(now)) {
            const next = queue.shift() as QueuedRequest;
            if (cannotFinish(next, 0, now)) {
                next.decide("deadline-unreachable");
                continue;
            }
            running += 1;
            next.decide("admitted");
        }
    };

    return {
        submit: (request, now) => {
            if (queue.length === 0 && now >= blockedUntil && running < limit.currentLimit(now)) {
                running += 1;
                return "admitted";
            }
            const position = positionOf(request);
            if (cannotFinish(request, position + 1, now)) {
                return "deadline-unreachable";
            }
            if (queue.length >= queueLength) {
                if (position >= queue.length) {
                    return "queue-full";
                }
                queue.pop()?.decide("queue-full");
            }
            queue.splice(position, 0, request);
            return "waiting";
        },
        complete: now => {
            running -= 1;
            advance(now);
        },
        cancel: request => {
            queue = queue.filter(other => other !== request);
        },
        backOffUntil: time => {
            blockedUntil = Math.max(blockedUntil, time);
        },
        advance,
        rerouteAll: () => {
            const removed = queue;
            queue = [];
            removed.forEach(request => request.decide("dispersed"));
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
