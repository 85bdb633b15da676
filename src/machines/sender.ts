/**
 * Sends one request to one target, once. Reports whether the request was answered, certainly did not run or may have
 * run, and separately when the exchange has ended.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Clock } from "../contracts/clock.ts";
import type { Reason } from "../contracts/outcome.ts";
import { targetAnswerHeaders, targetRequestHeaders } from "../contracts/targetprotocol.ts";
import { reasonOfFailure, reasonOfRefusal, type StopCause, stopCauses } from "../decisions/failurereasons.ts";
import type { AnswerStream, CallerAnswer, CallerRequest } from "../links/callers.ts";
import { isMalformedAnswer, type SendStage, sendStages, type TargetExchange } from "../links/exchange.ts";
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
    /**
     * Whether the host may still send under this revision. It is called in the same turn of the event loop as the
     * write, so that nothing changes in between.
     */
    mayStart: () => boolean;
    /** Whether the request may be stopped, here and at the target, when the caller hangs up. */
    cancellable: boolean;
};

export type AnsweredAttempt = { kind: "answered"; answer: CallerAnswer & { kind: "answer" } };

export type FailedAttempt = {
    kind: "failed";
    reason: Reason;
    detail: string;
    /** Whether the request may have been written to the target. */
    written: boolean;
    /** Time for which the target asks for no new requests; 0 when it does not ask. */
    backOffMilliseconds: number;
    /** Incarnation of the target, as far as it was known, when the request was sent. */
    incarnation: string | undefined;
};

export type Attempt = AnsweredAttempt | FailedAttempt;

/** What one exchange shows about the load of its target. */
export type ExchangeSample = {
    /** Time from sending to the head of an answer to a request that ran; undefined when there was none. */
    latencyMilliseconds: number | undefined;
    /** Requests that run or wait at the target, by its own report. */
    load: number | undefined;
};

export type SenderOptions = {
    clock: Clock;
    /** Called when an exchange has ended, including the body of its answer. */
    onFinished: (view: TargetView, sample: ExchangeSample) => void;
};

export type SendHandle = {
    result: Promise<Attempt>;
    /** Aborts the exchange. The result then says whether the request may have run. */
    stop: (cause: StopCause) => void;
};

export type Sender = { send: (outgoing: OutgoingRequest) => SendHandle };

/** Larger answers are streamed to the caller. */
const maxBufferedAnswerBytes = 65_536;

const headersFor = (outgoing: OutgoingRequest, remainingMilliseconds: number): string[] => {
    const { request } = outgoing;
    const headers = requestHeadersToPass(request.headers);
    headers.push(targetRequestHeaders.requestId, request.id);
    headers.push(targetRequestHeaders.pool, outgoing.pool);
    headers.push(targetRequestHeaders.revision, String(outgoing.revision));
    headers.push(targetRequestHeaders.slot, String(outgoing.slot));
    headers.push(targetRequestHeaders.deadline, String(remainingMilliseconds));
    headers.push(targetRequestHeaders.attempt, String(outgoing.attempt));
    if (request.key !== undefined) {
        headers.push(targetRequestHeaders.key, request.key);
    }
    if (request.idempotencyKey !== undefined) {
        headers.push(targetRequestHeaders.idempotencyKey, request.idempotencyKey);
    }
    return headers;
};

const headerText = (value: string | string[] | undefined): string => typeof value === "string" ? value : "";

/** Parses a header as a non-negative number; undefined when it is missing or not such a number. */
const headerNumber = (value: string | string[] | undefined): number | undefined => {
    const number = typeof value === "string" && value !== "" ? Number(value) : NaN;
    return Number.isFinite(number) && number >= 0 ? number : undefined;
};

/** Records what the head of any answer shows about the target. */
const recordHead = (view: TargetView, headers: IncomingHttpHeaders, now: number): void => {
    const incarnation = headerText(headers[targetAnswerHeaders.incarnation]);
    const reading = headerNumber(headers[targetAnswerHeaders.clock]);
    recordAnswer(view, now);
    if (incarnation !== "" && reading !== undefined) {
        recordClockReading(view, incarnation, reading);
    }
};

