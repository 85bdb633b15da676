/**
 * The rate of a cold target's token bucket: three groups of hosts that count apart must stay within the bound in any
 * second, also when a request is written as late as its permit allows.
 */
import test from "ava";
import { coldRate, partitionedGroups, permitMilliseconds } from "../../src/decisions/coldlimit.ts";
import { createSharedLimit } from "../../src/decisions/sharedlimit.ts";

const cases = [
    { rate: 2.5, factor: 1.5, slack: 8, lowered: false },
    { rate: 2.5, factor: 1, slack: 0, lowered: true },
    { rate: 4, factor: 1, slack: 0, lowered: true },
    { rate: 40, factor: 1.5, slack: 8, lowered: true },
    { rate: 0.2, factor: 1.5, slack: 8, lowered: false },
    { rate: 0, factor: 1.5, slack: 8, lowered: false },
];

for (const { rate, factor, slack, lowered } of cases) {
    test(`three groups keep the bound ${rate} x ${factor} + ${slack}`, t => {
        const perSecond = coldRate({ milliseconds: 3_000, requestsPerSecond: rate }, { factor, slack });
        t.is(perSecond < rate, lowered);
        const bucket = createSharedLimit(0);
        const tokens: number[] = [];
        for (let now = 0; now < 20_000; now += 1) {
            if (bucket.take(1_000, 1, now, perSecond).allowed) {
                tokens.push(now);
            }
        }
        const window = 1_000 + permitMilliseconds;
        const most = Math.max(0, ...tokens.map(from => tokens.filter(at => at >= from && at <= from + window).length));
        t.true(most * partitionedGroups <= rate * factor + slack, `${most} of each group`);
        t.true(tokens.length >= Math.floor(perSecond * 20) - 1, `${tokens.length} in 20 s`);
    });
}

test("a bucket that was filled for a warm target holds one token once it is cold", t => {
    const bucket = createSharedLimit(0);
    t.true(bucket.take(100, 1, 10_000).allowed);
    t.true(bucket.take(100, 1, 10_000, 2.5).allowed);
    t.false(bucket.take(100, 1, 10_000, 2.5).allowed);
});
