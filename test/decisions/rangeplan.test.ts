/**
 * Plans of key ranges. Guards against keys without a live owner, targets with a busy key that keep too many other keys,
 * and moves caused by noise in the loads.
 */
import test from "ava";
import {
    findRangeOfKey,
    maxKey,
    type OwnedRange,
    type Ownership,
    type RangeOwner,
} from "../../src/contracts/ownership.ts";
import { createKeyLoads, type KeyLoads } from "../../src/decisions/keyload.ts";
import type { RangeTarget } from "../../src/decisions/rangeloads.ts";
import { applyMoves, mergeRanges } from "../../src/decisions/rangemoves.ts";
import { planRanges } from "../../src/decisions/rangeplan.ts";

const owner = (target: string): RangeOwner => ({ target, incarnation: "1" });
const targetsOf = (names: string[], capacity = 30): RangeTarget[] =>
    names.map(name => ({ owner: owner(name), capacity, slots: 3 }));
const empty: Ownership = { term: 1, coordinator: "host/1", nextFence: 1, ranges: [] };
const names = ["a", "b", "c", "d"];
const now = 10_000;

/** Loads after five seconds of requests: for keys spread evenly, and in addition for one key. */
const loadsOf = (evenPerSecond: number, hot?: { key: number; perSecond: number }): KeyLoads => {
    const loads = createKeyLoads();
    for (let time = now - 5_000; time < now; time += 1_000 / evenPerSecond) {
        loads.recordRequest(Math.floor(time * 7_919) % (maxKey + 1), time);
    }
    for (let time = now - 5_000; hot !== undefined && time < now; time += 1_000 / hot.perSecond) {
        loads.recordRequest(hot.key, time);
    }
    return loads;
};

const step = (ownership: Ownership, targets: RangeTarget[], loads: KeyLoads): Ownership => {
    const moves = planRanges({
        ranges: ownership.ranges,
        targets,
        segments: loads.segments(now),
        sampleCount: loads.sampleCount(now),
        knownShare: loads.knownShare(now),
        maxSplits: 1,
        isMovable: () => true,
    });
    return mergeRanges(applyMoves(ownership, moves));
};

const finished = (ownership: Ownership): Ownership => ({
    ...ownership,
    ranges: ownership.ranges.map(range => ({ ...range, predecessors: [] })),
});

/** Plans until no key moves any more. */
const settle = (ownership: Ownership, targets: RangeTarget[], loads: KeyLoads): Ownership => {
    for (let count = 0; count < 200; count += 1) {
        const next = finished(step(ownership, targets, loads));
        if (JSON.stringify(next) === JSON.stringify(ownership)) {
            return ownership;
        }
        ownership = next;
    }
    return ownership;
};

const firstUncoveredKey = (ranges: OwnedRange[]): number => {
    let next = 0;
    for (const range of ranges) {
        if (range.from !== next) {
            return next;
        }
        next = range.to + 1;
    }
    return next === maxKey + 1 ? -1 : next;
};

const keysOf = (ranges: OwnedRange[], target: string): number =>
    ranges.filter(range => range.owner.target === target).reduce((sum, range) => sum + range.to - range.from + 1, 0);

test("the first plan distributes all keys evenly, one range per target", t => {
    const { ranges } = step(empty, targetsOf(names), createKeyLoads());
    t.is(firstUncoveredKey(ranges), -1);
    t.is(ranges.length, names.length);
    names.forEach(name => t.true(Math.abs(keysOf(ranges, name) - (maxKey + 1) / 4) < 1_000));
});

test("keys of a removed target go to the others, with the former owner as predecessor", t => {
    const before = finished(step(empty, targetsOf(names), createKeyLoads()));
    const after = step(before, targetsOf(["a", "b", "c"]), createKeyLoads());
    t.is(firstUncoveredKey(after.ranges), -1);
    t.is(keysOf(after.ranges, "d"), 0);
    const moved = after.ranges.filter(range => range.predecessors.length > 0);
    t.true(moved.length > 0);
    t.true(moved.every(range => range.predecessors[0].target === "d"));
});

