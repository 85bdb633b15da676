/**
 * The connections of callers. Answers that are due on a connection are written whole and in the order of their requests,
 * then the refusal of bytes that followed them, then the connection ends.
 *
 * A connection is `open` while it takes requests; `closing` once an answer that announces its end was begun; `refused`
 * while the refusal of bytes waits for the answers before it; `ended` when the last bytes were written. In all but the
 * first, what arrives is dropped, and beyond a limit it is read with pauses.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../contracts/clock.ts";
import type { Reason } from "../contracts/outcome.ts";
import type { Held } from "../decisions/heldbytes.ts";
import type { BodyBreaker } from "./callerbody.ts";
import type { HeldBytes } from "./heldbytes.ts";
import { afterFreshReads } from "./nextreads.ts";
import { paceReads } from "./pacedreads.ts";
import { createConnectionLedger, type RecordRequestEnd, requestEnds, type RequestLedger } from "./requestledger.ts";
import { type SendQueues, unwrittenBytes } from "./sendqueues.ts";
import { createStallWatch } from "./stalledcallers.ts";

/** Why a connection ended while answers were due on it, and who ended it. */
export const connectionEnds = {
    /** The caller closed the connection, or its sending half. */
    "caller-closed": "caller",
    /** The connection was reset, or broke. */
    "caller-reset": "caller",
    /** The caller took no bytes of an answer for the idle time. */
    "caller-stalled": "caller",
    /** The caller took no bytes of its answers while the host was over its bound on what it holds. */
    "host-memory": "caller",
    "answer-cut-short": "target",
    /** The time of the request's route was over before its answer was written whole. */
    "answer-timed-out": "host",
    /** Only the end of the connection ended an answer, and others were due behind it. */
    "answer-without-length": "target",
    exception: "host",
    /** The host closed all connections, since it stopped. */
    "host-stopped": "host",
    /** The host closed the connection for another reason. */
    "host-closed": "host",
} as const;

export type ConnectionEndReason = keyof typeof connectionEnds;

type Phase = "open" | "closing" | "refused" | "ended";

/** The end of a connection that left a request unanswered, dropped or unfinished. */
export type ConnectionEnd = {
    reason: ConnectionEndReason;
    phase: Phase;
    /** Number of answers that had not been written whole; `requestIds` names the first few. */
    due: number;
    requestIds: string[];
    /** Number of requests that arrived after the host had begun to end the connection. */
    dropped: number;
    /** Bytes of a request whose head had not arrived whole when the host closed the connection. */
    unfinishedBytes: number;
    /** Bytes that the system held unread shortly before the end; undefined when the system does not tell. */
    unreadBytes: number | undefined;
};

/**
 * An answer that is due. The id is set when it has been read, `breakBody` when the reading of the request's body has
 * begun. `onCallerEnd` is called when the caller ends its sending half.
 */
export type DueAnswer = {
    connection: CallerConnection;
    response: ServerResponse;
    requestId: string | undefined;
    /** Set when a refusal is written as the answer. */
    refusedFor: Reason | undefined;
    breakBody: BodyBreaker | undefined;
    onCallerEnd: (() => void) | undefined;
};

export type CallerConnection = {
    /**
     * Records that a request has begun, so that its answer is due until it is written whole. Returns undefined when the
     * connection takes no more requests; the request must be dropped. The ledger leaves out health checks.
     */
    begin: (response: ServerResponse, isHealthCheck?: boolean) => DueAnswer | undefined;
    /** Number of answers that are due. */
    due: () => number;
    /** Whether the connection may end after the answer: neither another answer nor a refusal is due behind it. */
    isLast: (answer: DueAnswer) => boolean;
    /** Takes no more requests, since an answer that announces the end of the connection is about to be written. */
    announceEnd: () => void;
    /** Whether a request has ever begun on the connection. */
    hasBegun: () => boolean;
    /** Whether the connection takes requests. */
    isOpen: () => boolean;
    /** Number of bytes that were read up to the end of the latest request that has arrived. */
    requestBytes: () => number;
    /** Whether bytes wait until the host takes further requests of the connection. */
    isHeldBack: () => boolean;
    /** Ends the connection with the bytes of a refusal, after the answers that are due. */
    refuse: (bytes: string, reason: Reason) => void;
    /** Notes that bytes arrived which are dropped, on the socket or as the body of a request. */
    drop: (incoming?: IncomingMessage) => void;
    /** Ends the reading of a body that can not be completed. Returns false when all requests have arrived whole. */
    breakBody: (reason: Reason, detail: string) => boolean;
    /** Notes that the body of the latest request has arrived whole. */
    recordBodyRead: () => void;
    /** Whether nothing is due on the connection and no part of a request has arrived. */
    isIdle: () => boolean;
    /** Ends the connection if it is idle after a request, or else when no more answers are due. */
    endWhenIdle: () => void;
    /** Gives the caller up if it takes nothing of what waits to be written to it for the idle time. */
    watchTaking: () => void;
    /** Called when nothing was read or written for the socket's time-out. */
    onTimeout: () => void;
    /** Names the reason if the connection ends now. The first reason named counts. */
    nameEnd: (reason: ConnectionEndReason) => void;
    /** Closes the connection at once, whatever is due. An idle one is told so. */
    destroy: (reason: ConnectionEndReason) => void;
};

