/**
 * Compares one host with a bare pass-through: Node `http` that hands every request to `undici`. Both run in their own
 * process, and so does the target; the load runs in this one. Prints throughput with a fixed number of connections, and the
 * latency at half of the lower throughput.
 *
 * Run with `npx tsx bench/passthrough.ts [--seconds N]`.
 */
import { build } from "esbuild";
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { type ChildProcess, fork } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { Pool as ConnectionPool } from "undici";
import { createPlatformStandIn } from "../stand-ins/platform.ts";

const connections = 32;
const token = "bench-token";

/** Bundles the parts as the product is built, since running from sources costs time for each function made. */
const bundlePart = async (): Promise<string> => {
    const outfile = join(await mkdtemp(join(tmpdir(), "carobpier-passthrough-")), "part.cjs");
    const entryPoints = [fileURLToPath(new URL("./passthroughpart.ts", import.meta.url))];
    await build({ entryPoints, outfile, bundle: true, platform: "node", format: "cjs", target: "node20" });
    return outfile;
};

type Result = { perSecond: number; histogram: Histogram; failed: number };

type PartKind = "target" | "bare" | "host";

const startPart = (path: string, kind: PartKind, argument: string): Promise<{ address: string; child: ChildProcess }> =>
    new Promise(resolve => {
        const child = fork(path, [kind, argument], { execArgv: [] });
        child.once("message", address => resolve({ address: String(address), child }));
    });

const processorMicroseconds = (child: ChildProcess): Promise<number> =>
    new Promise(resolve => {
        child.once("message", used => resolve(Number(used)));
        child.send("processor");
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
    const partPath = await bundlePart();
    const target = await startPart(partPath, "target", "");
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
        { name: "pass-through", part: await startPart(partPath, "bare", target.address) },
        { name: "host", part: await startPart(partPath, "host", platform.url) },
    ].map(({ name, part }) => ({ name, part, pool: new ConnectionPool(`http://${part.address}`, { connections }) }));
    const path = "/bench/item";
    for (const { pool } of parts) {
        await runFull(pool, path, 2);
    }
    const full: Result[] = [];
    const costs: number[] = [];
    for (const { name, pool, part } of parts) {
        const before = await processorMicroseconds(part.child);
        const result = await runFull(pool, path, seconds);
        const cost = (await processorMicroseconds(part.child) - before) / result.histogram.totalCount;
        full.push(result);
        costs.push(cost);
        console.log(`${describe(name, result)} processor=${cost.toFixed(0)} us a request`);
    }
    console.log(`throughput of one core by processor time: ratio ${(costs[0] / costs[1]).toFixed(2)}`);
    const half = Math.min(...full.map(result => result.perSecond)) / 2;
    console.log(
        `throughput as run: ratio ${(full[1].perSecond / full[0].perSecond).toFixed(2)}; at ${half.toFixed(0)}/s:`,
    );
    for (const { name, pool } of parts) {
        console.log(describe(name, await runAt(pool, path, half, seconds)));
    }
    for (const { part, pool } of parts) {
        await pool.destroy();
        part.child.kill();
    }
    target.child.kill();
    await rm(dirname(partPath), { recursive: true });
    await platform.close();
};

await main();
