/**
 * The link to callers: an HTTP server that reads requests within limits, hands them on, and writes back whole answers
 * or refusals as problem details (RFC 9457).
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Clock } from "../contracts/clock.ts";
import { callerHeaders, type Outcome, outcomes, type Reason, reasons } from "../contracts/outcome.ts";
import type { Settings } from "../contracts/settings.ts";
import { announcesBody, createBodyReader } from "./callerbody.ts";
import { type CallerRequest, readHead } from "./callerhead.ts";

export type { CallerRequest } from "./callerhead.ts";

/** Receives a streamed body. After `onEnd` or `onCut` nothing more is called. */
export type StreamReceiver = {
    /** False asks for a pause until `resume`. */
    onBytes: (bytes: Buffer) => boolean;
    onEnd: () => void;
    /** The rest of the body is lost. */
    onCut: () => void;
};

/** A body that is passed on while it arrives. */
export type AnswerStream = {
    start: (receiver: StreamReceiver) => void;
    resume: () => void;
    abort: () => void;
};

/** A target's whole answer, or a refusal. */
export type CallerAnswer =
    | {
        kind: "answer";
        statusCode: number;
        headers: Record<string, string | string[]>;
        body: Buffer | undefined | AnswerStream;
    }
    | { kind: "refusal"; reason: Reason; detail: string; retryAfterMilliseconds?: number };

export type CallerRefusal = CallerAnswer & { kind: "refusal" };

export type CallerLinkOptions = {
    host: string;
    settings: Settings["callers"];
    clock: Clock;
    serve: (request: CallerRequest) => Promise<CallerAnswer>;
    /** Called once for each request when its answer was written or its caller is gone. */
    onDone: (request: CallerRequest, outcome: Outcome, reason: Reason | undefined) => void;
    /** Called for bytes that are not a request; such a refusal has no request. */
    onMalformed: (reason: Reason) => void;
    /** Whether the balancer may send requests here. */
    healthy: () => boolean;
};

export type CallerLink = {
    address: string;
    /** Requests that have not been answered yet. */
    inFlight: () => number;
    /** Takes no new connections, closes idle ones and ends kept ones after their answer. */
    stopAccepting: () => void;
    close: () => Promise<void>;
};

const healthPath = "/-/health";

const problemOf = (requestId: string, reason: Reason, detail: string): string => {
    const { title, statusCode, sendAgain } = reasons[reason];
    return JSON.stringify({
        type: `urn:carobpier:reason:${reason}`,
        title,
        status: statusCode,
        detail,
        requestId,
        sendAgain,
    });
};

