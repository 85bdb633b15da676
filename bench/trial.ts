/**
 * The trial runs the whole request path in one process: three hosts in three zones, embedded stand-ins and a seeded load.
 * During the load, one target crashes and one host stops.
 */
import { settingsSchema } from "../src/contracts/settings.ts";
import { createSlotHash } from "../src/decisions/hash.ts";
import { silentLog } from "../src/links/logs.ts";
import { createHost, type Host } from "../src/machines/host.ts";
import { createPlatformStandIn, type PlatformStandIn } from "../stand-ins/platform.ts";
import { monotonicMilliseconds, type TargetStandIn } from "../stand-ins/target.ts";
import { delay } from "./caller.ts";
import {
    createAllowance,
    createPlan,
    createPool,
    customers,
    type PoolShape,
    startTargets,
    targetSpeed,
} from "./customers.ts";
import { type LoadResult, runLoad } from "./load.ts";
import { allKeepGuarantees, type PoolSummary, sumLine, summarize, summaryTable } from "./summary.ts";
import { checkPool } from "./verdict.ts";
import { warmUp } from "./warmup.ts";

/** Options of the trial: length of the load, its seed, and a function that receives the output line by line. */
export type TrialOptions = { seconds: number; seed: number; write: (line: string) => void };

/** Result of the trial; `kept` tells whether all guarantees hold. */
export type TrialResult = { kept: boolean; pools: Record<string, PoolSummary> };

type TrialPool = { shape: PoolShape; token: string; targets: TargetStandIn[] };

const hostNames = ["host-a", "host-b", "host-c"];
const zones = ["midlands-a", "midlands-b", "midlands-c"];
const requestsPerSecondPerPool = 60;
const keysPerPool = 500;
const targetCrashAtShare = 0.3;
const hostStopAtShare = 0.6;

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

const startPools = async (platform: PlatformStandIn): Promise<TrialPool[]> => {
    const pools: TrialPool[] = [];
    for (const customer of customers) {
        for (const shape of customer.pools) {
            const targets = await startTargets(shape);
            pools.push({ shape, token: customer.token, targets });
            platform.write("pools", shape.name, createPool(shape, targets));
        }
        platform.write("plans", customer.name, createPlan(customer));
        platform.write("allowances", customer.name, createAllowance(customer));
    }
    return pools;
};

/** Crashes a target and later stops a host while the load runs. */
const injectFaults = async (options: TrialOptions, pools: TrialPool[], hosts: Host[]): Promise<void> => {
    const crashedTarget = pools[0].targets[0];
    const stoppedHost = hosts[hosts.length - 1];
    await delay(options.seconds * 1_000 * targetCrashAtShare);
    options.write(`Target "${crashedTarget.name}" is lost.`);
    await crashedTarget.crash();
    await delay(options.seconds * 1_000 * (hostStopAtShare - targetCrashAtShare));
    options.write(`Host "${stoppedHost.name}" stops.`);
    await stoppedHost.stop();
};

const checkPools = async (
    pools: TrialPool[],
    results: Record<string, LoadResult>,
): Promise<Record<string, PoolSummary>> => {
    const slotHash = await createSlotHash();
    const summaries: Record<string, PoolSummary> = {};
    for (const { shape, targets } of pools) {
        const { records, histogram } = results[shape.name];
        const verdict = checkPool({
            pool: shape.name,
            slotCount: 1_024,
            slotHash,
            byKey: shape.byKey,
            once: shape.once,
            targets: targets.map((target, index) => ({ ...target.records(), speed: targetSpeed(shape, index) })),
            sends: records,
            endedAt: monotonicMilliseconds(),
        });
        summaries[shape.name] = summarize(verdict, histogram);
    }
    return summaries;
};

/** Runs the trial, then stops everything that it started. */
export const runTrial = async (options: TrialOptions): Promise<TrialResult> => {
    const platform = await createPlatformStandIn();
    const pools = await startPools(platform);
    const hosts = await Promise.all(hostNames.map((name, index) => startHost(name, zones[index], platform.url)));
    const loads = pools.map(({ shape, token }) => ({
        pool: shape.name,
        method: shape.method,
        token,
        perSecond: requestsPerSecondPerPool,
        keys: keysPerPool,
    }));
    await warmUp(hosts.map(host => host.callerAddress), loads);
    pools.forEach(({ targets }) => targets.forEach(target => target.executions.splice(0)));
    options.write(`${hosts.length} hosts serve ${pools.length} pools; load for ${options.seconds} s.`);
    const faultInjection = injectFaults(options, pools, hosts);
    const results = await runLoad({
        hosts: hosts.map(host => host.callerAddress),
        pools: loads,
        seed: options.seed,
        startAt: monotonicMilliseconds(),
        seconds: options.seconds,
        phases: [],
        bodyBytes: 64,
        onProgress: (second, answered) => options.write(`${second} s: ${answered} answered.`),
    });
    await faultInjection;
    const summaries = await checkPools(pools, results);
    await Promise.all(hosts.slice(0, -1).map(host => host.stop()));
    await Promise.all(pools.flatMap(({ targets }) => targets.map(target => target.close())));
    await platform.close();
    summaryTable(summaries).forEach(options.write);
    for (const { findings } of Object.values(summaries)) {
        findings.forEach(options.write);
    }
    options.write(sumLine(summaries));
    return { kept: allKeepGuarantees(summaries), pools: summaries };
};
