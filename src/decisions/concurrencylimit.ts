/**
 * The concurrency limit of one host at one target. It starts from the host's share of the target's concurrency and
 * follows the measured latency, so that a wrong report of the target does not matter.
 */

export type ConcurrencyLimitOptions = {
    /** Requests that the target says it runs at the same time. */
    concurrency: number;
    /** Time in which a target that started is brought up to its full share. */
    rampMilliseconds: number;
};

export type ConcurrencyLimitShare = {
    /** This host's part of the target, from 0 to 1. */
    share: number;
    /** Connections for requests that this host may open. */
    connections: number;
};

export type ConcurrencyLimit = {
    /** Requests that this host may have at the target now. At least 1. */
    currentLimit: (now: number) => number;
    setShare: (share: ConcurrencyLimitShare) => void;
    /** The target has started anew and is cold. */
    resetForRestart: (now: number) => void;
    /** Notes an answer that ran. `full` says whether the limit was in use. */
    recordLatency: (milliseconds: number, full: boolean, now: number) => void;
    recordShed: () => void;
    /**
     * Expected time from sending to the head of the answer; 0 while nothing is known. It halves in each half-life
     * without an answer, so that one stall does not keep work away for good.
     */
    latency: (now: number, halfLifeMilliseconds: number) => number;
};

const minimumWindowMilliseconds = 10_000;
const smoothing = 1 / 16;
/** Latency up to this multiple of the least one counts as without queueing. */
const calmRatio = 1.5;
const calmSlackMilliseconds = 1;
const crowdedRatio = 2.5;
const crowdedSlackMilliseconds = 2;
const crowdedFactor = 0.98;
const shedFactor = 0.7;
const ceilingFactor = 2;

/** Creates the limit of one target. */
export const createConcurrencyLimit = (
    options: ConcurrencyLimitOptions,
    initial: ConcurrencyLimitShare,
): ConcurrencyLimit => {
    const { concurrency, rampMilliseconds } = options;
    let floor = 1;
    let ceiling = 1;
    let limit = 0;
    let smoothed = 0;
    let notedAt = 0;
    let least = Infinity;
    let leastBefore = Infinity;
    let windowStart = 0;
    let coldSince: number | undefined;

    const setShare = ({ share, connections }: ConcurrencyLimitShare): void => {
        ceiling = Math.max(1, Math.min(connections, concurrency * ceilingFactor));
        floor = Math.min(ceiling, Math.max(1, Math.round(concurrency * share)));
        limit = Math.min(ceiling, Math.max(floor, limit));
    };
    setShare(initial);

    const noteLeast = (milliseconds: number, now: number): void => {
        if (now - windowStart > minimumWindowMilliseconds) {
            leastBefore = least;
            least = Infinity;
            windowStart = now;
        }
        least = Math.min(least, milliseconds);
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
            least = Infinity;
            leastBefore = Infinity;
        },
        recordLatency: (milliseconds, full, now) => {
            noteLeast(milliseconds, now);
            smoothed = smoothed === 0 ? milliseconds : smoothed + (milliseconds - smoothed) * smoothing;
            notedAt = now;
            const best = Math.min(least, leastBefore);
            if (full && smoothed <= best * calmRatio + calmSlackMilliseconds) {
                limit = Math.min(ceiling, limit + 1 / limit);
            }
            else if (smoothed > best * crowdedRatio + crowdedSlackMilliseconds) {
                limit = Math.max(floor, limit * crowdedFactor);
            }
        },
        recordShed: () => {
            limit = Math.max(1, limit * shedFactor);
        },
        latency: (now, halfLifeMilliseconds) => smoothed * 0.5 ** (Math.max(0, now - notedAt) / halfLifeMilliseconds),
    };
};