export type CallerConnections = {
    /** Returns the connection of a socket; it is created with the first call. */
    of: (socket: Socket) => CallerConnection;
    /** Calls `endWhenIdle` of all connections. */
    endIdle: () => void;
    /** Returns the connections on which a part of a request has arrived and no answer is due. */
    unfinished: () => CallerConnection[];
    /** Calls `breakBody` of all connections. */
    breakBodies: (reason: Reason, detail: string) => void;
    destroyAll: (reason: ConnectionEndReason) => void;
    /** Notes what is unread on the connections on which answers are due. Takes a limited time. */
    measureUnread: () => Promise<void>;
};

export type CallerConnectionsOptions = {
    clock: Clock;
    /** Time after which a caller that takes no bytes of its answers is given up; 0 for none. */
    idleMilliseconds: () => number;
    sendQueues: SendQueues;
    /**
     * Returns the bytes with which the host ends an idle connection: the refusal of a request that crosses the end, which the
     * caller would see as lost otherwise.
     */
    formatIdleEnd: () => string;
    ledger: RequestLedger;
    /** What the host holds for all connections. */
    held: HeldBytes;
    /**
     * Called once when a connection, or the caller's half of it, has ended while answers were due on it, and when a
     * connection has ended on which the host dropped requests or left one unfinished.
     */
    onEnd: (end: ConnectionEnd) => void;
};

const maxIdsTold = 5;
/** Answers that are due on a connection from which its further requests wait their turn among those of other connections. */
const minDeferredRequests = 8;
/** Requests that are dropped one by one on a connection; what follows is dropped unparsed. */
const maxDroppedRequests = 64;
/** Bytes that are read and dropped before each pause. The close of a caller's connection is noticed behind them. */
const maxDroppedBytes = 16_384;
const dropPauseMilliseconds = 10;
/**
 * How long the host waits for the caller to close its half. A connection that is closed with unread bytes is reset, and
 * the caller may lose the answers that were written last.
 */
const lingerMilliseconds = 1_000;
/** Limit on the time for which a close waits to be told what is unread. */
const measureMilliseconds = 30;

