/**
 * The connections to one target, each of which carries one request at a time. Their limit may change at any time.
 */

export type ConnectionPoolOptions<Connection> = {
    open: () => Connection;
    /** Closes a connection that carries no request. */
    close: (connection: Connection) => void;
    /** Closes a connection whose request failed. */
    destroy: (connection: Connection) => void;
    /** Returns the limit on the connections that are open at the same time. */
    limit: () => number;
    /** Returns how many of them are kept open for further requests. */
    kept: () => number;
};

export type ConnectionPool<Connection> = {
    /**
     * Starts a request on a connection, at once or when one is free. Returns a function that withdraws the request, and
     * returns whether it was still waiting.
     */
    acquire: (start: (connection: Connection) => void) => () => boolean;
    /** Takes back a connection when its request has ended. */
    release: (connection: Connection, failed: boolean) => void;
    /** Closes idle connections beyond those that are kept, and starts waiting requests when the limit has grown. */
    applyLimit: () => void;
    /** Closes idle connections now and the others when they are released. */
    close: () => void;
};

/** Creates a pool without connections. The connection that was used last is used first. */
export const createConnectionPool = <Connection>(
    { open, close, destroy, limit, kept }: ConnectionPoolOptions<Connection>,
): ConnectionPool<Connection> => {
    const busy = new Set<Connection>();
    const idle: Connection[] = [];
    const waiting: Array<(connection: Connection) => void> = [];
    let isClosed = false;

    const count = (): number => busy.size + idle.length;

    const startWaiting = (): void => {
        while (waiting.length > 0 && (idle.length > 0 || count() < limit())) {
            const start = waiting.shift();
            const connection = idle.pop() ?? open();
            busy.add(connection);
            start?.(connection);
        }
    };

    const applyLimit = (): void => {
        while (idle.length > 0 && (isClosed || count() > kept())) {
            idle.splice(0, 1).forEach(close);
        }
        startWaiting();
    };

    return {
        acquire: start => {
            waiting.push(start);
            startWaiting();
            return () => {
                const index = waiting.indexOf(start);
                if (index !== -1) {
                    waiting.splice(index, 1);
                }
                return index !== -1;
            };
        },
        release: (connection, failed) => {
            if (!busy.delete(connection)) {
                return;
            }
            if (failed) {
                destroy(connection);
            }
            else if (isClosed || count() >= kept()) {
                close(connection);
            }
            else {
                idle.push(connection);
            }
            startWaiting();
        },
        applyLimit,
        close: () => {
            isClosed = true;
            applyLimit();
        },
    };
};
