import test from "ava";
import {
    createHoldDown,
    defaultHoldDownOptions,
    defaultProbeOptions,
    findingOf,
    isHostLost,
    lostTargets,
    type ProbeFinding,
    type ProbeRecord,
} from "../../src/decisions/detect.ts";

const probeCases: Array<{ title: string; record: ProbeRecord; finding: ProbeFinding }> = [
    {
        title: "all questions answered",
        record: { unansweredSince: undefined, failures: 0, answerMilliseconds: 1 },
        finding: "answering",
    },
    {
        title: "a question unanswered for less than the limit",
        record: { unansweredSince: 900, failures: 0, answerMilliseconds: 1 },
        finding: "answering",
    },
    {
        title: "a question unanswered for longer than the limit",
        record: { unansweredSince: 800, failures: 0, answerMilliseconds: 1 },
        finding: "silent",
    },
    {
        title: "a slow target has more time to answer",
        record: { unansweredSince: 800, failures: 0, answerMilliseconds: 100 },
        finding: "answering",
    },
    {
        title: "a slow target that exceeds its longer limit",
        record: { unansweredSince: 600, failures: 0, answerMilliseconds: 100 },
        finding: "silent",
    },
    {
        title: "a single refused connection does not count",
        record: { unansweredSince: 999, failures: 1, answerMilliseconds: 1 },
        finding: "answering",
    },
    {
        title: "two consecutive refused connections",
        record: { unansweredSince: 999, failures: 2, answerMilliseconds: 1 },
        finding: "refusing",
    },
];

for (const { title, record, finding } of probeCases) {
    test(`finding: ${title}`, t => t.is(findingOf(record, 1_000, defaultProbeOptions), finding));
}

/** One letter per target: `.` answering, `s` silent, `r` refusing, space not probed. */
const findingByLetter: Record<string, ProbeFinding> = { ".": "answering", s: "silent", r: "refusing" };

const evidenceOf = (rows: Record<string, string>) =>
    new Map(
        Object.entries(rows).map(([host, letters]) => [
            host,
            new Map(
                [...letters].flatMap((letter, index) =>
                    letter === " " ? [] : [[`t${index}`, findingByLetter[letter]] as const]
                ),
            ),
        ]),
    );

const evidenceCases: Array<{ title: string; rows: Record<string, string>; lost: string[] }> = [
    { title: "all hosts find all targets answering", rows: { a: "...", b: "...", c: "..." }, lost: [] },
    { title: "all hosts find a target silent", rows: { a: "s..", b: "s..", c: "s.." }, lost: ["t0"] },
    { title: "two of three hosts find a target failing", rows: { a: "s..", b: "r..", c: "..." }, lost: ["t0"] },
    { title: "one of three hosts finds a target failing", rows: { a: "s..", b: "...", c: "..." }, lost: [] },
    { title: "one of two hosts finds a target failing", rows: { a: "s..", b: "..." }, lost: [] },
    { title: "two of four hosts find a target failing", rows: { a: "s", b: "s", c: ".", d: "." }, lost: [] },
    { title: "the network of one host is broken", rows: { a: "ssss", b: "....", c: "...." }, lost: [] },
    {
        title: "the network of one host is broken, and another host finds a single failure",
        rows: { a: "ssss", b: "s...", c: "...." },
        lost: [],
    },
    { title: "a whole zone of targets is lost", rows: { a: "ss..", b: "ss..", c: "ss.." }, lost: ["t0", "t1"] },
    { title: "a single host probes the target", rows: { a: "s.." }, lost: ["t0"] },
    {
        title: "findings on targets that no other host probes are not contradicted",
        rows: { a: "s ", b: " s" },
        lost: ["t0", "t1"],
    },
];

for (const { title, rows, lost } of evidenceCases) {
    test(`evidence: ${title}`, t => t.deepEqual(lostTargets(evidenceOf(rows)).sort(), lost));
}

const hostCases: Array<{ title: string; heard: string[]; others: Record<string, string[]>; lost: boolean }> = [
    { title: "heard by this host", heard: ["b", "x"], others: { b: [] }, lost: false },
    { title: "heard by no host", heard: ["b", "c"], others: { b: ["c"], c: ["b"] }, lost: true },
    { title: "heard by most other hosts", heard: ["b", "c"], others: { b: ["x"], c: ["x"] }, lost: false },
    { title: "heard by one of two other hosts", heard: ["b", "c"], others: { b: ["x"], c: ["b"] }, lost: true },
    { title: "this host hears no other host", heard: [], others: {}, lost: false },
    {
        title: "reports of hosts that are not heard do not count",
        heard: ["b"],
        others: { b: [], c: ["x"] },
        lost: true,
    },
];

for (const { title, heard, others, lost } of hostCases) {
    test(`host: ${title}`, t => {
        const heardByOthers = new Map(Object.entries(others).map(([host, names]) => [host, new Set(names)]));
        t.is(isHostLost("x", new Set(heard), heardByOthers), lost);
    });
}

const holdCases: Array<{ title: string; losses: number[]; now: number; held: boolean }> = [
    { title: "never lost", losses: [], now: 0, held: false },
    { title: "first loss, within a second", losses: [0], now: 999, held: true },
    { title: "first loss, after a second", losses: [0], now: 1_000, held: false },
    { title: "second loss is held twice as long", losses: [0, 2_000], now: 3_999, held: true },
    { title: "third loss is held four times as long", losses: [0, 2_000, 5_000], now: 8_999, held: true },
    { title: "the hold-down never exceeds the maximum", losses: Array(20).fill(0), now: 60_000, held: false },
    { title: "a long time without a loss resets the delay", losses: [0, 2_000, 400_000], now: 401_000, held: false },
];

for (const { title, losses, now, held } of holdCases) {
    test(`hold-down: ${title}`, t => {
        const holdDown = createHoldDown(defaultHoldDownOptions);
        losses.forEach(at => holdDown.noteLoss("t0", at));
        t.is(holdDown.isHeld("t0", now), held);
    });
}

test("hold-down: the delay begins when the target answers again", t => {
    const holdDown = createHoldDown(defaultHoldDownOptions);
    holdDown.noteLoss("t0", 0);
    holdDown.noteStillLost("t0", 10_000);
    t.true(holdDown.isHeld("t0", 10_999));
    t.false(holdDown.isHeld("t0", 11_000));
});
