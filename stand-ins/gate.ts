/**
 * A gate between a stand-in and its callers. Work waits at the gate while the stand-in is frozen or cut off from the
 * caller.
 */
import type { IncomingMessage } from "node:http";

export type Gate = {
    /** Runs the work now, or at the first flush at which the peer is no longer blocked. */
    runWhenOpen: (work: () => void, peer?: string) => void;
    /** Runs the waiting work whose peer is no longer blocked. */
    flush: () => void;
    /** Drops all waiting work. */
    clear: () => void;
};

/** The source address of the connection on which a request arrived; empty when the connection is gone. */
export const peerAddressOf = (request: IncomingMessage): string => request.socket?.remoteAddress ?? "";

/** Creates a gate. `isBlocked` says whether traffic to and from a source address is blocked now. */
export const createGate = (isBlocked: (peer: string) => boolean): Gate => {
    let waiting: Array<{ peer: string; work: () => void }> = [];

    const runWhenOpen = (work: () => void, peer = ""): void => {
        if (isBlocked(peer)) {
            waiting.push({ peer, work });
            return;
        }
        work();
    };

    return {
        runWhenOpen,
        flush: () => {
            const released = waiting;
            waiting = [];
            released.forEach(({ peer, work }) => runWhenOpen(work, peer));
        },
        clear: () => {
            waiting = [];
        },
    };
};
