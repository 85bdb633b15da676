import test from "ava";
import { chooseTarget, type TargetCandidate } from "../../src/decisions/choosetarget.ts";
import { createConcurrencyLimit } from "../../src/decisions/concurrencylimit.ts";
import { createQuarantine } from "../../src/decisions/quarantine.ts";
import { concurrencyShare, createRateLimiter } from "../../src/decisions/ratelimit.ts";
import { createRetryBudget, holdDelay } from "../../src/decisions/retry.ts";
import { connectionsFor, shareOf } from "../../src/decisions/share.ts";

const shares: Array<{ title: string; others: number[]; size: number; share: number }> = [
    { title: "alone", others: [], size: 1, share: 1 },
    { title: "by size", others: [1, 2], size: 1, share: 0.25 },
    { title: "a host that joins takes from all", others: [1, 1, 1], size: 1, share: 0.25 },
];

for (const { title, others, size, share } of shares) {
    test(`share: ${title}`, t => {
        const members = others.map((other, index) => ({ name: `host-${index}`, size: other }));
        t.is(shareOf(members, { name: "self", size }), share);
    });
}

test("share: connections stay under the limit while a whole fleet is replaced", t => {
    for (const [connections, hosts] of [[110, 10], [120, 9], [120, 3]]) {
        const each = connectionsFor(connections, 1 / hosts) + 1;
        t.true(each * hosts * 2 <= connections);
    }
});

type LimitStep = { latency: number; full: boolean; times: number };

const limits: Array<{ title: string; share: number; steps: LimitStep[]; value: number }> = [
    { title: "starts at the host's share", share: 0.5, steps: [], value: 4 },
    { title: "is at least one", share: 0.01, steps: [], value: 1 },
    { title: "grows while full and calm", share: 0.5, steps: [{ latency: 5, full: true, times: 30 }], value: 8 },
    { title: "does not grow while unused", share: 0.5, steps: [{ latency: 5, full: false, times: 30 }], value: 4 },
    {
        title: "shrinks to the share when answers slow down, whatever the target reports",
        share: 0.5,
        steps: [{ latency: 5, full: true, times: 30 }, { latency: 100, full: true, times: 100 }],
        value: 4,
    },
    {
        title: "is never above twice the concurrency",
        share: 1,
        steps: [{ latency: 5, full: true, times: 999 }],
        value: 16,
    },
];

for (const { title, share, steps, value } of limits) {
    test(`limit: ${title}`, t => {
        const limit = createConcurrencyLimit({ concurrency: 8, rampMilliseconds: 1_000 }, { share, connections: 100 });
        for (const { latency, full, times } of steps) {
            for (let time = 0; time < times; time += 1) {
                limit.recordLatency(latency, full, time);
            }
        }
        t.is(limit.currentLimit(1_000), value);
    });
}

test("limit: a target that started is brought up slowly", t => {
    const limit = createConcurrencyLimit({ concurrency: 8, rampMilliseconds: 1_000 }, { share: 1, connections: 100 });
    limit.resetForRestart(0);
    t.deepEqual([0, 250, 500, 1_000].map(now => limit.currentLimit(now)), [1, 2, 4, 8]);
});

test("limit: connections bound it", t => {
    t.is(
        createConcurrencyLimit({ concurrency: 8, rampMilliseconds: 1 }, { share: 1, connections: 3 }).currentLimit(0),
        3,
    );
});

test("retry: at most the ratio of recent requests, and the budget comes back with the window", t => {
    const budget = createRetryBudget(0.1);
    for (let index = 0; index < 100; index += 1) {
        budget.recordRequest(0);
    }
    const taken = [...Array(20).keys()].filter(() => budget.take(1));
    t.is(taken.length, 13);
    t.false(budget.take(9_000));
    t.true(budget.take(20_000));
});

test("retry: holds wait longer each time up to a bound", t => {
    t.deepEqual([0, 1, 2, 3, 50].map(holdDelay), [5, 10, 20, 40, 40]);
});

test("rate: a host takes its share and the burst, and tells how long to wait", t => {
    const rates = createRateLimiter();
    const rate = { perSecond: 10, burst: 8 };
    const taken = [...Array(6).keys()].map(() => rates.take("plan", rate, 0.5, 0));
    t.deepEqual(taken, [undefined, undefined, undefined, undefined, 200, 200]);
    t.is(rates.take("plan", rate, 0.5, 200), undefined);
    t.is(rates.take("other", rate, 0.5, 200), undefined);
});

