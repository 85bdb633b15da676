/**
 * Compares one host with a bare pass-through: Node `http` that hands every request to `undici`. Both run in their own
 * process; the target and the load run in this one. Prints throughput with a fixed number of connections, and the
 * latency at half of the lower throughput.
 *
 * Run with `npx tsx bench/passthrough.ts [--seconds N]`.
 */
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { type ChildProcess, fork } from "node:child_process";
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { Pool as ConnectionPool } from "undici";
import { createPlatformStandIn } from "../stand-ins/platform.ts";

const connections = 32;
const token = "bench-token";
const partPath = fileURLToPath(new URL("./passthroughpart.ts", import.meta.url));

type Result = { perSecond: number; histogram: Histogram; failed: number };

const startTarget = async (): Promise<{ address: string; close: () => void }> => {
    const body = "x".repeat(512);
    const server = createServer((request, response) => {
        response.writeHead(200, {
            "content-type": "text/plain",
            "content-length": body.length,
            "request-id": String(request.headers["request-id"] ?? ""),
            "target-outcome": "ran",
            "target-clock": "1",
            "target-incarnation": "bench",
            "target-load": "0",
        });
        response.end(body);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => server.close() };
};

const startPart = (kind: "bare" | "host", argument: string): Promise<{ address: string; child: ChildProcess }> =>
    new Promise(resolve => {
        const child = fork(partPath, [kind, argument], { execArgv: ["--import=tsx"] });
        child.once("message", address => resolve({ address: String(address), child }));
    });

const sendOne = async (pool: ConnectionPool, path: string, result: Result): Promise<void> => {
    const startedAt = performance.now();
    const headers = { authorization: `Bearer ${token}`, accept: "text/plain", "user-agent": "bench" };
    const response = await pool.request({ method: "GET", path, headers });
    await response.body.dump();
    result.failed += response.statusCode === 200 ? 0 : 1;
    result.histogram.recordValue(Math.round((performance.now() - startedAt) * 1_000));
};

const emptyResult = (): Result => ({ perSecond: 0, histogram: buildHistogram(), failed: 0 });

/** Every connection sends its next request when the last one is answered. */
const runFull = async (pool: ConnectionPool, path: string, seconds: number): Promise<Result> => {
    const result = emptyResult();
    const endAt = performance.now() + seconds * 1_000;
    await Promise.all([...Array(connections).keys()].map(async () => {
        while (performance.now() < endAt) {
            await sendOne(pool, path, result);
        }
    }));
    result.perSecond = result.histogram.totalCount / seconds;
    return result;
};

/** Requests at fixed times, in each millisecond those that are due. */
const runAt = async (pool: ConnectionPool, path: string, perSecond: number, seconds: number): Promise<Result> => {
    const result = emptyResult();
    const pending: Array<Promise<void>> = [];
    const startedAt = performance.now();
    let sent = 0;
    while (performance.now() < startedAt + seconds * 1_000) {
        const due = ((performance.now() - startedAt) / 1_000) * perSecond;
        for (; sent < due; sent += 1) {
            pending.push(sendOne(pool, path, result));
        }
        await new Promise(resolve => setTimeout(resolve, 1));
    }
    await Promise.all(pending);
    result.perSecond = sent / seconds;
    return result;
};

const describe = (name: string, result: Result): string => {
    const at = (percentile: number): string => (result.histogram.getValueAtPercentile(percentile) / 1_000).toFixed(2);
    return `${name.padEnd(12)} ${result.perSecond.toFixed(0).padStart(7)}/s p50=${at(50)} ms p99=${at(99)} ms `
        + `failed=${result.failed}`;
};

const main = async (): Promise<void> => {
    const { values } = parseArgs({ options: { seconds: { type: "string", default: "5" } } });
    const seconds = Number(values.seconds);
    const target = await startTarget();
    const platform = await createPlatformStandIn();
    platform.write("pools", "bench", {
        customer: "hallam",
        division: "any",
        checksGrants: false,
        targets: [{ name: "target-1", address: target.address, zone: "zone-1", concurrency: 64, connections: 1_000 }],
        routes: [{ name: "read", method: "GET", path: "/", kind: "idempotent" }],
    });
    const tokenHashes = [createHash("sha256").update(token).digest("hex")];
    platform.write("plans", "hallam", { customer: "hallam", tokenHashes });
    platform.write("allowances", "hallam", { uses: [{ pool: "bench" }] });
    const parts = [
        { name: "pass-through", part: await startPart("bare", target.address) },
        { name: "host", part: await startPart("host", platform.url) },
    ].map(({ name, part }) => ({ name, part, pool: new ConnectionPool(`http://${part.address}`, { connections }) }));
    const path = "/bench/item";
    for (const { pool } of parts) {
        await runFull(pool, path, 2);
    }
    const full: Result[] = [];
    for (const { name, pool } of parts) {
        full.push(await runFull(pool, path, seconds));
        console.log(describe(`${name}`, full[full.length - 1]));
    }
    const half = Math.min(...full.map(result => result.perSecond)) / 2;
    console.log(`throughput ratio ${(full[1].perSecond / full[0].perSecond).toFixed(2)}; at ${half.toFixed(0)}/s:`);
    for (const { name, pool } of parts) {
        console.log(describe(name, await runAt(pool, path, half, seconds)));
    }
    for (const { part, pool } of parts) {
        await pool.destroy();
        part.child.kill();
    }
    target.close();
    await platform.close();
};

await main();
