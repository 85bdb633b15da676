/**
 * Names of a pool's objects in each era, and what targets release before keys are granted in a new one.
 */
import test from "ava";
import { maxKey, type Ownership } from "../../src/contracts/ownership.ts";
import { maxEra, startOfEra } from "../../src/contracts/storehistory.ts";
import {
    clearingFence,
    isClearingOver,
    newestOwnership,
    spansWithout,
    withFencesOfEra,
} from "../../src/decisions/eraclearing.ts";
import { firstEra, poolObjectName, readPoolObjectName } from "../../src/decisions/poolobjectnames.ts";
import { renewAllFences } from "../../src/decisions/rangemoves.ts";

const names = [
    { pool: "stock", era: 0, name: "stock" },
    { pool: "stock", era: 1, name: "stock" },
    { pool: "stock", era: 2, name: "stock.era2" },
    { pool: "stock", era: 12, name: "stock.era12" },
    { pool: "stock.era", era: 3, name: "stock.era.era3" },
    { pool: "__proto__", era: 0, name: "__proto__" },
];
for (const { pool, era, name } of names) {
    test(`the object of ${pool} in era ${era} is named ${name}, and read so`, t => {
        t.is(poolObjectName(pool, era), name);
        t.deepEqual(readPoolObjectName(name), { pool, era: Math.max(era, firstEra) });
    });
}

const owner = (target: string) => ({ target, incarnation: "1" });
const range = (from: number, to: number, target: string, predecessors: string[] = []) => ({
    from,
    to,
    owner: owner(target),
    fence: 1,
    predecessors: predecessors.map(owner),
});
const ranges = [range(0, 99, "a"), range(100, 199, "b"), range(200, 299, "a", ["c"]), range(400, maxKey, "b")];
const spans = [
    { target: "a", without: [{ from: 100, to: 199 }, { from: 300, to: maxKey }] },
    { target: "b", without: [{ from: 0, to: 99 }, { from: 200, to: 399 }] },
    { target: "c", without: [{ from: 0, to: 199 }, { from: 300, to: maxKey }] },
    { target: "d", without: [{ from: 0, to: maxKey }] },
];
for (const { target, without } of spans) {
    test(`${target} releases all keys that it neither owns nor has owned`, t => {
        t.deepEqual(spansWithout(ranges, target), without);
    });
}

const ownership = (term: number, nextFence: number): Ownership => ({ term, coordinator: "h1/x", nextFence, ranges });
const newest = [
    { title: "a later term", left: ownership(3, 5), right: ownership(2, 9), isLeft: true },
    { title: "a later fence of one term", left: ownership(3, 5), right: ownership(3, 9), isLeft: false },
    { title: "the known one of two alike", left: ownership(3, 5), right: ownership(3, 5), isLeft: true },
    { title: "the only one", left: undefined, right: ownership(1, 1), isLeft: false },
];
for (const { title, left, right, isLeft } of newest) {
    test(`the newest ownership is ${title}`, t => {
        t.is(newestOwnership(left, right), isLeft ? left : right);
    });
}

for (const era of [1, 2, maxEra]) {
    test(`fences of era ${era} are exact, above the clearing's and those of earlier eras`, t => {
        const next = renewAllFences(withFencesOfEra(ownership(1, startOfEra(era) - 1), era));
        const fences = next.ranges.map(({ fence }) => fence);
        t.true(fences.every(fence => Number.isSafeInteger(fence) && fence > clearingFence(era)));
        t.is(new Set(fences).size, fences.length);
        t.deepEqual(JSON.parse(JSON.stringify(fences)), fences);
        t.regex(JSON.stringify(fences), /^\[[\d,]+\]$/);
        t.true(clearingFence(era) > startOfEra(era) - 1);
        const later = withFencesOfEra(ownership(1, startOfEra(era) + 50), era);
        t.is(later.nextFence, startOfEra(era) + 50);
    });
}

const views = [
    { title: "at once", view: { now: 1_000 }, isOver: false },
    { title: "once entries had time to be back and all targets have answered", view: {}, isOver: true },
    { title: "while a target has not answered", view: { pending: 1 }, isOver: false },
    { title: "once former holds are over", view: { now: 12_400, pending: 1 }, isOver: true },
    { title: "without a memory", view: { remembersTargets: false }, isOver: false },
    {
        title: "without a memory, once former holds are over",
        view: { now: 12_400, remembersTargets: false },
        isOver: true,
    },
];
for (const { title, view, isOver } of views) {
    test(`the clearing is ${isOver ? "" : "not "}over ${title}`, t => {
        const whole = { now: 2_000, eraLearnedAt: 0, lapsesAt: 12_400, pending: 0, remembersTargets: true, ...view };
        t.is(isClearingOver(whole), isOver);
    });
}
