/**
 * Crowds of clients that the operators do not control, against the built program with a low limit on its heap and on its
 * descriptors. Guards against a process that ends, runs out of memory or descriptors, or answers nobody any more. Times and
 * shares of served requests are not checked, since they depend on the machine.
 */
import test, { type ExecutionContext } from "ava";
import { readdirSync, readFileSync } from "node:fs";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    buildProgram,
    entry,
    freePort,
    isReady,
    limits,
    type Program,
    requestOrder,
    route,
    sendRequest,
    services,
    startProgram,
    waitUntil,
} from "../platform/program.ts";
import { openCrowd, type RawTarget, sendRepeated, sendSlowly, startDeafTarget, startEndlessTarget } from "./crowd.ts";

test.before(buildProgram);

/** The program has 16 MB of the heap in use when it is ready, and 75 to 80 MB of resident memory. */
const heapMegabytes = 48;
const maxResidentMegabytes = 170;
/** Limits of the program that fit the heap. */
const callers = "maxHeldBytes: 8388608, maxBufferedBodyBytes: 33554432";
const openFiles = 256;
const maxDescriptors = 240;
const crowdMilliseconds = 4_000;
const connections = 40;
const bytesSent = 1_048_576;
const pageBytes = 30_000;
const uploadBytes = 360_000;
const maxBodyBytes = 8_388_608;

type Ports = { callers: number; health: number; metrics: number; links: number };

type Case = {
    title: string;
    port?: keyof Ports;
    connections?: number;
    send: (socket: Socket, index: number) => void;
    /** Starts the target of the route `/a/` at `raw.example`. */
    startTarget?: () => Promise<RawTarget>;
};

const head = (host: string, path: string, ...lines: string[]): string =>
    [`GET ${path} HTTP/1.1`, `host: ${host}`, ...lines, "", ""].join("\r\n");
const withId = (host: string, path: string): string => head(host, path, "request-id: c", "request-deadline: 20000");
const bodyHead = (...lines: string[]): string =>
    ["POST /a/y HTTP/1.1", "host: orders.example", "request-id: b", "request-deadline: 20000", ...lines, "", ""].join(
        "\r\n",
    );

const bare = "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
const smallest = "GET / HTTP/1.1\r\nh:\r\n\r\n";

const cases: Case[] = [
    { title: "requests sent ahead without the usual headers", send: sendRepeated(smallest, bytesSent) },
    {
        title: "requests sent ahead at the ready path",
        port: "health",
        send: sendRepeated(head("h", "/"), bytesSent),
    },
    {
        title: "requests of HTTP/1.0 sent ahead at the ready path",
        port: "health",
        send: sendRepeated(bare, bytesSent),
    },
    {
        title: "requests sent ahead at a path that no route has",
        send: sendRepeated(withId("orders.example", "/none"), bytesSent),
    },
    {
        title: "requests sent ahead with host and path but no id",
        send: sendRepeated(head("orders.example", "/a/y"), bytesSent),
    },
    {
        title: "requests sent ahead at a route that serves",
        send: sendRepeated(withId("pages.example", "/a/y"), bytesSent),
    },
    {
        title: "requests sent ahead at the metrics",
        port: "metrics",
        send: sendRepeated(head("h", "/"), bytesSent),
    },
    {
        title: "requests sent ahead at the links",
        port: "links",
        send: sendRepeated(head("h", "/"), bytesSent),
    },
    { title: "one byte of a head at a time", send: sendSlowly(withId("orders.example", "/a/y"), 100) },
    {
        title: "heads that never end",
        send: socket => sendRepeated(`a: ${"b".repeat(1_000)}\r\n`, bytesSent)(socket.setNoDelay()),
    },
    {
        title: "heads of 15 KB that stop",
        send: socket => void socket.write(head("orders.example", "/a/y", `a: ${"b".repeat(15_000)}`).slice(0, -2)),
    },
    {
        title: "bodies that stop",
        send: socket => void socket.write(bodyHead(`content-length: ${uploadBytes}`) + "x".repeat(uploadBytes - 1)),
    },
    {
        title: "bodies in chunks of one byte that stop",
        send: socket =>
            void socket.write(bodyHead("transfer-encoding: chunked") + "1\r\nx\r\n".repeat(uploadBytes / 6)),
    },
    {
        title: "answers of 30 KB unread",
        connections: 120,
        send: socket => void socket.write(withId("pages.example", "/a/y").repeat(64)),
    },
    {
        title: "uploads of 360 KB from many at once",
        connections: 120,
        send: socket => void socket.write(bodyHead(`content-length: ${uploadBytes}`) + "x".repeat(uploadBytes)),
    },
    {
        title: "connections beyond the limit of descriptors",
        connections: 600,
        send: socket => void socket.write("GET"),
    },
    {
        title: "connections beyond the limit of descriptors at the links",
        port: "links",
        connections: 600,
        send: socket => void socket.write("GET"),
    },
    {
        title: "targets that send without end",
        startTarget: startEndlessTarget,
        send: socket => void socket.write(withId("raw.example", "/a/y")),
    },
    {
        title: "targets that read nothing",
        startTarget: startDeafTarget,
        send: socket =>
            void socket.write(
                bodyHead(`content-length: ${uploadBytes}`).replace("orders.example", "raw.example")
                    + "x".repeat(uploadBytes),
            ),
    },
];

