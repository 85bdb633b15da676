/** Guards against refused callers that all return at once, too early to be sent, or too late to be in time. */
import test from "ava";
import { createRetryTimes, type RetryRequest } from "../../src/decisions/retrytimes.ts";

const request: RetryRequest = {
    pool: "pool",
    place: "a",
    excessMilliseconds: 100,
    intervalMilliseconds: 120,
    own: 4,
    load: 4,
    spareMilliseconds: 1_000,
    now: 0,
};

/** Returns the times that callers are told who are refused at the same time, without the random spread. */
const timesOf = (count: number, change: Partial<RetryRequest> = {}, sent = 1_000): number[] => {
    const times = createRetryTimes(() => 0);
    for (let index = 0; index < sent; index += 1) {
        times.recordSent("pool", 0);
    }
    return [...new Array(count).keys()].map(() => Math.round(times.next({ ...request, ...change })));
};

const cases: Array<[name: string, actual: number[], expected: number[]]> = [
    ["each caller is told a later time", timesOf(3), [100, 160, 220]],
    ["a host with a part of the requests tells later times", timesOf(2, { own: 0 }), [100, 400]],
    ["no time is later than half of the spare time", timesOf(3, { spareMilliseconds: 240 }), [100, 120, 120]],
    ["nor later than three seconds", timesOf(60, { spareMilliseconds: 60_000 }).slice(-1), [3_000]],
    ["the excess is waited for in any case", timesOf(2, { excessMilliseconds: 5_000 }), [5_000, 5_000]],
    ["a wait has a least time", timesOf(1, { excessMilliseconds: 0 }), [40]],
    ["while most requests are refused, callers return early", timesOf(3, {}, 0), [100, 100, 100]],
];
for (const [name, actual, expected] of cases) {
    test(name, t => t.deepEqual(actual, expected));
}

test("times at one target do not delay callers of another", t => {
    const times = createRetryTimes(() => 0);
    times.recordSent("pool", 0);
    times.next(request);
    t.is(times.next({ ...request, place: "b" }), 100);
});

test("times are spread at random over the spare time", t => {
    const times = createRetryTimes(() => 0.5);
    times.recordSent("pool", 0);
    // One of two requests was refused: the spread is a quarter of the spare time less the wait.
    t.is(times.next(request), 175);
});
