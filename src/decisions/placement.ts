/**
 * Placement of a request on a target: the target with the shortest expected time to an answer is chosen, and the
 * request is refused at once when no target can answer while the answer is still useful.
 */

export type PlacementCandidate = {
    name: string;
    /** Penalty in addition to the load, for a target in another zone or with recent failures. */
    penaltyMilliseconds: number;
    slots: number;
    /** Expected number of requests from all hosts that run or wait there. */
    load: number;
    /** Time that the target takes for one request while a slot is free. */
    serviceMilliseconds: number;
};

export type PlacementLimits = {
    /** Latency objective of the route; a later answer is worth less. */
    objectiveMilliseconds: number;
    /** Time left until the caller's deadline. */
    remainingMilliseconds: number;
};

export type RefusedPlacement<Candidate> = {
    verdict: "refused";
    /** The best candidate. */
    candidate: Candidate;
    expectedMilliseconds: number;
    /** Longest expected time for which the request would have been sent. */
    longestMilliseconds: number;
};

export type Placement<Candidate> =
    | { verdict: "placed"; candidate: Candidate; expectedMilliseconds: number }
    | RefusedPlacement<Candidate>;

/** Random variation of expected times, as a share of them: hosts that see equal loads choose different targets. */
const jitterShare = 0.2;
/** A request is refused when its expected time exceeds this share of the time left; estimates are off by the rest. */
const usableShareOfRemaining = 0.9;
/**
 * Share of the time between the service time and the objective that a request may spend waiting. With a longer queue
 * most answers would be late, because service times vary and load reports arrive late.
 */
const usableShareOfSpare = 0.4;
/** The retries of refused callers are spread over this share of the wait. */
const retrySpreadShare = 0.5;
const minRetryAfterMilliseconds = 40;

/**
 * Expected time from sending a request to its answer: its own service time and that of the requests queued before it.
 */
export const expectedMilliseconds = (candidate: PlacementCandidate): number => {
    const queued = Math.max(0, candidate.load + 1 - candidate.slots);
    return candidate.serviceMilliseconds * (1 + queued / candidate.slots);
};

/** Longest expected wait for which a request with the given objective and service time is sent. */
export const maxQueueMilliseconds = (objectiveMilliseconds: number, serviceMilliseconds: number): number =>
    Math.max(0, objectiveMilliseconds - serviceMilliseconds) * usableShareOfSpare;

/** Longest expected time to an answer for which a request is sent to a target with the given service time. */
export const maxUsefulMilliseconds = (limits: PlacementLimits, serviceMilliseconds: number): number => {
    const useful = serviceMilliseconds + maxQueueMilliseconds(limits.objectiveMilliseconds, serviceMilliseconds);
    return Math.min(useful, limits.remainingMilliseconds * usableShareOfRemaining);
};

/**
 * Time after which a caller should retry that was refused for another reason than the load, spread at random; see
 * `retrytimes.ts` for the load.
 */
export const retryAfterMilliseconds = (excessMilliseconds: number, random: () => number): number =>
    Math.max(minRetryAfterMilliseconds, excessMilliseconds) * (1 + retrySpreadShare * random());

/**
 * Chooses one of the candidates for a request, or refuses the request.
 *
 * @param candidates at least one.
 * @param random returns a number from 0 up to, but not including, 1.
 */
export const placeRequest = <Candidate extends PlacementCandidate>(
    candidates: Candidate[],
    limits: PlacementLimits,
    random: () => number,
): Placement<Candidate> => {
    let best = candidates[0];
    let lowestCost = Infinity;
    for (const candidate of candidates) {
        const cost = expectedMilliseconds(candidate) + candidate.penaltyMilliseconds;
        const variedCost = cost * (1 + jitterShare * (random() - 0.5));
        if (variedCost < lowestCost) {
            lowestCost = variedCost;
            best = candidate;
        }
    }
    const expected = expectedMilliseconds(best);
    const longest = maxUsefulMilliseconds(limits, best.serviceMilliseconds);
    if (expected <= longest) {
        return { verdict: "placed", candidate: best, expectedMilliseconds: expected };
    }
    return { verdict: "refused", candidate: best, expectedMilliseconds: expected, longestMilliseconds: longest };
};
