import test from "ava";
import { chooseTarget, type TargetCandidate } from "../../src/decisions/choosetarget.ts";
import { createConcurrencyLimit } from "../../src/decisions/concurrencylimit.ts";
import { createQuarantine } from "../../src/decisions/quarantine.ts";
import { concurrencyShare, createRateLimiter } from "../../src/decisions/ratelimit.ts";
import { createRetryBudget, holdDelay } from "../../src/decisions/retry.ts";
import { connectionsFor, shareOf } from "../../src/decisions/share.ts";

const shares: Array<{ title: string; others: number[]; size: number; share: number }> = [
    { title: "a single host has all", others: [], size: 1, share: 1 },
    { title: "in proportion to the size of the hosts", others: [1, 2], size: 1, share: 0.25 },
    { title: "a host that joins reduces the shares of all others", others: [1, 1, 1], size: 1, share: 0.25 },
];

for (const { title, others, size, share } of shares) {
    test(`share: ${title}`, t => {
        const members = others.map((other, index) => ({ name: `host-${index}`, size: other }));
        t.is(shareOf(members, { name: "self", size }), share);
    });
}

test("share: connections stay within the limit while all hosts are replaced", t => {
    for (const [connections, hosts] of [[110, 10], [120, 9], [120, 3]]) {
        const each = connectionsFor(connections, 1 / hosts) + 1;
        t.true(each * hosts * 2 <= connections);
    }
});

type LimitStep = { latency: number; full: boolean; times: number };

const limits: Array<{ title: string; share: number; steps: LimitStep[]; value: number }> = [
    { title: "starts at the host's share", share: 0.5, steps: [], value: 4 },
    { title: "is at least one", share: 0.01, steps: [], value: 1 },
    {
        title: "grows while it is fully used and requests do not queue",
        share: 0.5,
        steps: [{ latency: 5, full: true, times: 30 }],
        value: 8,
    },
    {
        title: "does not grow while it is not fully used",
        share: 0.5,
        steps: [{ latency: 5, full: false, times: 30 }],
        value: 4,
    },
    {
        title: "shrinks to the host's share when answers become slow, whatever the target reports",
        share: 0.5,
        steps: [{ latency: 5, full: true, times: 30 }, { latency: 100, full: true, times: 100 }],
        value: 4,
    },
    {
        title: "never exceeds twice the concurrency",
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

test("limit: it ramps up after a restart of the target", t => {
    const limit = createConcurrencyLimit({ concurrency: 8, rampMilliseconds: 1_000 }, { share: 1, connections: 100 });
    limit.resetForRestart(0);
    t.deepEqual([0, 250, 500, 1_000].map(now => limit.currentLimit(now)), [1, 2, 4, 8]);
});

test("limit: it never exceeds the number of connections", t => {
    t.is(
        createConcurrencyLimit({ concurrency: 8, rampMilliseconds: 1 }, { share: 1, connections: 3 }).currentLimit(0),
        3,
    );
});

test("retry: at most the ratio of recent requests is retried, and the budget recovers with the window", t => {
    const budget = createRetryBudget(0.1);
    for (let index = 0; index < 100; index += 1) {
        budget.recordRequest(0);
    }
    const taken = [...Array(20).keys()].filter(() => budget.take(1));
    t.is(taken.length, 13);
    t.false(budget.take(9_000));
    t.true(budget.take(20_000));
});

test("retry: the delay of a held request doubles up to a maximum", t => {
    t.deepEqual([0, 1, 2, 3, 50].map(holdDelay), [5, 10, 20, 40, 40]);
});

test("rate: a host admits its share of the rate and of the burst, and returns the time to wait", t => {
    const rates = createRateLimiter();
    const rate = { perSecond: 10, burst: 8 };
    const taken = [...Array(6).keys()].map(() => rates.take("plan", rate, 0.5, 0));
    t.deepEqual(taken, [undefined, undefined, undefined, undefined, 200, 200]);
    t.is(rates.take("plan", rate, 0.5, 200), undefined);
    t.is(rates.take("other", rate, 0.5, 200), undefined);
});

test("rate: all hosts together stay within the rate and the burst", t => {
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

test("rate: the concurrency is divided among hosts, at least one each", t => {
    t.deepEqual([1, 0.5, 0.01].map(share => concurrencyShare(10, share)), [10, 5, 1]);
});

test("quarantine: a request is refused after its second crash until a crash has expired", t => {
    const quarantine = createQuarantine({ ageMilliseconds: 1_000 });
    t.true(quarantine.recordCrash("orders", "poison", { id: "target-1#a" }, 0));
    t.false(quarantine.recordCrash("orders", "poison", { id: "target-1#a" }, 1));
    t.false(quarantine.isQuarantined("poison", 1));
    quarantine.recordCrash("orders", "poison", { id: "target-2#b" }, 500);
    t.true(quarantine.isQuarantined("poison", 999));
    t.false(quarantine.isQuarantined("poison", 1_000));
    t.deepEqual(quarantine.list(1_500), []);
});

test("quarantine: an answer clears a request that ran during a crash, and a broken connection is no crash", t => {
    const quarantine = createQuarantine({ ageMilliseconds: 1_000 });
    quarantine.recordCrash("orders", "innocent", { id: "target-1#a" }, 0);
    t.true(quarantine.clear("innocent"));
    quarantine.recordCrash("orders", "innocent", { id: "target-2#b" }, 1);
    t.false(quarantine.isQuarantined("innocent", 1));
    t.true(quarantine.removeCrash("innocent", "target-2#b"));
    t.false(quarantine.isSuspect("innocent", 1));
});

const idleTarget: TargetCandidate = {
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
    { title: "none without targets", targets: [], chosen: -1 },
    { title: "none when no target is usable", targets: [{ usable: false }], chosen: -1 },
    { title: "the target with the lower latency", targets: [{ latencyMilliseconds: 5 }, {}], chosen: 1 },
    {
        title: "a target with a higher latency when the other one is loaded",
        targets: [{ latencyMilliseconds: 5 }, { outstanding: 30 }],
        chosen: 0,
    },
    { title: "the faster target", targets: [{ latencyMilliseconds: 20 }, {}], chosen: 1 },
    {
        title: "not a cold target under load",
        targets: [{ rampShare: 0.1, outstanding: 1 }, { outstanding: 1 }],
        chosen: 1,
    },
    {
        title: "an old report has little weight",
        targets: [{ reportedLoad: 60, reportAgeMilliseconds: 2_000 }, { latencyMilliseconds: 2.5 }],
        chosen: 0,
    },
    {
        title: "a report that is too low does not hide a high latency",
        targets: [{ reportedLoad: 0, latencyMilliseconds: 40 }, { reportedLoad: 3 }],
        chosen: 1,
    },
    {
        title: "a report that is too high counts as at most twice the concurrency",
        targets: [{ reportedLoad: 9_999 }, { latencyMilliseconds: 9 }],
        chosen: 0,
    },
];

for (const { title, targets, chosen } of choices) {
    test(`choice: ${title}`, t => {
        t.is(chooseTarget(targets.map(target => ({ ...idleTarget, ...target })), () => 0.5), chosen);
    });
}

test("retry: the number of retries allowed without requests is read at each retry", t => {
    let free = 2;
    const budget = createRetryBudget(0, () => free);
    t.deepEqual([1, 2, 3].map(() => budget.take(0)), [true, true, false]);
    free = 3;
    t.deepEqual([1, 2].map(() => budget.take(0)), [true, false]);
});
