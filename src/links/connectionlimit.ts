/**
 * Admits connections to a server within a number of descriptors. When they are used up, the connection that has been
 * idle longest is closed in favour of a new one; while none is idle, the new one is closed. When their number is lowered,
 * idle ones are closed until it is kept. None is closed as idle before what has arrived is read.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../contracts/clock.ts";
import type { DescriptorPart } from "../decisions/descriptors.ts";
import type { Descriptors } from "./descriptors.ts";
import { afterFreshReads } from "./nextreads.ts";

export type ConnectionLimitOptions = {
    /** The part to which the connections belong. */
    part: DescriptorPart;
    descriptors: Descriptors;
    clock: Pick<Clock, "now">;
    /** Calls back once what has arrived is read; `afterFreshReads` by default. */
    readFirst?: (callback: () => void) => void;
};

export type ConnectionLimit = {
    /** Keeps or closes a new connection. */
    admit: (socket: Socket) => void;
    /** Tells that a connection is in use now. */
    touch: (socket: Socket) => void;
};

/** A request may be on its way on a connection that has been idle for less. */
const minIdleMilliseconds = 250;
/** Connections beyond the limit that may wait for an idle one to be closed. */
const maxReplacing = 16;
/** Connections that are looked at for one that is idle. Those in use are then looked at last. */
const maxLookedAt = 64;

/**
 * Creates the limit of one server.
 *
 * @param isIdle whether no answer is due on a connection and no request was received in part.
 * @param close closes an idle connection at once.
 */
export const createConnectionLimit = (
    { part, descriptors, clock, readFirst = afterFreshReads }: ConnectionLimitOptions,
    isIdle: (socket: Socket) => boolean,
    close = (socket: Socket): void => void socket.destroy(),
): ConnectionLimit => {
    /** When each connection was last in use, from the one that was not for longest. */
    const usedAt = new Map<Socket, number>();
    const releases = new WeakMap<Socket, () => void>();
    let replacing = 0;

    const touch = (socket: Socket): void => {
        if (usedAt.delete(socket)) {
            usedAt.set(socket, clock.now());
        }
    };

    /** Finds the connection that is idle longest, but for some of those. */
    const findIdle = (skipped = 0): Socket | undefined => {
        const idleSince = clock.now() - minIdleMilliseconds;
        let left = skipped;
        let lookedAt = 0;
        for (const [socket, since] of usedAt) {
            lookedAt += 1;
            if (since > idleSince || lookedAt > maxLookedAt) {
                return undefined;
            }
            if (!isIdle(socket)) {
                touch(socket);
            }
            else if (left === 0) {
                return socket;
            }
            else {
                left -= 1;
            }
        }
        return undefined;
    };

    const closeIdle = (socket: Socket): void => {
        descriptors.recordFull(part, "idle");
        usedAt.delete(socket);
        close(socket);
        // The descriptor is free at once, the event of the close comes later.
        releases.get(socket)?.();
    };

    const reduce = (): void => {
        const idleSince = clock.now() - minIdleMilliseconds;
        for (const [socket, since] of usedAt) {
            if (since > idleSince || descriptors.inUse(part) <= descriptors.limitOf(part)) {
                return;
            }
            if (isIdle(socket)) {
                closeIdle(socket);
            }
            else {
                touch(socket);
            }
        }
    };
    descriptors.onExcess(part, () => readFirst(reduce));

    const closeNew = (socket: Socket): void => {
        descriptors.recordFull(part, "new");
        socket.destroy();
    };

    /** Closes an idle connection for one that was added, or else that one if it is still unused. */
    const replaceIdle = (added: Socket): void => {
        replacing -= 1;
        const idle = findIdle();
        if (idle !== undefined) {
            closeIdle(idle);
        }
        else if (!added.destroyed && isIdle(added)) {
            closeNew(added);
        }
        // Both may have been in use in an earlier turn.
        reduce();
    };

    const admit = (socket: Socket): void => {
        const isFull = descriptors.isFull(part);
        // Each connection beyond the limit has an idle one of its own to replace.
        const beyond = Math.max(replacing, descriptors.inUse(part) - descriptors.limitOf(part));
        if (isFull && (beyond >= maxReplacing || findIdle(beyond) === undefined)) {
            closeNew(socket);
            return;
        }
        releases.set(socket, descriptors.track(part, socket));
        usedAt.set(socket, clock.now());
        socket.once("close", () => usedAt.delete(socket));
        if (isFull) {
            replacing += 1;
            readFirst(() => replaceIdle(socket));
        }
    };

    return { admit, touch };
};

/**
 * Follows the requests of a server's connections. Returns whether a connection is idle: no answer is due on it, and
 * nothing was received since the last one.
 *
 * @param onUse called when a request begins or its answer is written.
 */
export const trackRequests = (server: Server, onUse: (socket: Socket) => void): (socket: Socket) => boolean => {
    const due = new WeakMap<Socket, number>();
    const bytesAtLastAnswer = new WeakMap<Socket, number>();
    server.on("request", ({ socket }, response) => {
        due.set(socket, (due.get(socket) ?? 0) + 1);
        onUse(socket);
        response.once("close", () => {
            due.set(socket, (due.get(socket) ?? 0) - 1);
            bytesAtLastAnswer.set(socket, socket.bytesRead);
            onUse(socket);
        });
    });
    return socket => (due.get(socket) ?? 0) === 0 && socket.bytesRead === (bytesAtLastAnswer.get(socket) ?? 0);
};

/**
 * Limits the connections of an HTTP server.
 *
 * @param isIdle as in `createConnectionLimit`; told by the requests of the server if left out.
 * @param close as in `createConnectionLimit`.
 */
export const limitConnections = (
    server: Server,
    options: ConnectionLimitOptions,
    isIdle?: (socket: Socket) => boolean,
    close?: (socket: Socket) => void,
): void => {
    const isIdleByRequests = trackRequests(server, socket => limit.touch(socket));
    const limit = createConnectionLimit(options, isIdle ?? isIdleByRequests, close);
    server.on("connection", limit.admit);
};