const peakMegabytes = (pid: number | undefined): number =>
    Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1]) / 1_024;

const endOf = ({ child }: Program): string => String(child.exitCode ?? child.signalCode ?? "runs");

const start = async (t: ExecutionContext, testCase: Case): Promise<{ program: Program; ports: Ports }> => {
    const store = await startStoreStandIn();
    t.teardown(store.close);
    const backend = (id: string) =>
        startBackendStandIn({
            id,
            slots: 8,
            queue: 8,
            workMilliseconds: 5,
            isSharded: false,
            bodyOf: () => "x".repeat(id === "i-pages" ? pageBytes : 10),
        });
    const [orders, pages] = await Promise.all([backend("i-orders"), backend("i-pages")]);
    const raw = await testCase.startTarget?.();
    t.teardown(() => [orders, pages, raw].forEach(part => part?.close()));
    store.put("servers", "i-orders", { ...entry("orders", orders), slots: 8 });
    store.put("servers", "i-pages", { ...entry("pages", pages), slots: 8 });
    if (raw !== undefined) {
        store.put("servers", "i-raw", { ...entry("raw", raw), slots: 8 });
    }
    const { orders: service } = services;
    store.put("config", "main", {
        version: "r1",
        routes: {
            r1: route("orders.example", "orders", "unsafe"),
            r2: route("pages.example", "pages", "safe"),
            r3: route("raw.example", "raw", "safe"),
        },
        services: { orders: service, pages: service, raw: service },
        limits: { ...limits, maxBodyBytes },
    });
    const [metricsPort, linksPort] = [await freePort(), await freePort()];
    const program = await startProgram(store, { metricsPort, linksPort, openFiles, heapMegabytes, callers });
    t.teardown(() => program.child.kill("SIGKILL"));
    await waitUntil("the host is ready", () => isReady(program));
    const ports = { callers: program.callersPort, health: program.healthPort, metrics: metricsPort, links: linksPort };
    return { program, ports };
};

for (const testCase of cases) {
    test.serial(`${testCase.title}: the process lives within its memory and descriptors, and answers afterwards`, async t => {
        const { program, ports } = await start(t, testCase);
        const { pid } = program.child;
        t.is((await requestOrder(program, "before")).statusCode, 200);
        const crowd = openCrowd({
            port: ports[testCase.port ?? "callers"],
            connections: testCase.connections ?? connections,
            send: testCase.send,
        });
        t.teardown(crowd.close);
        let descriptors = 0;
        let peak = peakMegabytes(pid);
        const before = Math.round(peak);
        const endAt = performance.now() + crowdMilliseconds;
        while (performance.now() < endAt && endOf(program) === "runs") {
            descriptors = Math.max(descriptors, readdirSync(`/proc/${pid}/fd`).length);
            peak = peakMegabytes(pid);
            await sleep(50);
        }
        t.log(
            `${before} MB before, ${Math.round(peak)} MB at the peak, ${descriptors} descriptors, ${endOf(program)},`,
        );
        t.log(`${program.log().length} bytes of log, ${crowd.opened()} connections`);
        crowd.close();
        t.is(endOf(program), "runs");
        t.true(peak < maxResidentMegabytes, `${peak} MB`);
        t.true(descriptors < maxDescriptors, `${descriptors} descriptors`);
        const answers = (): Promise<boolean> =>
            requestOrder(program, "after").then(({ statusCode }) => statusCode === 200, () => false);
        await waitUntil("an ordinary request is answered", answers);
        t.is((await sendRequest(program.healthPort, "/")).statusCode, 200);
        t.is(endOf(program), "runs");
        t.is(program.child.pid, pid);
    });
}
