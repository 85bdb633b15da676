/**
 * An event loop that is held while requests arrive. Timers that are due meanwhile must not close a connection before what
 * has arrived on it is read.
 */
import test from "ava";
import { once } from "node:events";
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import type { CallerLink } from "../../src/links/callers.ts";
import { systemClock } from "../../src/links/clock.ts";
import { answerWithLength, openCallerLink } from "./callerlink.ts";

const connections = 8;
/** Connections that wait to be accepted. */
const waiting = 30;
const body = "an answer";
const holdMilliseconds = 500;

/** Keeps this process from running its event loop. */
const hold = (milliseconds: number): void => {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
        // The caller is in another thread and goes on.
    }
};

/** Callers with kept connections, in a thread of their own. Messages: texts to write after a delay, or new connections. */
const callersProgram = `
    const { connect } = require("node:net");
    const { parentPort, workerData: { port, count, connected } } = require("node:worker_threads");
    const open = () => {
        const state = { received: "", closed: false };
        state.socket = connect(port, "127.0.0.1");
        state.socket.on("connect", () => connected && Atomics.add(connected, 0, 1));
        state.socket.on("data", part => { state.received += part; });
        state.socket.on("error", () => undefined);
        state.socket.on("close", () => { state.closed = true; });
        return state;
    };
    const states = Array.from({ length: count }, open);
    parentPort.on("message", ({ write, opens, delay, tell }) => setTimeout(() => {
        if (write !== undefined) states.forEach(({ socket }) => socket.write(write));
        for (let count = opens ?? 0; count > 0; count -= 1) states.push(open());
        if (tell) parentPort.postMessage(states.map(({ received, closed }) => ({ received, closed })));
    }, delay));`;

type Held = { link: CallerLink; served: () => number };

type Case = {
    title: string;
    /** Part of a request that has arrived before the event loop is held. */
    before?: string;
    /** What arrives while it is held. */
    during: string;
    idleMilliseconds?: number;
    headMilliseconds?: number;
    /** Connections that the link takes. */
    limit?: number;
    /** Time after the first answers at which the event loop is held. */
    heldAfter?: number;
    /** Called before the link listens to the server's events. */
    onServer?: (server: Server) => void;
    /** What becomes due while it is held. */
    act?: (held: Held) => void;
    /** Connections that are opened while it is held. */
    opens?: number;
    status: number;
};

const get = "GET /orders/b HTTP/1.1\r\nhost: x\r\n\r\n";
const post = "POST /orders/b HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc";
const requests = { get, post };

const cases: Case[] = Object.entries(requests).flatMap(([method, request]) => [
    {
        title: `a planned stop, ${method}`,
        during: request,
        act: ({ link }: Held) => void systemClock.after(50, () => void link.stopAccepting()),
        status: 200,
    },
    {
        title: `the end of the idle time, ${method}`,
        during: request,
        idleMilliseconds: 100,
        // Node closes a connection one second after the time that it announces.
        heldAfter: 900,
        status: 200,
    },
    {
        title: `a new connection beyond the limit, ${method}`,
        during: request,
        limit: connections,
        heldAfter: 400,
        opens: 1,
        status: 200,
    },
    {
        title: `the end of the time for a head, ${method}`,
        before: request.slice(0, 20),
        during: request.slice(20),
        // Node looks for overdue heads twice a second.
        headMilliseconds: 600,
        heldAfter: 650,
        status: 200,
    },
    {
        title: `the close of all connections, ${method}`,
        during: request,
        act: ({ link }: Held) => void systemClock.after(50, () => void link.close()),
        status: 503,
    },
]);

const openLink = async (
    { idleMilliseconds = 5_000, headMilliseconds = 5_000, limit = Infinity, onServer }: Partial<Case> = {},
): Promise<Held> => {
    const { link, served } = await openCallerLink({
        maxConnections: limit,
        onServer,
        serve: () => Promise.resolve(answerWithLength(body)),
    });
    link.setTimeouts(idleMilliseconds, headMilliseconds);
    return { link, served: () => served.length };
};

