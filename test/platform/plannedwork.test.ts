/**
 * Planned work while requests run: stops, signals, settings and changes of the route table or of targets cut no request
 * that a target works at, and no answer that its caller still takes.
 */
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type BackendStandIn, startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn, type StoreStandIn } from "../../stand-ins/resident/store.ts";
import { buildProgram, entry, isReady, limits, type Program, route, startProgram, waitUntil } from "./program.ts";

test.before(buildProgram);

const workMilliseconds = 1_500;
const largeBytes = 5_000_000;
const routes = {
    r1: { ...route("safe.example", "orders", "safe"), timeout: "8s", targetLatency: "7s" },
    r2: { ...route("unsafe.example", "orders", "unsafe"), timeout: "8s", targetLatency: "7s" },
    r3: { ...route("stock.example", "stock", "safe"), timeout: "8s", targetLatency: "7s" },
};
const services = {
    orders: { healthPath: "/health", maxConnections: 100 },
    stock: { healthPath: "/health", maxConnections: 100 },
};
const { r3 } = routes;
const { stock } = services;

type Parts = { store: StoreStandIn; program: Program; backend: BackendStandIn; other: BackendStandIn };

const putTable = (store: StoreStandIn, version: number, changed: Record<string, unknown> = {}): void =>
    store.put("config", "main", { version: `r${version}`, routes, services, limits, ...changed });

const setUp = async (t: ExecutionContext): Promise<Parts> => {
    const store = await startStoreStandIn();
    const options = { slots: 50, queue: 50, workMilliseconds, isSharded: false };
    const bodyOf = (id: string): string => id.startsWith("large") ? "x".repeat(largeBytes) : `the answer to ${id}`;
    const backend = await startBackendStandIn({ ...options, id: "i-1", bodyOf });
    const other = await startBackendStandIn({ ...options, id: "i-1", bodyOf: () => "of the other" });
    store.put("servers", "i-1", { ...entry("orders", backend), slots: 50 });
    putTable(store, 3);
    const program = await startProgram(store);
    t.teardown(() => {
        program.child.kill("SIGKILL");
        [store, backend, other].forEach(part => part.close());
    });
    await waitUntil("the host is ready", () => isReady(program));
    return { store, program, backend, other };
};

const readAll = (socket: Socket): void => void socket.resume();
const readSlowly = (socket: Socket): void => {
    const timer = setInterval(() => socket.read(50_000), 20);
    socket.pause().once("close", () => clearInterval(timer));
};

/** Sends a request and resolves to its status and body, or to why there is none. */
const send = (program: Program, kind: string, id: string, read: (socket: Socket) => void): Promise<string> =>
    new Promise(resolve => {
        const socket = connect(program.callersPort, "127.0.0.1");
        const parts: Buffer[] = [];
        let bytes = 0;
        let expected = Infinity;
        const finish = (result: string): void => {
            resolve(result);
            socket.destroy();
        };
        socket.on("data", (part: Buffer) => {
            parts.push(part);
            bytes += part.length;
            if (expected === Infinity) {
                const head = Buffer.concat(parts).toString("latin1").split("\r\n\r\n");
                const length = /content-length: (\d+)/i.exec(head[0])?.[1];
                expected = head.length > 1 && length !== undefined ? head[0].length + 4 + Number(length) : Infinity;
            }
            if (bytes >= expected) {
                const text = Buffer.concat(parts).toString("latin1");
                finish(`${text.slice(9, 12)} ${text.slice(text.indexOf("\r\n\r\n") + 4).slice(0, 40)}`);
            }
        });
        socket.once("error", error => finish(`${error.message} after ${bytes} bytes`));
        socket.once("end", () => finish(`ended after ${bytes} bytes`));
        const method = kind === "safe" ? "GET" : "POST";
        const lines = [
            `${method} /a/x HTTP/1.1`,
            `host: ${kind}.example`,
            `request-id: ${id}`,
            "request-deadline: 7500",
        ];
        socket.write([...lines, "", ""].join("\r\n"));
        read(socket);
    });