/** Starts the exchange and returns the function that stops it. */
const startExchange = (
    outgoing: OutgoingRequest,
    options: SenderOptions,
    resolve: (attempt: Attempt) => void,
): (cause: StopCause) => void => {
    const { clock } = options;
    const { request, view } = outgoing;
    const { incarnation } = view;
    const target = view.target.name;
    const startedAt = clock.now();
    const remainingMilliseconds = Math.max(1, Math.floor(request.deadlineAt - startedAt));
    const sample: ExchangeSample = { latencyMilliseconds: undefined, load: undefined };
    let stopCause: StopCause | undefined;
    let resolved = false;
    let statusCode = 0;
    let headersToPass: Record<string, string | string[]> = {};

    const fail = (reason: Reason, detail: string, written: boolean, backOffMilliseconds = 0): void => {
        resolved = true;
        resolve({ kind: "failed", reason, detail, written, backOffMilliseconds, incarnation });
    };

    const onBody = (body: Buffer | undefined | AnswerStream): void => {
        if (!resolved) {
            resolved = true;
            resolve({ kind: "answered", answer: { kind: "answer", statusCode, headers: headersToPass, body } });
        }
    };

    const stop = (cause: StopCause): void => {
        stopCause ??= cause;
        exchange.abort();
    };

    const collector = createBodyCollector({
        maxBufferedBytes: maxBufferedAnswerBytes,
        resume: () => exchange.resume(),
        abort: () => stop(stopCauses.hangUp),
        onBody,
    });

    const finishExchange = (): void => {
        cancelTimer();
        request.hangUp.listener = undefined;
        view.outstanding -= 1;
        options.onFinished(view, sample);
    };

    /** Ends an exchange whose answer must not reach the caller. */
    const rejectAnswer = (reason: Reason, detail: string): void => {
        fail(reason, detail, true);
        exchange.abort();
    };

    const onHead = (code: number, headers: IncomingHttpHeaders): void => {
        recordHead(view, headers, clock.now());
        if (headers[targetAnswerHeaders.requestId] !== request.id) {
            rejectAnswer("answer-mismatched", `Target "${target}" answered another request.`);
            return;
        }
        if (headers[targetAnswerHeaders.outcome] === "not-run") {
            const refusal = headerText(headers[targetAnswerHeaders.refusal]);
            const backOff = headerNumber(headers[targetAnswerHeaders.backOff]) ?? 0;
            fail(reasonOfRefusal(refusal), `Target "${target}" did not run it: "${refusal}".`, true, backOff);
            return;
        }
        if (!hasKnownEnd(request.method, code, headers)) {
            rejectAnswer("answer-malformed", `The answer of target "${target}" does not say where it ends.`);
            return;
        }
        sample.latencyMilliseconds = clock.now() - startedAt;
        sample.load = headerNumber(headers[targetAnswerHeaders.load]);
        statusCode = code;
        headersToPass = answerHeadersToPass(headers);
    };

    const onFailure = (stage: SendStage, error: Error): void => {
        finishExchange();
        const written = stage !== sendStages.unsent;
        const { code } = error as { code?: string };
        const reason = reasonOfFailure({
            stage,
            code,
            isMalformed: isMalformedAnswer(error),
            stopped: stopCause,
        });
        if (stopCause === stopCauses.deadline || reason === "connect-failed" || reason === "connection-lost") {
            recordFailure(view, clock.now());
        }
        if (written && stopCause !== undefined && outgoing.cancellable) {
            void view.link.cancel(request.id);
        }
        const cut = stopCause === stopCauses.deadline ? "answer-timed-out" : "answer-cut-short";
        if (!collector.onFailure(cut) && !resolved) {
            fail(reason, `Target "${target}" gave no answer: ${error.message}`, written);
        }
    };

    const cancelTimer = clock.after(remainingMilliseconds, () => stop(stopCauses.deadline));
    request.hangUp.listener = () => {
        if (outgoing.cancellable || collector.isStreaming()) {
            stop(stopCauses.hangUp);
        }
    };
    view.outstanding += 1;
    const exchange: TargetExchange = view.link.send({
        method: request.method,
        path: request.path,
        headers: headersFor(outgoing, remainingMilliseconds),
        body: request.body,
    }, {
        mayStart: () => {
            if (stopCause === undefined && !outgoing.mayStart()) {
                stopCause = stopCauses.notCurrent;
            }
            return stopCause === undefined;
        },
        onHead,
        onBytes: bytes => resolved && !collector.isStreaming() ? true : collector.onBytes(bytes),
        onEnd: () => {
            finishExchange();
            collector.onEnd();
        },
        onFailure,
    });
    if (stopCause !== undefined) {
        exchange.abort();
    }
    return stop;
};

/** Creates the sender of one host. */
export const createSender = (options: SenderOptions): Sender => ({
    send: outgoing => {
        let stop: (cause: StopCause) => void = () => undefined;
        const result = new Promise<Attempt>(resolve => {
            stop = startExchange(outgoing, options, resolve);
        });
        return { result, stop };
    },
});
