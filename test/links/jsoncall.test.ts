/**
 * Sessions of kept connections: whether the process at an address may have been replaced between two calls. Guards against
 * a process that is given what only the one before it may have.
 */
import test from "ava";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { systemClock } from "../../src/links/clock.ts";
import { createJsonCaller } from "../../src/links/jsoncall.ts";

type Case = {
    title: string;
    calls: number;
    answer: (response: ServerResponse) => void;
    close: number;
    changes: boolean;
};

const answerWell = (response: ServerResponse): void => void response.end();
const announceClose = (response: ServerResponse): void => void response.writeHead(200, { connection: "close" }).end();

const cases: Case[] = [
    { title: "connections that stay open", calls: 2, answer: answerWell, close: 0, changes: false },
    { title: "the only connection closes without notice", calls: 1, answer: answerWell, close: 1, changes: true },
    { title: "one of several closes without notice", calls: 3, answer: answerWell, close: 1, changes: true },
    { title: "the only connection closes as announced", calls: 1, answer: announceClose, close: 0, changes: false },
];

for (const { title, calls, answer, close, changes } of cases) {
    test(`a session ${changes ? "changes" : "stays the same"}: ${title}`, async t => {
        const sockets: Socket[] = [];
        const server = createServer((incoming, response) => {
            incoming.resume();
            setTimeout(() => answer(response), 30);
        });
        server.on("connection", socket => sockets.push(socket));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const caller = createJsonCaller();
        t.teardown(() => {
            caller.close();
            server.close();
            server.closeAllConnections();
        });
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const call = { address, path: "/", headers: {}, body: {}, timeoutMilliseconds: 2_000 };
        const before = caller.session(address);
        await Promise.all([...new Array(calls).keys()].map(() => caller.post(call)));
        sockets.slice(0, close).forEach(socket => socket.destroy());
        await sleep(100);
        t.is(caller.session(address) !== before, changes);
    });
}

/** A target in a thread of its own. Messages: whether to reset, and after which delay to close, all connections. */
const targetProgram = `
    const { parentPort, workerData: { keepAlive, answerMilliseconds } } = require("node:worker_threads");
    const server = require("node:http").createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
        incoming.resume();
        if (keepAlive !== undefined) response.setHeader("keep-alive", keepAlive);
        setTimeout(() => response.end(), answerMilliseconds);
    });
    const sockets = new Set();
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(socket);
            parentPort.postMessage("closed");
        });
    });
    const close = isReset => sockets.forEach(socket => isReset ? socket.resetAndDestroy() : socket.destroy());
    parentPort.on("message", ({ isReset, delay }) => setTimeout(close, delay, isReset));
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));`;

const hold = (milliseconds: number): void => {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
        // The target is in another thread and goes on.
    }
};

/** Opens a target, which has answered a call when this resolves. */
const openCalledTarget = async (keepAlive?: string, answerMilliseconds = 0) => {
    const target = new Worker(targetProgram, { eval: true, workerData: { keepAlive, answerMilliseconds } });
    const [port] = await once(target, "message") as [number];
    const address = `127.0.0.1:${port}`;
    const caller = createJsonCaller();
    const call = { address, path: "/", headers: {}, body: {}, timeoutMilliseconds: answerMilliseconds + 2_000 };
    const { answered } = await caller.post(call);
    const close = async (): Promise<void> => {
        caller.close();
        await target.terminate();
    };
    return { target, caller, address, call, answered, close };
};

/** `idle` is the time from the answer to the hold, within which the target closes the connection. */
const holds = [
    { end: "for a while", idle: 100, isReset: false },
    { end: "for a while, by a reset", idle: 100, isReset: true },
    { end: "over the idle time", idle: 4_400, isReset: false },
    { end: "over the idle time, by a reset", idle: 4_400, isReset: true },
    { end: "over the idle time that the target announced", keepAlive: "timeout=2", idle: 400, isReset: false },
];
for (const { end, keepAlive, idle, isReset } of holds) {
    test.serial(`a session changes when the connection closes while the event loop is held ${end}`, async t => {
        const { target, caller, address, answered, close } = await openCalledTarget(keepAlive);
        t.teardown(close);
        t.true(answered);
        const before = caller.session(address);
        await sleep(idle);
        // Behind immediates, the timers of the next turn come ahead of its reads.
        await new Promise(resolve => setImmediate(resolve));
        const sessionAtTimer = new Promise<number>(resolve => {
            systemClock.after(100, () => resolve(caller.session(address)));
        });
        target.postMessage({ isReset, delay: 50 });
        hold(1_000);
        t.not(await sessionAtTimer, before, "A timer that was due meanwhile sees the change.");
        await sleep(100);
        t.not(caller.session(address), before);
    });
}

test("a session changes when the connection of a call that ran longer than the idle time closes", async t => {
    const { target, caller, address, answered, close } = await openCalledTarget(undefined, 5_300);
    t.teardown(close);
    t.true(answered);
    const before = caller.session(address);
    target.postMessage({ isReset: false, delay: 0 });
    await once(target, "message");
    await sleep(100);
    t.not(caller.session(address), before);
});

const idleTimes = [
    { title: "by the caller's own limit", keepAlive: undefined, from: 4_900, to: 5_900 },
    { title: "a second before the end that the target announced", keepAlive: "timeout=3", from: 1_900, to: 2_900 },
    { title: "by the caller's own limit, before that of the target", keepAlive: "timeout=60", from: 4_900, to: 5_900 },
];
for (const { title, keepAlive, from, to } of idleTimes) {
    test(`the end of an idle connection is no change of the session: ${title}`, async t => {
        const { target, caller, address, call, answered, close } = await openCalledTarget(keepAlive);
        t.teardown(close);
        t.true(answered);
        const before = caller.session(address);
        const startedAt = performance.now();
        await once(target, "message");
        const milliseconds = performance.now() - startedAt;
        t.true(milliseconds >= from && milliseconds <= to, `Closed after ${milliseconds} ms.`);
        t.is(caller.session(address), before);
        t.like(await caller.post(call), { answered: true });
    });
}

test("the idle time of a connection counts anew from each call", async t => {
    const { target, caller, call, close } = await openCalledTarget("timeout=2");
    t.teardown(close);
    const startedAt = performance.now();
    for (let calls = 0; calls < 3; calls += 1) {
        await sleep(700);
        t.like(await caller.post(call), { answered: true });
    }
    await once(target, "message");
    t.true(performance.now() - startedAt >= 3_000, "All calls had one connection.");
});