for (const each of cases) {
    const { title, before, during, heldAfter = 50, act, opens = 0, status } = each;
    test.serial(`requests that arrive while the event loop is held are answered: ${title}`, async t => {
        const held = await openLink(each);
        t.teardown(held.link.close);
        const port = Number(held.link.address.split(":")[1]);
        const callers = new Worker(callersProgram, { eval: true, workerData: { port, count: connections } });
        t.teardown(() => callers.terminate());
        callers.postMessage({ write: get, delay: 0 });
        while (held.served() < connections) {
            await sleep(5);
        }
        if (before !== undefined) {
            callers.postMessage({ write: before, delay: 0 });
        }
        await sleep(heldAfter);
        act?.(held);
        callers.postMessage({ opens, delay: 100 });
        callers.postMessage({ write: during, delay: 150 });
        hold(holdMilliseconds);
        await sleep(500);
        callers.postMessage({ tell: true, delay: 0 });
        const [states] = await once(callers, "message") as [Array<{ received: string; closed: boolean }>];
        const statuses = states.slice(0, connections).map(({ received }) =>
            received.split("HTTP/1.1 ").slice(1).map(answer => Number(answer.slice(0, 3)))
        );
        t.deepEqual(statuses, Array.from({ length: connections }, () => [200, status]));
        t.true(held.served() <= connections || status === 200, "What is refused has not been served.");
    });
}

const ends = {
    "a planned stop": { act: (link: CallerLink) => link.stopAccepting(), status: 200 },
    "the close of all connections": { act: (link: CallerLink) => link.close(), status: 503 },
};
for (const [end, { act, status }] of Object.entries(ends)) {
    for (const [method, request] of Object.entries(requests)) {
        test.serial(`requests on connections that wait to be accepted are answered: ${end}, ${method}`, async t => {
            const { link } = await openLink();
            t.teardown(link.close);
            const port = Number(link.address.split(":")[1]);
            const callers = new Worker(callersProgram, { eval: true, workerData: { port, count: 0 } });
            t.teardown(() => callers.terminate());
            await once(callers, "online");
            systemClock.after(50, () => void act(link));
            callers.postMessage({ opens: waiting, delay: 100 });
            callers.postMessage({ write: request, delay: 150 });
            hold(holdMilliseconds);
            await sleep(500);
            callers.postMessage({ tell: true, delay: 0 });
            const [states] = await once(callers, "message") as [Array<{ received: string }>];
            const statuses = states.map(({ received }) => received.slice(0, 12));
            t.deepEqual(statuses, Array.from({ length: waiting }, () => `HTTP/1.1 ${status}`));
        });
    }
}

type HeldAccept = {
    title: string;
    /** When connections are opened, from the start of the first hold. */
    opensAfter: number;
    /** Hold the event loop once more while the link accepts. */
    onAccepted?: (count: number) => void;
    onStop?: () => void;
};
const heldAccepts: HeldAccept[] = [
    {
        title: "after a part of them",
        opensAfter: 100,
        onAccepted: count => {
            if (count === waiting / 3) {
                hold(holdMilliseconds);
            }
        },
    },
    {
        title: "after the reads of a turn that found none",
        opensAfter: holdMilliseconds + 150,
        onStop: () => setImmediate(() => setImmediate(() => hold(holdMilliseconds))),
    },
];
for (const { title, opensAfter, onAccepted, onStop } of heldAccepts) {
    test.serial(`requests on connections that wait are answered by a host held again while it stops accepting, ${title}`, async t => {
        let accepted = 0;
        const onConnection = (): void => {
            accepted += 1;
            onAccepted?.(accepted);
        };
        const { link } = await openLink({ onServer: server => void server.on("connection", onConnection) });
        t.teardown(link.close);
        const port = Number(link.address.split(":")[1]);
        const callers = new Worker(callersProgram, { eval: true, workerData: { port, count: 0 } });
        t.teardown(() => callers.terminate());
        await once(callers, "online");
        systemClock.after(50, () => {
            onStop?.();
            void link.stopAccepting(200);
        });
        callers.postMessage({ opens: waiting, delay: opensAfter });
        callers.postMessage({ write: get, delay: opensAfter + 50 });
        hold(holdMilliseconds);
        await sleep(1_500);
        callers.postMessage({ tell: true, delay: 0 });
        const [states] = await once(callers, "message") as [Array<{ received: string }>];
        const statuses = states.map(({ received }) => received.slice(0, 12));
        t.deepEqual(statuses, Array.from({ length: waiting }, () => "HTTP/1.1 200"));
    });
}

