/**
 * The link to callers: an HTTP server that reads requests within limits, hands them on, and writes back whole answers
 * or refusals as problem details (RFC 9457).
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Clock } from "../contracts/clock.ts";
import { type Outcome, type Reason, reasons } from "../contracts/outcome.ts";
import type { Settings } from "../contracts/settings.ts";
import { announcesBody, createBodyReader } from "./callerbody.ts";
import type { HangUp } from "./callerhead.ts";

export type { CallerRequest } from "./callerhead.ts";

/** Receives a streamed body. After `onEnd` or `onCut` nothing more is called. */
export type StreamReceiver = {
    /** False asks for a pause until `resume`. */
    onBytes: (bytes: Buffer) => boolean;
    onEnd: () => void;
    /** The rest of the body is lost. */
    onFailure: () => void;
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
        /**
         * The target's answer had no length: only the close of the connection ends it, and it is written in the same
         * way, since nobody can tell whether it is whole.
         */
        endsWithConnection?: boolean;
    }
    | { kind: "refusal"; reason: Reason; detail: string; retryAfterMilliseconds?: number };

export type CallerRefusal = CallerAnswer & { kind: "refusal" };

/** What the link itself needs of a request. */
export type BaseCallerRequest = {
    id: string;
    body: Buffer | undefined;
    /** Monotonic milliseconds on the host's clock. */
    deadlineAt: number;
    hangUp: HangUp;
};

/** How callers write requests and read answers. */
export type CallerProtocol<Request extends BaseCallerRequest> = {
    isHealthCheck: (incoming: IncomingMessage) => boolean;
    /** Reads a head, or tells why it is refused. */
    read: (incoming: IncomingMessage, receivedAt: number) => Request | CallerRefusal;
    /** Adds the headers that the host itself puts on a target's answer. */
    addAnswerHeaders: (headers: Record<string, string | string[]>, requestId: string) => void;
    /** The refusal as it is written; its headers may still be added to. */
    formatRefusal: (refusal: CallerRefusal, requestId: string | undefined) => RefusalResponse;
};

export type RefusalResponse = { statusCode: number; headers: Record<string, string | number>; body: string };

export type CallerLinkOptions<Request extends BaseCallerRequest> = {
    bindAddress: string;
    settings: Pick<Settings["callers"], "port" | "maxHeadBytes" | "maxBodyBytes" | "maxBufferedBodyBytes">;
    protocol: CallerProtocol<Request>;
    clock: Clock;
    serve: (request: Request) => Promise<CallerAnswer>;
    /** Called once for each request when its answer was written or its caller is gone. */
    onDone: (request: Request, outcome: Outcome, reason: Reason | undefined) => void;
    /** Called for bytes that are not a request; such a refusal has no request. */
    onMalformed: (reason: Reason) => void;
    /** Whether the balancer may send requests here. */
    healthy: () => boolean;
};

export type CallerLink = {
    address: string;
    /** Requests that have not been answered yet. */
    inFlight: () => number;
    /** Sets how long a connection may stay idle, and how long a head may take. */
    setTimeouts: (idleMilliseconds: number, headMilliseconds: number) => void;
    /** Ends each kept connection after its next answer, and still takes new ones. */
    disableKeepAlive: () => void;
    /** Takes no new connections, closes idle ones and ends kept ones after their answer. */
    stopAccepting: () => void;
    close: () => Promise<void>;
};

const defaultIdleMilliseconds = 30_000;

/** Lets the event loop read once more from all sockets: a late host has requests before it whose callers have left. */
const nextReads = (): Promise<void> => new Promise(resolve => setImmediate(() => setImmediate(resolve)));

const hasLeft = ({ socket }: IncomingMessage): boolean => socket.readableEnded || socket.destroyed;

