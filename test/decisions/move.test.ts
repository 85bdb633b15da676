import test from "ava";
import type { Assignment, Move } from "../../src/contracts/assignment.ts";
import {
    formerRenewersAfter,
    type MoveEvidence,
    movesAfter,
    releaseTime,
    releaseTimeUnchecked,
} from "../../src/decisions/move.ts";

const timing = { timeToLiveMilliseconds: 400, freshnessMilliseconds: 1_000, longestDeadlineMilliseconds: 5_000 };
const graceful: Move = { since: 8, from: "a", to: "b", slots: [3], keys: ["hot"] };
const forced: Move = { ...graceful, forced: true };
const assignment: Assignment = {
    revision: 8,
    targets: ["a", "b"],
    owners: [0, 0, 1, 1],
    hotKeys: [],
    moves: [forced],
    renewers: { a: ["h1", "h2"], b: ["h2", "h3"] },
    witnesses: ["h1", "h2", "h3"],
    keepers: [],
};

type Case = {
    title: string;
    move?: Move;
    acknowledged?: Record<string, number>;
    answer?: MoveEvidence["targetAnswer"];
    former?: Partial<Assignment>;
    at: number | undefined;
};

const allRenewers = { h1: 200, h2: 300 };
const witnessMajority = { h2: 200, h3: 300 };
const accepted = { askedAt: 2_000, revision: 8, releasing: [] };
const acceptedEarly = { ...accepted, askedAt: 300 };

const cases: Case[] = [
    { title: "nothing known", at: undefined },
    {
        title: "the former owner accepted the move",
        answer: { askedAt: 400, revision: 8, releasing: [] },
        acknowledged: allRenewers,
        at: 300,
    },
    {
        title: "the former owner accepted the move, but a renewer may act on a lower revision",
        answer: accepted,
        at: undefined,
    },
    {
        title: "the former owner was asked before a renewer stopped",
        answer: acceptedEarly,
        acknowledged: allRenewers,
        at: 700,
    },
    {
        title: "the former owner was asked before a renewer stopped in a graceful move",
        move: graceful,
        answer: acceptedEarly,
        acknowledged: allRenewers,
        at: undefined,
    },
    {
        title: "the former owner accepted the move after no host could act on a lower revision",
        answer: accepted,
        acknowledged: witnessMajority,
        at: 1_300,
    },
    {
        title: "the former owner holds a higher revision",
        answer: { ...accepted, revision: 9 },
        acknowledged: allRenewers,
        at: 300,
    },
    {
        title: "the former owner holds a lower revision",
        answer: { ...accepted, revision: 7 },
        acknowledged: allRenewers,
        at: 700,
    },
    {
        title: "the former owner still runs requests on the slot",
        answer: { ...accepted, releasing: [3] },
        acknowledged: allRenewers,
        at: 700,
    },
    {
        title: "the former owner still runs requests on the key",
        answer: { ...accepted, releasingKeys: ["hot"] },
        acknowledged: allRenewers,
        at: 700,
    },
    {
        title: "a new incarnation of the former owner holds no revision",
        answer: { ...accepted, revision: 0 },
        acknowledged: allRenewers,
        at: 700,
    },
    { title: "all renewers acknowledged", acknowledged: allRenewers, at: 700 },
    { title: "renewers acknowledged before the write was known", acknowledged: { h1: 10, h2: 20 }, at: 500 },
    {
        title: "a graceful move waits for the former owner",
        move: graceful,
        acknowledged: { h1: 1, h2: 1 },
        at: undefined,
    },
    { title: "one renewer has not acknowledged", acknowledged: { h1: 200 }, at: undefined },
    { title: "a majority of witnesses acknowledged", acknowledged: witnessMajority, at: 1_700 },
    {
        title: "a former renewer has not acknowledged",
        acknowledged: { h1: 200, h2: 300 },
        former: { formerRenewers: { a: ["h4"] } },
        at: 1_700,
    },
    {
        title: "no majority of the former witnesses acknowledged",
        acknowledged: { h2: 200, h3: 300 },
        former: { formerWitnesses: ["h3", "h4", "h5"] },
        at: undefined,
    },
    {
        title: "a majority of the former witnesses acknowledged later",
        acknowledged: { h2: 200, h3: 300, h4: 600 },
        former: { formerWitnesses: ["h3", "h4", "h5"] },
        at: 2_000,
    },
];

