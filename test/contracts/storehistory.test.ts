/**
 * Places in the store's history compare by era first, so that nothing of an earlier era is newer than anything of a later
 * one, whatever revisions were given out again.
 */
import test from "ava";
import { eraOf, isLater, laterOf, maxEra, placeOf, revisionOf, startOfEra } from "../../src/contracts/storehistory.ts";

const orderedPlaces: Array<{ title: string; earlier: [number, number]; later: [number, number] }> = [
    { title: "a later revision of the same era", earlier: [1, 5], later: [1, 6] },
    { title: "a lower revision of a later era", earlier: [1, 900], later: [2, 3] },
    { title: "the same revision of a later era", earlier: [1, 900], later: [2, 900] },
    { title: "a store that begins to tell its era", earlier: [0, 900], later: [1, 3] },
    { title: "the last era", earlier: [maxEra - 1, 2 ** 40 - 1], later: [maxEra, 0] },
];
for (const { title, earlier, later } of orderedPlaces) {
    test(`${title} is later`, t => {
        const [before, after] = [placeOf(...earlier), placeOf(...later)];
        t.true(isLater(after, before));
        t.false(isLater(before, after));
        t.false(isLater(after, after));
        t.is(laterOf(before, after), after);
        t.deepEqual([eraOf(after), revisionOf(after)], later);
        t.true(Number.isSafeInteger(after));
    });
}

test("a store without eras has places that equal its revisions", t => {
    t.is(placeOf(0, 123_456), 123_456);
    t.is(startOfEra(0), 0);
    t.true(isLater(0, undefined));
});

const unknownPlaces: Array<[number, number]> = [[-1, 0], [0.5, 0], [maxEra + 1, 0], [1, -1], [1, 2 ** 40], [
    Number.NaN,
    1,
]];
for (const [era, revision] of unknownPlaces) {
    test(`era ${era} with revision ${revision} is no place`, t => {
        t.throws(() => placeOf(era, revision), { instanceOf: RangeError });
    });
}
