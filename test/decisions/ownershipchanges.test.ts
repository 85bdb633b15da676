/**
 * Differences of ownership: applied to the earlier state they give the later one, and they stay small.
 */
import test from "ava";
import fc from "fast-check";
import { maxKey, type Ownership } from "../../src/contracts/ownership.ts";
import {
    applyOwnershipChanges,
    ownershipChangesBetween,
    ownershipPatch,
} from "../../src/decisions/ownershipchanges.ts";
import { applyMoves, mergeRanges, type RangeMove } from "../../src/decisions/rangemoves.ts";

const owner = (index: number) => ({ target: `t${index}`, incarnation: "1" });

const initial = (targets: number): Ownership => {
    const size = (maxKey + 1) / targets;
    const moves = Array.from({ length: targets }, (...[, index]): RangeMove => ({
        from: Math.round(index * size),
        to: Math.round((index + 1) * size) - 1,
        owner: owner(index),
    }));
    return applyMoves({ term: 1, coordinator: "h1/a", nextFence: 1, ranges: [] }, moves);
};

const moveArbitrary = fc.record({
    from: fc.integer({ min: 0, max: maxKey }),
    length: fc.integer({ min: 0, max: 5_000 }),
    owner: fc.integer({ min: 0, max: 7 }).map(owner),
}).map(({ from, length, owner: to }): RangeMove => ({ from, to: Math.min(maxKey, from + length), owner: to }));

test("changes applied to the earlier ownership give the later one, whatever moved", t => {
    fc.assert(fc.property(fc.array(moveArbitrary, { maxLength: 12 }), fc.boolean(), (moves, settles) => {
        const before = initial(8);
        const moved = applyMoves(before, moves);
        const settled = { ...moved, ranges: moved.ranges.map(range => ({ ...range, predecessors: [] })) };
        const after = settles ? mergeRanges(settled) : moved;
        t.deepEqual(applyOwnershipChanges(before, ownershipChangesBetween(before, after)), after);
    }));
});

test("one move among 192 targets is a twentieth of the whole at most", t => {
    const before = initial(192);
    const after = applyMoves(before, [{ from: 100, to: 120, owner: owner(9) }]);
    const changes = ownershipChangesBetween(before, after);
    t.true(JSON.stringify(changes).length * 20 < JSON.stringify(after).length);
});

const unreadable = [
    { title: "an ownership of another form before", before: { term: "x" }, patch: { term: 1 } },
    { title: "a difference of another form", before: initial(2), patch: { put: 3 } },
    { title: "no difference", before: initial(2), patch: undefined },
];

for (const { title, before, patch } of unreadable) {
    test(`${title} is not applied`, t => t.is(ownershipPatch.apply(before, patch), undefined));
}
