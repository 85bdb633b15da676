/**
 * One send of a request to one target. Says with certainty what became of it.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Clock } from "../../contracts/clock.ts";
import type { Reason } from "../../contracts/outcome.ts";
import type { ResidentRequest, TargetProtocol } from "../../contracts/resident.ts";
import type { AnswerStream, CallerAnswer } from "../../links/callers.ts";
import { type SendStage, sendStages, type TargetExchange } from "../../links/exchange.ts";
import { hasKnownEnd } from "../../links/headers.ts";
import { createBodyCollector } from "../bodycollector.ts";
import type { TargetState } from "./targetstates.ts";

/** `notRun` is certain: the target said so, or no byte of the request was written. */
export type AttemptResult =
    | { kind: "answered"; answer: CallerAnswer & { kind: "answer" }; workMilliseconds: number | undefined }
    | { kind: "failed"; reason: Reason; detail: string; notRun: boolean; arrived: boolean };

export type AttemptOptions = {
    request: ResidentRequest;
    targetState: TargetState;
    protocol: TargetProtocol;
    /** Monotonic time by which the answer must be complete. */
    endAt: number;
    /** Asked in the same turn as the write. */
    mayStart: () => boolean;
    /** Whether the target's work may be dropped when the caller hangs up. */
    abortOnHangUp: boolean;
    clock: Clock;
};

/** Larger bodies are passed on while they arrive. */
const maxHeldBytes = 1_048_576;

const lostReasons: Record<SendStage, Reason> = {
    [sendStages.unsent]: "connect-failed",
    [sendStages.sent]: "connection-lost",
    [sendStages.answering]: "answer-cut-short",
};

/** The answer as it goes to the caller: with its length where the target's end of it was certain. */
const answerOf = (
    request: ResidentRequest,
    head: { statusCode: number; headers: IncomingHttpHeaders },
    headers: Record<string, string | string[]>,
    body: Buffer | undefined | AnswerStream,
): CallerAnswer & { kind: "answer" } => {
    const { statusCode } = head;
    const isWhole = body === undefined || Buffer.isBuffer(body);
    const hasBody = request.method !== "HEAD" && statusCode !== 204 && statusCode !== 304;
    if (!hasKnownEnd(request.method, statusCode, head.headers)) {
        return { kind: "answer", statusCode, headers, body, endsWithConnection: true };
    }
    if (isWhole && hasBody) {
        headers["content-length"] = String(body?.length ?? 0);
    }
    return { kind: "answer", statusCode, headers, body };
};

/** Sends the request. The promise never rejects. */
export const sendOnce = (options: AttemptOptions): Promise<AttemptResult> =>
    new Promise(resolve => {
        const { request, targetState: view, protocol, clock } = options;
        const { load } = view;
        const sentAt = clock.now();
        const loadAtSend = load.expectedRequests(sentAt);
        let workMilliseconds: number | undefined;
        let settled = false;
        let over = false;
        let stage: SendStage = sendStages.unsent;
        let forced: { reason: Reason; detail: string; notRun: boolean } | undefined;
        let head: { statusCode: number; headers: IncomingHttpHeaders } | undefined;
        // eslint-disable-next-line prefer-const -- callbacks of the send refer to it.
        let exchange: TargetExchange | undefined;

        const settle = (attempt: AttemptResult): void => {
            if (!settled) {
                settled = true;
                resolve(attempt);
            }
        };

        const finish = (latencyMilliseconds: number | undefined): void => {
            if (!over) {
                over = true;
                cancelTimer();
                request.hangUp.listener = undefined;
                workMilliseconds = load.recordFinished(latencyMilliseconds, loadAtSend);
            }
        };

        const stop = (reason: Reason, detail: string, notRun = stage === sendStages.unsent): void => {
            forced ??= { reason, detail, notRun };
            exchange?.abort();
        };

        const collector = createBodyCollector({
            maxHeldBytes,
            resume: () => exchange?.resume(),
            abort: () => exchange?.abort(),
            onBody: body => {
                if (head === undefined) {
                    throw new Error("A body came before its head.");
                }
                const answer = answerOf(request, head, protocol.buildAnswerHeaders(head.headers), body);
                settle({ kind: "answered", answer, workMilliseconds });
            },
        });

        const onHead = (statusCode: number, headers: IncomingHttpHeaders): void => {
            const said = protocol.readAnswer(statusCode, headers);
            if (said.load !== undefined) {
                load.recordReport(clock.now(), said.load);
            }
            const isOthers = said.requestId === undefined ? statusCode < 300 : said.requestId !== request.id;
            if (isOthers) {
                stop("answer-mismatched", `Target "${view.target.name}" answered "${said.requestId}".`, false);
                return;
            }
            if (said.outcome === "not-run") {
                forced = { reason: "target-shed", detail: `Target "${view.target.name}" is full.`, notRun: true };
            }
            if (said.outcome === "wrong-target") {
                const detail = `Target "${view.target.name}" does not serve the key or is not there any more.`;
                forced = { reason: "fence-refused", detail, notRun: true };
            }
            head = { statusCode, headers };
        };

        const failWith = (reason: Reason, detail: string, notRun: boolean, arrived: boolean): void => {
            finish(undefined);
            settle({ kind: "failed", reason, detail, notRun, arrived });
        };

        const cancelTimer = clock.after(Math.max(1, options.endAt - sentAt), () => {
            stop("timed-out", `Target "${view.target.name}" did not answer within the time of the route.`);
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
        exchange = view.link.send({
            method: request.method,
            path: request.path,
            headers: protocol.buildRequestHeaders(request, view.target, options.endAt - sentAt),
            body: request.body,
        }, {
            mayStart: () => {
                const may = forced === undefined && options.mayStart();
                stage = may ? sendStages.sent : stage;
                return may;
            },
            onHead,
            onBytes: bytes => forced !== undefined || collector.onBytes(bytes),
            onEnd: () => {
                if (forced !== undefined) {
                    failWith(forced.reason, forced.detail, forced.notRun, true);
                    return;
                }
                finish(clock.now() - sentAt);
                collector.onEnd();
            },
            onFailure: (failedStage, error) => {
                const streaming = collector.onFailure();
                if (streaming) {
                    finish(undefined);
                    return;
                }
                const unsent = failedStage === sendStages.unsent;
                const reason = forced?.reason ?? lostReasons[failedStage];
                const detail = forced?.detail ?? `Target "${view.target.name}": ${error.message}.`;
                failWith(reason, detail, forced?.notRun ?? unsent, !unsent);
            },
        });
        if (forced !== undefined) {
            exchange.abort();
        }
    });
