/**
 * The health of one pool's targets as its coordinator sees it. From the reports of the hosts that probe the targets it
 * derives which targets are lost, held down, draining or still ramping up.
 */
import type { Clock } from "../contracts/clock.ts";
import type { ProbeReport } from "../contracts/ownershipmessages.ts";
import type { Pool } from "../contracts/pool.ts";
import { createHoldDown, defaultHoldDownOptions, lostTargets } from "../decisions/detect.ts";
import { createPaceShares } from "../decisions/paceshares.ts";
import type { Log } from "../links/logs.ts";

export type PoolHealthMonitorOptions = { pool: string; clock: Clock; log: Log };

/** Health of the targets of a pool. */
export type PoolHealth = {
    /** Targets that count as lost by the findings of their probers. */
    lost: ReadonlySet<string>;
    /** Targets that report that they are draining. */
    draining: ReadonlySet<string>;
    /** Targets that answer again after a loss but get no slots until their hold-down ends. */
    heldDown: ReadonlySet<string>;
    /** Fraction of its speed up to which each target may be loaded, by target; 0 for an unavailable one. */
    shares: ReadonlyMap<string, number>;
    /** Queued requests divided by concurrency, as the target itself reports, by target. */
    queues: ReadonlyMap<string, number>;
};

export type PoolHealthMonitor = {
    /** Records what a host found; it replaces the host's former report. */
    recordReport: (host: string, report: ProbeReport) => void;
    /**
     * Evaluates the targets of the pool by recent reports. A finding counts only if `isProber` says that the host
     * probes the target.
     */
    evaluate: (pool: Pool, isProber: (host: string, target: string) => boolean) => PoolHealth;
};

/** Reports that are older than this are ignored. */
const maxReportAgeMilliseconds = 2_500;

/** Creates the health monitor of one pool, without reports. */
export const createPoolHealthMonitor = (options: PoolHealthMonitorOptions): PoolHealthMonitor => {
    const { pool: poolName, clock, log } = options;
    const reports = new Map<string, { at: number; report: ProbeReport }>();
    const holdDown = createHoldDown(defaultHoldDownOptions);
    const paceShares = createPaceShares();
    let lost = new Set<string>();

    const recentReports = (): Array<[string, ProbeReport]> => {
        const now = clock.now();
        const recent: Array<[string, ProbeReport]> = [];
        for (const [host, { at, report }] of reports) {
            if (now - at < maxReportAgeMilliseconds) {
                recent.push([host, report]);
            }
        }
        return recent;
    };

    /** Replaces the set of lost targets; extends the hold-down of lost ones and logs what changed. */
    const updateLost = (next: Set<string>): void => {
        const now = clock.now();
        for (const target of next) {
            if (!lost.has(target)) {
                holdDown.noteLoss(target, now);
                log.warn("target-lost", { pool: poolName, target });
            }
            holdDown.noteStillLost(target, now);
        }
        for (const target of lost) {
            if (!next.has(target)) {
                log.info("target-answers-again", { pool: poolName, target });
            }
        }
        lost = next;
    };

    return {
        recordReport: (host, report) => {
            reports.set(host, { at: clock.now(), report });
        },
        evaluate: (pool, isProber) => {
            const now = clock.now();
            const recent = recentReports();
            const findings = new Map(
                recent.map(([host, report]) => {
                    const named = report.findings.filter(({ target }) => isProber(host, target));
                    return [host, new Map(named.map(({ target, finding }) => [target, finding]))];
                }),
            );
            updateLost(new Set(lostTargets(findings)));
            const draining = new Set(recent.flatMap(([, report]) => report.draining));
            const heldDown = new Set<string>();
            const shares = new Map<string, number>();
            for (const { name } of pool.targets) {
                const isHeldDown = holdDown.isHeld(name, now);
                if (isHeldDown && !lost.has(name)) {
                    heldDown.add(name);
                }
                const isUnavailable = isHeldDown || lost.has(name) || draining.has(name);
                shares.set(name, paceShares.share(name, isUnavailable, now));
            }
            const queues = new Map(
                recent.flatMap(([, report]) => report.queues.map(({ target, queue }) => [target, queue])),
            );
            return { lost, draining, heldDown, shares, queues };
        },
    };
};