test("a target that joins gets keys even without any load", t => {
    const before = finished(step(empty, targetsOf(names), createKeyLoads()));
    const after = step(before, targetsOf([...names, "e"]), createKeyLoads());
    t.true(keysOf(after.ranges, "e") > 2_000);
});

test("the owner of a busy key keeps few other keys", t => {
    const hot = { key: 20_000, perSecond: 24 };
    const loads = loadsOf(40, hot);
    const targets = targetsOf(names);
    const { ranges } = settle(finished(step(empty, targets, createKeyLoads())), targets, loads);
    const holder = findRangeOfKey(ranges, hot.key)?.owner.target ?? "";
    t.is(firstUncoveredKey(ranges), -1);
    t.true(keysOf(ranges, holder) < 6_000, `${holder} has ${keysOf(ranges, holder)} keys`);
});

test("a busy key goes to a target that is fast enough for it", t => {
    const hot = { key: 20_000, perSecond: 24 };
    const targets = [...targetsOf(["a", "b", "c"], 16), { owner: owner("fast"), capacity: 40, slots: 3 }];
    const { ranges } = settle(finished(step(empty, targets, createKeyLoads())), targets, loadsOf(20, hot));
    t.is(findRangeOfKey(ranges, hot.key)?.owner.target, "fast");
});

const evenLoads = [10, 40, 70];
for (const perSecond of evenLoads) {
    test(`an even load of ${perSecond} requests per second moves no keys`, t => {
        const targets = targetsOf(names);
        const before = finished(step(empty, targets, createKeyLoads()));
        t.deepEqual(step(before, targets, loadsOf(perSecond)).ranges, before.ranges);
    });
}

test("each move gets a higher fence than all before and lists every owner that may still hold the keys", t => {
    const first = applyMoves(empty, [{ from: 0, to: maxKey, owner: owner("a") }]);
    const second = applyMoves(first, [{ from: 100, to: 199, owner: owner("b") }]);
    const third = applyMoves(second, [{ from: 150, to: 299, owner: owner("c") }]);
    const back = applyMoves(third, [{ from: 150, to: 199, owner: owner("a") }]);
    t.is(firstUncoveredKey(back.ranges), -1);
    t.true(second.nextFence > first.nextFence && third.nextFence > second.nextFence);
    t.deepEqual(findRangeOfKey(third.ranges, 160)?.predecessors.map(held => held.target), ["a", "b"]);
    t.deepEqual(findRangeOfKey(third.ranges, 250)?.predecessors.map(held => held.target), ["a"]);
    t.deepEqual(findRangeOfKey(back.ranges, 160)?.predecessors.map(held => held.target), ["b", "c"]);
});

test("adjacent ranges of one owner are merged under a new fence, but not while they are moving", t => {
    const left = applyMoves(empty, [{ from: 0, to: 99, owner: owner("a") }]);
    const both = applyMoves(left, [{ from: 100, to: 199, owner: owner("a") }]);
    const merged = mergeRanges(both);
    t.is(merged.ranges.length, 1);
    t.is(merged.ranges[0].fence, both.nextFence);
    const moving = { ...both, ranges: both.ranges.map(range => ({ ...range, predecessors: [owner("b")] })) };
    t.is(mergeRanges(moving), moving);
});

test("a slow target gives up its only range, a busy key, to a fast target", t => {
    const hot = { key: 20_000, perSecond: 34 };
    const targets = [...targetsOf(["a", "b", "c"], 16), { owner: owner("fast"), capacity: 40, slots: 3 }];
    const moves = [
        { from: 0, to: 9_999, owner: owner("b") },
        { from: 10_000, to: hot.key - 1, owner: owner("c") },
        { from: hot.key, to: hot.key, owner: owner("a") },
        { from: hot.key + 1, to: maxKey, owner: owner("fast") },
    ];
    const before = finished(applyMoves(empty, moves));
    const { ranges } = settle(before, targets, loadsOf(10, hot));
    t.is(findRangeOfKey(ranges, hot.key)?.owner.target, "fast");
});
