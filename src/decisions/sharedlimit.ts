/**
 * The limit on the requests per second of all hosts at one target, counted in one place: a token bucket. The more urgent
 * requests come first, and refused ones are told when there is room, one after the other.
 */

export type LimitVerdict =
    | { allowed: true }
    | {
        allowed: false;
        /** Time until the next request may be sent. */
        roomMilliseconds: number;
        /** Time after which this request finds room, if those refused before it come again when they were told to. */
        retryAfterMilliseconds: number;
    };

export type SharedLimit = {
    /**
     * Takes one request.
     *
     * @param perSecond the limit that is in force now.
     * @param priority rank of the request, 0 the most urgent.
     * @param now monotonic time in milliseconds.
     * @param coldPerSecond rate of a cold target, whose bucket holds one token; undefined while it is not cold.
     */
    take: (perSecond: number, priority: number, now: number, coldPerSecond?: number) => LimitVerdict;
};

/** Lowest rate that is allowed, so that it becomes known when a target lifts its limit. */
const minPerSecond = 0.5;

/** Returns the requests per second that are sent under a limit. */
export const effectiveLimit = (perSecond: number): number => Math.max(minPerSecond, perSecond);

/** Requests that may be sent at once after a time without any: one, and those of this many seconds. */
const burstSeconds = 0.5;
/** While a request was refused within this time, less urgent ones are refused too. */
const urgencyMilliseconds = 1_000;
/** A request is not told to come back sooner or later than this. */
const minRetryAfterMilliseconds = 20;
const maxRetryAfterMilliseconds = 5_000;

/** Creates a limit whose bucket is empty, since others may have counted before. */
export const createSharedLimit = (now: number): SharedLimit => {
    let tokens = 0;
    let filledAt = now;
    /** Time at which all requests that were refused have found room. */
    let backlogEndsAt = -Infinity;
    /** When a request of each priority was last refused. */
    const refusedAt = new Map<number, number>();

    const isMoreUrgentWaiting = (priority: number, at: number): boolean =>
        [...refusedAt].some(([other, refused]) => other < priority && at - refused < urgencyMilliseconds);

    return {
        take: (perSecond, priority, at, coldPerSecond) => {
            const perMillisecond = Math.min(effectiveLimit(perSecond), coldPerSecond ?? Infinity) / 1_000;
            const capacity = coldPerSecond === undefined ? 1 + burstSeconds * 1_000 * perMillisecond : 1;
            tokens = Math.min(capacity, tokens + Math.max(0, at - filledAt) * perMillisecond);
            filledAt = at;
            if (tokens >= 1 && !isMoreUrgentWaiting(priority, at)) {
                tokens -= 1;
                return { allowed: true };
            }
            refusedAt.set(priority, at);
            if (perMillisecond === 0) {
                return {
                    allowed: false,
                    roomMilliseconds: maxRetryAfterMilliseconds,
                    retryAfterMilliseconds: maxRetryAfterMilliseconds,
                };
            }
            const roomMilliseconds = Math.max(0, 1 - tokens) / perMillisecond;
            const roomAt = Math.min(at + maxRetryAfterMilliseconds, Math.max(backlogEndsAt, at + roomMilliseconds));
            backlogEndsAt = roomAt + 1 / perMillisecond;
            return {
                allowed: false,
                roomMilliseconds,
                retryAfterMilliseconds: Math.max(minRetryAfterMilliseconds, roomAt - at),
            };
        },
    };
};
