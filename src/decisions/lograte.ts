/**
 * A bound on log lines: so many a second, with a burst of as many. What is left out is counted and told.
 */

export type LogRateLimit = {
    /** Whether a line may be written, and how many were left out since the last one. */
    take: (now: number) => { write: boolean; leftOut: number };
    /** Counts a line that was lost elsewhere. */
    recordDropped: () => void;
};

/**
 * Creates a limit whose burst is full.
 *
 * @example
 * const limit = createLogRateLimit(2);
 * [1, 2, 3].map(() => limit.take(0).write); // [true, true, false]
 */
export const createLogRateLimit = (linesPerSecond: number): LogRateLimit => {
    let room = linesPerSecond;
    let filledAt = 0;
    let leftOut = 0;

    return {
        take: now => {
            room = Math.min(linesPerSecond, room + Math.max(0, now - filledAt) * linesPerSecond / 1_000);
            filledAt = now;
            if (room < 1) {
                leftOut += 1;
                return { write: false, leftOut };
            }
            room -= 1;
            const told = leftOut;
            leftOut = 0;
            return { write: true, leftOut: told };
        },
        recordDropped: () => {
            leftOut += 1;
        },
    };
};
