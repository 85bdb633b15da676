/**
 * How many requests are expected at a target, running and waiting: what a target's load costs those who wait for it.
 * Requests are taken to come at random and to need work of random length (an M/M/c queue).
 */

/** From this part of its capacity on, a queue is taken to grow along the tangent: it would be endless at 1. */
const maxUtilization = 0.92;
/** Step for the slope of the tangent. */
const slopeStep = 0.01;
/** Makes a target further beyond its capacity worse than two that are a little beyond theirs. */
const overloadCurvature = 100;

/** Probability that a request waits, by Erlang's formula C. */
const waitProbability = (utilization: number, slots: number): number => {
    const offered = utilization * slots;
    let blocked = 1;
    for (let slot = 1; slot <= slots; slot += 1) {
        blocked = offered * blocked / (slot + offered * blocked);
    }
    return blocked / (1 - utilization * (1 - blocked));
};

const atUtilization = (utilization: number, slots: number): number =>
    utilization * slots + waitProbability(utilization, slots) * utilization / (1 - utilization);

/**
 * Expected number of requests at a target.
 *
 * @param load requests a second that come.
 * @param capacity requests a second that it can work off with all of its slots.
 * @example
 * expectedRequestsAtTarget(0, 30, 3); // 0
 * Math.round(expectedRequestsAtTarget(5, 10, 1) * 100) / 100; // 1
 */
export const expectedRequestsAtTarget = (load: number, capacity: number, slots: number): number => {
    const utilization = load / capacity;
    if (utilization <= maxUtilization) {
        return atUtilization(utilization, slots);
    }
    const atMost = atUtilization(maxUtilization, slots);
    const slope = (atMost - atUtilization(maxUtilization - slopeStep, slots)) / slopeStep;
    const beyond = utilization - maxUtilization;
    return atMost + slope * beyond + overloadCurvature * beyond * beyond;
};
