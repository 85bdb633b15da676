/**
 * Requests to the addresses of health, metrics and links that arrive while the event loop is held over the time that their
 * heads have. What has arrived is read before the verdict that it is late.
 */
import test from "ava";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { WebSocketServer } from "ws";
import { createUpgradeServer, openHttpEndpoint } from "../../src/links/httpendpoint.ts";
import { freePort } from "../platform/program.ts";

/** Over the time for a head, and the pause between the checks. */
const holdMilliseconds = 3_000;

/** A caller in a thread of its own, which writes each text that it is told to after a delay. Tells what it has received. */
const callerProgram = `
    const { connect } = require("node:net");
    const { parentPort, workerData: port } = require("node:worker_threads");
    const socket = connect(port, "127.0.0.1", () => parentPort.postMessage("connected"));
    let received = "";
    let isEnded = false;
    socket.on("data", part => { received += part; });
    socket.on("error", () => undefined);
    socket.on("close", () => { isEnded = true; });
    parentPort.on("message", ({ write, delay, tell }) => setTimeout(() => {
        if (write !== undefined) socket.write(write);
        if (tell) parentPort.postMessage({ received, isEnded });
    }, delay));`;

const hold = (milliseconds: number): void => {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
        // The caller is in another thread and goes on.
    }
};

type Told = { statuses: number[]; isEnded: boolean };

type Caller = { write: (text: string, delay: number) => void; tell: () => Promise<Told>; close: () => Promise<number> };

const openCaller = async (port: number): Promise<Caller> => {
    const caller = new Worker(callerProgram, { eval: true, workerData: port });
    await once(caller, "message");
    return {
        write: (text, delay) => caller.postMessage({ write: text, delay }),
        tell: async () => {
            caller.postMessage({ tell: true, delay: 0 });
            const [{ received, isEnded }] = await once(caller, "message") as [{ received: string; isEnded: boolean }];
            return {
                statuses: [...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => Number(status)),
                isEnded,
            };
        },
        close: () => caller.terminate(),
    };
};

/** Opens an address. Returns its port. */
type Open = (signal: AbortSignal) => Promise<number>;

const openHealth: Open = async signal => {
    const port = await freePort();
    const answer = () => ({ statusCode: 200, contentType: "text/plain", body: "an answer" });
    await openHttpEndpoint(`127.0.0.1:${port}`, answer, signal);
    return port;
};

const openLinks: Open = async signal => {
    const listener = createUpgradeServer();
    const server = new WebSocketServer({ server: listener });
    await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
    signal.addEventListener("abort", () => {
        server.clients.forEach(client => client.terminate());
        listener.close();
        listener.closeAllConnections();
    });
    return (listener.address() as AddressInfo).port;
};

const get = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\n";
const upgrade = "GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n"
    + "sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

type Case = {
    title: string;
    open: Open;
    /** What has been read before the event loop is held, and what arrives meanwhile. */
    before?: string;
    /** Time from then on until it is held. */
    heldAfter?: number;
    during?: string;
    told: Told;
};

const health = { title: "health", open: openHealth };
const links = { title: "a link", open: openLinks };

const cases: Case[] = [
    { ...health, title: "health, a request", during: get, told: { statuses: [200], isEnded: false } },
    {
        ...health,
        title: "health, the rest of a request",
        before: get.slice(0, 20),
        during: get.slice(20),
        told: { statuses: [200], isEnded: false },
    },
    {
        ...health,
        title: "health, the rest of a second request",
        before: get + get.slice(0, 20),
        during: get.slice(20),
        told: { statuses: [200, 200], isEnded: false },
    },
    {
        ...health,
        title: "health, a body",
        before: head,
        heldAfter: 1_700,
        during: "abc",
        told: { statuses: [200], isEnded: false },
    },
    { ...links, title: "a link, an upgrade", during: upgrade, told: { statuses: [101], isEnded: false } },
    {
        ...links,
        title: "a link, the rest of an upgrade",
        before: upgrade.slice(0, 20),
        during: upgrade.slice(20),
        told: { statuses: [101], isEnded: false },
    },
    { ...health, title: "health, nothing", told: { statuses: [408], isEnded: true } },
    { ...health, title: "health, a part", during: get.slice(0, 20), told: { statuses: [408], isEnded: true } },
    {
        ...health,
        title: "health, a head without its body",
        before: head.slice(0, 20),
        during: head.slice(20),
        told: { statuses: [200, 408], isEnded: true },
    },
    { ...links, title: "a link, nothing", told: { statuses: [408], isEnded: true } },
    { ...links, title: "a link, a part", during: upgrade.slice(0, 20), told: { statuses: [408], isEnded: true } },
];

