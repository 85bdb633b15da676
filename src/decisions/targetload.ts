/**
 * What a host believes of one target's load: its own requests there, what the target told of all others, and how long
 * a request takes there. Told load ages toward its long-term mean, since other hosts send too.
 */

/** What a target told in an answer. */
export type ReportedLoad = { running: number; waiting: number };

export type TargetLoad = {
    recordSent: () => void;
    /**
     * The exchange is over. `latencyMilliseconds` is given only for an answer of a request that ran. Gives the time that
     * the work itself took.
     */
    recordFinished: (latencyMilliseconds: number | undefined, sentAtLoad: number) => number | undefined;
    recordReport: (now: number, told: ReportedLoad) => void;
    /** Requests of this host that run or wait there. */
    ownRequests: () => number;
    /** Requests of all hosts that are expected to run or wait there now. */
    expectedRequests: (now: number) => number;
    /** Time that the target takes for a request while a slot is free; undefined while nothing is known. */
    serviceMilliseconds: () => number | undefined;
    /** Milliseconds since the target told its load; Infinity before it first did. */
    reportAge: (now: number) => number;
};

/** Time in which the excess of told load over its mean shrinks to a third: about one request's work. */
const agingMilliseconds = 300;
/** The mean itself is forgotten as fast as this: a target that nobody asks must be asked again. */
const forgettingMilliseconds = 1_500;
/** Weight of one new reading in the long-term mean of the others' load. */
const meanWeight = 0.15;
/** Weight of one new answer in the mean service time. */
const serviceWeight = 0.12;

/** Creates the belief about a target with so many slots. */
export const createTargetLoad = (slots: number): TargetLoad => {
    let own = 0;
    let others = 0;
    let othersMean = 0;
    let toldAt = Number.MIN_SAFE_INTEGER;
    let service: number | undefined;

    return {
        recordSent: () => {
            own += 1;
        },
        recordFinished: (latencyMilliseconds, sentAtLoad) => {
            own -= 1;
            if (latencyMilliseconds === undefined) {
                return undefined;
            }
            const rounds = Math.max(1, (Math.max(sentAtLoad, others + own) + 1) / slots);
            const sample = latencyMilliseconds / rounds;
            service = service === undefined ? sample : service + (sample - service) * serviceWeight;
            return sample;
        },
        recordReport: (now, told) => {
            others = Math.max(0, told.running + told.waiting - own);
            othersMean += (others - othersMean) * meanWeight;
            toldAt = now;
        },
        ownRequests: () => own,
        expectedRequests: now => {
            const age = now - toldAt;
            const mean = othersMean * Math.exp(-age / forgettingMilliseconds);
            return own + mean + (others - mean) * Math.exp(-age / agingMilliseconds);
        },
        serviceMilliseconds: () => service,
        reportAge: now => now - toldAt,
    };
};
