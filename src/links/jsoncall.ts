/**
 * Small JSON calls over keep-alive connections. A failed call says whether it may have reached the other end. A call
 * that is abandoned resets its connection, so that bytes that a network partition holds back are not delivered later.
 */
import { Agent, type IncomingHttpHeaders, request } from "node:http";
import type { Socket } from "node:net";
import { messageOf } from "../contracts/errors.ts";
import { isAnswerStatus } from "./answerstatus.ts";
import { systemClock } from "./clock.ts";
import { afterFreshReads } from "./nextreads.ts";

export type JsonCall = {
    /** IP address and port. */
    address: string;
    path: string;
    headers: Record<string, string>;
    body: unknown;
    timeoutMilliseconds: number;
    /**
     * Whether the call gets a connection of its own. Bytes that come on a kept connection may be a late second answer to
     * an earlier call, so a call whose answer must not be mistaken does not share one.
     */
    ownConnection?: boolean;
};

/** The result of a call. `mayHaveArrived` is false only when no connection was made. */
export type JsonCallResult =
    | { answered: true; statusCode: number; headers: IncomingHttpHeaders }
    | { answered: false; mayHaveArrived: boolean; error: string };

export type JsonCaller = {
    post: (call: JsonCall) => Promise<JsonCallResult>;
    /**
     * Returns a number that changes when the other end closes a kept connection without notice, as it does when its
     * process ends.
     */
    session: (address: string) => number;
    close: () => void;
};

/** A connection that is kept between calls. */
type KeptConnection = {
    /** Time after which it is closed when idle. */
    idleMilliseconds: number;
    /** Whether its close is no sign that the process at the other end has ended. */
    closesWell: boolean;
    /** Ends its idle time, as a call uses it. */
    use: () => void;
};

/** Idle connections are closed after this time, before targets close them. */
const maxIdleMilliseconds = 5_000;
/** How long before the end of the idle time that a target announces its connections are closed. */
const idleSlackMilliseconds = 1_000;

/** Returns the idle time after an answer. A target may announce its own. */
const idleMillisecondsAfter = (headers: IncomingHttpHeaders): number => {
    const seconds = /^timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""))?.[1];
    return seconds === undefined
        ? maxIdleMilliseconds
        : Math.min(maxIdleMilliseconds, Math.max(0, Number(seconds) * 1_000 - idleSlackMilliseconds));
};

/**
 * Creates a caller with its own connections.
 *
 * @param onConnection called with each connection once, when it begins to be opened.
 */
export const createJsonCaller = (onConnection?: (socket: Socket) => void): JsonCaller => {
    // Without a time-out, which would close an idle connection before the close by its other end is read.
    const agent = new Agent({ keepAlive: true });
    const sessions = new Map<string, number>();
    const connections = new WeakMap<Socket, KeptConnection>();

    const session = (address: string): number => sessions.get(address) ?? 0;

    /** Follows a connection that is kept after its call. */
    const follow = (socket: Socket, address: string): void => {
        let cancelIdleTime = (): void => undefined;
        const connection: KeptConnection = {
            idleMilliseconds: maxIdleMilliseconds,
            closesWell: false,
            use: () => cancelIdleTime(),
        };
        const closeIdle = (): void => {
            if (!socket.destroyed && !socket.readableEnded) {
                connection.closesWell = true;
                socket.destroy();
                // The agent would offer it to calls until the event of the close.
                socket.emit("agentRemove");
            }
        };
        socket.on("free", () => {
            let isIdle = true;
            const cancelTimer = systemClock.after(connection.idleMilliseconds, () => {
                afterFreshReads(() => isIdle && closeIdle());
            });
            cancelIdleTime = () => {
                isIdle = false;
                cancelTimer();
            };
        });
        let isOver = false;
        const recordEnd = (): void => {
            if (!isOver && !connection.closesWell) {
                sessions.set(address, session(address) + 1);
            }
            isOver = true;
        };
        // The event of the close comes behind timers that are due when the end is read.
        socket.once("end", recordEnd);
        socket.once("error", recordEnd);
        socket.once("close", () => {
            cancelIdleTime();
            recordEnd();
        });
        connections.set(socket, connection);
    };

    const post = (call: JsonCall): Promise<JsonCallResult> =>
        new Promise(resolve => {
            const body = JSON.stringify(call.body);
            const [host, port] = call.address.split(":");
            const headers = {
                ...call.headers,
                "content-type": "application/json",
                "content-length": String(Buffer.byteLength(body)),
            };
            let connected = false;
            let settled = false;
            const outgoing = request({
                agent: call.ownConnection === true ? false : agent,
                host,
                port: Number(port),
                method: "POST",
                path: call.path,
                headers,
            });

            const finish = (result: JsonCallResult): void => {
                if (settled) {
                    return;
                }
                settled = true;
                cancelTimer();
                resolve(result);
            };
            const abandon = (error: string): void => {
                outgoing.socket?.resetAndDestroy();
                outgoing.destroy();
                finish({ answered: false, mayHaveArrived: connected, error });
            };
            const abandonStatus = (statusCode: number): void =>
                abandon(`the status ${statusCode} is that of no answer`);
            const cancelTimer = systemClock.after(
                call.timeoutMilliseconds,
                () => abandon(`no answer within ${call.timeoutMilliseconds} ms`),
            );
            outgoing.on("socket", socket => {
                const kept = connections.get(socket);
                kept?.use();
                if (kept === undefined) {
                    onConnection?.(socket);
                    if (call.ownConnection !== true) {
                        follow(socket, call.address);
                    }
                }
                if (!socket.connecting) {
                    connected = true;
                    return;
                }
                socket.once("connect", () => {
                    connected = true;
                });
            });
            outgoing.on("response", response => {
                const { statusCode = 0 } = response;
                if (!isAnswerStatus(statusCode)) {
                    abandonStatus(statusCode);
                    return;
                }
                response.resume();
                const kept = connections.get(response.socket);
                if (kept !== undefined) {
                    kept.idleMilliseconds = idleMillisecondsAfter(response.headers);
                    kept.closesWell ||= response.headers.connection?.toLowerCase() === "close";
                }
                response.once("end", () => finish({ answered: true, statusCode, headers: response.headers }));
                response.once("error", error => abandon(messageOf(error)));
            });
            // Without a listener, a change of protocol closes the connection and reports nothing.
            outgoing.on("upgrade", ({ statusCode = 0 }) => abandonStatus(statusCode));
            outgoing.on("error", error => abandon(messageOf(error)));
            outgoing.end(body);
        });

    return { post, session, close: () => agent.destroy() };
};
