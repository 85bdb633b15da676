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
        title: "a question waits for less than the limit",
        record: { unansweredSince: 900, failures: 0, answerMilliseconds: 1 },
        finding: "answering",
    },
    {
        title: "a question waits for longer than the limit",
        record: { unansweredSince: 800, failures: 0, answerMilliseconds: 1 },
        finding: "silent",
    },
    {
        title: "a slow target may take longer",
        record: { unansweredSince: 800, failures: 0, answerMilliseconds: 100 },
        finding: "answering",
    },
    {
        title: "a slow target is silent in the end",
        record: { unansweredSince: 600, failures: 0, answerMilliseconds: 100 },
        finding: "silent",
    },
    {
        title: "one refused connection may be chance",
        record: { unansweredSince: 999, failures: 1, answerMilliseconds: 1 },
        finding: "answering",
    },
    {
        title: "refused connections in a row",
        record: { unansweredSince: 999, failures: 2, answerMilliseconds: 1 },
        finding: "refusing",
    },
];

for (const { title, record, finding } of probeCases) {
    test(`finding: ${title}`, t => t.is(findingOf(record, 1_000, defaultProbeOptions), finding));
}

/** One letter a target: `.` answering, `s` silent, `r` refusing, space for not probed. */
const meanings: Record<string, ProbeFinding> = { ".": "answering", s: "silent", r: "refusing" };

const evidenceOf = (rows: Record<string, string>) =>
    new Map(
        Object.entries(rows).map(([host, letters]) => [
            host,
            new Map(
                [...letters].flatMap((letter, index) =>
                    letter === " " ? [] : [[`t${index}`, meanings[letter]] as const]
                ),
            ),
        ]),
    );

const evidenceCases: Array<{ title: string; rows: Record<string, string>; lost: string[] }> = [
    { title: "all answer", rows: { a: "...", b: "...", c: "..." }, lost: [] },
    { title: "all find it silent", rows: { a: "s..", b: "s..", c: "s.." }, lost: ["t0"] },
    { title: "two of three", rows: { a: "s..", b: "r..", c: "..." }, lost: ["t0"] },
    { title: "one of three", rows: { a: "s..", b: "...", c: "..." }, lost: [] },
    { title: "one of two", rows: { a: "s..", b: "..." }, lost: [] },
    { title: "two of four", rows: { a: "s", b: "s", c: ".", d: "." }, lost: [] },
    { title: "one host's bad network", rows: { a: "ssss", b: "....", c: "...." }, lost: [] },
    {
        title: "one host's bad network beside a host with a chance failure",
        rows: { a: "ssss", b: "s...", c: "...." },
        lost: [],
    },
    { title: "a whole zone of targets", rows: { a: "ss..", b: "ss..", c: "ss.." }, lost: ["t0", "t1"] },
    { title: "the only prober", rows: { a: "s.." }, lost: ["t0"] },
    {
        title: "targets that others do not probe do not speak for a host",
        rows: { a: "s ", b: " s" },
        lost: ["t0", "t1"],
    },
];

for (const { title, rows, lost } of evidenceCases) {
    test(`evidence: ${title}`, t => t.deepEqual(lostTargets(evidenceOf(rows)).sort(), lost));
}

const hostCases: Array<{ title: string; heard: string[]; others: Record<string, string[]>; lost: boolean }> = [
    { title: "heard here", heard: ["b", "x"], others: { b: [] }, lost: false },
    { title: "heard by no one", heard: ["b", "c"], others: { b: ["c"], c: ["b"] }, lost: true },
    { title: "heard by most others", heard: ["b", "c"], others: { b: ["x"], c: ["x"] }, lost: false },
    { title: "heard by one of two", heard: ["b", "c"], others: { b: ["x"], c: ["b"] }, lost: true },
    { title: "this host hears no one", heard: [], others: {}, lost: false },
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
    { title: "never longer than the longest", losses: Array(20).fill(0), now: 60_000, held: false },
    { title: "a long quiet time forgets", losses: [0, 2_000, 400_000], now: 401_000, held: false },
];

for (const { title, losses, now, held } of holdCases) {
    test(`hold: ${title}`, t => {
        const holdDown = createHoldDown(defaultHoldDownOptions);
        losses.forEach(at => holdDown.noteLoss("t0", at));
        t.is(holdDown.isHeld("t0", now), held);
    });
}

test("hold: the delay begins when the target answers again", t => {
    const holdDown = createHoldDown(defaultHoldDownOptions);
    holdDown.noteLoss("t0", 0);
    holdDown.noteStillLost("t0", 10_000);
    t.true(holdDown.isHeld("t0", 10_999));
    t.false(holdDown.isHeld("t0", 11_000));
});
