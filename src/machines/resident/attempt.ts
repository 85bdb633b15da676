/**
 * Sends a request once to one target and reports what is certain about the result: an answer, a failure that certainly
 * did not run, or a failure that may have run.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { Reason } from "../../contracts/outcome.ts";
import type { ResidentRequest, TargetNotice, TargetProtocol } from "../../contracts/resident.ts";
import { isBodyless } from "../../links/answerstatus.ts";
import type { AnswerStream, CallerAnswer, StreamCut } from "../../links/callers.ts";
import { isDescriptorShortage } from "../../links/descriptors.ts";
import {
    type AnswerReceiver,
    isMalformedAnswer,
    type SendStage,
    sendStages,
    type TargetExchange,
} from "../../links/exchange.ts";
import { hasKnownEnd } from "../../links/headers.ts";
import { createBodyCollector } from "../bodycollector.ts";
import type { TargetState } from "./targetstates.ts";

/**
 * The result of one send. `notRun` is set only when it is certain: the target said so, or no byte of the request
 * was written. `arrived` is set when bytes of the request were written, `ofHost` when this host had no descriptor for a
 * connection, so that the failure tells nothing of the target.
 */
export type AttemptResult =
    | { kind: "answered"; answer: CallerAnswer & { kind: "answer" }; workMilliseconds: number | undefined }
    | { kind: "failed"; reason: Reason; detail: string; notRun: boolean; arrived: boolean; ofHost: boolean };

/** Why a request is not sent to the target that was chosen for it. The target is not to blame. */
export const withdrawalReasons = [
    "no-target",
    "target-draining",
    "target-evacuated",
    "target-paused",
    "target-limited",
] as const satisfies Reason[];
export type WithdrawalReason = (typeof withdrawalReasons)[number];

export type AttemptOptions = {
    request: ResidentRequest;
    targetState: TargetState;
    protocol: TargetProtocol;
    /**
     * Requests of all hosts expected at the target, from which the part of the answer's time that it waited there is told;
     * without it, what the target's own reports let expect.
     */
    expectedLoad?: number;
    /** Monotonic time by which the answer must be complete. */
    endAt: number;
    /**
     * Called in the same turn of the event loop as the write; returns why the request is not to be sent any more, or
     * undefined if it is.
     */
    withdrawnFor: () => WithdrawalReason | undefined;
    /** Whether to abort a request that was already written when its caller hangs up. */
    abortOnHangUp: boolean;
    /** Called with what the target's answer says of how it wants to be used. */
    onNotice: (notice: TargetNotice, sentAt: number) => void;
    /** Called with a function that ends the send as timed out, since the host stops. Returns how to forget it. */
    registerStop: (stopSend: () => void) => () => void;
    /**
     * Resolves to whether the target still runs, so that the end of its connection was the end of an answer without a
     * length. Undefined if it cannot be asked.
     */
    confirmEnd?: (() => Promise<boolean>) | undefined;
    /** Called when an answer that only the close of its connection can end was ended or cut. */
    onUnframedEnd: (end: UnframedEnd) => void;
    /** Called when the connection broke after the request was written. */
    onConnectionLost?: () => void;
    clock: Clock;
};

/** How an answer that only the close of its connection can end was ended. */
export type UnframedEnd = {
    statusCode: number;
    bytes: number;
    transferEncoding: string | undefined;
    isStreamed: boolean;
    /** `closed` by the target, or why the answer was cut. */
    ending: string;
    /** What shows that the answer is whole: its `target`, which still runs, only the `close`, or `nothing`. */
    confirmedBy: "target" | "close" | "nothing";
};

/** Bytes that are read of a body that is not passed on, so that its connection can be used again. */
const maxDroppedBytes = 65_536;

/** Larger response bodies are streamed to the caller as they arrive. */
const maxHeldBytes = 1_048_576;

const lostReasons: Record<SendStage, Reason> = {
    [sendStages.unsent]: "connect-failed",
    [sendStages.sent]: "connection-lost",
    [sendStages.answering]: "answer-cut-short",
};

/**
 * Builds the answer for the caller. Where the end of the target's answer was certain, the answer has a content length;
 * otherwise it ends with the connection, except for a stream of which the target will confirm the end: its bytes are
 * written in chunks, so that the caller sees it if this host ends midway.
 */
