/**
 * Plans of key ranges: every key has a live owner, busy keys stand by themselves, nothing moves for noise.
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
import { applyMoves, mergeRanges, planRanges, type RangeTarget } from "../../src/decisions/rangeplan.ts";

const owner = (target: string): RangeOwner => ({ target, incarnation: "1" });
const targetsOf = (names: string[], capacity = 30): RangeTarget[] =>
    names.map(name => ({ owner: owner(name), capacity, slots: 3 }));
const empty: Ownership = { term: 1, coordinator: "host/1", nextFence: 1, ranges: [] };
const names = ["a", "b", "c", "d"];
const now = 10_000;

/** Requests a second for keys spread evenly, and for one key, over the last five seconds. */
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
        maxSplits: 1,
        isMovable: () => true,
    });
    return mergeRanges(applyMoves(ownership, moves));
};

const finished = (ownership: Ownership): Ownership => ({
    ...ownership,
    ranges: ownership.ranges.map(range => ({ ...range, predecessors: [] })),
});

/** Plans until nothing moves any more. */
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

const uncovered = (ranges: OwnedRange[]): number => {
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

test("the first plan deals all keys evenly, one range a target", t => {
    const { ranges } = step(empty, targetsOf(names), createKeyLoads());
    t.is(uncovered(ranges), -1);
    t.is(ranges.length, names.length);
    names.forEach(name => t.true(Math.abs(keysOf(ranges, name) - (maxKey + 1) / 4) < 1_000));
});

test("keys of a target that is gone go to the others, with the owner before noted", t => {
    const before = finished(step(empty, targetsOf(names), createKeyLoads()));
    const after = step(before, targetsOf(["a", "b", "c"]), createKeyLoads());
    t.is(uncovered(after.ranges), -1);
    t.is(keysOf(after.ranges, "d"), 0);
    const moved = after.ranges.filter(range => range.predecessors.length > 0);
    t.true(moved.length > 0);
    t.true(moved.every(range => range.predecessors[0].target === "d"));
});

test("a target that joins gets a part, although no load was seen", t => {
    const before = finished(step(empty, targetsOf(names), createKeyLoads()));
    const after = step(before, targetsOf([...names, "e"]), createKeyLoads());
    t.true(keysOf(after.ranges, "e") > 2_000);
});

test("a busy key's owner keeps little else", t => {
    const hot = { key: 20_000, perSecond: 24 };
    const loads = loadsOf(40, hot);
    const targets = targetsOf(names);
    const { ranges } = settle(finished(step(empty, targets, createKeyLoads())), targets, loads);
    const holder = findRangeOfKey(ranges, hot.key)?.owner.target ?? "";
    t.is(uncovered(ranges), -1);
    t.true(keysOf(ranges, holder) < 6_000, `${holder} has ${keysOf(ranges, holder)} keys`);
});

test("a busy key goes to the target that can serve it", t => {
    const hot = { key: 20_000, perSecond: 24 };
    const targets = [...targetsOf(["a", "b", "c"], 16), { owner: owner("fast"), capacity: 40, slots: 3 }];
    const { ranges } = settle(finished(step(empty, targets, createKeyLoads())), targets, loadsOf(20, hot));
    t.is(findRangeOfKey(ranges, hot.key)?.owner.target, "fast");
});

const calm = [10, 40, 70];
for (const perSecond of calm) {
    test(`an even load of ${perSecond} requests a second moves nothing`, t => {
        const targets = targetsOf(names);
        const before = finished(step(empty, targets, createKeyLoads()));
        t.deepEqual(step(before, targets, loadsOf(perSecond)).ranges, before.ranges);
    });
}

test("every move has a fence above all before, and keeps each owner that may still hold the keys", t => {
    const first = applyMoves(empty, [{ from: 0, to: maxKey, owner: owner("a") }]);
    const second = applyMoves(first, [{ from: 100, to: 199, owner: owner("b") }]);
    const third = applyMoves(second, [{ from: 150, to: 299, owner: owner("c") }]);
    const back = applyMoves(third, [{ from: 150, to: 199, owner: owner("a") }]);
    t.is(uncovered(back.ranges), -1);
    t.true(second.nextFence > first.nextFence && third.nextFence > second.nextFence);
    t.deepEqual(findRangeOfKey(third.ranges, 160)?.predecessors.map(held => held.target), ["a", "b"]);
    t.deepEqual(findRangeOfKey(third.ranges, 250)?.predecessors.map(held => held.target), ["a"]);
    t.deepEqual(findRangeOfKey(back.ranges, 160)?.predecessors.map(held => held.target), ["b", "c"]);
});

test("neighbouring ranges of one owner are joined under a new fence, but not while they move", t => {
    const left = applyMoves(empty, [{ from: 0, to: 99, owner: owner("a") }]);
    const both = applyMoves(left, [{ from: 100, to: 199, owner: owner("a") }]);
    const merged = mergeRanges(both);
    t.is(merged.ranges.length, 1);
    t.is(merged.ranges[0].fence, both.nextFence);
    const moving = { ...both, ranges: both.ranges.map(range => ({ ...range, predecessors: [owner("b")] })) };
    t.is(mergeRanges(moving), moving);
});

test("a busy key that is all that a slow target has goes to a fast one", t => {
    const hot = { key: 20_000, perSecond: 34 };
    const targets = [...targetsOf(["a", "b", "c"], 16), { owner: owner("fast"), capacity: 40, slots: 3 }];
    const dealt = [
        { from: 0, to: 9_999, owner: owner("b") },
        { from: 10_000, to: hot.key - 1, owner: owner("c") },
        { from: hot.key, to: hot.key, owner: owner("a") },
        { from: hot.key + 1, to: maxKey, owner: owner("fast") },
    ];
    const before = finished(applyMoves(empty, dealt));
    const { ranges } = settle(before, targets, loadsOf(10, hot));
    t.is(findRangeOfKey(ranges, hot.key)?.owner.target, "fast");
});