const openConnection = (
    socket: Socket,
    { clock, idleMilliseconds, sendQueues, formatIdleEnd, ledger, held, onEnd }: CallerConnectionsOptions,
): CallerConnection & { measureUnread: () => Promise<void> } => {
    const dueAnswers = new Set<DueAnswer>();
    let phase: Phase = "open";
    let refusal: { bytes: string; reason: Reason; recordEnd: RecordRequestEnd } | undefined;
    const requests = createConnectionLedger(ledger);
    let endsWhenIdle = false;
    let hasBegun = false;
    /** Bytes that were read up to the end of the latest request, and up to the last one that was taken. */
    let requestBytes = 0;
    let takenBytes = 0;
    let namedEnd: ConnectionEndReason | undefined;
    let failed = false;
    let wasEndTold = false;
    let dropped = 0;
    let unreadBytes: number | undefined;
    let cancelLinger = (): void => undefined;
    let cancelPause: (() => void) | undefined;
    let cancelDiscard = (): void => undefined;
    let headBytes = 0;
    /** Bytes of the latest request's body that have not been parsed, at least. */
    let bodyBytes = 0;
    let sliceBytes = 0;
    let latest: IncomingMessage | undefined;

    const heldNow = (): Held => ({
        requests: dueAnswers.size,
        headBytes,
        answerBytes: [...dueAnswers].reduce(
            (sum, { response }) => sum + (response.socket === socket ? 0 : response.writableLength),
            socket.writableLength,
        ),
    });
    const reads = paceReads(socket, {
        // The rest of a body is always read, since the answer to its request waits for it.
        mayRead: () => phase !== "open" || latest?.complete === false || held.mayRead(heldNow()),
        sliceBytes: () => Math.max(bodyBytes, held.sliceBytes()),
        isDeferred: () => dueAnswers.size >= minDeferredRequests && latest?.complete === true,
        onSlice: bytes => {
            sliceBytes = bytes;
            bodyBytes = Math.max(0, bodyBytes - bytes);
        },
    });
    /** Bytes that have been read and parsed. */
    const parsedBytes = (): number => socket.bytesRead - reads.waitingBytes() - socket.readableLength;
    const heldConnection = held.open({
        held: heldNow,
        isRunning: () => [...dueAnswers].some(({ response }) => !response.headersSent),
        taken: () => socket.bytesWritten,
        resume: reads.resume,
        close: () => destroy("host-memory"),
    });

    const nameEnd = (reason: ConnectionEndReason): void => {
        namedEnd ??= reason;
    };
    const isIdle = (): boolean => phase === "open" && dueAnswers.size === 0 && socket.bytesRead === requestBytes;
    const destroy = (reason: ConnectionEndReason): void => {
        nameEnd(reason);
        if (hasBegun && isIdle() && socket.writable) {
            socket.write(formatIdleEnd());
        }
        socket.destroy();
    };
    const leave = (next: Phase): void => {
        if (phase === "open") {
            takenBytes = socket.bytesRead;
        }
        phase = next;
        socket.setTimeout(idleMilliseconds());
    };
    const measureUnread = async (): Promise<void> => {
        if (dueAnswers.size > 0 || dropped > 0) {
            unreadBytes = await sendQueues.unread(socket);
        }
    };
    const end = (lastBytes: string, onWritten = (): void => undefined): void => {
        leave("ended");
        socket.end(lastBytes, () => {
            if (!socket.destroyed) {
                onWritten();
            }
            cancelLinger = clock.after(lingerMilliseconds, () => void measureUnread().finally(() => socket.destroy()));
        });
        // The close of all connections may come before Node tells that the system has taken the bytes.
        if (unwrittenBytes(socket) === 0 && !socket.errored) {
            onWritten();
        }
    };
    const endIfNothingIsDue = (): void => {
        if (dueAnswers.size > 0 || !socket.writable) {
            return;
        }
        if (refusal !== undefined) {
            const { bytes, reason, recordEnd } = refusal;
            end(bytes, () => recordEnd(requestEnds.refused, reason));
        }
        else if (endsWhenIdle && hasBegun && isIdle()) {
            end(formatIdleEnd());
        }
    };

    /** Ends the connection after a time without bytes. */
    const endUnused = (): void => {
        if (hasBegun && isIdle() && socket.writable) {
            end(formatIdleEnd());
        }
        else {
            destroy("caller-stalled");
        }
    };

    const stallWatch = createStallWatch({
        socket,
        clock,
        idleMilliseconds,
        sendQueues,
        onStalled: () => void measureUnread().then(() => destroy("caller-stalled")),
    });

    socket.setTimeout(idleMilliseconds());
    socket.once("error", () => {
        failed = true;
    });
    const tellEnd = (reason: ConnectionEndReason): void => {
        const due = dueAnswers.size;
        const isOfCaller = reason === "caller-closed" || reason === "caller-reset";
        const isUnfinished = phase === "open" && due === 0 && !isOfCaller;
        const unfinishedBytes = isUnfinished ? socket.bytesRead - requestBytes : 0;
        if (wasEndTold || (due === 0 && dropped === 0 && unfinishedBytes === 0)) {
            return;
        }
        wasEndTold = true;
        const requestIds = [...dueAnswers].flatMap(({ requestId }) => requestId ?? []).slice(0, maxIdsTold);
        onEnd({ reason, phase, due, requestIds, dropped, unfinishedBytes, unreadBytes });
    };
    /** Who ended its half first, once one of them has. */
    let firstEnd: ConnectionEndReason | undefined;
    // Ahead of Node's listener, which has a head that has come in part refused.
    socket.prependOnceListener("end", () => {
        // A caller also closes its half when the host has ended the connection.
        firstEnd = phase === "ended" ? namedEnd ?? "host-closed" : "caller-closed";
    });
    socket.once("end", () => {
        if (firstEnd !== undefined && dueAnswers.size > 0) {
            tellEnd(firstEnd);
        }
        dueAnswers.forEach(({ onCallerEnd }) => onCallerEnd?.());
    });
    socket.on("drain", reads.resume);
    socket.once("close", () => {
        heldConnection.remove();
        cancelLinger();
        cancelPause?.();
        cancelDiscard();
        stallWatch.stop();
        const reason = namedEnd ?? firstEnd ?? (failed ? "caller-reset" : "host-closed");
        tellEnd(reason);
        if (phase === "open" && dueAnswers.size === 0 && socket.bytesRead > requestBytes) {
            requests.begin();
        }
        const requestEnd = connectionEnds[reason] === "caller" ? requestEnds.callerGone : requestEnds.cut;
        requests.endAll(requestEnd, reason);
    });

    const connection: CallerConnection = {
        begin: (response, isHealthCheck = false) => {
            if (phase !== "open") {
                if (!isHealthCheck) {
                    dropped += 1;
                    requests.begin()(requestEnds.dropped, phase);
                }
                if (dropped >= maxDroppedRequests) {
                    reads.discard(goOn => {
                        cancelDiscard = clock.after(dropPauseMilliseconds, goOn);
                    });
                }
                return undefined;
            }
            const recordEnd = isHealthCheck ? undefined : requests.begin();
            const answer: DueAnswer = {
                connection,
                response,
                requestId: undefined,
                refusedFor: undefined,
                breakBody: undefined,
                onCallerEnd: undefined,
            };
            dueAnswers.add(answer);
            latest = response.req;
            bodyBytes = Math.max(0, Number(latest.headers["content-length"] ?? 0) - sliceBytes) || 0;
            if (!hasBegun) {
                hasBegun = true;
                socket.setTimeout(0);
            }
            const ownHeadBytes = parsedBytes() - requestBytes;
            headBytes += ownHeadBytes;
            requestBytes = parsedBytes();
            heldConnection.change(1, ownHeadBytes);
            response.once("finish", () => {
                // Node also emits this for an answer of which a part was dropped with the connection.
                if (!socket.destroyed) {
                    dueAnswers.delete(answer);
                    headBytes -= ownHeadBytes;
                    heldConnection.change(-1, -ownHeadBytes);
                    reads.resume();
                    const { refusedFor } = answer;
                    recordEnd?.(refusedFor === undefined ? requestEnds.answered : requestEnds.refused, refusedFor);
                    endIfNothingIsDue();
                    stallWatch.start();
                }
            });
            return answer;
        },
        due: () => dueAnswers.size,
        isLast: answer => refusal === undefined && [...dueAnswers].at(-1) === answer,
        announceEnd: () => {
            if (phase === "open") {
                leave("closing");
                // Node calls this after the last answer.
                socket.destroySoon = () => end("");
            }
        },
        hasBegun: () => hasBegun,
        isOpen: () => phase === "open",
        requestBytes: () => requestBytes,
        isHeldBack: () => reads.waitingBytes() > 0,
        refuse: (bytes, reason) => {
            if (phase === "open") {
                refusal = { bytes, reason, recordEnd: requests.begin() };
                leave("refused");
                endIfNothingIsDue();
            }
        },
        drop: incoming => {
            // A body that flows resumes its socket, so that a pause of the socket would not hold.
            const source = incoming ?? socket;
            if (socket.bytesRead - takenBytes > maxDroppedBytes && cancelPause === undefined && !socket.destroyed) {
                source.pause();
                cancelPause = clock.after(dropPauseMilliseconds, () => {
                    cancelPause = undefined;
                    takenBytes = socket.bytesRead;
                    source.resume();
                });
            }
        },
        breakBody: (reason, detail) => {
            const latestAnswer = [...dueAnswers].at(-1);
            // The body of a whole request may not have been passed on yet.
            if (latestAnswer?.breakBody === undefined || latestAnswer.response.req.complete) {
                return false;
            }
            latestAnswer.breakBody(reason, detail);
            return true;
        },
        recordBodyRead: () => {
            requestBytes = parsedBytes();
        },
        isIdle,
        endWhenIdle: () => {
            endsWhenIdle = true;
            endIfNothingIsDue();
        },
        watchTaking: stallWatch.start,
        onTimeout: () => {
            const { bytesRead } = socket;
            afterFreshReads(() => {
                if (dueAnswers.size > 0) {
                    stallWatch.start();
                    socket.setTimeout(idleMilliseconds());
                }
                else if (socket.bytesRead === bytesRead) {
                    endUnused();
                }
            });
        },
        nameEnd,
        destroy,
    };
    return Object.assign(connection, { measureUnread });
};

/** Creates the set of a link's connections, which is empty at first. */
export const createCallerConnections = (options: CallerConnectionsOptions): CallerConnections => {
    const connections = new Map<Socket, ReturnType<typeof openConnection>>();
    return {
        of: socket => {
            const connection = connections.get(socket) ?? openConnection(socket, options);
            if (!connections.has(socket) && !socket.destroyed) {
                connections.set(socket, connection);
                socket.once("close", () => connections.delete(socket));
            }
            return connection;
        },
        endIdle: () => connections.forEach(connection => connection.endWhenIdle()),
        unfinished: () =>
            [...connections.values()].filter(connection =>
                connection.isOpen() && connection.due() === 0 && !connection.isIdle()
            ),
        breakBodies: (reason, detail) => connections.forEach(connection => connection.breakBody(reason, detail)),
        destroyAll: reason => connections.forEach(connection => connection.destroy(reason)),
        measureUnread: async () => {
            const measured = Promise.all([...connections.values()].map(connection => connection.measureUnread()));
            await Promise.race([measured, options.clock.sleep(measureMilliseconds)]);
        },
    };
};