/** Opens the server. */
export const createCallerLink = async <Request extends BaseCallerRequest>(
    options: CallerLinkOptions<Request>,
): Promise<CallerLink> => {
    const { settings, clock, protocol } = options;
    const sockets = new Set<Socket>();
    let inFlight = 0;
    let accepting = true;

    const writeRefusal = (
        response: ServerResponse,
        id: string | undefined,
        answer: CallerRefusal,
        unread: boolean,
    ): void => {
        const { statusCode, headers, body } = protocol.formatRefusal(answer, id);
        headers["content-length"] = Buffer.byteLength(body);
        if (!accepting || unread) {
            headers["connection"] = "close";
        }
        response.writeHead(statusCode, headers);
        response.end(body);
    };

    const refuseHead = (response: ServerResponse, answer: CallerRefusal): void => {
        writeRefusal(response, undefined, answer, true);
        options.onMalformed(answer.reason);
    };

    /** Resolves to true when the whole body was passed on. A body cut short closes the caller's connection instead. */
    const passOn = (response: ServerResponse, stream: AnswerStream, onCut: () => void): Promise<boolean> =>
        new Promise(resolve => {
            response.on("drain", stream.resume);
            response.once("close", () => {
                stream.abort();
                resolve(false);
            });
            stream.start({
                onBytes: bytes => response.write(bytes),
                onEnd: () => response.end(() => resolve(true)),
                onFailure: onCut,
            });
        });

    const writeAnswer = (
        response: ServerResponse,
        id: string,
        answer: CallerAnswer & { kind: "answer" },
    ): true | Promise<boolean> => {
        const { headers, body } = answer;
        protocol.addAnswerHeaders(headers, id);
        if (!accepting) {
            headers["connection"] = "close";
        }
        if (answer.endsWithConnection === true) {
            headers["connection"] = "close";
            response.removeHeader("transfer-encoding");
        }
        response.writeHead(answer.statusCode, headers);
        if (body === undefined || Buffer.isBuffer(body)) {
            response.end(body);
            return true;
        }
        // Only a reset tells a caller that an answer without a length is not whole.
        const cut = answer.endsWithConnection === true
            ? () => response.socket?.resetAndDestroy()
            : () => response.destroy();
        return passOn(response, body, cut);
    };

    const readBody = createBodyReader({
        maxBodyBytes: settings.maxBodyBytes,
        maxBufferedBytes: settings.maxBufferedBodyBytes,
        clock,
    });

    const answerCaller = async (
        request: Request,
        incoming: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> => {
        await nextReads();
        if (hasLeft(incoming)) {
            response.destroy();
            options.onDone(request, reasons.cancelled.outcome, "cancelled");
            return;
        }
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
        const request = protocol.read(incoming, clock.now());
        if ("kind" in request) {
            refuseHead(response, request);
            return;
        }
        response.once("close", () => {
            request.hangUp.happened = !response.writableFinished;
            request.hangUp.listener?.();
        });
        if (!announcesBody(incoming)) {
            await answerCaller(request, incoming, response);
            return;
        }
        const result = await readBody(incoming, request.deadlineAt);
        if ("reason" in result) {
            writeRefusal(response, request.id, { kind: "refusal", ...result }, true);
            options.onDone(request, reasons[result.reason].outcome, result.reason);
            return;
        }
        request.body = result.body;
        await answerCaller(request, incoming, response).finally(result.release);
    };

    const server = createServer(
        { maxHeaderSize: settings.maxHeadBytes, keepAliveTimeout: defaultIdleMilliseconds },
        (incoming, response) => {
            if (protocol.isHealthCheck(incoming)) {
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
        const detail = "The only expectation that is met is 100-continue.";
        refuseHead(response, { kind: "refusal", reason: "malformed-request", detail });
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        if (!socket.writable) {
            socket.destroy();
            return;
        }
        const reason: Reason = error.code === "HPE_HEADER_OVERFLOW" ? "head-too-large" : "malformed-request";
        options.onMalformed(reason);
        const detail = "The bytes received are not an acceptable HTTP request.";
        const { statusCode, headers, body } = protocol.formatRefusal({ kind: "refusal", reason, detail }, undefined);
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        socket.end(
            `HTTP/1.1 ${statusCode} Refused\r\nconnection: close\r\n${lines}`
                + `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
        );
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(settings.port, options.bindAddress, resolve);
    });
    const { port } = server.address() as AddressInfo;

    return {
        address: `${options.bindAddress}:${port}`,
        inFlight: () => inFlight,
        setTimeouts: (idleMilliseconds, headMilliseconds) => {
            server.keepAliveTimeout = idleMilliseconds;
            server.headersTimeout = headMilliseconds;
        },
        disableKeepAlive: () => {
            accepting = false;
        },
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
