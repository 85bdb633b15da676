/**
 * Answers that do not belong to the request: a target that repeats an earlier refusal on a kept connection must not make
 * a request that runs count as one that did not.
 */
import test from "ava";
import type { IncomingHttpHeaders } from "node:http";
import { targetProtocol } from "../../../platform/protocols.ts";
import { createPace } from "../../../src/decisions/pace.ts";
import { createTargetLoad } from "../../../src/decisions/targetload.ts";
import type { AnswerReceiver } from "../../../src/links/exchange.ts";
import {
    type AttemptResult,
    sendOnce,
    type WithdrawalReason,
    withdrawalReasons,
} from "../../../src/machines/resident/attempt.ts";
import type { TargetState } from "../../../src/machines/resident/targetstates.ts";
import { createVirtualClock } from "../fakes/clock.ts";

const target = {
    name: "a",
    incarnation: "1",
    pool: "stock",
    address: "10.0.0.1:1",
    zone: "z",
    slots: 2,
    leaving: false,
    warmupMilliseconds: 0,
};

/** Sends request r2 and lets the target answer with this head and no body. */
const answerWith = async (
    statusCode: number,
    headers: IncomingHttpHeaders,
    failToSend = false,
    withdrawnFor?: WithdrawalReason,
): Promise<AttemptResult> => {
    const clock = createVirtualClock();
    const targetState: TargetState = {
        target,
        load: createTargetLoad(2),
        link: {
            applyLimit: () => undefined,
            close: () => undefined,
            send: (...[, receiver]) => {
                if (failToSend) {
                    throw new TypeError("Invalid URL");
                }
                if (!receiver.mayStart()) {
                    receiver.onFailure("unsent", new Error("withdrawn"));
                }
                void Promise.resolve().then(() => reply(receiver));
                return { resume: () => undefined, abort: () => receiver.onFailure("answering", new Error("aborted")) };
            },
        },
        failureShare: 0,
        blockedUntil: 0,
        pausedUntil: 0,
        limitedUntil: 0,
        answeredSentAt: -Infinity,
        connectFailures: 0,
        warmupEndsAt: 0,
        restartSuspectedAt: -Infinity,
        pace: createPace({ slots: 2, typicalMilliseconds: () => undefined }),
        gone: false,
    };
    let isAborted = false;
    const reply = (receiver: AnswerReceiver): void => {
        receiver.onHead(statusCode, headers);
        if (!isAborted) {
            receiver.onEnd();
        }
    };
    const result = sendOnce({
        request: {
            id: "r2",
            method: "POST",
            host: "stock.example",
            path: "/",
            headers: {},
            body: undefined,
            key: undefined,
            receivedAt: clock.now(),
            deadlineAt: clock.now() + 1_000,
            callerAddress: "10.9.0.1",
            hangUp: { happened: false, listener: undefined },
        },
        targetState,
        protocol: targetProtocol,
        endAt: clock.now() + 1_000,
        withdrawnFor: () => withdrawnFor,
        abortOnHangUp: false,
        onUnframedEnd: () => undefined,
        onNotice: () => undefined,
        registerStop: () => () => undefined,
        clock,
    });
    const settled = await result;
    isAborted = true;
    return settled;
};

const cases = [
    { title: "its own refusal", statusCode: 503, headers: { "not-executed": "1", "request-id": "r2" }, notRun: true },
    { title: "its own wrong target", statusCode: 421, headers: { "request-id": "r2" }, notRun: true },
    {
        title: "a refusal of an earlier request",
        statusCode: 503,
        headers: { "not-executed": "1", "request-id": "r1" },
        notRun: false,
    },
    { title: "a refusal without an id", statusCode: 503, headers: { "not-executed": "1" }, notRun: false },
    { title: "a wrong target without an id", statusCode: 421, headers: {}, notRun: false },
    { title: "an earlier success", statusCode: 200, headers: { "request-id": "r1" }, notRun: false },
    { title: "a success without an id", statusCode: 200, headers: {}, notRun: false },
];

for (const { title, statusCode, headers, notRun } of cases) {
    test(`${title}: ${notRun ? "the request did not run" : "the request may have run"}`, async t => {
        const result = await answerWith(statusCode, headers);
        t.is(result.kind, "failed");
        t.is(result.kind === "failed" && result.notRun, notRun);
    });
}

test("a target to which nothing can be sent, as its address is no address: the request did not run, and no load stays", async t => {
    const result = await answerWith(200, {}, true);
    t.is(result.kind, "failed");
    t.true(result.kind === "failed" && result.notRun && result.reason === "connect-failed");
});

for (const reason of withdrawalReasons) {
    test(`a request that is withdrawn before it is sent ends as ${reason}, not as a failed connect`, async t => {
        const result = await answerWith(200, {}, false, reason);
        t.like(result, { kind: "failed", reason, notRun: true, arrived: false });
    });
}
