/**
 * Timers that are due while the event loop is held: an answer that has arrived meanwhile comes before the verdict that
 * there is none.
 */
import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { Worker } from "node:worker_threads";
import { createStore } from "../../platform/store.ts";
import { messageOf } from "../../src/contracts/errors.ts";
import { systemClock } from "../../src/links/clock.ts";
import { createJsonCaller } from "../../src/links/jsoncall.ts";
import { silentLog } from "../../src/links/logs.ts";
import { createMetrics } from "../../src/links/metrics.ts";
import { createPeerDialer } from "../../src/links/peers.ts";
import { createPlatformLink } from "../../src/links/platform.ts";

const timeoutMilliseconds = 200;
const answerMilliseconds = 100;
const holdMilliseconds = 600;

/** A server in a thread of its own, which answers every request after a while. */
const serverProgram = `
    const { parentPort, workerData } = require("node:worker_threads");
    const { WebSocketServer } = require("ws");
    const server = require("node:http").createServer((request, response) => {
        request.resume();
        setTimeout(() => response.end(JSON.stringify({ items: [], more: false, currentRev: 9 })), workerData);
    });
    const sockets = new WebSocketServer({ noServer: true });
    server.on("upgrade", (...request) =>
        setTimeout(() => sockets.handleUpgrade(...request, () => undefined), workerData));
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));`;

const hold = (milliseconds = holdMilliseconds): void => {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
        // The server is in another thread and goes on.
    }
};

/** Each resolves to whether the answer came before the end of its time. */
const waits: Record<string, (port: number) => Promise<boolean>> = {
    "a timer": port =>
        new Promise(resolve => {
            const socket = connect(port, "127.0.0.1", () => {
                socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
                systemClock.after(timeoutMilliseconds, () => resolve(false));
            });
            socket.once("data", () => resolve(true));
        }),
    "a pause": port =>
        new Promise(resolve => {
            const socket = connect(port, "127.0.0.1", () => {
                socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
                void systemClock.sleep(timeoutMilliseconds).then(() => resolve(false));
            });
            socket.once("data", () => resolve(true));
        }),
    "a call": async port => {
        const caller = createJsonCaller();
        const result = await caller.post({
            address: `127.0.0.1:${port}`,
            path: "/",
            headers: {},
            body: {},
            timeoutMilliseconds,
        });
        caller.close();
        return result.answered;
    },
    "a connection to another host": port =>
        new Promise(resolve => {
            const abortion = new AbortController();
            const end = (isOpen: boolean): void => {
                abortion.abort();
                resolve(isOpen);
            };
            const dial = createPeerDialer(timeoutMilliseconds, {
                log: silentLog,
                metrics: createMetrics(),
                signal: abortion.signal,
            });
            dial(`127.0.0.1:${port}`, "/", { onOpen: () => end(true), onFrame: () => true, onClose: () => end(false) });
        }),
    "a call to the platform": async port => {
        const platform = createPlatformLink({ url: `http://127.0.0.1:${port}`, timeoutMilliseconds });
        const result = await platform.list(0).then(() => "answered", messageOf);
        await platform.close();
        // The answer is one of the store's.
        return result.includes("the wrong shape");
    },
    "a call to the store": async port => {
        const store = createStore({ address: `127.0.0.1:${port}`, timeoutMilliseconds });
        const isAnswered = await store.list("servers").then(() => true, () => false);
        store.close();
        return isAnswered;
    },
};

/** From when the wait begins; each is held from half of the time to the answer. */
const heldUntil = { "long after the time-out": 650, "to just after the time-out": timeoutMilliseconds + 8 };

const plays = Object.entries(waits).flatMap(([title, wait]) =>
    Object.entries(heldUntil).map(([end, until]) => ({ title: `${title}, held ${end}`, wait, until }))
);
for (const { title, wait, until } of plays) {
    test.serial(`an answer that arrives while the event loop is held ends the wait for it: ${title}`, async t => {
        const server = new Worker(serverProgram, { eval: true, workerData: answerMilliseconds });
        t.teardown(() => server.terminate());
        const [port] = await once(server, "message") as [number];
        const result = wait(port);
        // The request is written before. Behind immediates, timers come ahead of reads.
        const startedAt = performance.now();
        setTimeout(() => setImmediate(() => hold(startedAt + until - performance.now())), answerMilliseconds / 2);
        t.true(await result);
    });
}

test.serial("timers that are due while the event loop is held call back in the order of their times", async t => {
    const order: number[] = [];
    const done = new Promise<void>(resolve => {
        [30, 10, 50, 20, 40].forEach(time => systemClock.after(time, () => order.push(time)));
        systemClock.after(holdMilliseconds + 1, resolve);
    });
    const cancel = systemClock.after(25, () => order.push(25));
    setTimeout(cancel, 0);
    hold();
    await done;
    t.deepEqual(order, [10, 20, 30, 40, 50]);
});

test.serial("a timer that waits for the next reads can still be cancelled", async t => {
    const called: string[] = [];
    const cancel = systemClock.after(10, () => called.push("cancelled"));
    const abortion = new AbortController();
    systemClock.after(10, () => called.push("aborted"), abortion.signal);
    // Runs in the same turn as the timers above.
    setTimeout(() => {
        cancel();
        abortion.abort();
    }, 10);
    hold();
    await systemClock.sleep(50);
    t.deepEqual(called, []);
});