for (const { title, move = forced, acknowledged = {}, answer, former = {}, at } of cases) {
    test(`release: ${title}`, t => {
        const evidence = { knownAt: 100, acknowledgedAt: (host: string) => acknowledged[host], targetAnswer: answer };
        t.is(releaseTime(move, { ...assignment, ...former }, evidence, timing), at);
    });
}

const unchecked: Array<{
    title: string;
    finished: Record<string, number>;
    acknowledged: Record<string, number>;
    at: number | undefined;
}> = [
    { title: "nothing known", finished: {}, acknowledged: {}, at: undefined },
    { title: "all routers have finished", finished: { h1: 200, h2: 300 }, acknowledged: {}, at: 300 },
    { title: "one router has not finished", finished: { h1: 200 }, acknowledged: {}, at: undefined },
    {
        title: "one router can no longer act on a lower revision",
        finished: { h1: 200 },
        acknowledged: { h1: 150, h3: 250 },
        at: 6_250,
    },
];

for (const { title, finished, acknowledged, at } of unchecked) {
    test(`release where targets do not check grants: ${title}`, t => {
        const evidence = {
            knownAt: 100,
            acknowledgedAt: (host: string) => acknowledged[host],
            targetAnswer: undefined,
            routers: ["h1", "h2"],
            finishedAt: (host: string) => finished[host],
        };
        t.is(releaseTimeUnchecked(forced, assignment, evidence, timing), at);
    });
}

test("a former renewer is listed until it has acknowledged the current assignment", t => {
    const next = { a: ["h2", "h3"], b: ["h2", "h3"] };
    const written = formerRenewersAfter(assignment, next, () => false);
    t.deepEqual(written, { a: ["h1"] });
    const later = { ...assignment, renewers: next, formerRenewers: written };
    t.deepEqual(formerRenewersAfter(later, next, () => false), { a: ["h1"] });
    t.deepEqual(formerRenewersAfter(later, next, host => host === "h1"), {});
    t.deepEqual(formerRenewersAfter(later, { ...next, a: ["h1"] }, () => false), { a: ["h2", "h3"] });
});

const current: Assignment = {
    ...assignment,
    owners: [0, 0, 1, 1],
    moves: [{ since: 7, from: "x", to: "a", slots: [1], keys: [] }],
};
const noTargets = new Set<string>();
const moveCases: Array<{
    title: string;
    next: Partial<Assignment>;
    lost?: Set<string>;
    released?: boolean;
    moves: Move[];
}> = [
    { title: "nothing changes", next: {}, moves: current.moves },
    { title: "a released move is dropped", next: {}, released: true, moves: [] },
    {
        title: "slots change their owner",
        next: { owners: [1, 1, 1, 1] },
        moves: [...current.moves, { since: 9, from: "a", to: "b", slots: [0, 1], keys: [] }],
    },
    {
        title: "the owner is lost",
        next: { owners: [1, 0, 1, 1] },
        lost: new Set(["a"]),
        moves: [...current.moves, { since: 9, from: "a", to: "b", slots: [0], keys: [], forced: true }],
    },
    {
        title: "a former owner is lost",
        next: {},
        lost: new Set(["x"]),
        moves: [{ since: 9, from: "x", to: "a", slots: [1], keys: [], forced: true }],
    },
    {
        title: "a key of a moving slot becomes a hot key",
        next: { hotKeys: [{ key: "hot", target: "b" }] },
        moves: [
            ...current.moves,
            { since: 9, from: "a", to: "b", slots: [], keys: ["hot"] },
            { since: 7, from: "x", to: "b", slots: [], keys: ["hot"] },
        ],
    },
];

for (const { title, next, lost = noTargets, released = false, moves } of moveCases) {
    test(`moves: ${title}`, t => {
        const change = { revision: 9, slotOf: () => 1, isReleased: () => released, lost };
        t.deepEqual(movesAfter(current, { ...current, ...next }, change), moves);
    });
}
