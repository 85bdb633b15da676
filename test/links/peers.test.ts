/**
 * Connections between hosts: a frame of the wrong form closes its connection and nothing else, and the process goes on.
 */
import test from "ava";
import { pack } from "msgpackr";
import dns from "node:dns";
import { getEventListeners } from "node:events";
import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { WebSocket } from "ws";
import { createLoadReportSender, createLoadReportService, loadReportPath } from "../../src/links/loadreports.ts";
import { silentLog } from "../../src/links/logs.ts";
import { createMetrics } from "../../src/links/metrics.ts";
import { createPeerDialer, openPeerEndpoint } from "../../src/links/peers.ts";
import { until } from "../system.ts";

const freeAddress = (): Promise<string> =>
    new Promise(resolve => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => {
            const address = server.address();
            const port = typeof address === "object" ? address?.port : undefined;
            server.close(() => resolve(`127.0.0.1:${port}`));
        });
    });

const setUp = async (signal: AbortSignal) => {
    const address = await freeAddress();
    const metrics = createMetrics();
    const options = { log: silentLog, metrics, signal };
    const received: string[] = [];
    const reports = createLoadReportService(report => received.push(report.pool));
    await openPeerEndpoint(address, {
        [loadReportPath]: reports,
        "/throwing": () => ({
            onFrame: () => {
                throw new Error("unexpected");
            },
            onClose: () => undefined,
        }),
    }, options);
    const send = createLoadReportSender(createPeerDialer(400, options));
    return { address, metrics, received, send };
};

const report = { pool: "balances", keys: [1], refusedKeys: [], work: [] };

const malformed = [
    { title: "bytes that are no msgpack", path: "/", frame: Buffer.from([0xc1, 0xff, 0x00]) },
    { title: "an empty frame", path: "/", frame: Buffer.alloc(0) },
    { title: "text", path: "/", frame: "hello" },
    { title: "two values", path: "/", frame: Buffer.concat([pack(1), pack(2)]) },
    { title: "a report of another form", path: "/", frame: pack({ ...report, keys: ["x"] }) },
    { title: "a frame at which the service fails", path: "/throwing", frame: pack(report) },
];

for (const { title, path, frame } of malformed) {
    test(`${title} closes the connection, is counted, and other hosts are served on`, async t => {
        const lifetime = new AbortController();
        const { address, metrics, received, send } = await setUp(lifetime.signal);
        const socket = new WebSocket(`ws://${address}${path}`);
        socket.on("open", () => socket.send(frame));
        await new Promise(resolve => socket.on("close", resolve));
        t.is(metrics.snapshot()[`peer-frames-refused{path=${path}}`], 1);
        send(address, report);
        await until(() => {
            send(address, report);
            return received.includes("balances");
        });
        lifetime.abort();
    });
}

test("an unknown path is closed", async t => {
    const lifetime = new AbortController();
    const { address } = await setUp(lifetime.signal);
    const socket = new WebSocket(`ws://${address}/other`);
    await new Promise(resolve => socket.on("close", resolve));
    t.pass();
    lifetime.abort();
});

test("reports to a host that is not there are dropped, and arrive once it is", async t => {
    const lifetime = new AbortController();
    const { send } = await setUp(lifetime.signal);
    const address = await freeAddress();
    send(address, report);
    await sleep(50);
    const received: string[] = [];
    const options = { log: silentLog, metrics: createMetrics(), signal: lifetime.signal };
    const service = createLoadReportService(({ pool }) => received.push(pool));
    await openPeerEndpoint(address, { [loadReportPath]: service }, options);
    await until(() => {
        send(address, report);
        return received.length > 0;
    });
    t.true(received.length > 0);
    lifetime.abort();
});

test("attempts to listen at an address in use leave nothing behind, however many there are", async t => {
    const lifetime = new AbortController();
    const { address } = await setUp(lifetime.signal);
    const { signal } = new AbortController();
    const options = { log: silentLog, metrics: createMetrics(), signal };
    for (let attempt = 0; attempt < 20; attempt += 1) {
        await t.throwsAsync(openPeerEndpoint(address, {}, options), { code: "EADDRINUSE" });
    }
    t.is(getEventListeners(signal, "abort").length, 0);
    lifetime.abort();
});

test.serial("a name in place of a host's address is not looked up, which would hold the end of the process", async t => {
    const looked: string[] = [];
    const { lookup } = dns;
    t.teardown(() => Object.assign(dns, { lookup }));
    Object.assign(dns, { lookup: (name: string): void => void looked.push(name) });
    const lifetime = new AbortController();
    const dial = createPeerDialer(400, { log: silentLog, metrics: createMetrics(), signal: lifetime.signal });
    await new Promise<void>(resolve => {
        dial("host.invalid:1", loadReportPath, { onFrame: () => true, onClose: resolve });
    });
    lifetime.abort();
    t.deepEqual(looked, []);
});