test.serial("a request on a new connection that arrives in a short turn just before the address is closed is answered", async t => {
    for (let round = 0; round < 5; round += 1) {
        const { link } = await openLink();
        t.teardown(link.close);
        const port = Number(link.address.split(":")[1]);
        const connected = new Int32Array(new SharedArrayBuffer(4));
        const callers = new Worker(callersProgram, { eval: true, workerData: { port, count: 0, connected } });
        t.teardown(() => callers.terminate());
        await once(callers, "online");
        setImmediate(() =>
            setImmediate(() => {
                callers.postMessage({ opens: 1, delay: 0 });
                callers.postMessage({ write: get, delay: 20 });
                hold(5);
                const until = performance.now() + holdMilliseconds;
                while (Atomics.load(connected, 0) === 0 && performance.now() < until) {
                    // The caller is in another thread and connects meanwhile.
                }
            })
        );
        await link.stopAccepting(200);
        await sleep(200);
        callers.postMessage({ tell: true, delay: 0 });
        const [states] = await once(callers, "message") as [Array<{ received: string }>];
        t.deepEqual(states.map(({ received }) => received.slice(0, 12)), ["HTTP/1.1 200"]);
    }
});

test.serial("a request that arrives between the last reads and the end of the idle time is answered", async t => {
    const onTimeout = (): void => {
        callers.postMessage({ write: get, delay: 100 });
        setImmediate(() => setImmediate(() => hold(holdMilliseconds)));
    };
    const { link, served } = await openLink({
        idleMilliseconds: 100,
        onServer: server => void server.once("timeout", onTimeout),
    });
    t.teardown(link.close);
    const port = Number(link.address.split(":")[1]);
    const callers = new Worker(callersProgram, { eval: true, workerData: { port, count: 1 } });
    t.teardown(() => callers.terminate());
    callers.postMessage({ write: get, delay: 0 });
    await sleep(2_500);
    t.is(served(), 2);
});

test.serial("requests on connections that wait to be accepted are answered by a host whose every turn is long", async t => {
    const { link } = await openLink();
    t.teardown(link.close);
    const port = Number(link.address.split(":")[1]);
    const callers = new Worker(callersProgram, { eval: true, workerData: { port, count: 0 } });
    t.teardown(() => callers.terminate());
    await once(callers, "online");
    systemClock.after(50, () => void link.stopAccepting(5_000));
    callers.postMessage({ opens: waiting, delay: 100 });
    callers.postMessage({ write: get, delay: 150 });
    hold(holdMilliseconds);
    for (let turn = 0; turn < 4 * waiting; turn += 1) {
        hold(20);
        await new Promise(resolve => setImmediate(resolve));
    }
    await sleep(500);
    callers.postMessage({ tell: true, delay: 0 });
    const [states] = await once(callers, "message") as [Array<{ received: string }>];
    const statuses = states.map(({ received }) => received.slice(0, 12));
    t.deepEqual(statuses, Array.from({ length: waiting }, () => "HTTP/1.1 200"));
});

test.serial("a host whose every turn is long accepts no more in time, though connections go on coming", async t => {
    const acceptMilliseconds = 1_650;
    const turnMilliseconds = 150;
    const { link } = await openLink();
    t.teardown(link.close);
    const port = Number(link.address.split(":")[1]);
    const callers = new Worker(callersProgram, { eval: true, workerData: { port, count: 0 } });
    t.teardown(() => callers.terminate());
    await once(callers, "online");
    for (let delay = 0; delay < 6_000; delay += 60) {
        callers.postMessage({ opens: 1, delay });
    }
    let isOver = false;
    const runTurn = (): void => {
        if (!isOver) {
            hold(turnMilliseconds);
            setImmediate(runTurn);
        }
    };
    runTurn();
    const startedAt = performance.now();
    await link.stopAccepting(acceptMilliseconds);
    isOver = true;
    const late = performance.now() - startedAt - acceptMilliseconds;
    // The last wait for reads, and those before idle connections are closed, take some turns each.
    t.true(late < 9 * turnMilliseconds, `${Math.round(late)} ms late`);
});
