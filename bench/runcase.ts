/**
 * Runs one case: starts its fleet, generates the load, performs the timeline of faults, and collects the verdicts and the
 * measurements.
 */
import { outcomes } from "../src/contracts/outcome.ts";
import { createSlotHash } from "../src/decisions/hash.ts";
import type { HostReport } from "../src/machines/host.ts";
import type { PlatformRecords } from "../stand-ins/platform.ts";
import { monotonicMilliseconds, type TargetRecords } from "../stand-ins/target.ts";
import { delay } from "./caller.ts";
import type { BenchCase } from "./case.ts";
import type { ProcessUsage } from "./children.ts";
import { targetSpeed } from "./customers.ts";
import { type Fleet, poolRequestsPerSecond, type Programs, startFleet } from "./fleet.ts";
import { generateLoad, generatorCount, type MergedLoadResult, startGenerators } from "./generators.ts";
import { allKeepGuarantees, type PoolSummary, summarize } from "./summary.ts";
import { type EventResult, runTimeline } from "./timeline.ts";
import { checkPool, type SendRecord } from "./verdict.ts";

/** What one host used during the load. */
export type HostUsage = {
    name: string;
    /** Processor time, as a share of one core. */
    cpuShare: number;
    residentMegabytes: number;
    peakMegabytes: number;
    /** Bytes a second on links to other hosts, in both directions. */
    peerBytesPerSecond: number;
    /** Exit codes, or names of the signals, with which processes of the host ended. */
    ends: string[];
};

/** Calls and bytes at the platform during a run. */
export type PlatformUsage = {
    callsPerSecond: Record<string, number>;
    peakCallsPerSecond: number;
    /** Number of writes during the load, by object. */
    writes: Record<string, number>;
    bytesPerSecond: number;
};

/** Outcomes and latency of the sends that were due in one second of the load. */
export type SecondSummary = {
    second: number;
    answered: number;
    notRun: number;
    unknown: number;
    p99Milliseconds: number;
};

export type CaseResult = {
    name: string;
    seed: number;
    warm: boolean;
    kept: boolean;
    pools: Record<string, PoolSummary>;
    hosts: HostUsage[];
    platform: PlatformUsage;
    /** Calls and bytes of grants, health and load at the targets, from all hosts together. */
    targetControl: { callsPerSecond: number; bytesPerSecond: number };
    /** Load generators: the mean share of a core that one used, and the longest delay between due time and send. */
    load: { processes: number; cpuShare: number; latestSendMilliseconds: number };
    /** Sends that got no answer, since the connection to the host broke or the time was up. */
    cutOff: number;
    events: EventResult[];
    seconds: SecondSummary[];
};

/** Options of `runCase`; the seed determines the load. */
export type RunOptions = { name: string; benchCase: BenchCase; seed: number; programs: Programs };

type Snapshot = { usage: Map<string, ProcessUsage | undefined>; reports: Map<string, HostReport | undefined> };

const startDelayMilliseconds = 1_500;
const settleMilliseconds = 5_000;

const takeSnapshot = async (fleet: Fleet): Promise<Snapshot> => {
    const reports = await Promise.all(fleet.hosts.map(host => host.status()));
    return {
        usage: new Map(fleet.hosts.map(host => [host.name, host.readUsage()])),
        reports: new Map(fleet.hosts.map((host, index) => [host.name, reports[index]])),
    };
};

const readTargetControl = async (fleet: Fleet): Promise<TargetRecords["control"]> => {
    const { targetRecords = [] } = await fleet.targets.ask({ kind: "records" });
    return targetRecords.reduce((sum, { control }) => ({
        calls: sum.calls + control.calls,
        bytes: sum.bytes + control.bytes,
    }), { calls: 0, bytes: 0 });
};

const peerTrafficBytes = (report: HostReport | undefined): number =>
    report === undefined ? 0 : report.peerTraffic.sentBytes + report.peerTraffic.receivedBytes;

const measureHosts = (fleet: Fleet, before: Snapshot, after: Snapshot, seconds: number): HostUsage[] =>
    fleet.hosts.map(({ name, ends }) => {
        const [first, last] = [before.usage.get(name), after.usage.get(name)];
        const bytes = peerTrafficBytes(after.reports.get(name)) - peerTrafficBytes(before.reports.get(name));
        return {
            name,
            cpuShare: Math.max(0, (last?.cpuSeconds ?? 0) - (first?.cpuSeconds ?? 0)) / seconds,
            residentMegabytes: last?.residentMegabytes ?? 0,
            peakMegabytes: last?.peakMegabytes ?? 0,
            peerBytesPerSecond: Math.max(0, bytes) / seconds,
            ends,
        };
    });

const countWrites = (writes: PlatformRecords["writes"]): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const { kind, name } of writes) {
        const object = `${kind}/${name}`;
        counts[object] = (counts[object] ?? 0) + 1;
    }
    return counts;
};

