/**
 * Collects the load of each pool's keys and targets that this host observes and sends it to the pool's coordinator a
 * few times a second. The coordinator's host adds up the loads of all hosts.
 */
import type { Clock } from "../../contracts/clock.ts";
import { createKeyLoads, type KeyLoads } from "../../decisions/keyload.ts";
import { createServiceTimes, type ServiceTimes } from "../../decisions/servicetimes.ts";
import { createLoadReportSender, createLoadReportService, type LoadReport } from "../../links/loadreports.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerDialer, PeerService } from "../../links/peers.ts";
import { forEachAlone, keepRunning } from "../longtasks.ts";
import type { EventLoopMonitor } from "./eventloopmonitor.ts";

export type LoadReporter = {
    /** Accepts the reports of other hosts. */
    service: PeerService;
    /** Records a request for a key, and whether it was sent to a target. */
    recordKey: (pool: string, key: number, wasSent: boolean) => void;
    /** Records the time that a target worked on a request. */
    recordWork: (pool: string, target: string, milliseconds: number) => void;
    /** Returns the loads of the pool's keys; only the coordinator's host receives them. */
    loadsOf: (pool: string) => KeyLoads;
    /** Returns the work of the pool's targets; only the coordinator's host receives it. */
    workOf: (pool: string) => ServiceTimes;
};

export type LoadReporterOptions = {
    dial: PeerDialer;
    /** Returns `self`, or the address at which the coordinator receives reports; undefined while there is none. */
    coordinatorAddress: (pool: string) => "self" | string | undefined;
    /** Returns the service time of a target as known from all hosts; undefined when it rests on little. */
    knownMilliseconds?: (target: string) => number | undefined;
    measure: EventLoopMonitor["measure"];
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Interval of reports: a key that becomes busy must be moved within about a second, so reports come more often. */
const reportMilliseconds = 250;
/** Most requests that one report contains; further ones are dropped. */
const maxReportEntries = 1_000;

/** Weight of a refused request: its caller retries about twice, so each refusal counts as less than one request. */
const refusedWeight = 0.35;

type Pool = { loads: KeyLoads; work: ServiceTimes; pending: LoadReport };

const emptyReport = (pool: string): LoadReport => ({ pool, keys: [], refusedKeys: [], work: [] });

/** Starts to collect and send reports. */
export const createLoadReporter = (options: LoadReporterOptions): LoadReporter => {
    const { clock, signal } = options;
    const pools = new Map<string, Pool>();

    const poolOf = (name: string): Pool => {
        const known = pools.get(name)
            ?? {
                loads: createKeyLoads(),
                work: createServiceTimes(options.knownMilliseconds),
                pending: emptyReport(name),
            };
        pools.set(name, known);
        return known;
    };

    const addReport = (report: LoadReport): void => {
        const { loads, work } = poolOf(report.pool);
        const now = clock.now();
        report.keys.forEach(key => loads.recordRequest(key, now));
        report.refusedKeys.forEach(key => loads.recordRequest(key, now, refusedWeight));
        report.work.forEach(([target, milliseconds]) => work.recordServiceTime(target, milliseconds));
    };

    const send = createLoadReportSender(options.dial);

    const sendReport = (name: string, pool: Pool): void => {
        const { pending } = pool;
        if (pending.keys.length === 0 && pending.refusedKeys.length === 0 && pending.work.length === 0) {
            return;
        }
        pool.pending = emptyReport(name);
        const coordinator = options.coordinatorAddress(name);
        if (coordinator === "self") {
            addReport(pending);
        }
        else if (coordinator !== undefined) {
            send(coordinator, pending);
        }
    };

    const reportRepeatedly = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(reportMilliseconds, signal);
            forEachAlone("load-reports", pools, ([name, pool]) => sendReport(name, pool), options);
        }
    };
    void keepRunning("load-reports", reportRepeatedly, options);

    return {
        service: createLoadReportService(report => options.measure("report", () => addReport(report))),
        recordKey: (pool, key, wasSent) => {
            const { pending } = poolOf(pool);
            const keys = wasSent ? pending.keys : pending.refusedKeys;
            if (keys.length < maxReportEntries) {
                keys.push(key);
            }
        },
        recordWork: (pool, target, milliseconds) => {
            const { pending } = poolOf(pool);
            if (pending.work.length < maxReportEntries) {
                pending.work.push([target, milliseconds]);
            }
        },
        loadsOf: pool => poolOf(pool).loads,
        workOf: pool => poolOf(pool).work,
    };
};
