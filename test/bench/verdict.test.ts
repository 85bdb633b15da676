import test from "ava";
import { checkPool, imbalanceOf, keepsGuarantees, type PoolVerdict, type SendRecord } from "../../bench/verdict.ts";
import type { OwnedSpan } from "../../stand-ins/grants.ts";
import type { Execution } from "../../stand-ins/work.ts";

const slotHash = (key: string): number => key.length;

const span = (part: Partial<OwnedSpan>): OwnedSpan => ({
    pool: "orders",
    revision: 1,
    slots: [1],
    keys: [],
    exceptKeys: [],
    from: 0,
    until: 100,
    ...part,
});

const run = (part: Partial<Execution>): Execution => ({
    requestId: "request-1",
    idempotencyKey: "id-1",
    pool: "orders",
    key: "k",
    revision: 1,
    startedAt: 10,
    finishedAt: 12,
    outcome: "ran",
    incarnation: "first",
    ...part,
});

const send = (part: Partial<SendRecord>): SendRecord => ({
    key: "k",
    id: "id-1",
    requestId: "request-1",
    startedAt: 9,
    endedAt: 13,
    outcome: "answered",
    reason: "",
    wrong: false,
    partial: false,
    ...part,
});

type TargetFixture = { spans?: OwnedSpan[]; executions?: Execution[] };
type CheckCase = {
    title: string;
    first?: TargetFixture;
    second?: TargetFixture;
    sends?: SendRecord[];
    expected: Partial<PoolVerdict>;
};

const owning: TargetFixture = { spans: [span({})], executions: [run({})] };

const violations: CheckCase[] = [
    {
        title: "two owners of a slot at once",
        first: owning,
        second: { spans: [span({ from: 99, until: 200 })] },
        expected: { ownersAtOnce: 2 },
    },
    {
        title: "two owners of a hot key at once",
        first: owning,
        second: { spans: [span({ slots: [], keys: ["k"], from: 50 })] },
        expected: { ownersAtOnce: 1 },
    },
    {
        title: "a run at the wrong target",
        first: { spans: [span({})] },
        second: { executions: [run({})] },
        expected: { outsideOwnership: 1 },
    },
    {
        title: "a run after the grant lapsed",
        first: { spans: [span({ until: 10 })], executions: [run({})] },
        expected: { outsideOwnership: 1 },
    },
    {
        title: "a request that ran twice",
        first: { ...owning, executions: [run({}), run({ requestId: "request-2", startedAt: 20 })] },
        expected: { doubled: 1 },
    },
    {
        title: "a second run after a run that a crash cut off",
        first: { ...owning, executions: [run({ requestId: "request-0", outcome: "lost" }), run({})] },
        expected: { doubled: 1 },
    },
    { title: "an answer without a run", first: { spans: [span({})] }, expected: { lost: 1 } },
    {
        title: "an answer whose run was rolled back",
        first: { ...owning, executions: [run({ outcome: "rolled-back" })] },
        expected: { lost: 1 },
    },
    {
        title: "a run after a refusal as not-run",
        first: owning,
        sends: [send({ outcome: "not-run", reason: "queue-full" })],
        expected: { ranAfterNotRun: 1, notRun: 1 },
    },
    { title: "an answer to another request", first: owning, sends: [send({ wrong: true })], expected: { wrong: 1 } },
    { title: "a partial answer", first: owning, sends: [send({ partial: true })], expected: { partial: 1 } },
];

const validRuns: CheckCase[] = [
    { title: "a whole answer", first: owning, expected: { answered: 1, requests: 1, longestUnservedMilliseconds: 4 } },
    {
        title: "a move without overlap",
        first: { ...owning, spans: [span({ until: 50 })] },
        second: { spans: [span({ from: 60, until: 90 })] },
        expected: { slotsMoved: 1, keysMoved: 1, longestUnownedMilliseconds: 10 },
    },
    {
        title: "a hot key that moved apart from its slot",
        first: { ...owning, spans: [span({ until: 50 }), span({ exceptKeys: ["k"], from: 50 })] },
        second: { spans: [span({ slots: [], keys: ["k"], from: 50 })] },
        expected: { slotsMoved: 0, keysMoved: 1 },
    },
    {
        title: "a refusal and a resend",
        first: owning,
        sends: [
            send({ requestId: "request-0", outcome: "not-run", reason: "no-owner", startedAt: 2, endedAt: 3 }),
            send({}),
        ],
        expected: { answered: 1, notRun: 1, requests: 1, longestUnservedMilliseconds: 11 },
    },
    {
        title: "a rolled back run and a resend",
        first: { ...owning, executions: [run({ requestId: "request-0", outcome: "rolled-back" }), run({})] },
        sends: [send({ requestId: "request-0", outcome: "not-run", reason: "fence-refused" }), send({})],
        expected: { answered: 1, doubled: 0 },
    },
    {
        title: "no answer until the end",
        first: { spans: [span({})] },
        sends: [send({ outcome: "unknown", reason: "timed-out" })],
        expected: { unknown: 1, longestUnservedMilliseconds: 91 },
    },
];

const check = ({ first = {}, second = {}, sends = [send({})] }: CheckCase): PoolVerdict =>
    checkPool({
        pool: "orders",
        slotCount: 8,
        slotHash,
        byKey: true,
        once: true,
        targets: [first, second].map(({ spans = [], executions = [] }, index) => ({
            name: `target-${index + 1}`,
            speed: 1,
            spans,
            executions,
        })),
        sends,
        endedAt: 100,
    });

for (const { isValid, cases } of [{ isValid: false, cases: violations }, { isValid: true, cases: validRuns }]) {
    for (const entry of cases) {
        test(`${isValid ? "guarantees hold" : "violation"}: ${entry.title}`, t => {
            const verdict = check(entry);
            t.like(verdict, entry.expected);
            t.is(keepsGuarantees(verdict), isValid);
            t.is(verdict.findings.length > 0 || verdict.wrong + verdict.partial > 0, !isValid);
        });
    }
}

const imbalances = [
    { title: "even load", loads: [{ load: 5, speed: 1 }, { load: 5, speed: 1 }], expected: 1 },
    { title: "one target has all load", loads: [{ load: 10, speed: 1 }, { load: 0, speed: 1 }], expected: 2 },
    { title: "load in proportion to speed", loads: [{ load: 20, speed: 2 }, { load: 10, speed: 1 }], expected: 1 },
    { title: "no load", loads: [{ load: 0, speed: 1 }], expected: 1 },
];

for (const { title, loads, expected } of imbalances) {
    test(`imbalance: ${title}`, t => {
        t.is(imbalanceOf(loads), expected);
    });
}
