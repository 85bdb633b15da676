/**
 * One exchange with a target over pooled connections: a request is written once, and its answer or the stage at which
 * it failed is told.
 */
import type { IncomingHttpHeaders } from "node:http";
import { buildConnector, type Dispatcher, Pool as ConnectionPool } from "undici";

export type TargetRequest = {
    method: string;
    path: string;
    /** Names and values in turn. */
    headers: string[];
    body: Buffer | undefined;
};

/** How far a request had come when it failed. Only of an unsent one is it certain that no byte reached the target. */
export const sendStages = { unsent: "unsent", sent: "sent", answering: "answering" } as const;
export type SendStage = (typeof sendStages)[keyof typeof sendStages];

/** Receives one answer. After `onEnd` or `onFailure` nothing more is called. */
export type AnswerReceiver = {
    /** Called in the same turn as the write to the socket. False keeps the request from being written. */
    mayStart: () => boolean;
    onHead: (statusCode: number, headers: IncomingHttpHeaders) => void;
    /** False asks for a pause until `resume`. */
    onBytes: (bytes: Buffer) => boolean;
    /** The whole answer has arrived. */
    onEnd: () => void;
    /** The error's `code` tells connect failures from broken links. */
    onFailure: (stage: SendStage, error: Error) => void;
};

export type TargetExchange = {
    resume: () => void;
    /** Drops the request; a connection on which it was written is closed, so that no late answer can be mistaken. */
    abort: () => void;
};

const abortedError = new Error("The exchange was aborted.");

/** Sends a request once. Nothing is sent again by the exchange itself. */
export const startExchange = (
    connections: ConnectionPool,
    request: TargetRequest,
    receiver: AnswerReceiver,
): TargetExchange => {
    let stage: SendStage = sendStages.unsent;
    let controller: Dispatcher.DispatchController | undefined;
    let over = false;

    const fail = (error: Error): void => {
        if (!over) {
            over = true;
            receiver.onFailure(stage, error);
        }
    };

    const abort = (): void => {
        fail(abortedError);
        controller?.abort(abortedError);
    };

    connections.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body,
        headersTimeout: 0,
        bodyTimeout: 0,
    }, {
        onRequestStart: current => {
            const again = controller !== undefined;
            controller = current;
            if (over || again || !receiver.mayStart()) {
                abort();
                return;
            }
            stage = sendStages.sent;
        },
        onResponseStart: (...[, statusCode, headers]) => {
            if (!over && statusCode >= 200) {
                stage = sendStages.answering;
                receiver.onHead(statusCode, headers);
            }
        },
        onResponseData: (current, bytes) => {
            if (!over && !receiver.onBytes(bytes)) {
                current.pause();
            }
        },
        onResponseEnd: () => {
            if (!over) {
                over = true;
                receiver.onEnd();
            }
        },
        onResponseError: (...[, error]) => fail(error),
    });
    return { resume: () => controller?.resume(), abort };
};

export type ExchangeLink = {
    send: (request: TargetRequest, receiver: AnswerReceiver) => TargetExchange;
    /** Connections that requests can use at the same time. */
    connections: number;
    /** Closes after the exchanges under way. */
    close: () => void;
};

/** Code of a connection that the target reset, in place of the system's. */
const resetCode = "TARGET_RESET";

/**
 * Makes connections whose reset is an error whatever was read before. undici takes `ECONNRESET` for the end of an answer
 * that the connection's close ends, which would pass a cut body off as whole.
 */
export const createResetDetectingConnector = (
    timeoutMilliseconds: number,
    localAddress?: string,
): buildConnector.connector => {
    const connect = buildConnector({ timeout: timeoutMilliseconds, localAddress });
    return (target, callback) =>
        connect(target, (...results) => {
            const [, socket] = results;
            socket?.prependListener("error", (error: NodeJS.ErrnoException) => {
                error.code = error.code === "ECONNRESET" ? resetCode : error.code;
            });
            callback(...results);
        });
};

export type ExchangeLinkOptions = { address: string; connections: number; connectMilliseconds: number };

/** Opens a link that carries only requests. Connections are made on first use, and are reused. */
export const createExchangeLink = (
    { address, connections, connectMilliseconds }: ExchangeLinkOptions,
): ExchangeLink => {
    const pool = new ConnectionPool(`http://${address}`, {
        connections,
        pipelining: 1,
        connect: createResetDetectingConnector(connectMilliseconds),
    });
    return {
        send: (request, receiver) => startExchange(pool, request, receiver),
        connections,
        close: () => {
            pool.close().catch(() => pool.destroy());
        },
    };
};
