/**
 * The link to callers: an HTTP server that reads requests within limits, hands them on, and writes back whole answers
 * or refusals as problem details (RFC 9457).
 */
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import type { Clock } from "../contracts/clock.ts";
import { callerHeaders, type Outcome, outcomes, type Reason, reasons } from "../contracts/outcome.ts";
import type { Settings } from "../contracts/settings.ts";

export type CallerRequest = {
    id: string;
    method: string;
    pool: string;
    /** Path below the pool with its query, beginning with `/`. */
    path: string;
    headers: IncomingMessage["headers"];
    body: Buffer | undefined;
    key: string | undefined;
    idempotencyKey: string | undefined;
    /** 1 for the first send; undefined when the caller does not say. */
    attempt: number | undefined;
    /** Monotonic milliseconds on the host's clock. */
    receivedAt: number;
    deadlineAt: number;
    /** Aborts when the caller hangs up. */
    signal: AbortSignal;
};

/** A target's whole answer, or a refusal. */
export type CallerAnswer =
    | { kind: "answer"; statusCode: number; headers: Record<string, string>; body: Readable }
    | { kind: "refusal"; reason: Reason; detail: string; retryAfterMilliseconds?: number };

export type CallerLinkOptions = {
    host: string;
    settings: Settings["callers"];
    clock: Clock;
    serve: (request: CallerRequest) => Promise<CallerAnswer>;
    /** Called once for each request when its answer was written or its caller is gone. */
    onDone: (request: CallerRequest, outcome: Outcome, reason: Reason | undefined) => void;
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

const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Buffer | "too-large" | undefined> => {
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
        return "too-large";
    }
    const parts: Buffer[] = [];
    let size = 0;
    for await (const part of request) {
        size += (part as Buffer).length;
        if (size > maxBytes) {
            return "too-large";
        }
        parts.push(part as Buffer);
    }
    return size === 0 ? undefined : Buffer.concat(parts);
};

const splitPath = (url: string): { pool: string; path: string } => {
    const end = url.indexOf("/", 1);
    const pool = end === -1 ? url.slice(1) : url.slice(1, end);
    return { pool: pool.split("?")[0], path: end === -1 ? "/" : url.slice(end) };
};

const textHeader = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === "string" && value !== "" ? value : undefined;
};

/** Opens the server. */
export const createCallerLink = async (options: CallerLinkOptions): Promise<CallerLink> => {
    const { settings, clock } = options;
    const sockets = new Set<Socket>();
    let inFlight = 0;
    let accepting = true;

    const writeRefusal = (response: ServerResponse, id: string, answer: CallerAnswer & { kind: "refusal" }): void => {
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
        if (!accepting) {
            headers["connection"] = "close";
        }
        response.writeHead(facts.statusCode, headers);
        response.end(body);
    };

    /** True when the whole body was passed on. A body cut short closes the caller's connection instead. */
    const writeAnswer = async (
        response: ServerResponse,
        id: string,
        answer: CallerAnswer & { kind: "answer" },
    ): Promise<boolean> => {
        const closing: Record<string, string> = accepting ? {} : { connection: "close" };
        response.writeHead(answer.statusCode, {
            ...answer.headers,
            ...closing,
            [callerHeaders.outcome]: outcomes.answered,
            [callerHeaders.requestId]: id,
        });
        try {
            await pipeline(answer.body, response);
            return true;
        }
        catch {
            response.destroy();
            return false;
        }
    };

    const deadlineOf = (request: IncomingMessage, receivedAt: number): number => {
        const asked = Number(textHeader(request, callerHeaders.deadline));
        const wanted = Number.isFinite(asked) && asked > 0 ? asked : settings.defaultDeadlineMilliseconds;
        return receivedAt + Math.min(wanted, settings.maxDeadlineMilliseconds);
    };

    const serve = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
        const receivedAt = clock.now();
        const hangUp = new AbortController();
        response.once("close", () => hangUp.abort());
        const { pool, path } = splitPath(incoming.url ?? "/");
        const request: CallerRequest = {
            id: randomUUID(),
            method: incoming.method ?? "GET",
            pool,
            path,
            headers: incoming.headers,
            body: undefined,
            key: textHeader(incoming, callerHeaders.key),
            idempotencyKey: textHeader(incoming, callerHeaders.idempotencyKey),
            attempt: Number(textHeader(incoming, callerHeaders.attempt)) || undefined,
            receivedAt,
            deadlineAt: deadlineOf(incoming, receivedAt),
            signal: hangUp.signal,
        };
        const body = await readBody(incoming, settings.maxBodyBytes);
        if (body === "too-large") {
            const detail = `The body is larger than ${settings.maxBodyBytes} bytes.`;
            writeRefusal(response, request.id, { kind: "refusal", reason: "body-too-large", detail });
            options.onDone(request, "not-run", "body-too-large");
            return;
        }
        request.body = body;
        const answer = await options.serve(request);
        if (answer.kind === "refusal") {
            writeRefusal(response, request.id, answer);
            options.onDone(request, reasons[answer.reason].outcome, answer.reason);
            return;
        }
        const whole = await writeAnswer(response, request.id, answer);
        options.onDone(request, whole ? "answered" : "unknown", whole ? undefined : "answer-cut-short");
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
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        if (!socket.writable) {
            socket.destroy();
            return;
        }
        const reason: Reason = error.code === "HPE_HEADER_OVERFLOW" ? "head-too-large" : "malformed-request";
        const { statusCode } = reasons[reason];
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
