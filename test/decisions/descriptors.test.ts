/**
 * Division of a process's descriptors.
 */
import test from "ava";
import {
    budgetAfterShortage,
    budgetAt,
    type DescriptorLimits,
    descriptorParts,
    descriptorProbe,
    divideDescriptors,
    effectiveLimit,
    fullBudget,
    riseProbe,
} from "../../src/decisions/descriptors.ts";

const cases: Array<DescriptorLimits & { limit: number; callers: number; targets: number; hosts: number }> = [
    { process: 20_000, stated: 3_075, files: 200, limit: 3_075, callers: 1_268, targets: 844, hosts: 703 },
    { process: 200, stated: 3_075, files: 200, limit: 3_075, callers: 1_268, targets: 844, hosts: 703 },
    { process: undefined, stated: 1_024, files: 48, limit: 1_024, callers: 413, targets: 274, hosts: 229 },
    { process: 1_024, stated: undefined, files: 48, limit: 1_024, callers: 413, targets: 274, hosts: 229 },
    { process: undefined, stated: undefined, files: 48, limit: 1_024, callers: 413, targets: 274, hosts: 229 },
    { process: 256, stated: undefined, files: 48, limit: 256, callers: 71, targets: 46, hosts: 39 },
    { process: 16, stated: undefined, files: 48, limit: 16, callers: 4, targets: 4, hosts: 4 },
];

for (const { limit, callers, targets, hosts, ...limits } of cases) {
    test(`${limits.process} of the process, ${limits.stated} stated, ${limits.files} for files`, t => {
        t.is(effectiveLimit(limits), limit);
        t.like(divideDescriptors(limit, limits.files), { callers, targets, hosts });
    });
}

test("the parts, files and own descriptors fit every limit from 128 on, and no part shrinks but by rounding as it grows", t => {
    const names = Object.values(descriptorParts);
    let before = divideDescriptors(127, 48);
    for (let limit = 128; limit < 5_000; limit += 1) {
        const parts = divideDescriptors(limit, 48);
        const sum = Object.values(parts).reduce((total, part) => total + part, 0);
        t.true(sum + Math.min(48, limit / 4) + 16 <= limit, `${limit}: ${sum}`);
        t.true(names.every(name => parts[name] >= before[name] - 2));
        before = parts;
    }
});

const limits: DescriptorLimits = { process: 1_024, stated: 4_100, files: 48 };
const shortages: Array<{ title: string; at: Array<[now: number, connections: number]>; limit: number }> = [
    { title: "falls to the connections that were open", at: [[0, 960]], limit: 960 },
    { title: "falls once while connections are being closed", at: [[0, 960], [499, 300]], limit: 960 },
    { title: "falls again when the shortage lasts", at: [[0, 960], [500, 300]], limit: 300 },
    { title: "does not rise by a shortage", at: [[0, 300], [500, 960]], limit: 300 },
    { title: "stays while few connections are open, which do not cause it", at: [[0, 63], [500, 3]], limit: 4_100 },
    { title: "falls to enough for each part at least", at: [[0, 64]], limit: 64 },
];

for (const { title, at, limit } of shortages) {
    test(`the limit in a shortage ${title}`, t => {
        const budget = at.reduce((last, [now, open]) => budgetAfterShortage(last, open, now), fullBudget(limits));
        t.is(budget.limit, limit);
    });
}

test("after a shortage the limit rises by steps to the stated one, more slowly after each shortage", t => {
    let budget = budgetAfterShortage(fullBudget(limits), 960, 0);
    t.is(budgetAt(budget, limits, 19_999).limit, 960);
    budget = budgetAt(budget, limits, 20_000);
    t.is(budget.limit, 1_089);
    budget = budgetAfterShortage(budget, 960, 30_000);
    t.is(budgetAt(budget, limits, 69_999).limit, 960);
    let now = 30_000;
    while (budget.limit < 4_100 && now < 10_000_000) {
        now += 40_000;
        budget = budgetAt(budget, limits, now);
    }
    t.is(now, 30_000 + 25 * 40_000);
    t.deepEqual(budget, fullBudget(limits));
});

/** Returns the time from a shortage at 960 connections to the full limit, and how often the limit fell until then. */
const recover = (available: (now: number) => number, open: (limit: number) => number, isProbed: boolean) => {
    let budget = budgetAfterShortage(fullBudget(limits), 960, 0);
    let now = 0;
    let falls = 0;
    for (; budget.limit < 4_100 && now < 3_600_000; now += 250) {
        const isThere = (limit: number): boolean => limit <= available(now);
        budget = budgetAt(budget, limits, now, isProbed ? isThere : undefined);
        const connections = open(budget.limit);
        if (connections > available(now)) {
            const before = budget.limit;
            budget = budgetAfterShortage(budget, available(now), now);
            falls += Number(budget.limit < before);
        }
    }
    return { seconds: Math.round(now / 1_000), falls };
};

const recoveries = [
    { title: "a passing shortage", available: () => 5_000, open: () => 300, seconds: 100, falls: 0 },
    {
        title: "a shortage of 50 s",
        available: (now: number) => now < 50_000 ? 1_024 : 5_000,
        open: () => 300,
        seconds: 140,
        falls: 0,
    },
    {
        title: "a shortage that lasts, with few connections",
        available: () => 1_024,
        open: () => 300,
        seconds: 500,
        falls: 0,
    },
    {
        title: "a shortage that lasts, with all connections in use",
        available: () => 1_024,
        open: (limit: number) => limit,
        seconds: 3_600,
        falls: 14,
    },
];

for (const { title, available, open, ...expected } of recoveries) {
    test(`after ${title} the limit rises fast only where the descriptors are there, and falls no more often`, t => {
        const probed = recover(available, open, true);
        t.deepEqual(probed, expected);
        const slow = recover(available, open, false);
        t.true(probed.seconds <= slow.seconds);
        t.true(probed.falls <= slow.falls);
    });
}

const riseProbes: Array<
    [title: string, limit: number, connections: number, left: number | undefined, files: number | undefined]
> = [
    ["all descriptors of the limit but those in use", 4_100, 300, undefined, 3_736],
    ["none where more are in use", 1_024, 1_000, undefined, 0],
    ["nothing where they are too many to try", 100_000, 300, undefined, undefined],
    ["nothing where other processes could run short", 4_100, 300, 7_000, undefined],
    ["as many where the system has enough", 4_100, 300, 8_000, 3_736],
];

for (const [title, limit, connections, left, files] of riseProbes) {
    test(`a rise is checked with ${title}`, t => {
        t.is(riseProbe(limit, 48, connections, left), files);
    });
}

const probes: Array<[title: string, limits: DescriptorLimits, connections: number, files: number | undefined]> = [
    ["while few connections are open", limits, 511, undefined],
    ["with half of the process's own limit", limits, 512, 64],
    ["with a small limit of the process", { ...limits, process: 256 }, 128, 32],
    ["where the process's own limit is the higher one", { ...limits, process: 4_100 }, 4_000, undefined],
    ["where the process's own limit is not known", { ...limits, process: undefined }, 4_000, undefined],
];

for (const [title, of, connections, files] of probes) {
    test(`descriptors are checked for ${files ?? "none"} ${title}`, t => {
        t.is(descriptorProbe(of, connections)?.files, files);
    });
}
