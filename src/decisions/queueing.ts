/**
 * Expected number of running and waiting requests at a target, which measures what the target's load costs its callers.
 * The target is modelled as an M/M/c queue: arrivals and service times are random (exponentially distributed).
 */

/** Above this utilization the number is extrapolated along the tangent, since the formula diverges at 1. */
const maxUtilization = 0.92;
/** Step in utilization from which the slope of the tangent is computed. */
const slopeStep = 0.01;
/** Quadratic term that makes one target far above its capacity cost more than two that are slightly above theirs. */
const overloadCurvature = 100;

/** Probability that a request has to wait, by the Erlang C formula. */
const waitProbability = (utilization: number, slots: number): number => {
    const offered = utilization * slots;
    let blocked = 1;
    for (let slot = 1; slot <= slots; slot += 1) {
        blocked = offered * blocked / (slot + offered * blocked);
    }
    return blocked / (1 - utilization * (1 - blocked));
};

const requestsAtUtilization = (utilization: number, slots: number): number =>
    utilization * slots + waitProbability(utilization, slots) * utilization / (1 - utilization);

/**
 * Returns the expected number of running and waiting requests at a target.
 *
 * @param load arriving requests per second.
 * @param capacity requests per second that the target can serve with all of its slots.
 * @example
 * expectedRequestsAtTarget(0, 30, 3); // 0
 * Math.round(expectedRequestsAtTarget(5, 10, 1) * 100) / 100; // 1
 */
export const expectedRequestsAtTarget = (load: number, capacity: number, slots: number): number => {
    const utilization = load / capacity;
    if (utilization <= maxUtilization) {
        return requestsAtUtilization(utilization, slots);
    }
    const atMaximum = requestsAtUtilization(maxUtilization, slots);
    const slope = (atMaximum - requestsAtUtilization(maxUtilization - slopeStep, slots)) / slopeStep;
    const beyond = utilization - maxUtilization;
    return atMaximum + slope * beyond + overloadCurvature * beyond * beyond;
};
