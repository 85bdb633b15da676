/**
 * Adaptive limit on the requests that one host runs at one target. It starts from the host's share of the target's
 * concurrency and then follows the measured latency, so that it does not depend on the target's reports being right.
 */

export type ConcurrencyLimitOptions = {
    /** Number of requests that the target is configured to run at the same time. */
    concurrency: number;
    /** Time after a restart of the target over which the limit rises to its full value. */
    rampMilliseconds: number;
};

export type ConcurrencyLimitShare = {
    /** This host's share of the target's concurrency, from 0 to 1. */
    share: number;
    /** Number of connections for requests that this host may open to the target. */
    connections: number;
};

export type ConcurrencyLimit = {
    /** Number of requests that this host may have at the target now; at least 1. */
    currentLimit: (now: number) => number;
    setShare: (share: ConcurrencyLimitShare) => void;
    /** Resets the limit to the host's share and ramps up to it, since the target has restarted and is cold. */
    resetForRestart: (now: number) => void;
    /** Records the latency of a request that ran. `full` says whether the limit was fully used. */
    recordLatency: (milliseconds: number, full: boolean, now: number) => void;
    /** Lowers the limit because the target shed a request. */
    recordShed: () => void;
    /**
     * Expected time from sending a request to the head of the answer; 0 before the first answer. It halves in each
     * half-life without an answer, so that a single stall does not keep requests away from the target for ever.
     */
    latency: (now: number, halfLifeMilliseconds: number) => number;
};

/** The minimum latency is taken over the current and the previous window of this length. */
const minimumWindowMilliseconds = 10_000;
/** Weight of a new latency in the smoothed latency. */
const smoothing = 1 / 16;
/** A smoothed latency up to this multiple of the minimum, plus the slack, means that requests do not queue. */
const uncongestedRatio = 1.5;
const uncongestedSlackMilliseconds = 1;
/** A smoothed latency above this multiple of the minimum, plus the slack, means that requests queue. */
const congestedRatio = 2.5;
const congestedSlackMilliseconds = 2;
/** Factor on the limit for each answer while requests queue. */
const congestedFactor = 0.98;
/** Factor on the limit for each request that the target sheds. */
const shedFactor = 0.7;
/** The limit never exceeds this multiple of the target's concurrency. */
const ceilingFactor = 2;

/** Creates the limit of this host at one target. Times are monotonic milliseconds. */
export const createConcurrencyLimit = (
    options: ConcurrencyLimitOptions,
    initial: ConcurrencyLimitShare,
): ConcurrencyLimit => {
    const { concurrency, rampMilliseconds } = options;
    let floor = 1;
    let ceiling = 1;
    let limit = 0;
    let smoothed = 0;
    let lastAnswerAt = 0;
    let minimum = Infinity;
    let previousMinimum = Infinity;
    let windowStartedAt = 0;
    let coldSince: number | undefined;

    const setShare = ({ share, connections }: ConcurrencyLimitShare): void => {
        ceiling = Math.max(1, Math.min(connections, concurrency * ceilingFactor));
        floor = Math.min(ceiling, Math.max(1, Math.round(concurrency * share)));
        limit = Math.min(ceiling, Math.max(floor, limit));
    };
    setShare(initial);

    const updateMinimum = (milliseconds: number, now: number): void => {
        if (now - windowStartedAt > minimumWindowMilliseconds) {
            previousMinimum = minimum;
            minimum = Infinity;
            windowStartedAt = now;
        }
        minimum = Math.min(minimum, milliseconds);
    };

    return {
        currentLimit: now => {
            const rampedPart = coldSince === undefined ? 1 : Math.min(1, (now - coldSince) / rampMilliseconds);
            return Math.max(1, Math.floor(limit * rampedPart));
        },
        setShare,
        resetForRestart: now => {
            coldSince = now;
            limit = floor;
            minimum = Infinity;
            previousMinimum = Infinity;
        },
        recordLatency: (milliseconds, full, now) => {
            updateMinimum(milliseconds, now);
            smoothed = smoothed === 0 ? milliseconds : smoothed + (milliseconds - smoothed) * smoothing;
            lastAnswerAt = now;
            const baseline = Math.min(minimum, previousMinimum);
            if (full && smoothed <= baseline * uncongestedRatio + uncongestedSlackMilliseconds) {
                limit = Math.min(ceiling, limit + 1 / limit);
            }
            else if (smoothed > baseline * congestedRatio + congestedSlackMilliseconds) {
                limit = Math.max(floor, limit * congestedFactor);
            }
        },
        recordShed: () => {
            limit = Math.max(1, limit * shedFactor);
        },
        latency: (now, halfLifeMilliseconds) =>
            smoothed * 0.5 ** (Math.max(0, now - lastAnswerAt) / halfLifeMilliseconds),
    };
};
