/**
 * The number of a host's connections to one target while their limit changes and requests end or fail.
 */
import test from "ava";
import { createConnectionPool } from "../../src/links/connectionpool.ts";

const setUp = (first: number) => {
    let limit = first;
    let kept = first;
    let opened = 0;
    const open = new Set<number>();
    const pool = createConnectionPool<number>({
        open: () => {
            opened += 1;
            open.add(opened);
            return opened;
        },
        close: connection => open.delete(connection),
        destroy: connection => open.delete(connection),
        limit: () => limit,
        kept: () => kept,
    });
    const running: number[] = [];
    const ask = () => pool.acquire(connection => running.push(connection));
    const end = (failed = false): void => {
        const [connection] = running.splice(0, 1);
        pool.release(connection, failed);
    };
    const setLimit = (next: number, nextKept = next): void => {
        limit = next;
        kept = nextKept;
        pool.applyLimit();
    };
    return { pool, open, running, ask, end, setLimit, opened: () => opened };
};

const times = (count: number, action: () => unknown): void => {
    Array.from({ length: count }).forEach(action);
};

test("requests beyond the limit wait, and start when it grows or a request ends", t => {
    const { ask, end, setLimit, running, open } = setUp(2);
    times(5, ask);
    t.is(running.length, 2);
    setLimit(3);
    t.is(running.length, 3);
    end();
    t.is(running.length, 3);
    t.is(open.size, 3);
});

test("after the limit has shrunk, idle connections close at once and others when their requests end", t => {
    const { ask, end, setLimit, running, open } = setUp(6);
    times(6, ask);
    times(2, () => end());
    setLimit(3);
    t.is(open.size, 4);
    times(3, ask);
    t.is(running.length, 4, "none starts over the limit");
    end();
    t.is(open.size, 3);
    t.is(running.length, 3);
    times(2, () => end());
    t.is(running.length, 3, "the last waiting ones run");
    t.is(open.size, 3);
});

test("connections that are not kept close after each request", t => {
    const { ask, end, setLimit, open, opened } = setUp(1);
    setLimit(1, 0);
    times(2, ask);
    end();
    t.is(opened(), 2);
    end();
    t.is(open.size, 0);
});

test("a failed request takes its connection with it, and one that is withdrawn gets none", t => {
    const { ask, end, running, open, opened, pool } = setUp(1);
    times(1, ask);
    const withdraw = ask();
    times(1, ask);
    t.true(withdraw());
    t.false(withdraw());
    end(true);
    t.is(running.length, 1);
    t.is(opened(), 2);
    pool.close();
    end();
    t.is(open.size, 0);
});
