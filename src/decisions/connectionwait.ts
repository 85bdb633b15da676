/**
 * Whether a request waits for a connection of its host to a target that could serve it, all of which are in use.
 */

export type ConnectionWait = {
    /** Connections that this host may use at the targets. */
    connections: number;
    /** Requests that get a connection before this one. */
    ahead: number;
    /** Time that a target takes for one request. */
    serviceMilliseconds: number;
    /** Time left until the caller's deadline. */
    remainingMilliseconds: number;
};

/** A request is refused when its expected time exceeds this share of the time left; estimates are off by the rest. */
const usableShareOfRemaining = 0.9;

/** Returns the expected time until the request has a connection: each connection is free once in a service time. */
export const expectedWaitMilliseconds = (
    { connections, ahead, serviceMilliseconds }: Omit<ConnectionWait, "remainingMilliseconds">,
): number => connections === 0 ? Infinity : serviceMilliseconds * (ahead + 1) / connections;

/** Whether waiting likely brings an answer in time. */
export const isWaitUseful = (wait: ConnectionWait): boolean =>
    expectedWaitMilliseconds(wait) + wait.serviceMilliseconds
        <= wait.remainingMilliseconds * usableShareOfRemaining;
