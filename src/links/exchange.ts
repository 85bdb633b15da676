/**
 * An HTTP exchange with a target over pooled connections: writes a request once and reports its answer, or the stage at
 * which it failed.
 */
import type { IncomingHttpHeaders } from "node:http";
import { Client, type Dispatcher } from "undici";
import { messageOf } from "../contracts/errors.ts";
import { isAnswerStatus, isBodyless, isInterimStatus } from "./answerstatus.ts";
import { createConnectionPool } from "./connectionpool.ts";
import { createResetDetectingConnector } from "./resets.ts";
import type { TargetConnections } from "./targetconnections.ts";

export type TargetRequest = {
    method: string;
    path: string;
    /** Names and values in alternation. */
    headers: string[];
    body: Buffer | undefined;
};

/**
 * How far a request had come when it failed. `unsent`: certainly no byte of it was written. `sent`: it may have been
 * written in part or whole. `answering`: the head of the answer has arrived.
 */
export const sendStages = { unsent: "unsent", sent: "sent", answering: "answering" } as const;
export type SendStage = (typeof sendStages)[keyof typeof sendStages];

/** Receives one answer. After `onEnd` or `onFailure` no method is called again. */
export type AnswerReceiver = {
    /** Called in the same event-loop turn as the write to the socket. Returns false to prevent the write. */
    mayStart: () => boolean;
    onHead: (statusCode: number, headers: IncomingHttpHeaders) => void;
    /** Returns false to pause the answer until `resume` is called. */
    onBytes: (bytes: Buffer) => boolean;
    /** Called when the whole answer has arrived. */
    onEnd: () => void;
    /**
     * Called when the exchange failed. The error's `code` is that of Node or undici, or `TARGET_RESET`. It is undefined
     * after `abort` and when the exchange was not allowed to start.
     */
    onFailure: (stage: SendStage, error: Error) => void;
};

export type TargetExchange = {
    resume: () => void;
    /**
     * Drops the request. If it was written already, its connection is closed, so that a late answer is not taken for
     * the answer to another request.
     */
    abort: () => void;
};

/** Interim answers that a target may send before its answer. */
const maxInterimAnswers = 16;
/** Error code of an exchange whose target sent more interim answers than that. */
const interimOverflowCode = "TARGET_INTERIM_OVERFLOW";

/** Error code of an exchange whose target sent a status that is neither an answer's nor an interim answer's. */
const invalidStatusCode = "TARGET_INVALID_STATUS";

/** Error code of an exchange whose target sent a head that contradicts itself. */
const invalidHeadCode = "TARGET_INVALID_HEAD";

const malformedCodes = ["UND_ERR_HEADERS_OVERFLOW", interimOverflowCode, invalidStatusCode, invalidHeadCode];
/** undici's code for a body that is not as long as announced, and for each fault of a head that announces a length. */
const lengthMismatchCode = "UND_ERR_RES_CONTENT_LENGTH_MISMATCH";
/** Messages of undici's socket errors for a 100 or 101 that the request did not ask for; their code is that of any close. */
const unaskedStatusMessages = ["bad response", "bad upgrade"];

/** Whether the error says that the bytes of the target are no answer, rather than that its connection broke. */
export const isMalformedAnswer = (error: Error): boolean => {
    const { code = "" } = error as NodeJS.ErrnoException;
    return error.name === "HTTPParserError" || malformedCodes.includes(code)
        || (code === "UND_ERR_SOCKET" && unaskedStatusMessages.includes(error.message));
};

const malformedAnswer = (code: string, message: string): Error => Object.assign(new Error(message), { code });

/** Error of an exchange that was aborted, or was not allowed to start, as when `mayStart` returned false. */
const abortedError = new Error("The exchange was aborted.");

/**
 * Sends a request once. undici may start a request again on a new connection; a second start is refused, since the
 * first one may have reached the target.
 *
 * @param onDone called once when undici has done with the request, with whether the request failed.
 */
