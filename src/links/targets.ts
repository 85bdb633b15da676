/**
 * The link to one target: bounded connections, requests, grants, health, load and cancellation.
 */
import type { IncomingHttpHeaders } from "node:http";
import { type Dispatcher, Pool as ConnectionPool } from "undici";
import type { z } from "zod";
import { type Grant, type GrantAnswer, grantAnswerSchema } from "../contracts/grant.ts";
import {
    type TargetHealth,
    targetHealthSchema,
    type TargetLoad,
    targetLoadSchema,
    targetPaths,
} from "../contracts/targetprotocol.ts";

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

export type TargetLink = {
    /** Sends a request once. Nothing is sent again by the link itself. */
    send: (request: TargetRequest, receiver: AnswerReceiver) => TargetExchange;
    /** Offers a grant; undefined when the target did not answer in time or not in the agreed shape. */
    grant: (grant: Grant, timeoutMilliseconds: number) => Promise<GrantAnswer | undefined>;
    health: (timeoutMilliseconds: number) => Promise<TargetHealth | undefined>;
    load: (timeoutMilliseconds: number) => Promise<TargetLoad | undefined>;
    /** Asks the target to drop a request that it has not begun. */
    cancel: (requestId: string) => Promise<void>;
    close: () => Promise<void>;
};

export type TargetLinkOptions = {
    address: string;
    connections: number;
    connectMilliseconds: number;
    /** IP address from which the connections are made. */
    sourceAddress?: string;
};

const abortedError = new Error("The exchange was aborted.");

const startExchange = (
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

/** Opens the link. Connections are made on first use, never more than `connections` besides one for control. */
export const createTargetLink = (options: TargetLinkOptions): TargetLink => {
    const origin = `http://${options.address}`;
    const shared = {
        pipelining: 1,
        connect: { timeout: options.connectMilliseconds },
        localAddress: options.sourceAddress,
    };
    const requests = new ConnectionPool(origin, { ...shared, connections: options.connections });
    const control = new ConnectionPool(origin, { ...shared, connections: 1 });

    const ask = async <Shape>(
        schema: z.ZodType<Shape>,
        method: "GET" | "POST" | "DELETE",
        path: string,
        body: unknown,
        timeoutMilliseconds: number,
    ): Promise<Shape | undefined> => {
        // A timer that is cleared costs far less than a timeout signal, which fires and makes an error for each answer.
        const limit = new AbortController();
        const timer = setTimeout(() => limit.abort(), timeoutMilliseconds);
        try {
            const response = await control.request({
                method,
                path,
                headers: { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: limit.signal,
            });
            return schema.safeParse(await response.body.json()).data;
        }
        catch {
            return undefined;
        }
        finally {
            clearTimeout(timer);
        }
    };

    return {
        send: (request, receiver) => startExchange(requests, request, receiver),
        grant: (grant, timeoutMilliseconds) =>
            ask(grantAnswerSchema, "POST", targetPaths.grants, grant, timeoutMilliseconds),
        health: timeoutMilliseconds =>
            ask(targetHealthSchema, "GET", targetPaths.health, undefined, timeoutMilliseconds),
        load: timeoutMilliseconds => ask(targetLoadSchema, "GET", targetPaths.load, undefined, timeoutMilliseconds),
        cancel: async requestId => {
            await ask(targetHealthSchema, "DELETE", `${targetPaths.requests}/${requestId}`, undefined, 1_000);
        },
        close: async () => {
            await Promise.all([requests.destroy(), control.destroy()]);
        },
    };
};
