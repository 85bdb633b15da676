/**
 * Rate limit for log lines: a token bucket that holds the lines of one second. Dropped lines are counted and the count
 * is reported with the next line that is written.
 */

export type LogRateLimit = {
    /**
     * Takes a token for one line. Returns whether it may be written and how many lines were dropped since the last one.
     */
    take: (now: number) => { write: boolean; leftOut: number };
    /** Counts a line that was dropped elsewhere. */
    recordDropped: () => void;
};

/**
 * Creates a limit whose bucket is full.
 *
 * @example
 * const limit = createLogRateLimit(2);
 * [1, 2, 3].map(() => limit.take(0).write); // [true, true, false]
 */
export const createLogRateLimit = (linesPerSecond: number): LogRateLimit => {
    let tokens = linesPerSecond;
    let filledAt = 0;
    let leftOut = 0;

    return {
        take: now => {
            tokens = Math.min(linesPerSecond, tokens + Math.max(0, now - filledAt) * linesPerSecond / 1_000);
            filledAt = now;
            if (tokens < 1) {
                leftOut += 1;
                return { write: false, leftOut };
            }
            tokens -= 1;
            const reported = leftOut;
            leftOut = 0;
            return { write: true, leftOut: reported };
        },
        recordDropped: () => {
            leftOut += 1;
        },
    };
};
