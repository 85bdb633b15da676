/**
 * Placing a request: the target with the least expected time to an answer, or a refusal at once when no target can
 * answer while the answer is worth having.
 */

export type PlacementCandidate = {
    name: string;
    /** What speaks against the target beside its load, as time: another zone, failures of late. */
    penaltyMilliseconds: number;
    slots: number;
    /** Requests of all hosts that are expected to run or wait there. */
    load: number;
    serviceMilliseconds: number;
};

export type PlacementLimits = {
    /** An answer after this time is worth less. */
    objectiveMilliseconds: number;
    /** The caller gets no answer after this time. */
    remainingMilliseconds: number;
};

export type RefusedPlacement<Candidate> = {
    verdict: "refused";
    /** The best of the candidates. */
    candidate: Candidate;
    expectedMilliseconds: number;
    /** Expected time until a request would be answered within the objective. */
    retryAfterMilliseconds: number;
};

export type Placement<Candidate> =
    | { verdict: "placed"; candidate: Candidate; expectedMilliseconds: number }
    | RefusedPlacement<Candidate>;

/** Hosts that see the same loads draw different targets within this part of the expected time. */
const jitterShare = 0.2;
/** A request is refused when its expected time exceeds this part of what is left: estimates are off by as much. */
const usableShareOfRemaining = 0.9;
/**
 * Part of the time between the work and the objective that a request may wait: a longer queue would make most answers
 * late, since work varies and loads are known late.
 */
const usableShareOfSpare = 0.4;
/** Callers that were refused come back spread over this part of the wait. */
const retrySpreadShare = 0.5;
const minRetryAfterMilliseconds = 40;

/** Expected time from sending to the answer: the work itself, and the rounds of work queued before it. */
export const expectedMilliseconds = (candidate: PlacementCandidate): number => {
    const queued = Math.max(0, candidate.load + 1 - candidate.slots);
    return candidate.serviceMilliseconds * (1 + queued / candidate.slots);
};

/** The latest expected answer for which a request is sent to a target with such a service time. */
export const maxUsefulMilliseconds = (limits: PlacementLimits, serviceMilliseconds: number): number => {
    const spare = Math.max(0, limits.objectiveMilliseconds - serviceMilliseconds);
    const useful = serviceMilliseconds + spare * usableShareOfSpare;
    return Math.min(useful, limits.remainingMilliseconds * usableShareOfRemaining);
};

/** When a refused caller should come back: after the excess has been worked off, spread out. */
export const retryAfterMilliseconds = (excessMilliseconds: number, unit: () => number): number =>
    Math.max(minRetryAfterMilliseconds, excessMilliseconds) * (1 + retrySpreadShare * unit());

/**
 * Places a request on one of the candidates; at least one must be given.
 *
 * @param unit gives a number from 0 up to, not including, 1.
 */
export const placeRequest = <Candidate extends PlacementCandidate>(
    candidates: Candidate[],
    limits: PlacementLimits,
    unit: () => number,
): Placement<Candidate> => {
    let best = candidates[0];
    let leastDrawn = Infinity;
    for (const candidate of candidates) {
        const cost = expectedMilliseconds(candidate) + candidate.penaltyMilliseconds;
        const drawn = cost * (1 + jitterShare * (unit() - 0.5));
        if (drawn < leastDrawn) {
            leastDrawn = drawn;
            best = candidate;
        }
    }
    const expected = expectedMilliseconds(best);
    const latest = maxUsefulMilliseconds(limits, best.serviceMilliseconds);
    if (expected <= latest) {
        return { verdict: "placed", candidate: best, expectedMilliseconds: expected };
    }
    const wait = retryAfterMilliseconds(expected - latest, unit);
    return { verdict: "refused", candidate: best, expectedMilliseconds: expected, retryAfterMilliseconds: wait };
};
