/**
 * Sending: one request to one target, once. Says with certainty what became of it, and when the exchange is over.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Clock } from "../contracts/clock.ts";
import type { Reason } from "../contracts/outcome.ts";
import { targetAnswerHeaders, targetRequestHeaders } from "../contracts/targetprotocol.ts";
import { reasonOfFailure, reasonOfRefusal, type StopCause, stopCauses } from "../decisions/classify.ts";
import type { AnswerStream, CallerAnswer, CallerRequest } from "../links/callers.ts";
import { type SendStage, sendStages, type TargetExchange } from "../links/exchange.ts";
import { answerHeadersToPass, hasKnownEnd, requestHeadersToPass } from "../links/headers.ts";
import { createBodyCollector } from "./bodycollector.ts";
import { recordAnswer, recordClockReading, recordFailure, type TargetView } from "./target.ts";

export type OutgoingRequest = {
    request: CallerRequest;
    pool: string;
    view: TargetView;
    slot: number;
    revision: number;
    /** 1 for the first attempt. */
    attempt: number;
    /** Whether the host may still send under this revision; asked in the same turn as the write. */
    mayStart: () => boolean;
    /** Whether the request may be stopped at the target when the caller hangs up. */
    cancellable: boolean;
};

export type AnsweredAttempt = { kind: "answered"; answer: CallerAnswer & { kind: "answer" } };

export type FailedAttempt = {
    kind: "failed";
    reason: Reason;
    detail: string;
    /** Whether the request may have been written to the target. */
    written: boolean;
    /** For how long the target wants no new work. */
    backOffMilliseconds: number;
    /** Incarnation of the target, as far as it was known, when the request was sent. */
    incarnation: string | undefined;
};

export type Attempt = AnsweredAttempt | FailedAttempt;

/** What an exchange told of its target. */
export type ExchangeSample = {
    /** Time from the sending to the head of an answer that ran; undefined when there was none. */
    latencyMilliseconds: number | undefined;
    /** The target's own report of what runs and waits there. */
    load: number | undefined;
};

export type SenderOptions = {
    clock: Clock;
    /** Called when an exchange is over, its body included. */
    onFinished: (view: TargetView, sample: ExchangeSample) => void;
};

export type SendHandle = {
    result: Promise<Attempt>;
    /** Gives the exchange up; the result says what is certain. */
    stop: (cause: StopCause) => void;
};

export type Sender = { send: (sending: OutgoingRequest) => SendHandle };

const maxHeldAnswerBytes = 65_536;

const headersFor = (sending: OutgoingRequest, leftMilliseconds: number): string[] => {
    const { request } = sending;
    const headers = requestHeadersToPass(request.headers);
    headers.push(targetRequestHeaders.requestId, request.id);
    headers.push(targetRequestHeaders.pool, sending.pool);
    headers.push(targetRequestHeaders.revision, String(sending.revision));
    headers.push(targetRequestHeaders.slot, String(sending.slot));
    headers.push(targetRequestHeaders.deadline, String(leftMilliseconds));
    headers.push(targetRequestHeaders.attempt, String(sending.attempt));
    if (request.key !== undefined) {
        headers.push(targetRequestHeaders.key, request.key);
    }
    if (request.idempotencyKey !== undefined) {
        headers.push(targetRequestHeaders.idempotencyKey, request.idempotencyKey);
    }
    return headers;
};

const textOf = (value: string | string[] | undefined): string => typeof value === "string" ? value : "";

/** Number of a header that may be missing or wrong; undefined unless it is a number from 0. */
const numberOf = (value: string | string[] | undefined): number | undefined => {
    const number = typeof value === "string" && value !== "" ? Number(value) : NaN;
    return Number.isFinite(number) && number >= 0 ? number : undefined;
};

const noteHead = (view: TargetView, headers: IncomingHttpHeaders, now: number): void => {
    const incarnation = textOf(headers[targetAnswerHeaders.incarnation]);
    const reading = numberOf(headers[targetAnswerHeaders.clock]);
    recordAnswer(view, now);
    if (incarnation !== "" && reading !== undefined) {
        recordClockReading(view, incarnation, reading);
    }
};

