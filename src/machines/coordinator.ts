/**
 * The coordinator runs one assigner for each pool and passes the probe and load reports of all hosts on to them. An
 * assigner decides only while this host holds the lease of its pool.
 */
import type { Clock } from "../contracts/clock.ts";
import type { Candidate } from "../decisions/assign.ts";
import type { MoveTiming } from "../decisions/move.ts";
import type { RevisionTracker } from "../decisions/revisiontracker.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import type { PlatformLink } from "../links/platform.ts";
import { type Assigner, type AssignerReport, createAssigner } from "./assigner.ts";
import type { Leases } from "./leases.ts";
import { forEachAlone, keepRunning } from "./longtasks.ts";
import type { ObjectView } from "./objects.ts";
import type { Peers } from "./peers.ts";

export type CoordinatorOptions = {
    host: string;
    platform: Pick<PlatformLink, "get" | "put">;
    objects: ObjectView;
    revisionTracker: RevisionTracker;
    peers: Peers;
    leases: Leases;
    /** Hosts that an assignment may name as renewers, witnesses and claim keepers. */
    candidates: () => Candidate[];
    slotOf: (pool: string, key: string) => number;
    timing: MoveTiming;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type Coordinator = {
    /** Assigner reports, by pool, of the pools whose lease this host holds. */
    report: () => Record<string, AssignerReport>;
};

const checkIntervalMilliseconds = 100;

/** Starts the coordinator. It runs until the signal aborts. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
    const { objects, peers, leases, clock, signal } = options;
    const assigners = new Map<string, Assigner>();

    /** The assigner of a pool, created on first use; undefined for a pool that this host has never seen. */
    const assignerOf = (pool: string): Assigner | undefined => {
        const known = assigners.get(pool);
        if (known !== undefined || objects.get("pools", pool) === undefined) {
            return known;
        }
        const assigner = createAssigner({
            ...options,
            pool,
            holdsLease: () => leases.holds(pool),
            slotOf: key => options.slotOf(pool, key),
        });
        assigners.set(pool, assigner);
        return assigner;
    };

    peers.handle("probe-report", (from, report) => {
        assignerOf(report.pool)?.recordProbeReport(from, report);
        return undefined;
    });
    peers.handle("load-report", (...[, report]) => {
        assignerOf(report.pool)?.recordLoadReport(report);
        return undefined;
    });

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            forEachAlone("coordination", objects.list("pools"), ({ name }) => assignerOf(name)?.check(), options);
            await clock.sleep(checkIntervalMilliseconds, signal);
        }
    };

    void keepRunning("coordination", run, options);
    return {
        report: () => {
            const held = [...assigners].filter(([pool]) => leases.holds(pool));
            return Object.fromEntries(held.map(([pool, assigner]) => [pool, assigner.report()]));
        },
    };
};