const createAnswer = (
    request: ResidentRequest,
    head: { statusCode: number; headers: IncomingHttpHeaders },
    headers: Record<string, string | string[]>,
    body: Buffer | undefined | AnswerStream,
    confirmsEnd: boolean,
): CallerAnswer & { kind: "answer" } => {
    const { statusCode } = head;
    const isBuffered = body === undefined || Buffer.isBuffer(body);
    const hasBody = request.method !== "HEAD" && !isBodyless(statusCode);
    if (!hasKnownEnd(request.method, statusCode, head.headers) && (isBuffered || !confirmsEnd)) {
        return { kind: "answer", statusCode, headers, body, endsWithConnection: true };
    }
    if (isBuffered && hasBody) {
        headers["content-length"] = String(body?.length ?? 0);
    }
    return { kind: "answer", statusCode, headers, body };
};

/** Sends the request once. The promise never rejects. */
export const sendOnce = (options: AttemptOptions): Promise<AttemptResult> =>
    new Promise(resolve => {
        const { request, targetState, protocol, clock } = options;
        const { load } = targetState;
        const sentAt = clock.now();
        const loadAtSend = options.expectedLoad ?? load.expectedRequests(sentAt);
        let workMilliseconds: number | undefined;
        let settled = false;
        let finished = false;
        let stage: SendStage = sendStages.unsent;
        let forcedFailure: { reason: Reason; detail: string; notRun: boolean } | undefined;
        let head: { statusCode: number; headers: IncomingHttpHeaders } | undefined;

        /** What cuts the answer if it does not arrive whole. */
        let cutBy: StreamCut = "answer-cut-short";
        let exchange: TargetExchange | undefined;
        let bodyBytes = 0;
        let droppedBytes = 0;

        const settle = (attempt: AttemptResult): void => {
            if (!settled) {
                settled = true;
                resolve(attempt);
            }
        };

        const finish = (latencyMilliseconds: number | undefined): void => {
            if (!finished) {
                finished = true;
                cancelTimer();
                forgetStop();
                request.hangUp.listener = undefined;
                workMilliseconds = load.recordFinished(latencyMilliseconds, loadAtSend);
            }
        };

        const stop = (reason: Reason, detail: string, notRun = stage === sendStages.unsent): void => {
            forcedFailure ??= { reason, detail, notRun };
            exchange?.abort();
        };

        const collector = createBodyCollector({
            maxBufferedBytes: maxHeldBytes,
            resume: () => exchange?.resume(),
            abort: () => exchange?.abort(),
            onBody: body => {
                if (head === undefined) {
                    throw new Error("The body of the answer arrived before its head.");
                }
                const headers = protocol.buildAnswerHeaders(head.headers);
                const answer = createAnswer(request, head, headers, body, options.confirmEnd !== undefined);
                settle({ kind: "answered", answer, workMilliseconds });
            },
        });

        const onHead = (statusCode: number, headers: IncomingHttpHeaders): void => {
            const targetAnswer = protocol.readAnswer(statusCode, headers);
            targetState.answeredSentAt = Math.max(targetState.answeredSentAt, sentAt);
            if (targetAnswer.load !== undefined) {
                load.recordReport(clock.now(), targetAnswer.load);
            }
            // The answer to another request may be an old one.
            if (targetAnswer.notice !== undefined && (targetAnswer.requestId ?? request.id) === request.id) {
                options.onNotice(targetAnswer.notice, sentAt);
            }
            // A refusal without an id may be a repetition of an earlier one, so it does not tell that this request did
            // not run.
            const isMismatched = targetAnswer.requestId === undefined
                ? statusCode < 300 || targetAnswer.outcome !== "answered"
                : targetAnswer.requestId !== request.id;
            if (isMismatched) {
                stop(
                    "answer-mismatched",
                    `Target "${targetState.target.name}" answered "${targetAnswer.requestId}".`,
                    false,
                );
                return;
            }
            if (targetAnswer.outcome === "not-run") {
                forcedFailure = {
                    reason: "target-shed",
                    detail: `Target "${targetState.target.name}" is full.`,
                    notRun: true,
                };
            }
            if (targetAnswer.outcome === "wrong-target") {
                const detail = `Target "${targetState.target.name}" does not serve the key or is not there any more.`;
                forcedFailure = { reason: "fence-refused", detail, notRun: true };
            }
            head = { statusCode, headers };
        };

        const isUnframed = (): boolean =>
            head !== undefined && !hasKnownEnd(request.method, head.statusCode, head.headers);

        const recordUnframedEnd = (ending: string, confirmedBy: UnframedEnd["confirmedBy"]): void => {
            if (head !== undefined && isUnframed()) {
                options.onUnframedEnd({
                    statusCode: head.statusCode,
                    bytes: bodyBytes,
                    transferEncoding: head.headers["transfer-encoding"],
                    isStreamed: collector.isStreaming(),
                    ending,
                    confirmedBy,
                });
            }
        };

        /** Ends the body, after the target has confirmed the end of a stream that may have been cut short. */
        const endBody = (): void => {
            if (!isUnframed() || !collector.isStreaming() || options.confirmEnd === undefined) {
                recordUnframedEnd("closed", "close");
                collector.onEnd();
                return;
            }
            void options.confirmEnd().catch(() => false).then(isConfirmed => {
                recordUnframedEnd("closed", isConfirmed ? "target" : "nothing");
                if (isConfirmed) {
                    collector.onEnd();
                }
                else {
                    collector.onFailure(cutBy);
                }
            });
        };

        const failWith = (
            reason: Reason,
            detail: string,
            notRun: boolean,
            arrived: boolean,
            ofHost = false,
        ): void => {
            finish(undefined);
            settle({ kind: "failed", reason, detail, notRun, arrived, ofHost });
        };

        const cancelTimer = clock.after(Math.max(1, options.endAt - sentAt), () => {
            cutBy = "answer-timed-out";
            stop("timed-out", `Target "${targetState.target.name}" did not answer within the time of the route.`);
        });
        const forgetStop = options.registerStop(() => {
            cutBy = "host-stopped";
            stop("timed-out", `Target "${targetState.target.name}" did not answer before this host stopped.`);
        });
        request.hangUp.listener = () => {
            if (stage === sendStages.unsent) {
                stop("cancelled", "The caller hung up before the request was sent.");
            }
            else if (options.abortOnHangUp) {
                stop("caller-gone", "The caller hung up.");
            }
        };
        load.recordSent();
        const receiver: AnswerReceiver = {
            mayStart: () => {
                const withdrawn = forcedFailure === undefined ? options.withdrawnFor() : undefined;
                if (withdrawn !== undefined) {
                    const detail = `Target "${targetState.target.name}" takes no more requests.`;
                    forcedFailure = { reason: withdrawn, detail, notRun: true };
                }
                const may = forcedFailure === undefined;
                stage = may ? sendStages.sent : stage;
                return may;
            },
            onHead,
            onBytes: bytes => {
                bodyBytes += bytes.length;
                if (forcedFailure === undefined) {
                    return collector.onBytes(bytes);
                }
                droppedBytes += bytes.length;
                if (droppedBytes > maxDroppedBytes) {
                    exchange?.abort();
                }
                return true;
            },
            onEnd: () => {
                if (forcedFailure !== undefined) {
                    failWith(forcedFailure.reason, forcedFailure.detail, forcedFailure.notRun, true);
                    return;
                }
                finish(clock.now() - sentAt);
                endBody();
            },
            onFailure: (failedStage, error) => {
                const { code = error.name } = error as NodeJS.ErrnoException;
                recordUnframedEnd(forcedFailure?.reason ?? code, "nothing");
                const { code: brokenBy } = error as NodeJS.ErrnoException;
                const isBroken = brokenBy !== undefined && !isMalformedAnswer(error);
                if (forcedFailure === undefined && failedStage !== sendStages.unsent && isBroken) {
                    options.onConnectionLost?.();
                }
                const streaming = collector.onFailure(cutBy);
                if (streaming) {
                    finish(undefined);
                    return;
                }
                const unsent = failedStage === sendStages.unsent;
                const reason = forcedFailure?.reason
                    ?? (isMalformedAnswer(error) ? "answer-malformed" : lostReasons[failedStage]);
                const detail = forcedFailure?.detail ?? `Target "${targetState.target.name}": ${error.message}.`;
                const ofHost = forcedFailure === undefined && unsent && isDescriptorShortage(error);
                failWith(reason, detail, forcedFailure?.notRun ?? unsent, !unsent, ofHost);
            },
        };
        try {
            exchange = targetState.link.send({
                method: request.method,
                path: request.path,
                headers: protocol.buildRequestHeaders(request, targetState.target, options.endAt - sentAt),
                body: request.body,
            }, receiver);
        }
        catch (error) {
            const unsent = stage === sendStages.unsent;
            const detail = `Target "${targetState.target.name}": ${messageOf(error)}.`;
            failWith(unsent ? "connect-failed" : "connection-lost", detail, unsent, !unsent);
            return;
        }
        if (forcedFailure !== undefined) {
            exchange.abort();
        }
    });
