/**
 * A host's estimate of the load of one target: its own requests there, the load that the target last reported for all
 * other hosts, and the service time of a request. The reported load decays toward its long-term mean, since the
 * requests of other hosts change it.
 */

/** Load that a target reports in an answer: the requests of all hosts that run or wait there. */
export type ReportedLoad = {
    running: number;
    waiting: number;
    /** Service time at the moment as a multiple of the usual one; absent where the target does not tell it. */
    serviceScale?: number | undefined;
};

export type TargetLoad = {
    /** Records that this host sent a request. */
    recordSent: () => void;
    /**
     * Records that an exchange has ended and returns the service time without queueing, if it is known.
     *
     * @param latencyMilliseconds given only if the request ran and was answered.
     * @param sentAtLoad expected requests at the target when this one was sent.
     */
    recordFinished: (latencyMilliseconds: number | undefined, sentAtLoad: number) => number | undefined;
    /** Records the load that the target reported. Times are monotonic milliseconds. */
    recordReport: (now: number, reported: ReportedLoad) => void;
    /** Number of requests of this host that run or wait at the target. */
    ownRequests: () => number;
    /** Expected number of requests of all hosts that run or wait at the target now. */
    expectedRequests: (now: number) => number;
    /** Mean time that the target takes for a request while a slot is free; undefined before the first answer. */
    serviceMilliseconds: () => number | undefined;
    /** Number of answers that this mean rests on. */
    serviceAnswers: () => number;
    /** Service time at the moment as a multiple of the usual one, as the target said within the last second; else 1. */
    serviceScale: (now: number) => number;
    /** Milliseconds since the target last reported its load; very large before its first report. */
    reportAge: (now: number) => number;
};

/** Time in which the reported load's excess over its mean shrinks to a third: about the service time of one request. */
const excessDecayMilliseconds = 300;
/** Time in which the mean itself shrinks to a third, so that a target without requests is tried again. */
const meanDecayMilliseconds = 1_500;
/** Weight of a new report in the long-term mean of the other hosts' load. */
const meanWeight = 0.15;
/** Weight of a new answer in the mean service time. */
const serviceWeight = 0.12;
/** Time in which the effect of a reported scale ends: targets change it many times a second. */
const scaleMilliseconds = 1_000;
/** A reported scale counts as at most this, and as at least its inverse. */
const maxServiceScale = 8;

/**
 * Creates the estimate for a target with the number of slots given.
 *
 * @param onOwnChange called with the number of this host's requests at the target when it changes.
 */
export const createTargetLoad = (slots: number, onOwnChange: (own: number) => void = () => undefined): TargetLoad => {
    let own = 0;
    let others = 0;
    let othersMean = 0;
    let reportedAt = Number.MIN_SAFE_INTEGER;
    let service: number | undefined;
    let serviceAnswers = 0;
    let serviceScale = 1;
    let scaledAt = Number.MIN_SAFE_INTEGER;

    return {
        recordSent: () => {
            own += 1;
            onOwnChange(own);
        },
        recordFinished: (latencyMilliseconds, sentAtLoad) => {
            own -= 1;
            onOwnChange(own);
            if (latencyMilliseconds === undefined) {
                return undefined;
            }
            const rounds = Math.max(1, (Math.max(sentAtLoad, others + own) + 1) / slots);
            const sample = latencyMilliseconds / rounds;
            serviceAnswers += 1;
            service = service === undefined ? sample : service + (sample - service) * serviceWeight;
            return sample;
        },
        recordReport: (now, reported) => {
            others = Math.max(0, reported.running + reported.waiting - own);
            othersMean += (others - othersMean) * meanWeight;
            reportedAt = now;
            if (reported.serviceScale !== undefined) {
                serviceScale = Math.min(maxServiceScale, Math.max(1 / maxServiceScale, reported.serviceScale));
                scaledAt = now;
            }
        },
        ownRequests: () => own,
        expectedRequests: now => {
            const age = now - reportedAt;
            const mean = othersMean * Math.exp(-age / meanDecayMilliseconds);
            return own + mean + (others - mean) * Math.exp(-age / excessDecayMilliseconds);
        },
        serviceMilliseconds: () => service,
        serviceAnswers: () => serviceAnswers,
        serviceScale: now => 1 + (serviceScale - 1) * Math.max(0, 1 - (now - scaledAt) / scaleMilliseconds),
        reportAge: now => now - reportedAt,
    };
};
