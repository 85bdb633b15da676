/**
 * Gathers what this host sees of each pool's keys and targets, and sends it to the pool's coordinator a few times a
 * second; the coordinator itself keeps the loads of all hosts.
 */
import type { Clock } from "../../contracts/clock.ts";
import { createKeyLoads, type KeyLoads } from "../../decisions/keyload.ts";
import { createTargetWork, type TargetWork } from "../../decisions/targetwork.ts";
import { type LoadReport, openLoadReports } from "../../links/loadreports.ts";
import type { EventLoopMonitor } from "./eventloopmonitor.ts";

export type LoadReporter = {
    recordKey: (pool: string, key: number, wasSent: boolean) => void;
    recordWork: (pool: string, target: string, milliseconds: number) => void;
    loadsOf: (pool: string) => KeyLoads;
    workOf: (pool: string) => TargetWork;
};

export type LoadReporterOptions = {
    /** `address:port` at which this host hears reports. */
    listen: string;
    /** `self`, or the coordinator's address for reports; undefined while there is none. */
    coordinatorAddress: (pool: string) => "self" | string | undefined;
    measure: EventLoopMonitor["measure"];
    clock: Clock;
    signal: AbortSignal;
};

/** A key that becomes busy is moved within about a second, so that reports must be faster. */
const reportMilliseconds = 250;
/** Requests that one report carries; more are left out. */
const maxReported = 1_000;

/** A refused caller comes back about twice, so that each refusal stands for less than one request. */
const refusedWeight = 0.35;

type Pool = { loads: KeyLoads; work: TargetWork; pending: LoadReport };

const emptyReport = (pool: string): LoadReport => ({ pool, keys: [], refusedKeys: [], work: [] });

/** Starts to gather and report. */
export const createLoadReporter = async (options: LoadReporterOptions): Promise<LoadReporter> => {
    const { clock, signal } = options;
    const pools = new Map<string, Pool>();

    const poolOf = (name: string): Pool => {
        const held = pools.get(name)
            ?? { loads: createKeyLoads(), work: createTargetWork(), pending: emptyReport(name) };
        pools.set(name, held);
        return held;
    };

    const take = (report: LoadReport): void => {
        const { loads, work } = poolOf(report.pool);
        const now = clock.now();
        report.keys.forEach(key => loads.note(key, now));
        report.refusedKeys.forEach(key => loads.note(key, now, refusedWeight));
        report.work.forEach(([target, milliseconds]) => work.note(target, milliseconds));
    };

    const link = await openLoadReports({
        listen: options.listen,
        onReport: report => options.measure("report", () => take(report)),
        signal,
    });

    const report = (name: string, pool: Pool): void => {
        const { pending } = pool;
        if (pending.keys.length === 0 && pending.refusedKeys.length === 0 && pending.work.length === 0) {
            return;
        }
        pool.pending = emptyReport(name);
        const coordinator = options.coordinatorAddress(name);
        if (coordinator === "self") {
            take(pending);
        }
        else if (coordinator !== undefined) {
            link.send(coordinator, pending);
        }
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(reportMilliseconds, signal);
            pools.forEach((pool, name) => report(name, pool));
        }
    };
    void run();

    return {
        recordKey: (pool, key, wasSent) => {
            const { pending } = poolOf(pool);
            const keys = wasSent ? pending.keys : pending.refusedKeys;
            if (keys.length < maxReported) {
                keys.push(key);
            }
        },
        recordWork: (pool, target, milliseconds) => {
            const { pending } = poolOf(pool);
            if (pending.work.length < maxReported) {
                pending.work.push([target, milliseconds]);
            }
        },
        loadsOf: pool => poolOf(pool).loads,
        workOf: pool => poolOf(pool).work,
    };
};
