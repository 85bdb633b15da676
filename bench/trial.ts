/**
 * The trial: the whole path in one process, with embedded stand-ins, three hosts in three zones and a seeded load.
 */
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { Agent } from "undici";
import { settingsSchema } from "../src/contracts/settings.ts";
import { silentLog } from "../src/links/logs.ts";
import { createHost, type Host } from "../src/machines/host.ts";
import { createPlatformStandIn } from "../stand-ins/platform.ts";
import type { TargetStandIn } from "../stand-ins/target.ts";
import { allowanceOf, customers, planOf, poolOf, type PoolShape, startTargets } from "./customers.ts";
import { createRandom, type Random } from "./random.ts";

export type TrialOptions = { seconds: number; seed: number; write: (line: string) => void };

export type TrialPoolResult = {
    requests: number;
    answered: number;
    notRun: number;
    unknown: number;
    doubled: number;
    wrong: number;
    partial: number;
    p50Milliseconds: number;
    p99Milliseconds: number;
};

export type TrialResult = { kept: boolean; pools: Record<string, TrialPoolResult> };

type PoolRun = {
    shape: PoolShape;
    token: string;
    targets: TargetStandIn[];
    histogram: Histogram;
    result: TrialPoolResult;
};

const hostNames = ["host-a", "host-b", "host-c"];
const zones = ["midlands-a", "midlands-b", "midlands-c"];
const requestsPerSecondPerPool = 60;
const keysPerPool = 500;
const readyPollMilliseconds = 50;
const readyLimitMilliseconds = 10_000;

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

const startHost = (name: string, zone: string, url: string): Promise<Host> =>
    createHost({
        settings: settingsSchema.parse({
            host: { name, zone },
            platform: { url },
            callers: { port: 0 },
            peers: { port: 0 },
            operators: { port: 0 },
        }),
        peerKeys: [Buffer.from("trial-key")],
        log: silentLog,
    });

const emptyResult = (): TrialPoolResult => ({
    requests: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    doubled: 0,
    wrong: 0,
    partial: 0,
    p50Milliseconds: 0,
    p99Milliseconds: 0,
});

const sendOne = async (agent: Agent, host: Host, run: PoolRun, random: Random): Promise<void> => {
    const key = `key-${random.below(keysPerPool)}`;
    const id = `id-${run.shape.name}-${run.result.requests}`;
    const { result } = run;
    const startedAt = performance.now();
    result.requests += 1;
    try {
        const response = await agent.request({
            origin: `http://${host.callerAddress}`,
            method: run.shape.method as "GET",
            path: `/${run.shape.name}/item`,
            headers: {
                authorization: `Bearer ${run.token}`,
                "carobpier-key": key,
                "idempotency-key": id,
                "carobpier-attempt": "1",
            },
        });
        const body = await response.body.json() as { key?: string };
        const outcome = response.headers["carobpier-outcome"];
        if (outcome === "answered") {
            result.answered += 1;
            result.wrong += body.key === key ? 0 : 1;
            run.histogram.recordValue(Math.round((performance.now() - startedAt) * 1_000));
            return;
        }
        result.notRun += outcome === "not-run" ? 1 : 0;
        result.unknown += outcome === "not-run" ? 0 : 1;
    }
    catch {
        result.unknown += 1;
    }
};

const load = async (run: PoolRun, hosts: Host[], agent: Agent, random: Random, seconds: number): Promise<void> => {
    const endAt = performance.now() + seconds * 1_000;
    const pending: Array<Promise<void>> = [];
    let nextAt = performance.now();
    while (nextAt < endAt) {
        await pause(Math.max(0, nextAt - performance.now()));
        pending.push(sendOne(agent, hosts[random.below(hosts.length)], run, random));
        nextAt += random.exponential(1_000 / requestsPerSecondPerPool);
    }
    await Promise.all(pending);
};

const countDoubled = (run: PoolRun): number => {
    const seen = new Set<string>();
    let doubled = 0;
    for (const execution of run.targets.flatMap(target => target.executions)) {
        doubled += run.shape.once && seen.has(execution.idempotencyKey) ? 1 : 0;
        seen.add(execution.idempotencyKey);
    }
    return doubled;
};

const untilReady = async (hosts: Host[], runs: PoolRun[], agent: Agent): Promise<void> => {
    const endAt = performance.now() + readyLimitMilliseconds;
    for (const host of hosts) {
        for (const run of runs) {
            const probe = { ...run, result: emptyResult(), histogram: buildHistogram() };
            while (probe.result.answered === 0 && performance.now() < endAt) {
                await sendOne(agent, host, probe, createRandom(probe.result.requests));
                await pause(probe.result.answered === 0 ? readyPollMilliseconds : 0);
            }
        }
    }
    runs.forEach(run => run.targets.forEach(target => target.executions.splice(0)));
};

const report = (runs: PoolRun[], write: (line: string) => void): TrialResult => {
    const pools: TrialResult["pools"] = {};
    const sums = { doubled: 0, wrong: 0, partial: 0, answered: 0, notRun: 0, unknown: 0 };
    write("pool          requests answered not-run unknown doubled    p50    p99");
    for (const run of runs) {
        const { result } = run;
        result.doubled = countDoubled(run);
        result.p50Milliseconds = run.histogram.getValueAtPercentile(50) / 1_000;
        result.p99Milliseconds = run.histogram.getValueAtPercentile(99) / 1_000;
        pools[run.shape.name] = result;
        sums.doubled += result.doubled;
        sums.wrong += result.wrong;
        sums.partial += result.partial;
        sums.answered += result.answered;
        sums.notRun += result.notRun;
        sums.unknown += result.unknown;
        write([
            run.shape.name.padEnd(13),
            ...[result.requests, result.answered, result.notRun, result.unknown, result.doubled]
                .map(count => String(count).padStart(7)),
            result.p50Milliseconds.toFixed(1).padStart(6),
            result.p99Milliseconds.toFixed(1).padStart(6),
        ].join(" "));
    }
    write(
        `doubled=${sums.doubled} wrong=${sums.wrong} partial=${sums.partial} answered=${sums.answered} `
            + `not-run=${sums.notRun} unknown=${sums.unknown}`,
    );
    return { kept: sums.doubled + sums.wrong + sums.partial === 0 && sums.answered > 0, pools };
};

/** Runs the trial and disposes of all that it started. */
export const runTrial = async (options: TrialOptions): Promise<TrialResult> => {
    const platform = await createPlatformStandIn();
    const agent = new Agent({ connections: 64 });
    const runs: PoolRun[] = [];
    for (const customer of customers) {
        for (const shape of customer.pools) {
            const targets = await startTargets(shape);
            runs.push({ shape, token: customer.token, targets, histogram: buildHistogram(), result: emptyResult() });
            platform.write("pools", shape.name, poolOf(shape, targets));
        }
        platform.write("plans", customer.name, planOf(customer));
        platform.write("allowances", customer.name, allowanceOf(customer));
    }
    const hosts = await Promise.all(hostNames.map((name, index) => startHost(name, zones[index], platform.url)));
    await untilReady(hosts, runs, agent);
    options.write(`${hosts.length} hosts serve ${runs.length} pools; load for ${options.seconds} s.`);
    const random = createRandom(options.seed);
    await Promise.all(runs.map(run => load(run, hosts, agent, random, options.seconds)));
    await Promise.all(hosts.map(host => host.stop()));
    await agent.destroy();
    await Promise.all(runs.flatMap(run => run.targets.map(target => target.close())));
    await platform.close();
    return report(runs, options.write);
};
