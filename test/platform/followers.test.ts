/**
 * What follows on a caller's connection behind nothing, behind a request that runs and behind an answer that is half
 * written, against the built program: answers that are due are written whole, then what follows is answered or refused.
 */
import test from "ava";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    buildProgram,
    entry,
    firstRoutes,
    freePort,
    isReady,
    limits,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

const workMilliseconds = 500;
/** A host has few connections to each. */
const targetCount = 12;
/** More than the host holds before it passes an answer on. */
const firstPart = "x".repeat(1_200_000);
const lastPart = "last";

/** A target whose answers come after some work, for the path `/a/half` in two parts. */
const startTarget = async (received: string[]) => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const [, path = "", id = ""] = /^\S+ (\S+) [^]*request-id: (\S+)/i.exec(String(data)) ?? [];
            received.push(id);
            const isHalf = path === "/a/half";
            const length = lastPart.length + (isHalf ? firstPart.length : 0);
            const head =
                `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-signature: s\r\ncontent-length: ${length}\r\n\r\n`;
            if (isHalf) {
                socket.write(head + firstPart);
            }
            setTimeout(() => socket.write(isHalf ? lastPart : head + lastPart), path === "/a/x" ? 0 : workMilliseconds);
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const close = (): void => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    };
    return { address, close };
};

const get = (path: string, id: string, ...lines: string[]): string =>
    [`POST /a/${path} HTTP/1.1`, "host: orders.example", `request-id: ${id}`, ...lines, "", ""].join("\r\n");

type Fleet = Awaited<ReturnType<typeof startFleet>>;

const startFleet = async () => {
    const store = await startStoreStandIn();
    /** Ids of the requests that targets received. */
    const received: string[] = [];
    const targets = await Promise.all(Array.from({ length: targetCount }, () => startTarget(received)));
    targets.forEach(({ address }, index) =>
        store.put("servers", `i-${index}`, { ...entry("orders", { address }), slots: 50 })
    );
    const table = {
        version: "r1",
        routes: { r2: { ...firstRoutes.r2, timeout: "5s" } },
        services,
        limits: { ...limits, headerTimeout: "1s" },
    };
    store.put("config", "main", table);
    const metricsPort = await freePort();
    const program = await startProgram(store, { metricsPort });
    await waitUntil("the host is ready", () => isReady(program));
    const close = (): void => {
        program.child.kill("SIGKILL");
        [store, ...targets].forEach(part => part.close());
    };
    return { store, received, table, program, close };
};

type Play = { statuses: number[]; bodies: string[]; ended: boolean };

/** Opens a connection, lets a request begin on it, and returns what was received at the end or after a while. */
const openCaller = async ({ program, received: arrived }: Fleet, before: string | undefined, id: string) => {
    const socket = connect({ port: program.callersPort, host: "127.0.0.1", allowHalfOpen: true });
    let [received, ended] = ["", false];
    socket.on("error", () => undefined);
    socket.on("data", data => {
        received += String(data);
    });
    socket.on("end", () => {
        ended = true;
        socket.end();
    });
    await once(socket, "connect");
    if (before !== undefined) {
        socket.write(get(before, id));
        await waitUntil("the request runs", () => arrived.includes(id));
        await waitUntil("the answer is half written", () => before !== "half" || received.length > firstPart.length);
    }
    const play = async (milliseconds: number): Promise<Play> => {
        const endAt = performance.now() + milliseconds;
        while (!ended && performance.now() < endAt) {
            await sleep(20);
        }
        const answers = received.split("HTTP/1.1 ").slice(1);
        socket.destroy();
        return {
            statuses: answers.map(answer => Number(answer.slice(0, 3))),
            bodies: answers.filter(answer => answer.startsWith("200")).map(answer => answer.split("\r\n\r\n")[1]),
            ended,
        };
    };
    return { socket, play };
};

