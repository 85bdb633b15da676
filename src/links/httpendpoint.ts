/**
 * A small HTTP server that answers every request with the result of one function; serves health checks and metrics.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { nextSliceBytes } from "../decisions/heldbytes.ts";
import { afterFreshReads } from "./nextreads.ts";
import { type PacedReads, paceReads } from "./pacedreads.ts";

export type HttpEndpointAnswer = { statusCode: number; contentType: string; body: string };

/** Requests between machines of a deployment are small, and those that do not arrive must not keep others out. */
export const requestTimeouts = { headersTimeout: 2_000, requestTimeout: 4_000, connectionsCheckingInterval: 500 };

/** Answers that may be due on a connection before no more requests are read from it. Collectors and hosts send one at a time. */
const maxDue = 8;
/** Bytes of answers that a client may leave unread; its connection is closed over that. */
const maxUnreadBytes = 262_144;

/**
 * Reads further requests of a connection only as its answers are taken.
 *
 * @param takesUpgrades whether the server upgrades connections; what follows an upgrade is not paced. Call this before that
 * listener is added.
 */
export const paceRequests = (server: Server, takesUpgrades = false): void => {
    const paced = new WeakMap<Duplex, { reads: PacedReads; due: number }>();
    server.on("connection", (socket: Socket) => {
        const state = { due: 0 };
        const reads = paceReads(socket, {
            mayRead: () => state.due < maxDue && socket.writableLength < socket.writableHighWaterMark,
            sliceBytes: () => nextSliceBytes(true),
        });
        paced.set(socket, Object.assign(state, { reads }));
        socket.on("drain", reads.resume);
    });
    server.prependListener("request", (incoming, response) => {
        const state = paced.get(incoming.socket);
        if (state !== undefined) {
            state.due += 1;
            response.once("close", () => {
                state.due -= 1;
                state.reads.resume();
            });
        }
    });
    if (takesUpgrades) {
        server.on("upgrade", incoming => paced.get(incoming.socket)?.reads.release());
    }
};

/** Code of Node's error when a request takes too long to arrive. */
const requestTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";
/** Status lines of refusals by the code of the error, as Node sends them; 400 for all others. */
const statusesOfErrors: Partial<Record<string, string>> = {
    [requestTimeoutCode]: "408 Request Timeout",
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
};

/**
 * Refuses what is no request, and requests that do not arrive in time. Node decides the latter ahead of reads, so what has
 * arrived is read first. A connection that Node has found late is not looked at again before its next request.
 *
 * @param takesUpgrades whether the server upgrades connections; one that does not answers such a request as any other.
 */
const refuseClientErrors = (server: Server, takesUpgrades: boolean): void => {
    const latest = new WeakMap<Duplex, IncomingMessage>();
    const due = new WeakMap<Duplex, number>();
    const addDue = (socket: Duplex, count: number): void => void due.set(socket, (due.get(socket) ?? 0) + count);
    /** Returns the latest request, if its body has arrived as well. */
    const latestWhole = (socket: Duplex): IncomingMessage | undefined => {
        const incoming = latest.get(socket);
        return incoming?.complete === true ? incoming : undefined;
    };
    const refuse = (error: NodeJS.ErrnoException, socket: Duplex): void => {
        // A refusal within an answer would be taken for a part of it, and one of the rest of a body for a second answer.
        const isAnswered = error.code !== requestTimeoutCode && latest.get(socket)?.complete === false;
        if (socket.writable && (due.get(socket) ?? 0) === 0 && !isAnswered) {
            socket.write(
                `HTTP/1.1 ${statusesOfErrors[error.code ?? ""] ?? "400 Bad Request"}\r\nConnection: close\r\n\r\n`,
            );
        }
        socket.destroy(error);
    };
    server.on("request", (incoming, response) => {
        const { socket } = incoming;
        latest.set(socket, incoming);
        addDue(socket, 1);
        response.once("close", () => addDue(socket, -1));
    });
    if (takesUpgrades) {
        server.on("upgrade", incoming => void latest.set(incoming.socket, incoming));
    }
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        if (error.code !== requestTimeoutCode) {
            refuse(error, socket);
            return;
        }
        const before = latestWhole(socket);
        afterFreshReads(() => {
            const now = latestWhole(socket);
            if (now === undefined || now === before) {
                refuse(error, socket);
            }
        });
    });
};

/** Creates a server that accepts upgraded connections only. */
export const createUpgradeServer = (limitConnections?: (server: Server) => void): Server => {
    const server = createServer(requestTimeouts, (request, response) => {
        request.resume();
        response.writeHead(426, { connection: "close" }).end();
    });
    paceRequests(server, true);
    refuseClientErrors(server, true);
    limitConnections?.(server);
    return server;
};

/**
 * Listens on `address:port` and answers every request, whatever its method and path, with the result of `answer`.
 * Resolves when it listens.
 *
 * @param signal closes the server and its connections.
 * @param limitConnections limits the connections of the server.
 */
export const openHttpEndpoint = (
    listen: string,
    answer: () => HttpEndpointAnswer,
    signal: AbortSignal,
    limitConnections?: (server: Server, isIdle: () => boolean) => void,
): Promise<void> =>
    new Promise((resolve, reject) => {
        const [host, port] = listen.split(":");
        // Without a limit on the idle time, whose end may come ahead of a request that has arrived.
        const server = createServer({ ...requestTimeouts, keepAliveTimeout: 0 }, (incoming, response) => {
            incoming.resume();
            if (incoming.socket.writableLength > maxUnreadBytes) {
                incoming.socket.destroy();
                return;
            }
            const { statusCode, contentType, body } = answer();
            response.writeHead(statusCode, { "content-type": contentType, "content-length": Buffer.byteLength(body) });
            response.end(body);
        });
        paceRequests(server);
        refuseClientErrors(server, false);
        // Requests are answered as they arrive, so any connection may be closed for another.
        limitConnections?.(server, () => true);
        server.once("error", reject);
        server.listen(Number(port), host, () => {
            const close = (): void => {
                server.close();
                server.closeAllConnections();
            };
            signal.addEventListener("abort", close, { once: true });
            if (signal.aborted) {
                close();
            }
            resolve();
        });
    });
