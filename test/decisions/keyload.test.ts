/**
 * Estimated load of keys at a new coordinator, which has had no earlier reports, and after a load has started or
 * stopped.
 */
import test, { type ExecutionContext } from "ava";
import { createKeyLoads } from "../../src/decisions/keyload.ts";

const startAt = 50_000;
const perSecond = 100;

const recordRequests = (
    loads: ReturnType<typeof createKeyLoads>,
    key: number,
    from: number,
    milliseconds: number,
): void => {
    for (let passed = 0; passed < milliseconds; passed += 1_000 / perSecond) {
        loads.recordRequest(key, from + passed);
    }
};

const loadOf = (loads: ReturnType<typeof createKeyLoads>, key: number, now: number): number =>
    loads.segments(now).find(atom => atom.from <= key && atom.to >= key)?.load ?? 0;

const checkEstimate = (t: ExecutionContext, milliseconds: number): void => {
    const loads = createKeyLoads();
    recordRequests(loads, 700, startAt, milliseconds);
    const now = startAt + milliseconds;
    t.true(Math.abs(loads.rate(now) - perSecond) < perSecond / 10, `${loads.rate(now)}`);
    t.true(Math.abs(loadOf(loads, 700, now) - perSecond) < perSecond / 4, `${loadOf(loads, 700, now)}`);
};

for (const milliseconds of [1_000, 3_000, 10_000, 30_000]) {
    test(`a steady load is known ${milliseconds} ms after the first report`, checkEstimate, milliseconds);
}

test("a load that has started, and one that has stopped, is known within a second and a half", t => {
    const loads = createKeyLoads();
    recordRequests(loads, 700, startAt, 10_000);
    recordRequests(loads, 900, startAt + 10_000, 1_500);
    const now = startAt + 11_500;
    t.true(loadOf(loads, 900, now) > perSecond / 2, `${loadOf(loads, 900, now)}`);
    t.true(loadOf(loads, 700, now) < perSecond / 2, `${loadOf(loads, 700, now)}`);
});
