/**
 * Gathers what this host sees of each pool's keys and targets, and sends it to the pool's coordinator a few times a
 * second; the coordinator itself keeps the loads of all hosts.
 */
import type { Clock } from "../../contracts/clock.ts";
import { createKeyLoads, type KeyLoads } from "../../decisions/keyload.ts";
import { createServiceTimes, type ServiceTimes } from "../../decisions/servicetimes.ts";
import { type LoadReport, openLoadReports } from "../../links/loadreports.ts";
import type { Lateness } from "./lateness.ts";

export type Reporter = {
    noteKey: (pool: string, key: number, wasSent: boolean) => void;
    noteWork: (pool: string, target: string, milliseconds: number) => void;
    loadsOf: (pool: string) => KeyLoads;
    workOf: (pool: string) => ServiceTimes;
};

export type ReporterOptions = {
    /** `address:port` at which this host hears reports. */
    listen: string;
    /** `self`, or the coordinator's address for reports; undefined while there is none. */
    coordinatorOf: (pool: string) => "self" | string | undefined;
    measure: Lateness["measure"];
    clock: Clock;
    signal: AbortSignal;
};

/** A key that becomes busy is moved within about a second, so that reports must be faster. */
const reportMilliseconds = 250;
/** Requests that one report carries; more are left out. */
const maxReported = 1_000;

/** A refused caller comes back about twice, so that each refusal stands for less than one request. */
const refusedWeight = 0.35;

type Pool = { loads: KeyLoads; work: ServiceTimes; pending: LoadReport };

const emptyReport = (pool: string): LoadReport => ({ pool, keys: [], refusedKeys: [], work: [] });

/** Starts to gather and report. */
export const createReporter = async (options: ReporterOptions): Promise<Reporter> => {
    const { clock, signal } = options;
    const pools = new Map<string, Pool>();

    const poolOf = (name: string): Pool => {
        const held = pools.get(name)
            ?? { loads: createKeyLoads(), work: createServiceTimes(), pending: emptyReport(name) };
        pools.set(name, held);
        return held;
    };

    const take = (report: LoadReport): void => {
        const { loads, work } = poolOf(report.pool);
        const now = clock.now();
        report.keys.forEach(key => loads.recordRequest(key, now));
        report.refusedKeys.forEach(key => loads.recordRequest(key, now, refusedWeight));
        report.work.forEach(([target, milliseconds]) => work.recordServiceTime(target, milliseconds));
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
        const coordinator = options.coordinatorOf(name);
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
        noteKey: (pool, key, wasSent) => {
            const { pending } = poolOf(pool);
            const keys = wasSent ? pending.keys : pending.refusedKeys;
            if (keys.length < maxReported) {
                keys.push(key);
            }
        },
        noteWork: (pool, target, milliseconds) => {
            const { pending } = poolOf(pool);
            if (pending.work.length < maxReported) {
                pending.work.push([target, milliseconds]);
            }
        },
        loadsOf: pool => poolOf(pool).loads,
        workOf: pool => poolOf(pool).work,
    };
};