test("rate: all hosts together stay in the rate and the burst", t => {
    const rate = { perSecond: 100, burst: 20 };
    const hosts = [0.2, 0.3, 0.5].map(share => ({ share, rates: createRateLimiter() }));
    let admitted = 0;
    for (let now = 0; now <= 1_000; now += 1) {
        for (const { share, rates } of hosts) {
            admitted += rates.take("plan", rate, share, now) === undefined ? 1 : 0;
        }
    }
    t.true(admitted <= 120 && admitted >= 110);
});

test("rate: a concurrency is shared, at least one a host", t => {
    t.deepEqual([1, 0.5, 0.01].map(share => concurrencyShare(10, share)), [10, 5, 1]);
});

test("quarantine: after the second crash, until it has aged", t => {
    const quarantine = createQuarantine(1_000);
    t.true(quarantine.recordCrash("orders", "poison", "target-1#a", 0));
    t.false(quarantine.recordCrash("orders", "poison", "target-1#a", 1));
    t.false(quarantine.isQuarantined("poison", 1));
    quarantine.recordCrash("orders", "poison", "target-2#b", 500);
    t.true(quarantine.isQuarantined("poison", 999));
    t.false(quarantine.isQuarantined("poison", 1_000));
    t.deepEqual(quarantine.list(1_500), []);
});

test("quarantine: an innocent request of the same crash is cleared by its answer, and a broken link is no crash", t => {
    const quarantine = createQuarantine(1_000);
    quarantine.recordCrash("orders", "innocent", "target-1#a", 0);
    t.true(quarantine.clear("innocent"));
    quarantine.recordCrash("orders", "innocent", "target-2#b", 1);
    t.false(quarantine.isQuarantined("innocent", 1));
    t.true(quarantine.removeCrash("innocent", "target-2#b"));
    t.false(quarantine.isSuspect("innocent", 1));
});

const calm: TargetCandidate = {
    outstanding: 0,
    reportedLoad: 0,
    reportAgeMilliseconds: 0,
    latencyMilliseconds: 2,
    concurrency: 3,
    speed: 1,
    rampShare: 1,
    roundTripMilliseconds: 0,
    usable: true,
};

const choices: Array<{ title: string; targets: Array<Partial<TargetCandidate>>; chosen: number }> = [
    { title: "none", targets: [], chosen: -1 },
    { title: "none usable", targets: [{ usable: false }], chosen: -1 },
    { title: "the near one", targets: [{ latencyMilliseconds: 5 }, {}], chosen: 1 },
    {
        title: "the far one when the near one is loaded",
        targets: [{ latencyMilliseconds: 5 }, { outstanding: 30 }],
        chosen: 0,
    },
    { title: "the faster one", targets: [{ latencyMilliseconds: 20 }, {}], chosen: 1 },
    {
        title: "not a cold one under load",
        targets: [{ rampShare: 0.1, outstanding: 1 }, { outstanding: 1 }],
        chosen: 1,
    },
    {
        title: "a stale report counts little",
        targets: [{ reportedLoad: 60, reportAgeMilliseconds: 2_000 }, { latencyMilliseconds: 2.5 }],
        chosen: 0,
    },
    {
        title: "a report that lies low does not hide slowness",
        targets: [{ reportedLoad: 0, latencyMilliseconds: 40 }, { reportedLoad: 3 }],
        chosen: 1,
    },
    {
        title: "a report that lies high counts at most twice",
        targets: [{ reportedLoad: 9_999 }, { latencyMilliseconds: 9 }],
        chosen: 0,
    },
];

for (const { title, targets, chosen } of choices) {
    test(`choice: ${title}`, t => {
        t.is(chooseTarget(targets.map(target => ({ ...calm, ...target })), () => 0.5), chosen);
    });
}

test("the part of a budget that needs no requests follows the number that is given", t => {
    let free = 2;
    const budget = createRetryBudget(0, () => free);
    t.deepEqual([1, 2, 3].map(() => budget.take(0)), [true, true, false]);
    free = 3;
    t.deepEqual([1, 2].map(() => budget.take(0)), [true, false]);
});
