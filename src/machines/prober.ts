/**
 * The prober reports to the coordinators what this host finds of the targets that it renews: at once when a finding
 * changes, and otherwise at intervals.
 */
import type { ProbeReport } from "../contracts/ownershipmessages.ts";
import { targetStates } from "../contracts/targetprotocol.ts";
import { findingOf, type ProbeOptions } from "../decisions/detect.ts";
import { forEachAlone, keepRunning, type LongTaskOptions, runAlone } from "./longtasks.ts";
import type { Peers } from "./peers.ts";
import type { ProbedTarget } from "./renewer.ts";
import { recordHealth } from "./target.ts";

export type ProberOptions = {
    probedTargets: () => ProbedTarget[];
    /** The host that coordinates the pool; undefined when none does. */
    coordinatorOf: (pool: string) => string | undefined;
    peers: Peers;
    probe: ProbeOptions;
} & LongTaskOptions;

const checkIntervalMilliseconds = 20;
const reportIntervalMilliseconds = 1_000;
/**
 * Each of a target's three renewers reads the health at this interval, so the coordinator learns it three times as
 * often.
 */
const healthIntervalMilliseconds = 1_500;
/** The targets are read in this many batches, spread over the health interval. */
const batchesPerInterval = 10;
const healthTimeoutMilliseconds = 400;

/** Starts to read the targets' health and to report until the signal aborts. */
export const startProber = (options: ProberOptions): void => {
    const { peers, clock, signal } = options;
    /** Last report of each pool. */
    const lastReports = new Map<string, { text: string; at: number }>();

    /** The current report of each pool. */
    const currentReports = (now: number): Map<string, ProbeReport> => {
        const reports = new Map<string, ProbeReport>();
        for (const { pool, target, view } of options.probedTargets()) {
            const report = reports.get(pool) ?? { kind: "probe-report", pool, findings: [], draining: [], queues: [] };
            reports.set(pool, report);
            report.findings.push({ target: target.name, finding: findingOf(view.probe, now, options.probe) });
            if (view.state === targetStates.draining) {
                report.draining.push(target.name);
            }
            if (view.reportedQueueRatio !== undefined) {
                report.queues.push({ target: target.name, queue: view.reportedQueueRatio });
            }
        }
        return reports;
    };

    /** Sends the reports that changed or whose interval has passed. */
    const sendDueReports = (): void => {
        const now = clock.now();
        forEachAlone("probe-reports", currentReports(now), ([pool, report]) => {
            const coordinator = options.coordinatorOf(pool);
            const text = JSON.stringify([coordinator, report.findings, report.draining]);
            const last = lastReports.get(pool);
            const isDue = last === undefined || last.text !== text || now - last.at >= reportIntervalMilliseconds;
            if (coordinator !== undefined && isDue && peers.tell(coordinator, report)) {
                lastReports.set(pool, { text, at: now });
            }
        }, options);
    };

    /**
     * Reads a target's health and load, from which draining and the length of its queue are known. Both values may lag.
     */
    const readHealth = async ({ target, view }: ProbedTarget): Promise<void> => {
        const health = await view.link.health(healthTimeoutMilliseconds);
        if (health !== undefined) {
            recordHealth(view, health.state, clock.now());
        }
        const load = await view.link.load(healthTimeoutMilliseconds);
        view.reportedQueueRatio = load === undefined ? undefined : load.queued / target.concurrency;
    };

    const runReports = async (): Promise<void> => {
        while (!signal.aborted) {
            sendDueReports();
            await clock.sleep(checkIntervalMilliseconds, signal);
        }
    };

    const runHealth = async (): Promise<void> => {
        let batch = 0;
        while (!signal.aborted) {
            const inBatch = options.probedTargets().filter((...[, index]) => index % batchesPerInterval === batch);
            inBatch.filter(({ view }) => view.probe.unansweredSince === undefined).forEach(probed =>
                void runAlone("target-health", () => readHealth(probed), options)
            );
            batch = (batch + 1) % batchesPerInterval;
            await clock.sleep(healthIntervalMilliseconds / batchesPerInterval, signal);
        }
    };

    void keepRunning("probe-reports", runReports, options);
    void keepRunning("target-health", runHealth, options);
};
