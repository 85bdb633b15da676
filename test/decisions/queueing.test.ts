/**
 * Expected requests at a target: compared with values of the M/M/c formula, and checked for convexity beyond the
 * capacity.
 */
import test from "ava";
import { expectedRequestsAtTarget } from "../../src/decisions/queueing.ts";

const cases = [
    { load: 0, capacity: 30, slots: 3, expected: 0 },
    { load: 5, capacity: 10, slots: 1, expected: 1 },
    { load: 9, capacity: 10, slots: 1, expected: 9 },
    { load: 10, capacity: 20, slots: 2, expected: 4 / 3 },
    { load: 15, capacity: 30, slots: 3, expected: 1.737 },
];
for (const { load, capacity, slots, expected } of cases) {
    test(`${load} requests per second at a capacity of ${capacity} with ${slots} slots`, t => {
        t.true(Math.abs(expectedRequestsAtTarget(load, capacity, slots) - expected) < 0.001);
    });
}

test("the number grows faster and faster with the load, also beyond the capacity", t => {
    let lastGrowth = 0;
    for (let load = 1; load < 60; load += 1) {
        const growth = expectedRequestsAtTarget(load, 30, 3) - expectedRequestsAtTarget(load - 1, 30, 3);
        t.true(growth > lastGrowth && Number.isFinite(growth), `${load}: ${growth} after ${lastGrowth}`);
        lastGrowth = growth;
    }
});
