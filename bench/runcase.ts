/**
 * Runs one case: starts its fleet, drives the load and the timeline of faults, and gathers verdict and figures.
 */
import { outcomes } from "../src/contracts/outcome.ts";
import { createSlotHash } from "../src/decisions/hash.ts";
import type { HostReport } from "../src/machines/host.ts";
import type { PlatformRecords } from "../stand-ins/platform.ts";
import { machineMilliseconds, type TargetRecords } from "../stand-ins/target.ts";
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
    /** Share of one core. */
    cpuShare: number;
    residentMegabytes: number;
    peakMegabytes: number;
    /** Bytes a second on links to other hosts, both ways. */
    peerBytesPerSecond: number;
    ends: string[];
};

export type PlatformUsage = {
    callsPerSecond: Record<string, number>;
    peakCallsPerSecond: number;
    /** Writes during the load, by object. */
    writes: Record<string, number>;
    bytesPerSecond: number;
};

/** One second of the load. */
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
    /** Share of a core that each load generator used, and the longest delay in sending. */
    load: { processes: number; cpuShare: number; latestSendMilliseconds: number };
    /** Sends whose connection to the host broke. */
    cutOff: number;
    events: EventResult[];
    seconds: SecondSummary[];
};

export type RunOptions = { name: string; benchCase: BenchCase; seed: number; programs: Programs };

type Snapshot = { figures: Map<string, ProcessUsage | undefined>; reports: Map<string, HostReport | undefined> };

const startDelayMilliseconds = 1_500;
const settleMilliseconds = 5_000;

const snapshotOf = async (fleet: Fleet): Promise<Snapshot> => {
    const reports = await Promise.all(fleet.hosts.map(host => host.status()));
    return {
        figures: new Map(fleet.hosts.map(host => [host.name, host.readUsage()])),
        reports: new Map(fleet.hosts.map((host, index) => [host.name, reports[index]])),
    };
};

const targetControlOf = async (fleet: Fleet): Promise<TargetRecords["control"]> => {
    const { targetRecords = [] } = await fleet.targets.ask({ kind: "records" });
    return targetRecords.reduce((sum, { control }) => ({
        calls: sum.calls + control.calls,
        bytes: sum.bytes + control.bytes,
    }), { calls: 0, bytes: 0 });
};

const trafficOf = (report: HostReport | undefined): number =>
    report === undefined ? 0 : report.peerTraffic.sentBytes + report.peerTraffic.receivedBytes;

const hostFigures = (fleet: Fleet, before: Snapshot, after: Snapshot, seconds: number): HostUsage[] =>
    fleet.hosts.map(({ name, ends }) => {
        const [first, last] = [before.figures.get(name), after.figures.get(name)];
        const bytes = trafficOf(after.reports.get(name)) - trafficOf(before.reports.get(name));
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
        const place = `${kind}/${name}`;
        counts[place] = (counts[place] ?? 0) + 1;
    }
    return counts;
};

const platformFigures = (records: PlatformRecords, startAt: number, seconds: number): PlatformUsage => {
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
    const lifeSeconds = Object.keys(records.callsBySecond).length;
    return {
        callsPerSecond: Object.fromEntries(Object.entries(sums).map(([name, count]) => [name, count / seconds])),
        peakCallsPerSecond: peak,
        writes: countWrites(records.writes.filter(({ at }) => at >= startAt)),
        bytesPerSecond: (records.bytes.received + records.bytes.sent) / Math.max(1, lifeSeconds),
    };
};

const percentile99 = (values: number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * 0.99))] ?? 0;
};

const secondsOf = (records: SendRecord[], startAt: number, seconds: number): SecondSummary[] =>
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

const judge = async (
    options: RunOptions,
    fleet: Fleet,
    load: MergedLoadResult,
    records: TargetRecords[],
    endedAt: number,
): Promise<Record<string, PoolSummary>> => {
    const slotHash = await createSlotHash();
    const summaries: Record<string, PoolSummary> = {};
    for (const shape of fleet.customer.pools) {
        const { histogram, records: callers } = load.pools[shape.name];
        const own = records.filter(({ name }) => name.startsWith(`${shape.name}-`));
        const verdict = checkPool({
            pool: shape.name,
            slotCount: options.benchCase.slotCount,
            slotHash,
            byKey: shape.byKey,
            once: shape.once,
            targets: own.map((target, index) => ({ ...target, speed: targetSpeed(shape, index) })),
            sends: callers,
            endedAt,
        });
        summaries[shape.name] = summarize(verdict, histogram);
    }
    return summaries;
};

/** Runs a case and disposes of all that it started. */
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
        const startAt = machineMilliseconds() + startDelayMilliseconds;
        const { seconds, phases, bodyBytes } = benchCase;
        const loading = generateLoad(generators, { hosts, pools, seed, startAt, seconds, phases, bodyBytes });
        await delay(startAt - machineMilliseconds());
        const controlBefore = await targetControlOf(fleet);
        const before = await snapshotOf(fleet);
        const timeline = runTimeline(fleet, benchCase.events, startAt);
        await delay(startAt + seconds * 1_000 - machineMilliseconds());
        const after = await snapshotOf(fleet);
        const controlAfter = await targetControlOf(fleet);
        const [load, events] = [await loading, await timeline];
        const endedAt = machineMilliseconds();
        const { targetRecords = [] } = await fleet.targets.ask({ kind: "records" });
        const { platformRecords } = await fleet.platform.ask({ kind: "records" });
        const summaries = await judge(options, fleet, load, targetRecords, endedAt);
        const sends = Object.values(load.pools).flatMap(({ records }) => records);
        return {
            name: options.name,
            seed,
            warm,
            kept: warm && allKeepGuarantees(summaries) && events.every(({ failed }) => !failed),
            pools: summaries,
            hosts: hostFigures(fleet, before, after, seconds),
            platform: platformFigures(platformRecords as PlatformRecords, startAt, seconds),
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
            seconds: secondsOf(sends, startAt, seconds),
        };
    }
    finally {
        generators.forEach(generator => generator.kill());
        await fleet.close();
    }
};
