/**
 * The connections of callers: which answers are due on each, in the order of their requests, and why a connection ended
 * while some still were.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Why a connection ended while answers were due on it, and who ended it. */
export const connectionEnds = {
    /** The caller closed the connection, or its sending half. */
    "caller-closed": "caller",
    /** The connection was reset, or broke. */
    "caller-reset": "caller",
    /** The bytes that followed were refused. */
    "bytes-refused": "caller",
    "answer-cut-short": "target",
    /** Only the end of the connection ended an answer, and others were due behind it. */
    "answer-without-length": "target",
    exception: "host",
    /** The host closed all connections, since it stopped. */
    "host-stopped": "host",
    /** The host closed the connection for another reason, such as a time limit. */
    "host-closed": "host",
} as const;

export type ConnectionEndReason = keyof typeof connectionEnds;

/** The end of a connection on which `due` answers were not written whole; `requestIds` names the first few. */
export type ConnectionEnd = { reason: ConnectionEndReason; due: number; requestIds: string[] };

/** An answer that is due. The id is set when it has been read. */
export type DueAnswer = { response: ServerResponse; requestId: string | undefined };

export type CallerConnection = {
    /** Records that a request has begun, so that its answer is due until it is written whole. */
    begin: (response: ServerResponse) => DueAnswer;
    /** Number of answers that are due. */
    due: () => number;
    /** Names the reason if the connection ends now. The first reason named counts. */
    nameEnd: (reason: ConnectionEndReason) => void;
    /** Closes the connection at once, whatever is due. */
    destroy: (reason: ConnectionEndReason) => void;
};

export type CallerConnections = {
    /** Takes in a new connection. */
    accept: (socket: Socket) => void;
    /** Returns the connection of a socket that was accepted and is not closed. */
    of: (socket: Socket) => CallerConnection | undefined;
    destroyAll: (reason: ConnectionEndReason) => void;
};

export type CallerConnectionsOptions = {
    /** Called when a connection has ended while answers were due on it. */
    onEnd: (end: ConnectionEnd) => void;
};

const maxIdsTold = 5;

/** Creates the set of a link's connections, which is empty at first. */
export const createCallerConnections = ({ onEnd }: CallerConnectionsOptions): CallerConnections => {
    const connections = new Map<Socket, CallerConnection>();

    const openConnection = (socket: Socket): CallerConnection => {
        const dueAnswers = new Set<DueAnswer>();
        let namedEnd: ConnectionEndReason | undefined;
        let failed = false;

        socket.once("error", () => {
            failed = true;
        });
        socket.once("close", () => {
            connections.delete(socket);
            const due = [...dueAnswers].filter(({ response }) => !response.writableFinished);
            if (due.length === 0) {
                return;
            }
            const byCaller = failed ? "caller-reset" : socket.readableEnded ? "caller-closed" : undefined;
            const requestIds = due.flatMap(({ requestId }) => requestId ?? []).slice(0, maxIdsTold);
            onEnd({ reason: namedEnd ?? byCaller ?? "host-closed", due: due.length, requestIds });
        });
        const nameEnd = (reason: ConnectionEndReason): void => {
            namedEnd ??= reason;
        };
        return {
            begin: response => {
                const answer: DueAnswer = { response, requestId: undefined };
                dueAnswers.add(answer);
                // The close of the connection itself is handled above, with all answers that are due at that time.
                response.once("finish", () => dueAnswers.delete(answer));
                return answer;
            },
            due: () => dueAnswers.size,
            nameEnd,
            destroy: reason => {
                nameEnd(reason);
                socket.destroy();
            },
        };
    };

    return {
        accept: socket => void connections.set(socket, openConnection(socket)),
        of: socket => connections.get(socket),
        destroyAll: reason => connections.forEach(connection => connection.destroy(reason)),
    };
};