const startSending = (
    sending: OutgoingRequest,
    options: SenderOptions,
    resolve: (attempt: Attempt) => void,
): (cause: StopCause) => void => {
    const { clock } = options;
    const { request, view } = sending;
    const { incarnation } = view;
    const target = view.target.name;
    const startedAt = clock.now();
    const leftMilliseconds = Math.max(1, Math.floor(request.deadlineAt - startedAt));
    const sample: ExchangeSample = { latencyMilliseconds: undefined, load: undefined };
    let stopped: StopCause | undefined;
    let concluded = false;
    let statusCode = 0;
    let headersToPass: Record<string, string | string[]> = {};

    const fail = (reason: Reason, detail: string, written: boolean, backOffMilliseconds = 0): void => {
        concluded = true;
        resolve({ kind: "failed", reason, detail, written, backOffMilliseconds, incarnation });
    };

    const giveBody = (body: Buffer | undefined | AnswerStream): void => {
        if (!concluded) {
            concluded = true;
            resolve({ kind: "answered", answer: { kind: "answer", statusCode, headers: headersToPass, body } });
        }
    };

    const stop = (cause: StopCause): void => {
        stopped ??= cause;
        exchange.abort();
    };

    const collector = createBodyCollector({
        maxHeldBytes: maxHeldAnswerBytes,
        resume: () => exchange.resume(),
        abort: () => stop(stopCauses.hangUp),
        onBody: giveBody,
    });

    const finish = (): void => {
        cancelTimer();
        request.hangUp.listener = undefined;
        view.outstanding -= 1;
        options.onFinished(view, sample);
    };

    const drop = (reason: Reason, detail: string): void => {
        fail(reason, detail, true);
        exchange.abort();
    };

    const onHead = (code: number, headers: IncomingHttpHeaders): void => {
        noteHead(view, headers, clock.now());
        if (headers[targetAnswerHeaders.requestId] !== request.id) {
            drop("answer-mismatched", `Target "${target}" answered another request.`);
            return;
        }
        if (headers[targetAnswerHeaders.outcome] === "not-run") {
            const refusal = textOf(headers[targetAnswerHeaders.refusal]);
            const backOff = numberOf(headers[targetAnswerHeaders.backOff]) ?? 0;
            fail(reasonOfRefusal(refusal), `Target "${target}" did not run it: "${refusal}".`, true, backOff);
            return;
        }
        if (!hasKnownEnd(request.method, code, headers)) {
            drop("answer-malformed", `The answer of target "${target}" does not say where it ends.`);
            return;
        }
        sample.latencyMilliseconds = clock.now() - startedAt;
        sample.load = numberOf(headers[targetAnswerHeaders.load]);
        statusCode = code;
        headersToPass = answerHeadersToPass(headers);
    };

    const onFailure = (stage: SendStage, error: Error): void => {
        finish();
        const written = stage !== sendStages.unsent;
        const { code } = error as { code?: string };
        const reason = reasonOfFailure({ stage, code, name: error.name, stopped });
        if (stopped === stopCauses.deadline || reason === "connect-failed" || reason === "connection-lost") {
            recordFailure(view, clock.now());
        }
        if (written && stopped !== undefined && sending.cancellable) {
            void view.link.cancel(request.id);
        }
        if (!collector.onFailure() && !concluded) {
            fail(reason, `Target "${target}" gave no answer: ${error.message}`, written);
        }
    };

    const cancelTimer = clock.after(leftMilliseconds, () => stop(stopCauses.deadline));
    request.hangUp.listener = () => {
        if (sending.cancellable || collector.isStreaming()) {
            stop(stopCauses.hangUp);
        }
    };
    view.outstanding += 1;
    const exchange: TargetExchange = view.link.send({
        method: request.method,
        path: request.path,
        headers: headersFor(sending, leftMilliseconds),
        body: request.body,
    }, {
        mayStart: () => {
            if (stopped === undefined && !sending.mayStart()) {
                stopped = stopCauses.notCurrent;
            }
            return stopped === undefined;
        },
        onHead,
        onBytes: bytes => concluded && !collector.isStreaming() ? true : collector.onBytes(bytes),
        onEnd: () => {
            finish();
            collector.onEnd();
        },
        onFailure,
    });
    if (stopped !== undefined) {
        exchange.abort();
    }
    return stop;
};

/** Creates the sender of one host. */
export const createSender = (options: SenderOptions): Sender => ({
    send: sending => {
        let stop: (cause: StopCause) => void = () => undefined;
        const result = new Promise<Attempt>(resolve => {
            stop = startSending(sending, options, resolve);
        });
        return { result, stop };
    },
});