for (const { title, open, before, heldAfter = 100, during, told } of cases) {
    const [status] = told.statuses.slice(-1);
    test.serial(`${status} after the event loop was held over the time for a head: ${title}`, async t => {
        const ending = new AbortController();
        t.teardown(() => ending.abort());
        const caller = await openCaller(await open(ending.signal));
        t.teardown(caller.close);
        if (before !== undefined) {
            caller.write(before, 0);
        }
        await sleep(heldAfter);
        // Behind immediates, the timers of the next turn come ahead of its reads.
        await new Promise(resolve => setImmediate(resolve));
        if (during !== undefined) {
            caller.write(during, 500);
        }
        hold(holdMilliseconds);
        await sleep(300);
        t.deepEqual(await caller.tell(), told);
    });
}

type Refusal = { title: string; open: Open; write?: string; statuses: number[]; withinMilliseconds: number };

const refusals: Refusal[] = [health, links].flatMap(address => [
    { ...address, title: `${address.title}, nothing`, statuses: [408], withinMilliseconds: 3_500 },
    {
        ...address,
        title: `${address.title}, a part`,
        write: get.slice(0, 20),
        statuses: [408],
        withinMilliseconds: 3_500,
    },
    {
        ...address,
        title: `${address.title}, no HTTP`,
        write: "\x01\x02\r\n\r\n",
        statuses: [400],
        withinMilliseconds: 1_500,
    },
    {
        ...address,
        title: `${address.title}, a large head`,
        write: `GET / HTTP/1.1\r\nx: ${"x".repeat(20_000)}\r\n\r\n`,
        statuses: [431],
        withinMilliseconds: 1_500,
    },
    {
        ...address,
        title: `${address.title}, a large extension of a chunk`,
        write: `POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n1;${"x".repeat(20_000)}\r\n`,
        // Both addresses answer the head, and no refusal is written behind an answer that is not handed over yet.
        statuses: [address === health ? 200 : 426],
        withinMilliseconds: 1_500,
    },
]);

for (const { title, open, write, statuses, withinMilliseconds } of refusals) {
    test(`${statuses.join()} and the end of the connection in time: ${title}`, async t => {
        const ending = new AbortController();
        t.teardown(() => ending.abort());
        const caller = await openCaller(await open(ending.signal));
        t.teardown(caller.close);
        if (write !== undefined) {
            caller.write(write, 0);
        }
        await sleep(withinMilliseconds);
        t.deepEqual(await caller.tell(), { statuses, isEnded: true });
    });
}

test.serial("a connection whose request was read late is looked at again for its next one", async t => {
    const ending = new AbortController();
    t.teardown(() => ending.abort());
    const caller = await openCaller(await openHealth(ending.signal));
    t.teardown(caller.close);
    await sleep(100);
    await new Promise(resolve => setImmediate(resolve));
    caller.write(get, 500);
    hold(holdMilliseconds);
    await sleep(300);
    t.deepEqual(await caller.tell(), { statuses: [200], isEnded: false });
    caller.write(get.slice(0, 20), 0);
    await sleep(3_500);
    t.deepEqual(await caller.tell(), { statuses: [200, 408], isEnded: true });
});
