/**
 * Choice of a target in a pool whose keys are not divided: the least expected time to an answer, from what this host
 * measured and, with less weight, from what targets report.
 */

export type TargetCandidate = {
    /** Requests of this host that run or wait there. */
    outstanding: number;
    /** The target's own report, with its age; undefined when there is none. */
    reportedLoad: number | undefined;
    reportAgeMilliseconds: number;
    /** Time from sending to the head of the answer as this host measured it; 0 while nothing is known. */
    latencyMilliseconds: number;
    concurrency: number;
    /** Relative speed by the pool's settings. */
    speed: number;
    /** From 0 to 1; below 1 while the target is cold. */
    rampShare: number;
    /** Way there and back. */
    roundTripMilliseconds: number;
    /** Whether it may get new work. */
    usable: boolean;
};

/** A report halves its weight in this time. */
const reportHalfLifeMilliseconds = 100;
/** No report counts for more than this many times the target's concurrency. */
const maxReportedRounds = 2;
const assumedLatencyMilliseconds = 1;

const expectedMilliseconds = (target: TargetCandidate): number => {
    const weight = 0.5 ** (target.reportAgeMilliseconds / reportHalfLifeMilliseconds);
    const reported = Math.min(target.reportedLoad ?? 0, target.concurrency * maxReportedRounds);
    const load = Math.max(target.outstanding, target.outstanding + (reported - target.outstanding) * weight);
    const rounds = Math.max(1, (load + 1) / (target.concurrency * Math.max(target.rampShare, 0.1)));
    const assumed = target.roundTripMilliseconds + assumedLatencyMilliseconds / target.speed;
    return Math.max(target.latencyMilliseconds, assumed) * rounds;
};

/**
 * Index of the target to take, or -1 when none is usable. Compares a few at random instead of all, so that hosts that
 * see the same reports do not all take the same target.
 *
 * @param unit gives a number from 0 up to, not including, 1.
 */
export const chooseTarget = (targets: TargetCandidate[], unit: () => number, samples = 3): number => {
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
        const other = draw + Math.floor(unit() * (usable.length - draw));
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