type Event = (parts: Parts) => Promise<void> | void;
const stop: Event = ({ program }) => void program.child.kill("SIGTERM");
const reload: Event = ({ program }) => void program.child.kill("SIGHUP");
const shortenGrace: Event = ({ program }) =>
    writeFileSync(program.file, program.settings.replace("grace: 6s", "grace: 2s"));

type Case = { title: string; act: Event[]; stops?: boolean };
const cases: Case[] = [
    { title: "a planned stop", act: [stop], stops: true },
    { title: "a second signal within a stop", act: [stop, stop], stops: true },
    { title: "a reload", act: [reload] },
    { title: "a reload within a stop", act: [stop, reload], stops: true },
    { title: "a stop right after a reload", act: [reload, stop], stops: true },
    { title: "settings with a shorter grace", act: [shortenGrace, reload] },
    { title: "settings with a shorter grace within a stop", act: [stop, shortenGrace, reload], stops: true },
    { title: "a stop after settings with a shorter grace", act: [shortenGrace, reload, stop], stops: true },
    { title: "a table without the routes", act: [({ store }) => putTable(store, 4, { routes: { r3 } })] },
    {
        title: "a table without the routes and their service",
        act: [({ store }) => putTable(store, 4, { routes: { r3 }, services: { stock } })],
    },
    {
        title: "a table whose routes lead to another service",
        act: [({ store }) => {
            const moved = Object.entries(routes).map(([name, each]) => [name, { ...each, service: "stock" }]);
            putTable(store, 4, { routes: Object.fromEntries(moved) });
        }],
    },
    {
        title: "a table with a shorter time for the routes",
        act: [({ store }) => {
            const shorter = Object.entries(routes).map(([name, each]) => [name, { ...each, timeout: "500ms" }]);
            putTable(store, 4, { routes: Object.fromEntries(shorter) });
        }],
    },
    {
        title: "a table with fewer connections to each target",
        act: [({ store }) => putTable(store, 4, { services: { stock, orders: { maxConnections: 1 } } })],
    },
    {
        title: "a table with shorter time-outs",
        act: [
            ({ store }) => putTable(store, 4, { limits: { ...limits, idleTimeout: "400ms", headerTimeout: "300ms" } }),
        ],
    },
    {
        title: "a table with shorter time-outs within a stop",
        act: [stop, ({ store }) => putTable(store, 4, { limits: { ...limits, idleTimeout: "400ms" } })],
        stops: true,
    },
    { title: "the removal of the target", act: [({ store }) => store.remove("servers", "i-1")] },
    {
        title: "the removal of the target within a stop",
        act: [stop, ({ store }) => store.remove("servers", "i-1")],
        stops: true,
    },
    {
        title: "a target that drains",
        act: [({ store, backend }) => store.put("servers", "i-1", entry("orders", backend, "draining"))],
    },
    {
        title: "a target whose entry names another address",
        act: [({ store, other }) => store.put("servers", "i-1", entry("orders", other, "ready", 2_000))],
    },
    {
        title: "a silent store within a stop",
        act: [({ store }) => void (store.faults.silent = true), stop],
        stops: true,
    },
];

for (const { title, act, stops = false } of cases) {
    test.serial(`requests that run are answered whole through ${title}`, async t => {
        t.timeout(60_000);
        const parts = await setUp(t);
        const { program, backend } = parts;
        const kinds = ["safe", "unsafe"];
        const running = kinds.map(kind => send(program, kind, `small-${kind}`, readAll));
        const slow = kinds.map(kind => send(program, kind, `large-${kind}`, readSlowly));
        await waitUntil("the requests run", () => backend.runCounts.size === 4);
        await sleep(300);
        for (const event of act) {
            await event(parts);
            await sleep(250);
        }
        const answers = await Promise.all([...running, ...slow]);
        t.deepEqual(answers, [
            ...kinds.map(kind => `200 the answer to small-${kind}`),
            ...kinds.map(() => `200 ${"x".repeat(40)}`),
        ]);
        t.deepEqual([...backend.runCounts.values()], [1, 1, 1, 1]);
        if (stops) {
            t.is(program.child.exitCode ?? (await once(program.child, "exit"))[0], 0);
        }
        t.is(program.child.exitCode ?? undefined, stops ? 0 : undefined);
    });
}
