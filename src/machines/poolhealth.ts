/**
 * What the coordinator of a pool knows of its targets: the findings of the hosts that probe them, and from these which
 * targets are lost, held down, draining or still warming up.
 */
import type { Clock } from "../contracts/clock.ts";
import type { ProbeReport } from "../contracts/ownershipmessages.ts";
import type { Pool } from "../contracts/pool.ts";
import { createHoldDown, defaultHoldDownOptions, lostTargets } from "../decisions/detect.ts";
import { createRamp } from "../decisions/ramp.ts";
import type { Log } from "../links/logs.ts";

export type PoolHealthMonitorOptions = { pool: string; clock: Clock; log: Log };

/** How the targets of a pool stand. */
export type PoolHealth = {
    lost: ReadonlySet<string>;
    draining: ReadonlySet<string>;
    /** Targets that answer again but are kept without slots for now. */
    heldDown: ReadonlySet<string>;
    /** Share of its speed that each target may carry; 0 for one that must carry nothing. */
    shares: ReadonlyMap<string, number>;
    /** Waiting requests over concurrency by the target's own report. */
    queues: ReadonlyMap<string, number>;
};

export type PoolHealthMonitor = {
    recordReport: (host: string, report: ProbeReport) => void;
    /** Judges the targets of the pool by what the named hosts found lately. */
    evaluate: (pool: Pool, isProber: (host: string, target: string) => boolean) => PoolHealth;
};

const reportAgeMilliseconds = 2_500;

/** Creates the evidence of one pool, empty. */
export const createPoolHealthMonitor = (options: PoolHealthMonitorOptions): PoolHealthMonitor => {
    const { pool: poolName, clock, log } = options;
    const reports = new Map<string, { at: number; report: ProbeReport }>();
    const holdDown = createHoldDown(defaultHoldDownOptions);
    const ramp = createRamp();
    let lost = new Set<string>();

    const recentReports = (): Array<[string, ProbeReport]> => {
        const now = clock.now();
        const recent: Array<[string, ProbeReport]> = [];
        for (const [host, { at, report }] of reports) {
            if (now - at < reportAgeMilliseconds) {
                recent.push([host, report]);
            }
        }
        return recent;
    };

    const noteLosses = (next: Set<string>): void => {
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
            noteLosses(new Set(lostTargets(findings)));
            const draining = new Set(recent.flatMap(([, report]) => report.draining));
            const heldDown = new Set<string>();
            const shares = new Map<string, number>();
            for (const { name } of pool.targets) {
                const isHeld = holdDown.isHeld(name, now);
                if (isHeld && !lost.has(name)) {
                    heldDown.add(name);
                }
                const isOut = isHeld || lost.has(name) || draining.has(name);
                shares.set(name, ramp.share(name, isOut, now));
            }
            const queues = new Map(
                recent.flatMap(([, report]) => report.queues.map(({ target, queue }) => [target, queue])),
            );
            return { lost, draining, heldDown, shares, queues };
        },
    };
};
