/**
 * Chooses a target in a pool whose keys are not divided among targets: the one with the shortest expected time to an
 * answer, computed from this host's own measurements and, with less weight, from the targets' reports.
 */

export type TargetCandidate = {
    /** Number of requests of this host that run or wait at the target. */
    outstanding: number;
    /** Load that the target last reported; undefined when there is no report. */
    reportedLoad: number | undefined;
    /** Time since that report. */
    reportAgeMilliseconds: number;
    /** Time from sending a request to the head of the answer, as measured by this host; 0 before the first answer. */
    latencyMilliseconds: number;
    /** Number of requests that the target runs at the same time. */
    concurrency: number;
    /** Relative speed of the target in the pool's settings. */
    speed: number;
    /** Share of its full load that the target can take, from 0 to 1; below 1 while it is cold. */
    rampShare: number;
    /** Network round trip to the target's zone. */
    roundTripMilliseconds: number;
    /** Whether the target may get new requests. */
    usable: boolean;
};

/** Time in which the weight of a report halves. */
const reportHalfLifeMilliseconds = 100;
/** A reported load counts as at most this multiple of the target's concurrency. */
const maxReportedLoadFactor = 2;
/** Latency assumed at speed 1, without the network, while none has been measured. */
const assumedLatencyMilliseconds = 1;

const expectedMilliseconds = (target: TargetCandidate): number => {
    const weight = 0.5 ** (target.reportAgeMilliseconds / reportHalfLifeMilliseconds);
    const reported = Math.min(target.reportedLoad ?? 0, target.concurrency * maxReportedLoadFactor);
    const load = Math.max(target.outstanding, target.outstanding + (reported - target.outstanding) * weight);
    const rounds = Math.max(1, (load + 1) / (target.concurrency * Math.max(target.rampShare, 0.1)));
    const assumed = target.roundTripMilliseconds + assumedLatencyMilliseconds / target.speed;
    return Math.max(target.latencyMilliseconds, assumed) * rounds;
};

/**
 * Returns the index of the chosen target, or -1 when none is usable. Only a few random targets are compared, so that
 * hosts that see the same reports do not all choose the same target.
 *
 * @param random returns a number from 0 up to, but not including, 1.
 * @param samples number of targets to compare.
 */
export const chooseTarget = (targets: TargetCandidate[], random: () => number, samples = 3): number => {
    let best = -1;
    let least = Infinity;
    const usable: number[] = [];
    for (let index = 0; index < targets.length; index += 1) {
        if (targets[index].usable) {
            usable.push(index);
        }
    }
    const drawn = Math.min(samples, usable.length);
    for (let draw = 0; draw < drawn; draw += 1) {
        const other = draw + Math.floor(random() * (usable.length - draw));
        const index = usable[other];
        usable[other] = usable[draw];
        usable[draw] = index;
        const expected = expectedMilliseconds(targets[index]);
        if (expected < least) {
            least = expected;
            best = index;
        }
    }
    return best;
};
