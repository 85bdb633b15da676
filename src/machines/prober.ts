/**
 * The prober tells coordinators what this host finds of the targets that it renews: at once when a finding changes, and
 * now and then in any case.
 */
import type { Clock } from "../contracts/clock.ts";
import type { ProbeReport } from "../contracts/ownershipmessages.ts";
import { targetStates } from "../contracts/targetprotocol.ts";
import { findingOf, type ProbeOptions } from "../decisions/detect.ts";
import type { Peers } from "./peers.ts";
import type { ProbedTarget } from "./renewer.ts";
import { recordHealth } from "./target.ts";

export type ProberOptions = {
    probed: () => ProbedTarget[];
    coordinatorOf: (pool: string) => string | undefined;
    peers: Peers;
    probe: ProbeOptions;
    clock: Clock;
    signal: AbortSignal;
};

const roundMilliseconds = 20;
const reportMilliseconds = 1_000;
/** Each of a target's three renewers asks this often, so that coordinators hear of a target three times as often. */
const healthMilliseconds = 1_500;
const turnsPerInterval = 10;
const healthTimeoutMilliseconds = 400;

/** Starts to report until the signal aborts. */
export const createProber = (options: ProberOptions): void => {
    const { peers, clock, signal } = options;
    const told = new Map<string, { text: string; at: number }>();

    const reportsNow = (now: number): Map<string, ProbeReport> => {
        const reports = new Map<string, ProbeReport>();
        for (const { pool, target, view } of options.probed()) {
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

    const tellChanges = (): void => {
        const now = clock.now();
        for (const [pool, report] of reportsNow(now)) {
            const coordinator = options.coordinatorOf(pool);
            const text = JSON.stringify([coordinator, report.findings, report.draining]);
            const last = told.get(pool);
            const isDue = last === undefined || last.text !== text || now - last.at >= reportMilliseconds;
            if (coordinator !== undefined && isDue && peers.tell(coordinator, report)) {
                told.set(pool, { text, at: now });
            }
        }
    };

    /** Reads the lagging health and load, which tell of draining and of queues. */
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
            tellChanges();
            await clock.sleep(roundMilliseconds, signal);
        }
    };

    const runHealth = async (): Promise<void> => {
        let turn = 0;
        while (!signal.aborted) {
            const inTurn = options.probed().filter((...[, index]) => index % turnsPerInterval === turn);
            inTurn.filter(({ view }) => view.probe.unansweredSince === undefined).forEach(one => void readHealth(one));
            turn = (turn + 1) % turnsPerInterval;
            await clock.sleep(healthMilliseconds / turnsPerInterval, signal);
        }
    };

    void runReports();
    void runHealth();
};