/** Opens the server. */
export const createCallerLink = async (options: CallerLinkOptions): Promise<CallerLink> => {
    const { settings, clock } = options;
    const sockets = new Set<Socket>();
    let inFlight = 0;
    let accepting = true;

    const writeRefusal = (response: ServerResponse, id: string, answer: CallerRefusal, unread: boolean): void => {
        const facts = reasons[answer.reason];
        const body = problemOf(id, answer.reason, answer.detail);
        const headers: Record<string, string | number> = {
            "content-type": "application/problem+json",
            "content-length": Buffer.byteLength(body),
            [callerHeaders.outcome]: facts.outcome,
            [callerHeaders.reason]: answer.reason,
            [callerHeaders.requestId]: id,
        };
        if (answer.retryAfterMilliseconds !== undefined) {
            headers["retry-after"] = Math.max(1, Math.ceil(answer.retryAfterMilliseconds / 1_000));
        }
        if (!accepting || unread) {
            headers["connection"] = "close";
        }
        response.writeHead(facts.statusCode, headers);
        response.end(body);
    };

    const refuseHead = (response: ServerResponse, detail: string): void => {
        writeRefusal(response, "none", { kind: "refusal", reason: "malformed-request", detail }, true);
        options.onMalformed("malformed-request");
    };

    /** Resolves to true when the whole body was passed on. A body cut short closes the caller's connection instead. */
    const passOn = (response: ServerResponse, stream: AnswerStream): Promise<boolean> =>
        new Promise(resolve => {
            response.on("drain", stream.resume);
            response.once("close", () => {
                stream.abort();
                resolve(false);
            });
            stream.start({
                onBytes: bytes => response.write(bytes),
                onEnd: () => response.end(() => resolve(true)),
                onCut: () => response.destroy(),
            });
        });

    const writeAnswer = (
        response: ServerResponse,
        id: string,
        answer: CallerAnswer & { kind: "answer" },
    ): true | Promise<boolean> => {
        const { headers, body } = answer;
        headers[callerHeaders.outcome] = outcomes.answered;
        headers[callerHeaders.requestId] = id;
        if (!accepting) {
            headers["connection"] = "close";
        }
        response.writeHead(answer.statusCode, headers);
        if (body === undefined || Buffer.isBuffer(body)) {
            response.end(body);
            return true;
        }
        return passOn(response, body);
    };

    const readBody = createBodyReader({
        maxBodyBytes: settings.maxBodyBytes,
        maxBufferedBytes: settings.maxBufferedBodyBytes,
        clock,
    });

    const answerCaller = async (request: CallerRequest, response: ServerResponse): Promise<void> => {
        const answer = await options.serve(request);
        if (answer.kind === "refusal") {
            writeRefusal(response, request.id, answer, false);
            options.onDone(request, reasons[answer.reason].outcome, answer.reason);
            return;
        }
        const whole = await writeAnswer(response, request.id, answer);
        options.onDone(request, whole ? "answered" : "unknown", whole ? undefined : "answer-cut-short");
    };

    const serve = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
        const request = readHead(incoming, settings, clock.now());
        if (typeof request === "string") {
            refuseHead(response, request);
            return;
        }
        response.once("close", () => {
            request.hangUp.happened = !response.writableFinished;
            request.hangUp.listener?.();
        });
        if (!announcesBody(incoming)) {
            await answerCaller(request, response);
            return;
        }
        const result = await readBody(incoming, request.deadlineAt);
        if ("reason" in result) {
            writeRefusal(response, request.id, { kind: "refusal", ...result }, true);
            options.onDone(request, reasons[result.reason].outcome, result.reason);
            return;
        }
        request.body = result.body;
        await answerCaller(request, response).finally(result.release);
    };

    const server = createServer(
        { maxHeaderSize: settings.maxHeadBytes, keepAliveTimeout: 30_000 },
        (incoming, response) => {
            if (incoming.url === healthPath) {
                response.writeHead(options.healthy() ? 200 : 503).end();
                return;
            }
            inFlight += 1;
            serve(incoming, response)
                .catch(() => response.destroy())
                .finally(() => {
                    inFlight -= 1;
                });
        },
    );
    server.on("connection", socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    server.on("checkExpectation", (incoming: IncomingMessage, response: ServerResponse) => {
        incoming.pause();
        refuseHead(response, "The only expectation that is met is 100-continue.");
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        if (!socket.writable) {
            socket.destroy();
            return;
        }
        const reason: Reason = error.code === "HPE_HEADER_OVERFLOW" ? "head-too-large" : "malformed-request";
        const { statusCode } = reasons[reason];
        options.onMalformed(reason);
        const body = problemOf("none", reason, "The bytes received are not an acceptable HTTP request.");
        socket.end(
            `HTTP/1.1 ${statusCode} Refused\r\nconnection: close\r\ncontent-type: application/problem+json\r\n`
                + `${callerHeaders.outcome}: not-run\r\n${callerHeaders.reason}: ${reason}\r\n`
                + `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
        );
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(settings.port, options.host, resolve);
    });
    const { port } = server.address() as AddressInfo;

    return {
        address: `${options.host}:${port}`,
        inFlight: () => inFlight,
        stopAccepting: () => {
            accepting = false;
            server.close();
            server.closeIdleConnections();
        },
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                for (const socket of sockets) {
                    socket.destroy();
                }
            }),
    };
};
