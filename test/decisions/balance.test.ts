import test from "ava";
import { createRandom } from "../../bench/random.ts";
import {
    createLoadEstimate,
    defaultBalanceOptions,
    imbalanceOf,
    lowerWeightsByQueue,
    placeUnownedItems,
    rebalance,
    widenDeviationsByNoise,
} from "../../src/decisions/balance.ts";

const imbalanceCases = [
    { title: "even", owners: [0, 1], loads: [1, 1], weights: [1, 1], imbalance: 1 },
    { title: "all on one of two", owners: [0, 0], loads: [1, 1], weights: [1, 1], imbalance: 2 },
    { title: "by weight", owners: [0, 0, 1], loads: [1, 1, 1], weights: [2, 1], imbalance: 1 },
    { title: "no load", owners: [0, 1], loads: [0, 0], weights: [1, 1], imbalance: 1 },
    { title: "a target that carries nothing is no part of it", owners: [0], loads: [1], weights: [1, 0], imbalance: 1 },
];

for (const { title, imbalance, ...placement } of imbalanceCases) {
    test(`imbalance: ${title}`, t => t.is(imbalanceOf(placement), imbalance));
}

test("orphans go to the target that they load least", t => {
    t.deepEqual(placeUnownedItems({ owners: [0, -1, -1, -1], loads: [4, 3, 1, 1], weights: [1, 1, 0] }), [0, 1, 1, 0]);
});

test("noise moves nothing", t => {
    const random = createRandom(7);
    const owners = [...Array(1_024).keys()].map(slot => slot % 12);
    for (let round = 0; round < 50; round += 1) {
        const loads = owners.map(() => 0.8 + 0.4 * random.uniform());
        t.deepEqual(rebalance({ owners, loads, weights: Array(12).fill(1) }, defaultBalanceOptions), owners);
    }
});

const noiseCases = [
    { title: "nothing counted", rate: 0, start: 0.1, end: 0.04 },
    { title: "a high rate", rate: 1_000, start: 0.1, end: 0.04 },
    { title: "a low rate", rate: 10 / 3, start: 0.3, end: 0.1 },
];

for (const { title, rate, start, end } of noiseCases) {
    test(`bounds by noise: ${title}`, t => {
        const { startDeviation, endDeviation } = widenDeviationsByNoise(defaultBalanceOptions, rate);
        t.deepEqual([startDeviation, endDeviation].map(value => Number(value.toFixed(6))), [start, end]);
    });
}

const skewCases = [
    {
        title: "one target carries twice its share",
        hot: (slot: number, owner: number) => owner === 3 ? 2 : Math.min(1, slot + 1),
        limit: 1.1,
    },
    { title: "one heavy slot", hot: (slot: number) => slot === 5 ? 60 : 1, limit: 1.1 },
];

for (const { title, hot, limit } of skewCases) {
    test(`evening out: ${title}`, t => {
        const owners = [...Array(1_024).keys()].map(slot => slot % 12);
        const loads = owners.map((owner, slot) => hot(slot, owner));
        const weights = Array<number>(12).fill(1);
        const after = rebalance({ owners, loads, weights }, defaultBalanceOptions);
        t.true(imbalanceOf({ owners: after, loads, weights }) <= limit);
        t.deepEqual(rebalance({ owners: after, loads, weights }, defaultBalanceOptions), after);
    });
}

test("the estimate smooths what hosts count and forgets old load", t => {
    const estimate = createLoadEstimate(4);
    estimate.add([[0, 100]]);
    estimate.add([[0, 100], [1, 50], [9, 1]]);
    estimate.endRound(1_000);
    t.deepEqual([...estimate.rates()], [200, 50, 0, 0]);
    t.is(estimate.total(), 250);
    for (let round = 0; round < 60; round += 1) {
        estimate.endRound(1_000);
    }
    t.true(estimate.rates()[0] < 5);
});

const weightCases = [
    { title: "no reports", weights: [1, 2], queues: [undefined, undefined], corrected: [1, 2] },
    { title: "equal queues", weights: [1, 2], queues: [3, 3], corrected: [1, 2] },
    { title: "a longer queue lowers the weight", weights: [1, 1], queues: [0, 1], corrected: [1, 1 / 1.5] },
    { title: "never below half", weights: [1, 1], queues: [0, 100], corrected: [1, 0.5] },
];

for (const { title, weights, queues, corrected } of weightCases) {
    test(`weights: ${title}`, t => t.deepEqual(lowerWeightsByQueue(weights, queues), corrected));
}
