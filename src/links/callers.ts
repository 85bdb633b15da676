/**
 * The link to callers: an HTTP server that reads requests within limits, passes them to the router, and writes back the
 * answers of targets or refusals. A `CallerProtocol` reads the requests and formats the refusals.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Clock } from "../contracts/clock.ts";
import { type Outcome, type Reason, reasons } from "../contracts/outcome.ts";
import type { Settings } from "../contracts/settings.ts";
import type { HeldLimits } from "../decisions/heldbytes.ts";
import { createAnswerWriter } from "./answerwriter.ts";
import type { BaseCallerRequest, CallerAnswer, CallerProtocol, CallerRefusal } from "./calleranswers.ts";
import { announcesBody, createBodyReader } from "./callerbody.ts";
import {
    type CallerConnection,
    type ConnectionEnd,
    createCallerConnections,
    type DueAnswer,
} from "./callerconnections.ts";
import { createHeldBytes, defaultHeldLimits } from "./heldbytes.ts";
import type { Metrics } from "./metrics.ts";
import { afterFreshReads, maxHeldTurns, waitForNextReads } from "./nextreads.ts";
import { createRequestLedger, type RequestLedger } from "./requestledger.ts";
import { createSendQueues } from "./sendqueues.ts";

export type { CallerRequest } from "./callerhead.ts";

export type {
    AnswerStream,
    BaseCallerRequest,
    CallerAnswer,
    CallerProtocol,
    CallerRefusal,
    RefusalResponse,
    StreamCut,
    StreamReceiver,
} from "./calleranswers.ts";

export type CallerLinkOptions<Request extends BaseCallerRequest> = {
    /** IP address on which the server listens. */
    bindAddress: string;
    settings: Pick<Settings["callers"], "port" | "maxHeadBytes" | "maxBodyBytes" | "maxBufferedBodyBytes">;
    protocol: CallerProtocol<Request>;
    clock: Clock;
    /** Limits the connections of the server. `isIdle` tells whether one may be closed without harm, `close` closes it. */
    limitConnections?: (
        server: Server,
        isIdle: (socket: Socket) => boolean,
        close: (socket: Socket) => void,
    ) => void;
    /** Routes a request whose body is complete. */
    serve: (request: Request) => Promise<CallerAnswer>;
    /** Called once for each request, after its answer was written or its caller has hung up. */
    onDone: (request: Request, outcome: Outcome, reason: Reason | undefined) => void;
    /**
     * Called when received bytes are refused before a request could be read from them, with the number of answers that
     * were due on their connection.
     */
    onMalformed: (reason: Reason, due: number) => void;
    /** Called when a connection has ended that left a request unanswered, dropped or unfinished. */
    onConnectionEnd?: (end: ConnectionEnd) => void;
    /**
     * Called when serving a request threw an exception. The request is answered as `host-failed`, or its connection is
     * closed if an answer has begun. `requestId` is undefined while the request was not read yet.
     */
    onException?: (error: unknown, requestId: string | undefined) => void;
    /** Limits on what is held for connections; by default those of `defaultHeldLimits`. */
    heldLimits?: HeldLimits;
    /** `held-bytes` tells what is held, `connections-closed-for-memory` counts connections that were closed for it. */
    metrics?: Pick<Metrics, "count" | "gauge">;
    /** Counts the requests and their ends; by default, nothing does. */
    ledger?: RequestLedger;
    /** Whether the load balancer may send requests to this host; answers the health check. */
    healthy: () => boolean;
};

export type CallerLink = {
    /** IP address and port on which the server listens. */
    address: string;
    /** Number of requests whose answers have not been handed to the operating system yet. */
    inFlight: () => number;
    /** Sets how long a connection may stay idle and how long the head of a request may take to arrive. */
    setTimeouts: (idleMilliseconds: number, headMilliseconds: number) => void;
    /** Closes each keep-alive connection after its next answer. New connections are still accepted. */
    disableKeepAlive: () => void;
    /**
     * Accepts no new connections, closes idle ones, and closes the others after their next answer. Those that were opened before
     * are accepted first, for the given time at most. Resolves when the idle ones are closed.
     */
    stopAccepting: (withinMilliseconds?: number) => Promise<void>;
    /** Closes the server and all connections, once what has arrived is read and refused. */
    close: () => Promise<void>;
};

