/**
 * What a host holds for the connections of its callers: the sum over all of them, whether one may be read from, and the
 * closing of the worst while the sum is over its bound.
 */
import type { Clock } from "../contracts/clock.ts";
import {
    connectionsToClose,
    type Held,
    heldBytesOf,
    type HeldLimits,
    mayReadRequest,
    nextSliceBytes,
} from "../decisions/heldbytes.ts";
import type { Metrics } from "./metrics.ts";

/** More than any caller within the usual limits reaches. */
export const defaultHeldLimits: HeldLimits = {
    maxRequestsAhead: 64,
    maxConnectionBytes: 262_144,
    maxHostBytes: 33_554_432,
};

/** A connection as it is looked at. */
export type WatchedConnection = {
    held: () => Held;
    /** Whether a request has been read and its answer has not begun. */
    isRunning: () => boolean;
    /** Bytes that the system has taken so far. */
    taken: () => number;
    /** Goes on to read when that is allowed again. */
    resume: () => void;
    close: () => void;
};

export type HeldBytes = {
    /** Whether a further request may be read from a connection for which this is held. */
    mayRead: (held: Held) => boolean;
    /** Number of bytes to parse at a time. */
    sliceBytes: () => number;
    /** Adds a connection, which holds nothing at first. */
    open: (connection: WatchedConnection) => {
        /** Adds to the requests that are held for the connection, and to the bytes of their heads. */
        change: (requests: number, headBytes: number) => void;
        remove: () => void;
    };
};

export type HeldBytesOptions = {
    limits: HeldLimits;
    clock: Clock;
    /** `held-bytes` tells the sum, `connections-closed-for-memory` counts those that were closed. */
    metrics?: Pick<Metrics, "count" | "gauge"> | undefined;
};

const lookMilliseconds = 250;

type Entry = WatchedConnection & { requests: number; headBytes: number; lastTaken: number; takenAt: number };

/** Creates the sum, which is 0. */
export const createHeldBytes = ({ limits, clock, metrics }: HeldBytesOptions): HeldBytes => {
    /** The connections with requests that are held. */
    const holding = new Set<Entry>();
    let requestBytes = 0;
    /** Bytes of answers that were not taken at the last look. */
    let answerBytes = 0;
    let isLooking = false;
    const isFull = (): boolean => requestBytes + answerBytes > limits.maxHostBytes;

    const look = (): void => {
        const candidates = [...holding].map(entry => {
            const taken = entry.taken();
            if (taken !== entry.lastTaken) {
                entry.lastTaken = taken;
                entry.takenAt = clock.now();
            }
            const stalledMilliseconds = clock.now() - entry.takenAt;
            return { connection: entry, held: entry.held(), isRunning: entry.isRunning(), stalledMilliseconds };
        });
        answerBytes = candidates.reduce((sum, { held }) => sum + held.answerBytes, 0);
        metrics?.gauge("held-bytes", requestBytes + answerBytes);
        if (isFull()) {
            connectionsToClose(candidates, limits).forEach(entry => {
                metrics?.count("connections-closed-for-memory");
                entry.close();
            });
        }
        else {
            holding.forEach(entry => entry.resume());
        }
        lookLater();
    };
    const lookLater = (): void => {
        isLooking = holding.size > 0;
        if (isLooking) {
            clock.after(lookMilliseconds, look);
        }
    };

    return {
        mayRead: held => mayReadRequest(held, isFull(), limits),
        sliceBytes: () => nextSliceBytes(isFull()),
        open: connection => {
            const entry: Entry = { ...connection, requests: 0, headBytes: 0, lastTaken: 0, takenAt: clock.now() };
            let isRemoved = false;
            const change = (requests: number, headBytes: number): void => {
                if (isRemoved) {
                    return;
                }
                if (entry.requests === 0 && requests > 0) {
                    entry.takenAt = clock.now();
                }
                entry.requests += requests;
                entry.headBytes += headBytes;
                requestBytes += heldBytesOf({ requests, headBytes, answerBytes: 0 });
                if (entry.requests > 0) {
                    holding.add(entry);
                }
                else {
                    holding.delete(entry);
                }
                if (!isLooking && holding.size > 0) {
                    lookLater();
                }
            };
            return {
                change,
                remove: () => {
                    change(-entry.requests, -entry.headBytes);
                    isRemoved = true;
                },
            };
        },
    };
};
