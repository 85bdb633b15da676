/**
 * What a host holds for the connections of its callers, and which of them it goes on to read from or closes. Requests that
 * were read ahead and answers that were not taken count, with an estimate of the memory of their objects.
 */

export type HeldLimits = {
    /** Requests of one connection that are read before the answers to those ahead of them are written. */
    maxRequestsAhead: number;
    /** Bytes of answers that wait on one connection, above which no more requests are read from it. */
    maxConnectionBytes: number;
    /** Bytes held for all connections. */
    maxHostBytes: number;
};

/** What is held for one connection. */
export type Held = {
    requests: number;
    /** Bytes of the heads of those requests. */
    headBytes: number;
    /** Bytes of answers that the system has not taken. */
    answerBytes: number;
};

/** The link to callers alone holds 5 KB of the heap for a small request (measured on Node 20); the router adds to that. */
const requestBytes = 8_192;

export const heldBytesOf = ({ requests, headBytes, answerBytes }: Held): number =>
    requests * requestBytes + headBytes + answerBytes;

/** Bytes that are parsed at a time. The smallest request has 18, so that 1,024 hold 56 of them. */
const sliceBytes = { usual: 1_024, full: 64 };

/** Returns the number of bytes to parse next, when those of no body are known to come first. */
export const nextSliceBytes = (isHostFull: boolean): number => isHostFull ? sliceBytes.full : sliceBytes.usual;

/** Whether to read a further request from a connection. One for which nothing is held is read from in any case. */
export const mayReadRequest = (held: Held, isHostFull: boolean, limits: HeldLimits): boolean =>
    held.requests === 0
    || (!isHostFull && held.requests < limits.maxRequestsAhead && held.answerBytes < limits.maxConnectionBytes);

/** A connection that may be closed. */
export type HeldConnection<Connection> = {
    connection: Connection;
    held: Held;
    /** Whether a request has been read and its answer has not begun. */
    isRunning: boolean;
    /** Time for which the caller has taken no bytes of the answers that wait. */
    stalledMilliseconds: number;
};

/** A caller on a slow link takes bytes more often, as far as the host sees it. */
const minStalledMilliseconds = 1_000;
/** A caller with fewer is not closed, since its answers may each be large. */
const minClosedRequests = 8;

/**
 * Returns the connections to close so that the host is within its bound again, those for which most is held first. Only
 * callers that take nothing of several answers that wait are closed, and none while a request may still run.
 */
export const connectionsToClose = <Connection>(
    connections: ReadonlyArray<HeldConnection<Connection>>,
    { maxHostBytes }: Pick<HeldLimits, "maxHostBytes">,
): Connection[] => {
    const bytesOf = new Map(connections.map(candidate => [candidate, heldBytesOf(candidate.held)]));
    const bytes = (candidate: HeldConnection<Connection>): number => bytesOf.get(candidate) ?? 0;
    let excess = connections.reduce((sum, candidate) => sum + bytes(candidate), -maxHostBytes);
    const worstFirst = connections
        .filter(({ held, isRunning, stalledMilliseconds }) =>
            held.requests >= minClosedRequests && held.answerBytes > 0 && !isRunning
            && stalledMilliseconds >= minStalledMilliseconds
        )
        .sort((left, right) => bytes(right) - bytes(left));
    const closed: Connection[] = [];
    for (const candidate of worstFirst) {
        if (excess <= 0) {
            break;
        }
        excess -= bytes(candidate);
        closed.push(candidate.connection);
    }
    return closed;
};
