/**
 * Which connection of a full server is closed.
 */
import test from "ava";
import { EventEmitter, once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createConnectionLimit, trackRequests } from "../../src/links/connectionlimit.ts";
import { createDescriptors } from "../../src/links/descriptors.ts";
import { silentLog } from "../../src/links/logs.ts";
import { createMetrics } from "../../src/links/metrics.ts";
import { createVirtualClock } from "../machines/fakes/clock.ts";

type FakeSocket = EventEmitter & { isBusy: boolean; isClosed: boolean };

const createSocket = (isBusy: boolean): FakeSocket => {
    const socket = Object.assign(new EventEmitter(), { isBusy, isClosed: false });
    return Object.assign(socket, {
        destroy: () => {
            socket.isClosed = true;
            socket.emit("close");
        },
    });
};

type Case = {
    title: string;
    /** Age of each open connection, in milliseconds, and whether it is in use. */
    open: Array<[age: number, isBusy: boolean]>;
    /** Position of the connection that is closed; `new` for the new one. */
    closed: number | "new";
};
const busy = (count: number): Array<[number, boolean]> => new Array(count).fill([9_000, true]);
const cases: Case[] = [
    { title: "the one that is idle longest", open: [[900, false], [800, false], [300, false]], closed: 0 },
    { title: "no busy one", open: [[900, true], [800, false], [300, false]], closed: 1 },
    { title: "the new one while all are busy", open: [[900, true], [800, true], [300, true]], closed: "new" },
    {
        title: "the new one while requests may be on their way",
        open: [[200, false], [100, false], [9, false]],
        closed: "new",
    },
    { title: "one among many busy ones", open: [...busy(60), [8_000, false]], closed: 60 },
];

for (const { title, open, closed } of cases) {
    test(`a full server closes ${title}`, t => {
        let now = 0;
        const clock = { now: () => now, after: () => () => undefined };
        const metrics = createMetrics();
        const limits = { process: 1_024, stated: undefined, files: 48 };
        const full = { ...createDescriptors({ limits, clock, log: silentLog, metrics }), isFull: () => now === 10_000 };
        const limit = createConnectionLimit(
            { part: "callers", descriptors: full, clock, readFirst: call => call() },
            socket => !(socket as unknown as FakeSocket).isBusy,
        );
        const sockets = open.map(([age, isBusy]) => {
            now = 10_000 - age;
            const socket = createSocket(isBusy);
            limit.admit(socket as unknown as Socket);
            return socket;
        });
        now = 10_000;
        const added = createSocket(false);
        limit.admit(added as unknown as Socket);
        const expected = closed === "new" ? [added] : [sockets[closed]];
        t.deepEqual([...sockets, added].filter(socket => socket.isClosed), expected);
        t.is(full.inUse("callers"), sockets.length);
        t.is(metrics.snapshot()[`descriptors-used-up{part=callers,closed=${closed === "new" ? "new" : "idle"}}`], 1);
    });
}

test("a server whose number of connections is lowered closes idle ones, those that are idle longest first", async t => {
    const clock = createVirtualClock();
    const limits = { process: undefined, stated: 4_100, files: 48 };
    const descriptors = createDescriptors({ limits, clock, log: silentLog, metrics: createMetrics() });
    const limit = createConnectionLimit(
        { part: "callers", descriptors, clock, readFirst: call => call() },
        socket => !(socket as unknown as FakeSocket).isBusy,
    );
    const sockets = Array.from({ length: 200 }, (...[, index]) => createSocket(index < 10));
    for (const socket of sockets) {
        limit.admit(socket as unknown as Socket);
        await clock.advance(1);
    }
    descriptors.recordError(Object.assign(new Error("failed"), { code: "EMFILE" }));
    const part = descriptors.limitOf("callers");
    t.is(sockets.filter(({ isClosed }) => isClosed).length, 0, "requests may be on their way");
    await clock.advance(1_000);
    const open = sockets.filter(({ isClosed }) => !isClosed);
    t.is(open.length, part);
    t.deepEqual(open, [...sockets.slice(0, 10), ...sockets.slice(10 - part)]);
});

test("bursts of connections beside a single idle one do not raise the number of connections", t => {
    let now = 0;
    const clock = { now: () => now, after: () => () => undefined };
    const limits = { process: 1_024, stated: undefined, files: 48 };
    const descriptors = createDescriptors({ limits, clock, log: silentLog, metrics: createMetrics() });
    const maxConnections = 10;
    const limited = {
        ...descriptors,
        limitOf: () => maxConnections,
        isFull: () => descriptors.inUse("callers") >= maxConnections,
    };
    const looks: Array<() => void> = [];
    const limit = createConnectionLimit(
        { part: "callers", descriptors: limited, clock, readFirst: look => looks.push(look) },
        socket => !(socket as unknown as FakeSocket).isBusy,
    );
    const admit = (isBusy: boolean): FakeSocket => {
        const socket = createSocket(isBusy);
        limit.admit(socket as unknown as Socket);
        return socket;
    };
    const sockets = Array.from({ length: maxConnections }, () => admit(true));
    for (let round = 0; round < 20; round += 1) {
        now += 1_000;
        sockets.filter(({ isClosed }) => !isClosed).slice(0, 1).forEach(socket => {
            socket.isBusy = false;
        });
        sockets.push(...Array.from({ length: 5 }, () => admit(false)));
        // All have sent a request before the look.
        sockets.forEach(socket => {
            socket.isBusy = true;
        });
        looks.splice(0).forEach(look => look());
        t.true(descriptors.inUse("callers") <= maxConnections + 1, `${descriptors.inUse("callers")}`);
    }
});

const head = (path: string, length = 0): string =>
    `POST ${path} HTTP/1.1\r\nhost: h\r\ncontent-length: ${length}\r\n\r\n`;
const states: Array<{ title: string; sent: string[]; idle: boolean }> = [
    { title: "sent nothing", sent: [], idle: true },
    { title: "was answered", sent: [head("/")], idle: true },
    { title: "was answered twice", sent: [head("/"), head("/")], idle: true },
    { title: "waits for its answer", sent: [head("/wait")], idle: false },
    { title: "waits for the second of two pipelined answers", sent: [head("/") + head("/wait")], idle: false },
    { title: "sent half a head", sent: [head("/").slice(0, -9)], idle: false },
    { title: "sent half a head after an answer", sent: [head("/"), head("/").slice(0, -9)], idle: false },
    { title: "sent half a body", sent: [`${head("/wait", 5)}12`], idle: false },
];

for (const { title, sent, idle } of states) {
    test(`a connection that ${title} is ${idle ? "" : "not "}idle`, async t => {
        const server = createServer((request, response) => {
            request.resume();
            if (request.url === "/") {
                response.end();
            }
        });
        const isIdle = trackRequests(server, () => undefined);
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const caller = connect((server.address() as AddressInfo).port, "127.0.0.1").resume();
        const [socket] = await once(server, "connection") as [Socket];
        for (const text of sent) {
            caller.write(text);
            await sleep(100);
        }
        t.is(isIdle(socket), idle);
        caller.destroy();
        server.close();
    });
}
