/**
 * The pace of a target that starts or recovers. Guards against a target that is overloaded right after its start, one
 * that is left idle since nothing is measured of it, and a pool that is starved since all its targets come back at once.
 */
import test from "ava";
import { createPace, limitedShare, ownerSlots, usableSlots } from "../../src/decisions/pace.ts";
import { createPaceShares } from "../../src/decisions/paceshares.ts";
import type { TargetMeasure } from "../../src/decisions/targetmeasures.ts";

const typical = 100;
const slots = 8;

const answers = (answered: number, milliseconds = typical): TargetMeasure => ({
    answered,
    serviceMilliseconds: answered * milliseconds,
    failed: 0,
});
const failures = (failed: number): TargetMeasure => ({ answered: 0, serviceMilliseconds: 0, failed });

type Step = { at: number; start?: true; measure?: TargetMeasure; concurrency: number };

const start = (at = 0): Step => ({ at, start: true, concurrency: 1 });

const cases: Array<{ title: string; steps: Step[] }> = [
    {
        title: "has no limit before it starts, also after single failures",
        steps: [
            { at: 0, concurrency: Infinity },
            { at: 10, measure: failures(1), concurrency: Infinity },
            { at: 20, measure: answers(5), concurrency: Infinity },
            { at: 30, measure: failures(1), concurrency: Infinity },
        ],
    },
    {
        title: "doubles with each round of answers, up to no limit",
        steps: [
            start(),
            { at: 100, measure: answers(1), concurrency: 2 },
            { at: 200, measure: answers(2), concurrency: 4 },
            { at: 300, measure: answers(4), concurrency: 8 },
            { at: 400, measure: answers(1), concurrency: Infinity },
        ],
    },
    {
        title: "doubles each second without a measure",
        steps: [
            start(),
            { at: 999, concurrency: 1 },
            { at: 1_000, concurrency: 2 },
            { at: 2_000, concurrency: 4 },
            { at: 3_000, concurrency: Infinity },
        ],
    },
    {
        title: "halves after failures, once for those that were sent together, and then grows by one a round",
        steps: [
            start(),
            { at: 100, measure: answers(5), concurrency: 6 },
            { at: 200, measure: failures(1), concurrency: 3 },
            { at: 250, measure: failures(2), concurrency: 3 },
            { at: 300, measure: answers(3), concurrency: 4 },
            { at: 400, measure: answers(4), concurrency: 5 },
            { at: 600, measure: failures(1), concurrency: 2.5 },
        ],
    },
    {
        title: "falls where a target turns slow, also shortly after its limit was lifted",
        steps: [
            start(),
            { at: 100, measure: answers(8), concurrency: Infinity },
            { at: 500, measure: answers(20, 400), concurrency: 4 },
            { at: 900, measure: answers(20, 400), concurrency: 2 },
            { at: 1_300, measure: answers(20, 400), concurrency: 1 },
        ],
    },
    {
        title: "grows with time alone at a target that is always slower than its pool",
        steps: [
            start(),
            { at: 500, measure: answers(5, 300), concurrency: 1 },
            { at: 1_000, measure: answers(5, 300), concurrency: 2 },
            { at: 3_000, measure: answers(5, 300), concurrency: Infinity },
        ],
    },
    {
        title: "gets a limit when most requests fail",
        steps: [
            { at: 0, measure: answers(50), concurrency: Infinity },
            { at: 100, measure: failures(2), concurrency: Infinity },
            { at: 200, measure: failures(1), concurrency: 4 },
            { at: 600, measure: failures(1), concurrency: 2 },
        ],
    },
    {
        title: "begins anew when the target starts again",
        steps: [
            start(),
            { at: 100, measure: answers(5), concurrency: 6 },
            start(150),
            { at: 200, measure: answers(1), concurrency: 2 },
        ],
    },
];

for (const { title, steps } of cases) {
    test(`the pace ${title}`, t => {
        const pace = createPace({ slots, typicalMilliseconds: () => typical });
        for (const { at, start: starts, measure, concurrency } of steps) {
            if (starts === true) {
                pace.start(at);
            }
            if (measure !== undefined) {
                pace.record(measure, at);
            }
            t.true(
                Math.abs(pace.concurrency(at) - concurrency) < 1e-9 || pace.concurrency(at) === concurrency,
                `${at}`,
            );
        }
    });
}

test("a target with one slot has a limit until it has answered, or for a second", t => {
    const pace = createPace({ slots: 1, typicalMilliseconds: () => undefined });
    pace.start(0);
    t.deepEqual([0, 999, 1_000].map(pace.concurrency), [1, 1, Infinity]);
    pace.start(5_000);
    pace.record(answers(1), 5_100);
    t.is(pace.concurrency(5_100), Infinity);
});

for (const count of [1, 10, 264]) {
    test(`the limits of ${count} targets leave 0.61 of the slots, and all when all targets are limited`, t => {
        for (let low = 0; low <= count; low += 1) {
            const targets = Array.from(
                { length: count },
                (...[, index]) => ({ slots, concurrency: index < low ? 1 : Infinity }),
            );
            const share = limitedShare(targets);
            const usable = targets.reduce((sum, target) => sum + usableSlots(target, share), 0) / (count * slots);
            t.true(usable >= (low === count ? 1 : 0.61), `${usable} with ${low} limited`);
        }
    });
}

test("a target that joins or comes back gets a quarter, half after 3 s and all after 6 s; it gets nothing while it is out", t => {
    const shares = createPaceShares();
    t.deepEqual([shares.share("old", false, 0), shares.share("out", true, 0)], [1, 0]);
    const times = [1_000, 3_999, 4_000, 6_999, 7_000, 60_000];
    t.deepEqual(times.map(now => shares.share("new", false, now)), [0.25, 0.25, 0.5, 0.5, 1, 1]);
    t.deepEqual(times.map(now => shares.share("out", false, now)), [0.25, 0.25, 0.5, 0.5, 1, 1]);
    t.is(shares.share("old", false, 60_000), 1);
    t.deepEqual([61_000, 70_000].map(now => shares.share("new", true, now)), [0, 0]);
    t.deepEqual([71_000, 74_000, 77_000].map(now => shares.share("new", false, now)), [0.25, 0.5, 1]);
});

const owners = [
    { title: "that failed counts with all its slots", slots: 4, usable: 1, isWarmingUp: false, expected: 4 },
    { title: "that warms up counts with half of them at least", slots: 4, usable: 1, isWarmingUp: true, expected: 2 },
    { title: "that warms up counts with those of its pace", slots: 4, usable: 3, isWarmingUp: true, expected: 3 },
    { title: "of one slot that warms up counts with that", slots: 1, usable: 1, isWarmingUp: true, expected: 1 },
];

for (const { title, slots, usable, isWarmingUp, expected } of owners) {
    test(`the owner of a key ${title}, since nobody else can take its requests`, t => {
        t.is(ownerSlots(slots, usable, isWarmingUp), expected);
    });
}
