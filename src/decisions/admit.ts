/**
 * Admission to one target: how many requests run there at once, which wait in which order, and which are refused
 * because they can not finish in time.
 */
import type { Reason } from "../contracts/outcome.ts";
import type { Limit } from "./limit.ts";

/** Order of waiting requests; lower goes first. Deferrable requests wait behind all others. */
export const priorities = { once: 0, interactive: 1, deferrable: 2 } as const;
export type Priority = (typeof priorities)[keyof typeof priorities];

/** What becomes of a waiting request: it may be sent, its place must be decided again, or it is refused. */
export type Verdict = "admitted" | "dispersed" | Reason;

export type Entrant = {
    priority: Priority;
    /** Monotonic milliseconds. */
    deadlineAt: number;
    /** Called once for an entrant that was told to wait. */
    decide: (verdict: Verdict) => void;
};

export type Lane = {
    /** Admits at once, lets wait, or refuses with a reason. */
    enter: (entrant: Entrant, now: number) => "admitted" | "waiting" | Reason;
    /** An admitted request is over. */
    leave: (now: number) => void;
    /** Takes a waiting entrant out, whose caller is gone. */
    withdraw: (entrant: Entrant) => void;
    /** Admits nothing until the time given. */
    backOffUntil: (time: number) => void;
    /** Admits what may go now and refuses what has become too late. */
    advance: (now: number) => void;
    /** Sends all waiting entrants back to have their place decided again. */
    disperse: () => void;
    /** When `advance` is due although nothing leaves; undefined when it is not. */
    dueAt: (now: number) => number | undefined;
    running: () => number;
    waiting: () => number;
};

const latencyHalfLifeMilliseconds = 500;

const goesBefore = (left: Entrant, right: Entrant): boolean =>
    left.priority !== right.priority ? left.priority < right.priority : left.deadlineAt < right.deadlineAt;

/**
 * Creates the lane to one target. Times are monotonic milliseconds.
 *
 * @example
 * const limit = createLimit({ concurrency: 1, rampMilliseconds: 1_000 }, { share: 1, connections: 1 });
 * const lane = createLane(limit, 1);
 * const decided: string[] = [];
 * const entrant = { priority: priorities.interactive, deadlineAt: 500, decide: verdict => decided.push(verdict) };
 * lane.enter({ ...entrant }, 0); // "admitted"
 * lane.enter({ ...entrant }, 1); // "waiting"
 * lane.enter({ ...entrant }, 2); // "queue-full"
 * lane.leave(10);
 * decided.slice(); // ["admitted"]
 */
export const createLane = (limit: Limit, queueLength: number): Lane => {
    let queue: Entrant[] = [];
    let running = 0;
    let blockedUntil = 0;

    const placeOf = (entrant: Entrant): number => {
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

    const isLate = (entrant: Entrant, ahead: number, now: number): boolean => {
        const latency = limit.latency(now, latencyHalfLifeMilliseconds);
        const startsAt = Math.max(now, blockedUntil) + (ahead * latency) / limit.value(now);
        return startsAt + latency > entrant.deadlineAt;
    };

    const advance = (now: number): void => {
        while (queue.length > 0 && now >= blockedUntil && running < limit.value(now)) {
            const next = queue.shift() as Entrant;
            if (isLate(next, 0, now)) {
                next.decide("deadline-unreachable");
                continue;
            }
            running += 1;
            next.decide("admitted");
        }
    };

    return {
        enter: (entrant, now) => {
            if (queue.length === 0 && now >= blockedUntil && running < limit.value(now)) {
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
        leave: now => {
            running -= 1;
            advance(now);
        },
        withdraw: entrant => {
            queue = queue.filter(other => other !== entrant);
        },
        backOffUntil: time => {
            blockedUntil = Math.max(blockedUntil, time);
        },
        advance,
        disperse: () => {
            const dispersed = queue;
            queue = [];
            dispersed.forEach(entrant => entrant.decide("dispersed"));
        },
        dueAt: now => {
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
