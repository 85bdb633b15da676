/**
 * Compares one host with a bare pass-through, in which Node `http` passes every request to `undici`. The host, the
 * pass-through and the target each run in a process of their own; this process generates the load. Prints the throughput
 * with a fixed number of connections, and the latency at half of the lower throughput.
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

/** Bundles the worker program as the product is built. Running from sources costs time for each function created. */
const bundleWorker = async (): Promise<string> => {
    const outfile = join(await mkdtemp(join(tmpdir(), "carobpier-passthrough-")), "part.cjs");
    const entryPoints = [fileURLToPath(new URL("./passthroughpart.ts", import.meta.url))];
    await build({ entryPoints, outfile, bundle: true, platform: "node", format: "cjs", target: "node20" });
    return outfile;
};

type Result = { perSecond: number; histogram: Histogram; failed: number };

type WorkerKind = "target" | "bare" | "host";

const startWorker = (
    path: string,
    kind: WorkerKind,
    argument: string,
): Promise<{ address: string; child: ChildProcess }> =>
    new Promise(resolve => {
        const child = fork(path, [kind, argument], { execArgv: [] });
        child.once("message", address => resolve({ address: String(address), child }));
    });

/** Asks a worker for the processor time that it used, in microseconds. */
const readProcessorMicroseconds = (child: ChildProcess): Promise<number> =>
    new Promise(resolve => {
        child.once("message", microseconds => resolve(Number(microseconds)));
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

const createResult = (): Result => ({ perSecond: 0, histogram: buildHistogram(), failed: 0 });

/** Generates a closed-loop load: every connection sends its next request when the previous one is answered. */
const runClosedLoop = async (pool: ConnectionPool, path: string, seconds: number): Promise<Result> => {
    const result = createResult();
    const endAt = performance.now() + seconds * 1_000;
    await Promise.all([...Array(connections).keys()].map(async () => {
        while (performance.now() < endAt) {
            await sendOne(pool, path, result);
        }
    }));
    result.perSecond = result.histogram.totalCount / seconds;
    return result;
};

/** Generates an open-loop load at a fixed rate: in each millisecond sends the requests that are due. */
const runAtRate = async (pool: ConnectionPool, path: string, perSecond: number, seconds: number): Promise<Result> => {
    const result = createResult();
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

const formatResult = (name: string, result: Result): string => {
    const valueAt = (percentile: number): string =>
        (result.histogram.getValueAtPercentile(percentile) / 1_000).toFixed(2);
    return `${name.padEnd(12)} ${result.perSecond.toFixed(0).padStart(7)}/s p50=${valueAt(50)} ms p99=${
        valueAt(99)
    } ms `
        + `failed=${result.failed}`;
};

const runComparison = async (): Promise<void> => {
    const { values } = parseArgs({ options: { seconds: { type: "string", default: "5" } } });
    const seconds = Number(values.seconds);
    const workerPath = await bundleWorker();
    const target = await startWorker(workerPath, "target", "");
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
    const workers = [
        { name: "pass-through", worker: await startWorker(workerPath, "bare", target.address) },
        { name: "host", worker: await startWorker(workerPath, "host", platform.url) },
    ].map(({ name, worker }) => ({
        name,
        worker,
        pool: new ConnectionPool(`http://${worker.address}`, { connections }),
    }));
    const path = "/bench/item";
    for (const { pool } of workers) {
        await runClosedLoop(pool, path, 2);
    }
    const results: Result[] = [];
    const costs: number[] = [];
    for (const { name, pool, worker } of workers) {
        const before = await readProcessorMicroseconds(worker.child);
        const result = await runClosedLoop(pool, path, seconds);
        const cost = (await readProcessorMicroseconds(worker.child) - before) / result.histogram.totalCount;
        results.push(result);
        costs.push(cost);
        console.log(`${formatResult(name, result)} processor=${cost.toFixed(0)} us a request`);
    }
    console.log(`throughput of one core by processor time: ratio ${(costs[0] / costs[1]).toFixed(2)}`);
    const halfThroughput = Math.min(...results.map(result => result.perSecond)) / 2;
    console.log(
        `throughput as run: ratio ${(results[1].perSecond / results[0].perSecond).toFixed(2)}; at ${
            halfThroughput.toFixed(0)
        }/s:`,
    );
    for (const { name, pool } of workers) {
        console.log(formatResult(name, await runAtRate(pool, path, halfThroughput, seconds)));
    }
    for (const { worker, pool } of workers) {
        await pool.destroy();
        worker.child.kill();
    }
    target.child.kill();
    await rm(dirname(workerPath), { recursive: true });
    await platform.close();
};

await runComparison();
