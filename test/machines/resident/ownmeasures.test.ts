/**
 * What attempts tell about the pace of a target. Guards against a limit at a target that is only overloaded, or that is
 * blamed for what callers or this host did.
 */
import test from "ava";
import type { Reason } from "../../../src/contracts/outcome.ts";
import type { AttemptResult } from "../../../src/machines/resident/attempt.ts";
import { measureOf } from "../../../src/machines/resident/ownmeasures.ts";

const failed = (reason: Reason, ofHost = false): AttemptResult => ({
    kind: "failed",
    reason,
    detail: "",
    notRun: false,
    arrived: true,
    ofHost,
});
const answered = (statusCode: number, workMilliseconds: number | undefined): AttemptResult => ({
    kind: "answered",
    answer: { kind: "answer", statusCode, headers: {}, body: undefined },
    workMilliseconds,
});

const failure = { answered: 0, serviceMilliseconds: 0, failed: 1 };
const cases: Array<{ attempt: AttemptResult; unlimited: unknown; limited: unknown }> = [
    {
        attempt: answered(200, 70),
        unlimited: { answered: 1, serviceMilliseconds: 70, failed: 0 },
        limited: { answered: 1, serviceMilliseconds: 70, failed: 0 },
    },
    { attempt: answered(200, undefined), unlimited: undefined, limited: undefined },
    { attempt: answered(500, 5), unlimited: failure, limited: failure },
    { attempt: failed("connection-lost"), unlimited: failure, limited: failure },
    { attempt: failed("connection-lost", true), unlimited: undefined, limited: undefined },
    { attempt: failed("timed-out"), unlimited: undefined, limited: failure },
    { attempt: failed("target-shed"), unlimited: undefined, limited: failure },
    { attempt: failed("target-limited"), unlimited: undefined, limited: undefined },
    { attempt: failed("caller-gone"), unlimited: undefined, limited: undefined },
    { attempt: failed("fence-refused"), unlimited: undefined, limited: undefined },
];

test("attempts tell of their target what it did itself, and of overload only where it has a limit", t => {
    t.deepEqual(
        cases.map(({ attempt }) => [measureOf(attempt, false), measureOf(attempt, true)]),
        cases.map(({ unlimited, limited }) => [unlimited, limited]),
    );
});
