/**
 * The way between a stand-in and its callers: work waits while the stand-in is frozen or cut off from the caller.
 */
import type { IncomingMessage } from "node:http";

export type Gate = {
    /** Does the work now, or when nothing blocks the way to the peer any more. */
    runWhenOpen: (work: () => void, peer?: string) => void;
    /** Does what waits and is blocked no longer. */
    flush: () => void;
    /** Forgets what waits. */
    clear: () => void;
};

/** The source address of a request's connection. */
export const peerAddressOf = (request: IncomingMessage): string => request.socket?.remoteAddress ?? "";

/** Creates an open way. `isBlocked` says whether nothing passes to and from a source address now. */
export const createGate = (isBlocked: (peer: string) => boolean): Gate => {
    let held: Array<{ peer: string; work: () => void }> = [];

    const pass = (work: () => void, peer = ""): void => {
        if (isBlocked(peer)) {
            held.push({ peer, work });
            return;
        }
        work();
    };

    return {
        runWhenOpen: pass,
        flush: () => {
            const works = held;
            held = [];
            works.forEach(({ peer, work }) => pass(work, peer));
        },
        clear: () => {
            held = [];
        },
    };
};