const measurePlatform = (records: PlatformRecords, startAt: number, seconds: number): PlatformUsage => {
    const first = Math.floor(startAt / 1_000);
    const sums: Record<string, number> = {};
    let peak = 0;
    for (let second = first; second < first + seconds; second += 1) {
        const calls = records.callsBySecond[String(second)] ?? {};
        peak = Math.max(peak, Object.values(calls).reduce((sum, count) => sum + count, 0));
        for (const [name, count] of Object.entries(calls)) {
            sums[name] = (sums[name] ?? 0) + count;
        }
    }
    const recordedSeconds = Object.keys(records.callsBySecond).length;
    return {
        callsPerSecond: Object.fromEntries(Object.entries(sums).map(([name, count]) => [name, count / seconds])),
        peakCallsPerSecond: peak,
        writes: countWrites(records.writes.filter(({ at }) => at >= startAt)),
        bytesPerSecond: (records.bytes.received + records.bytes.sent) / Math.max(1, recordedSeconds),
    };
};

const percentile99 = (values: number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * 0.99))] ?? 0;
};

const summarizeSeconds = (records: SendRecord[], startAt: number, seconds: number): SecondSummary[] =>
    [...Array(seconds).keys()].map(second => {
        const due = records.filter(({ startedAt }) => Math.floor((startedAt - startAt) / 1_000) === second);
        const answered = due.filter(({ outcome }) => outcome === outcomes.answered);
        const notRun = due.filter(({ outcome }) => outcome === outcomes.notRun).length;
        return {
            second,
            answered: answered.length,
            notRun,
            unknown: due.length - answered.length - notRun,
            p99Milliseconds: percentile99(answered.map(({ startedAt, endedAt }) => endedAt - startedAt)),
        };
    });

const checkPools = async (
    options: RunOptions,
    fleet: Fleet,
    load: MergedLoadResult,
    records: TargetRecords[],
    endedAt: number,
): Promise<Record<string, PoolSummary>> => {
    const slotHash = await createSlotHash();
    const summaries: Record<string, PoolSummary> = {};
    for (const shape of fleet.customer.pools) {
        const { histogram, records: sends } = load.pools[shape.name];
        const targetsOfPool = records.filter(({ name }) => name.startsWith(`${shape.name}-`));
        const verdict = checkPool({
            pool: shape.name,
            slotCount: options.benchCase.slotCount,
            slotHash,
            byKey: shape.byKey,
            once: shape.once,
            targets: targetsOfPool.map((target, index) => ({ ...target, speed: targetSpeed(shape, index) })),
            sends,
            endedAt,
        });
        summaries[shape.name] = summarize(verdict, histogram);
    }
    return summaries;
};

/** Runs a case, then stops all processes that it started. */
export const runCase = async (options: RunOptions): Promise<CaseResult> => {
    const { benchCase, seed } = options;
    const fleet = await startFleet(benchCase, options.programs);
    const generators = startGenerators(options.programs, generatorCount(benchCase));
    try {
        const { pools: shapes, token } = fleet.customer;
        const pools = shapes.map(shape => ({
            pool: shape.name,
            method: shape.method,
            token,
            perSecond: poolRequestsPerSecond(shapes, shape, benchCase.perSecond),
            keys: benchCase.keys,
        }));
        const hosts = fleet.hosts.map(host => host.callerAddress);
        const warmUps = await Promise.all(generators.map(generator => generator.warmUp(hosts, pools)));
        const warm = warmUps.every(Boolean);
        await delay(settleMilliseconds);
        await fleet.targets.ask({ kind: "forget-runs" });
        const startAt = monotonicMilliseconds() + startDelayMilliseconds;
        const { seconds, phases, bodyBytes } = benchCase;
        const pendingLoad = generateLoad(generators, { hosts, pools, seed, startAt, seconds, phases, bodyBytes });
        await delay(startAt - monotonicMilliseconds());
        const controlBefore = await readTargetControl(fleet);
        const before = await takeSnapshot(fleet);
        const timeline = runTimeline(fleet, benchCase.events, startAt);
        await delay(startAt + seconds * 1_000 - monotonicMilliseconds());
        const after = await takeSnapshot(fleet);
        const controlAfter = await readTargetControl(fleet);
        const [load, events] = [await pendingLoad, await timeline];
        const endedAt = monotonicMilliseconds();
        const { targetRecords = [] } = await fleet.targets.ask({ kind: "records" });
        const { platformRecords } = await fleet.platform.ask({ kind: "records" });
        const summaries = await checkPools(options, fleet, load, targetRecords, endedAt);
        const sends = Object.values(load.pools).flatMap(({ records }) => records);
        return {
            name: options.name,
            seed,
            warm,
            kept: warm && allKeepGuarantees(summaries) && events.every(({ failed }) => !failed),
            pools: summaries,
            hosts: measureHosts(fleet, before, after, seconds),
            platform: measurePlatform(platformRecords as PlatformRecords, startAt, seconds),
            targetControl: {
                callsPerSecond: (controlAfter.calls - controlBefore.calls) / seconds,
                bytesPerSecond: (controlAfter.bytes - controlBefore.bytes) / seconds,
            },
            load: {
                processes: generators.length,
                cpuShare: load.cpuSeconds / seconds / generators.length,
                latestSendMilliseconds: Math.max(
                    ...Object.values(load.pools).map(pool => pool.latestSendMilliseconds),
                ),
            },
            cutOff: sends.filter(({ reason }) => reason === "broken-connection" || reason === "no-answer").length,
            events,
            seconds: summarizeSeconds(sends, startAt, seconds),
        };
    }
    finally {
        generators.forEach(generator => generator.kill());
        await fleet.close();
    }
};