export const startExchange = (
    connections: Pick<Dispatcher, "dispatch">,
    request: TargetRequest,
    receiver: AnswerReceiver,
    onDone: (failed: boolean) => void = () => undefined,
): TargetExchange => {
    let stage: SendStage = sendStages.unsent;
    let controller: Dispatcher.DispatchController | undefined;
    let settled = false;
    let interimAnswers = 0;
    let hasNoBody = false;
    let isDone = false;

    /** undici reports an error after the end when `onEnd` throws. The connection may have its next request by then. */
    const done = (failed: boolean): void => {
        if (!isDone) {
            isDone = true;
            onDone(failed);
        }
    };

    const fail = (error: Error): void => {
        if (!settled) {
            settled = true;
            receiver.onFailure(stage, error);
        }
    };

    const abort = (error = abortedError): void => {
        fail(error);
        controller?.abort(error);
    };

    connections.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body,
        // 0 is no limit: whoever starts the exchange aborts it at its deadline.
        headersTimeout: 0,
        bodyTimeout: 0,
    }, {
        onRequestStart: current => {
            // Only an earlier start has set the controller.
            const startedBefore = controller !== undefined;
            controller = current;
            if (settled || startedBefore || !receiver.mayStart()) {
                abort();
                return;
            }
            stage = sendStages.sent;
        },
        onResponseStart: (...[, statusCode, headers]) => {
            if (settled) {
                return;
            }
            if (isAnswerStatus(statusCode)) {
                stage = sendStages.answering;
                hasNoBody = isBodyless(statusCode);
                receiver.onHead(statusCode, headers);
                return;
            }
            if (!isInterimStatus(statusCode)) {
                abort(malformedAnswer(invalidStatusCode, `The target answered with the status ${statusCode}.`));
                return;
            }
            // Interim answers are skipped. Without an end to them, they would take all of the processor.
            interimAnswers += 1;
            if (interimAnswers > maxInterimAnswers) {
                abort(malformedAnswer(interimOverflowCode, "The target sent too many interim answers."));
            }
        },
        onResponseData: (current, bytes) => {
            if (!settled && !receiver.onBytes(bytes)) {
                current.pause();
            }
        },
        onResponseEnd: () => {
            done(false);
            if (!settled) {
                settled = true;
                receiver.onEnd();
            }
        },
        onResponseError: (...[, error]) => {
            done(true);
            const isMismatch = (error as NodeJS.ErrnoException).code === lengthMismatchCode;
            if (isMismatch && hasNoBody && !settled) {
                settled = true;
                receiver.onEnd();
                return;
            }
            const isOfHead = stage === sendStages.sent && isMismatch;
            fail(isOfHead ? malformedAnswer(invalidHeadCode, "The head of the target's answer is not valid.") : error);
        },
    });
    return { resume: () => controller?.resume(), abort: () => abort() };
};

export type ExchangeLink = {
    /** A request beyond the limit waits for a connection. */
    send: (request: TargetRequest, receiver: AnswerReceiver) => TargetExchange;
    /** Closes idle connections beyond those that are kept, and sends waiting requests when the limit has grown. */
    applyLimit: () => void;
    /** Closes the link once the running exchanges have ended. */
    close: () => void;
};

export type ExchangeLinkOptions = {
    /** IP address and port of the target. */
    address: string;
    /** Returns the limit on the connections that are open at the same time. Each carries one request at a time. */
    connections: () => number;
    /** Returns how many of them are kept open for further requests. */
    keptConnections: () => number;
    /** Limit on the time in which a connection is opened. */
    connectMilliseconds: number;
    /** Counts and limits the connections. */
    targetConnections?: TargetConnections;
};

/**
 * Creates a link for requests, which connects on first use and reuses its connections. Unlike the link in targets.ts, it
 * has no connection for grants, health, load and cancellations.
 */
export const createExchangeLink = (
    { address, connections, keptConnections, connectMilliseconds, targetConnections }: ExchangeLinkOptions,
): ExchangeLink => {
    const direct = createResetDetectingConnector(connectMilliseconds);
    const connect = targetConnections?.limit(direct) ?? direct;
    const pool = createConnectionPool<Client>({
        open: () => new Client(`http://${address}`, { pipelining: 1, connect }),
        close: connection => void connection.close().catch(() => connection.destroy()),
        // undici would connect again after an aborted request, though no request needs it.
        destroy: connection => void connection.destroy(),
        limit: connections,
        kept: keptConnections,
    });
    return {
        send: (request, receiver) => {
            let exchange: TargetExchange | undefined;
            const withdraw = pool.acquire(connection => {
                const end = targetConnections?.begin();
                const release = (failed: boolean): void => {
                    end?.();
                    pool.release(connection, failed);
                };
                try {
                    exchange = startExchange(connection, request, receiver, release);
                }
                catch (error) {
                    release(true);
                    receiver.onFailure(sendStages.unsent, new Error(messageOf(error)));
                }
            });
            return {
                resume: () => exchange?.resume(),
                abort: () => {
                    if (withdraw()) {
                        receiver.onFailure(sendStages.unsent, abortedError);
                    }
                    exchange?.abort();
                },
            };
        },
        applyLimit: pool.applyLimit,
        close: pool.close,
    };
};