const defaultIdleTimeoutMilliseconds = 30_000;
/** Pause between checks for heads that take too long to arrive. */
const headCheckMilliseconds = 500;
/** Time for which a server accepts connections that were opened before it stops to, and before it closes. */
const acceptMilliseconds = { beforeStop: 1_000, beforeClose: 200 };
/** Length of a turn within which a connection may have come to a server that is about to accept no more. */
const heldAcceptMilliseconds = 2;
/** Turns that a stop waits for before it closes idle connections, on a host whose turns are long; it has to end in time. */
const heldTurnsBeforeStop = 2;

const hasHungUp = ({ socket }: IncomingMessage): boolean => socket.readableEnded || socket.destroyed;

/**
 * Whether the name of a header contains a space, given alternating names and values. Node's parser refuses such a name
 * on some processors only, and a target may read `transfer-encoding :` in another way than this host.
 */
const hasSpaceInName = (rawHeaders: string[]): boolean =>
    rawHeaders.some((text, index) => index % 2 === 0 && text.includes(" "));

/** Reasons of refusals by the code of the parser's error; `malformed-request` for all others. */
const reasonsOfErrors: Partial<Record<string, Reason>> = {
    HPE_HEADER_OVERFLOW: "head-too-large",
};
/** Code of the parser's error when a request takes too long to arrive. */
const requestTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/** Opens the server; resolves once it listens. */
export const createCallerLink = async <Request extends BaseCallerRequest>(
    options: CallerLinkOptions<Request>,
): Promise<CallerLink> => {
    const { settings, clock, protocol } = options;
    let inFlight = 0;
    let keepsAlive = true;
    let isClosing = false;
    const connections = createCallerConnections({
        clock,
        idleMilliseconds: () => server.keepAliveTimeout,
        sendQueues: createSendQueues(clock),
        formatIdleEnd: () => formatBytes({ kind: "refusal", reason: "read-timed-out", detail: "" }),
        ledger: options.ledger ?? createRequestLedger(),
        held: createHeldBytes({ limits: options.heldLimits ?? defaultHeldLimits, clock, metrics: options.metrics }),
        onEnd: end => options.onConnectionEnd?.(end),
    });
    const { writeRefusal, writeAnswer, formatBytes } = createAnswerWriter({ protocol, keepsAlive: () => keepsAlive });

    const refuseHead = (due: DueAnswer, refusal: CallerRefusal): void => {
        writeRefusal(due, refusal, true);
        // The refusal itself is due as well.
        options.onMalformed(refusal.reason, due.connection.due() - 1);
    };

    const readBody = createBodyReader({
        maxBodyBytes: settings.maxBodyBytes,
        maxBufferedBytes: settings.maxBufferedBodyBytes,
        clock,
    });

    const answerCaller = async (request: Request, incoming: IncomingMessage, due: DueAnswer): Promise<void> => {
        // A host whose event loop runs late receives requests whose callers have already hung up.
        await waitForNextReads();
        if (isClosing || hasHungUp(incoming)) {
            const reason: Reason = hasHungUp(incoming) ? "cancelled" : "host-stopping";
            writeRefusal(due, { kind: "refusal", reason, detail: reasons[reason].title }, false);
            options.onDone(request, reasons[reason].outcome, reason);
            return;
        }
        const answer = await options.serve(request);
        if (answer.kind === "refusal") {
            writeRefusal(due, answer, false);
            options.onDone(request, reasons[answer.reason].outcome, answer.reason);
            return;
        }
        const whole = await writeAnswer(due, request.id, answer);
        options.onDone(request, whole ? "answered" : "unknown", whole ? undefined : "answer-cut-short");
    };

    /** Ends a request whose handling threw an exception. Whether it has run is not known. */
    const answerFailed = (request: Request, due: DueAnswer, error: unknown): void => {
        options.onException?.(error, request.id);
        const reason: Reason = "host-failed";
        options.onDone(request, reasons[reason].outcome, reason);
        if (due.response.headersSent) {
            due.connection.nameEnd("exception");
            due.response.destroy();
            return;
        }
        writeRefusal(due, { kind: "refusal", reason, detail: reasons[reason].title }, true);
    };

    const serve = async (incoming: IncomingMessage, due: DueAnswer): Promise<void> => {
        const { response, connection } = due;
        if (hasSpaceInName(incoming.rawHeaders)) {
            const detail = "The name of a header contains a space.";
            refuseHead(due, { kind: "refusal", reason: "malformed-request", detail });
            return;
        }
        const request = protocol.read(incoming, clock.now());
        if ("kind" in request) {
            refuseHead(due, request);
            return;
        }
        due.requestId = request.id;
        const hangUp = (): void => {
            request.hangUp.happened = true;
            request.hangUp.listener?.();
        };
        due.onCallerEnd = hangUp;
        response.once("close", () => {
            if (!response.writableFinished) {
                hangUp();
            }
        });
        const answer = (): Promise<void> =>
            answerCaller(request, incoming, due).catch((error: unknown) => answerFailed(request, due, error));
        if (!announcesBody(incoming)) {
            await answer();
            return;
        }
        const result = await readBody(incoming, request.deadlineAt, breakBody => {
            due.breakBody = breakBody;
        });
        if ("reason" in result) {
            writeRefusal(due, { kind: "refusal", ...result }, true);
            options.onDone(request, reasons[result.reason].outcome, result.reason);
            return;
        }
        connection.recordBodyRead();
        request.body = result.body;
        await answer().finally(result.release);
    };

    const dropRequest = (connection: CallerConnection, incoming: IncomingMessage): void => {
        connection.drop();
        incoming.on("data", () => connection.drop(incoming));
    };

    const server = createServer(
        {
            maxHeaderSize: settings.maxHeadBytes,
            keepAliveTimeout: defaultIdleTimeoutMilliseconds,
            connectionsCheckingInterval: headCheckMilliseconds,
        },
        (incoming, response) => {
            const connection = connections.of(incoming.socket);
            const isHealthCheck = protocol.isHealthCheck(incoming);
            const due = connection.begin(response, isHealthCheck);
            if (due === undefined) {
                dropRequest(connection, incoming);
                return;
            }
            if (isHealthCheck) {
                response.writeHead(options.healthy() ? 200 : 503).end();
                return;
            }
            inFlight += 1;
            const served = serve(incoming, due).catch((error: unknown) => {
                connection.nameEnd("exception");
                response.destroy();
                options.onException?.(error, undefined);
            });
            const written = new Promise(resolve => response.once("close", resolve));
            void Promise.all([served, written]).then(() => {
                inFlight -= 1;
            });
        },
    );
    options.limitConnections?.(
        server,
        socket => connections.of(socket).isIdle(),
        socket => connections.of(socket).destroy("host-closed"),
    );
    /** Refuses bytes that are no request, after the answers that are due. */
    const refuseBytes = (connection: CallerConnection, reason: Reason): void => {
        if (!connection.isOpen()) {
            connection.drop();
            return;
        }
        const detail = "The bytes received are not an acceptable HTTP request.";
        options.onMalformed(reason, connection.due());
        if (!connection.breakBody(reason, detail)) {
            connection.refuse(formatBytes({ kind: "refusal", reason, detail }), reason);
        }
    };
    const refuseUnfinished = (reason: Reason): void =>
        connections.unfinished().forEach(connection => refuseBytes(connection, reason));
    let cancelHeadLimit = (): void => undefined;
    server.on("connection", socket => void connections.of(socket));
    server.on("timeout", socket => connections.of(socket).onTimeout());
    server.on("checkExpectation", (incoming: IncomingMessage, response: ServerResponse) => {
        const connection = connections.of(incoming.socket);
        const due = connection.begin(response);
        const detail = "The only expectation that is met is 100-continue.";
        if (due === undefined) {
            dropRequest(connection, incoming);
            return;
        }
        refuseHead(due, { kind: "refusal", reason: "malformed-request", detail });
    });
    server.on("connect", (...[, stream]) => {
        const connection = connections.of(stream as Socket);
        refuseBytes(connection, "malformed-request");
        stream.on("data", () => connection.drop());
    });
    server.on("clientError", (error: NodeJS.ErrnoException, stream) => {
        if (stream.destroyed) {
            return;
        }
        const connection = connections.of(stream as Socket);
        if (error.code === requestTimeoutCode && connection.isHeldBack()) {
            // The rest of the head may be there.
            return;
        }
        if (error.code !== requestTimeoutCode) {
            refuseBytes(connection, reasonsOfErrors[error.code ?? ""] ?? "malformed-request");
            return;
        }
        // Node also counts the time before the first byte, of which the idle time is the limit. Behind a request, it counts
        // only from the first byte of the next one, which may have come with that request.
        if (connection.hasBegun() || !connection.isIdle()) {
            const before = connection.requestBytes();
            afterFreshReads(() => {
                if (connection.requestBytes() === before && !stream.destroyed) {
                    refuseBytes(connection, "read-timed-out");
                }
            });
        }
    });
    // A caller that closes its sending half may still read; see docs/decisions/closed-callers.md.
    Object.assign(server, { httpAllowHalfOpen: true });
    // Node's own function ends connections whose last answer was not handed to the operating system yet, and closes idle ones
    // before what has arrived on them is read.
    server.closeIdleConnections = () => undefined;
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(settings.port, options.bindAddress, resolve);
    });
    const { port } = server.address() as AddressInfo;
    let accepted = 0;
    server.on("connection", () => {
        accepted += 1;
    });

    /**
     * Accepts and reads what has arrived. Node accepts one connection in a turn of the event loop, and the system resets those
     * that still wait when the server closes. After a turn in which it was held others may have come, so that some time is left
     * to accept them, for a few such turns.
     */
    const acceptWaiting = async (milliseconds: number): Promise<void> => {
        let endAt = clock.now() + milliseconds;
        let heldTurns = 0;
        let wasHeld: boolean;
        let before: number;
        do {
            before = accepted;
            const startedAt = clock.now();
            await waitForNextReads();
            const passed = clock.now() - startedAt;
            wasHeld = passed >= heldAcceptMilliseconds && heldTurns < maxHeldTurns;
            if (wasHeld) {
                heldTurns += 1;
                endAt = Math.max(endAt, clock.now() + acceptMilliseconds.beforeClose);
            }
        }
        while ((accepted > before || wasHeld) && clock.now() < endAt);
    };

    return {
        address: `${options.bindAddress}:${port}`,
        inFlight: () => inFlight,
        setTimeouts: (idleMilliseconds, headMilliseconds) => {
            server.keepAliveTimeout = idleMilliseconds;
            server.headersTimeout = headMilliseconds;
        },
        disableKeepAlive: () => {
            keepsAlive = false;
        },
        stopAccepting: async (withinMilliseconds = acceptMilliseconds.beforeStop) => {
            keepsAlive = false;
            await acceptWaiting(withinMilliseconds);
            server.close();
            // A closed server checks no heads any more.
            cancelHeadLimit = clock.after(server.headersTimeout, () => refuseUnfinished("read-timed-out"));
            await new Promise<void>(resolve => afterFreshReads(resolve, heldTurnsBeforeStop));
            connections.endIdle();
        },
        close: async () => {
            // What is read from now on could not be answered before its connection is closed.
            isClosing = true;
            keepsAlive = false;
            cancelHeadLimit();
            await connections.measureUnread();
            if (server.listening) {
                await acceptWaiting(acceptMilliseconds.beforeClose);
            }
            const closed = new Promise<void>(resolve => {
                server.close(() => resolve());
            });
            // Requests that were read only now are refused within further turns.
            await waitForNextReads();
            refuseUnfinished("host-stopping");
            connections.breakBodies("host-stopping", "The host stops before the request has arrived whole.");
            // The refusals are written behind promises.
            await waitForNextReads();
            connections.destroyAll("host-stopped");
            await closed;
        },
    };
};