type Follower = {
    title: string;
    bytes: (id: string) => string;
    halfCloses?: boolean;
    reloads?: boolean;
    /** Statuses after the answer of the first request, if there is one. */
    statuses: number[];
    ends: boolean;
};
const followers: Follower[] = [
    { title: "garbage", bytes: () => "no request\r\n\r\n", statuses: [400], ends: true },
    {
        title: "a head that is too long",
        bytes: id => get("x", id, `a: ${"b".repeat(20_000)}`),
        statuses: [431],
        ends: true,
    },
    {
        title: "a head that is never ended",
        bytes: () => "POST /a/x HTTP/1.1\r\nhost: x\r\n",
        statuses: [408],
        ends: true,
    },
    {
        title: "two lengths",
        bytes: id => get("x", id, "content-length: 5", "content-length: 6"),
        statuses: [400],
        ends: true,
    },
    { title: "an expectation", bytes: id => get("x", id, "expect: miracles"), statuses: [400], ends: true },
    {
        title: "a body that is never sent",
        bytes: id => get("x", id, "content-length: 5", "request-deadline: 300"),
        statuses: [503],
        ends: true,
    },
    { title: "one more request", bytes: id => get("x", id), statuses: [200], ends: false },
    {
        title: "one more request and garbage",
        bytes: id => `${get("x", id)}no\r\n\r\n`,
        statuses: [200, 400],
        ends: true,
    },
    { title: "a half close", bytes: () => "", halfCloses: true, statuses: [], ends: true },
    { title: "a reload", bytes: () => "", reloads: true, statuses: [], ends: false },
    { title: "a reload and one more request", bytes: id => get("x", id), reloads: true, statuses: [200], ends: false },
];
const befores: Array<[title: string, path: string | undefined]> = [
    ["nothing", undefined],
    ["a running request", "running"],
    ["an answer half written", "half"],
];

const bodiesOf = (path: string | undefined, statuses: number[]): string[] => [
    ...path === undefined ? [] : [path === "half" ? firstPart + lastPart : lastPart],
    ...statuses.filter(status => status === 200).map(() => lastPart),
];

let fleet: Fleet;
test.before(async () => {
    buildProgram();
    fleet = await startFleet();
});
test.after.always(() => fleet?.close());

let count = 0;
for (const [before, path] of befores) {
    for (const { title, bytes, halfCloses = false, reloads = false, statuses, ends } of followers) {
        test(`answers that are due go first: ${title} after ${before}`, async t => {
            count += 1;
            const id = `q-${count}`;
            const { socket, play } = await openCaller(fleet, path, id);
            if (reloads) {
                const { store, table, program } = fleet;
                const version = `r-${id}`;
                store.put("config", "main", { ...table, version });
                program.child.kill("SIGHUP");
                await sleep(100);
            }
            socket.write(bytes(`${id}-b`));
            if (halfCloses) {
                socket.end();
            }
            const { statuses: found, bodies, ended } = await play(ends ? 5_000 : 1_500);
            t.deepEqual(found, [...path === undefined ? [] : [200], ...statuses]);
            t.deepEqual(bodies.map(body => body.length), bodiesOf(path, statuses).map(body => body.length));
            t.is(ended, ends);
        });
    }
}

test("a planned stop writes the answers that are due whole, and ends in order", async t => {
    const own = await startFleet();
    t.teardown(own.close);
    const followersOfStop = ["", "no request\r\n\r\n", "POST /a/x HTTP/1.1\r\nhost: x\r\n"];
    const plays: Array<[path: string | undefined, bytes: string, play: Promise<Play>]> = [];
    const callers: Array<() => void> = [];
    for (const [, path] of befores) {
        for (const bytes of followersOfStop) {
            const { socket, play } = await openCaller(own, path, `s-${plays.length}`);
            callers.push(() => socket.write(bytes));
            plays.push([path, bytes, play(8_000)]);
        }
    }
    callers.forEach(write => write());
    own.program.child.kill("SIGTERM");
    const [exitCode] = await once(own.program.child, "exit") as [number];
    t.is(exitCode, 0);
    for (const [path, bytes, play] of plays) {
        const { statuses, bodies, ended } = await play;
        const first = path === undefined ? [] : [200];
        t.deepEqual(statuses.slice(0, first.length), first, `${path}, ${bytes}`);
        t.deepEqual(bodies.map(body => body.length), bodiesOf(path, []).map(body => body.length), `${path}, ${bytes}`);
        t.true(ended);
    }
});
