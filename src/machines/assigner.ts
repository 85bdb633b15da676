/**
 * The assigner decides the assignments of one pool while this host holds the pool's coordinator lease. It moves slots
 * and hot keys off unavailable targets at once, balances at intervals, and tracks each move until it is released.
 */
import { randomUUID } from "node:crypto";
import { type Assignment, noOwner } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { StoredObject } from "../contracts/objects.ts";
import type { LoadReport, ProbeReport } from "../contracts/ownershipmessages.ts";
import type { Pool } from "../contracts/pool.ts";
import {
    type AssignmentInput,
    boundTargets,
    type Candidate,
    countMoved,
    firstAssignment,
    nextAssignment,
} from "../decisions/assign.ts";
import {
    type BalanceOptions,
    defaultBalanceOptions,
    lowerWeightsByQueue,
    widenDeviationsByNoise,
} from "../decisions/balance.ts";
import type { MoveTiming } from "../decisions/move.ts";
import type { RevisionTracker } from "../decisions/revisiontracker.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import type { PlatformLink } from "../links/platform.ts";
import { writeOnce } from "./conditionalwrite.ts";
import { createPoolLoads, loadReportIntervalMilliseconds } from "./loads.ts";
import { runAlone } from "./longtasks.ts";
import { createMoveTracker } from "./movetracker.ts";
import type { ObjectView } from "./objects.ts";
import type { Peers } from "./peers.ts";
import { createPoolHealthMonitor, type PoolHealth } from "./poolhealth.ts";

export type AssignerOptions = {
    pool: string;
    host: string;
    platform: Pick<PlatformLink, "get" | "put">;
    objects: ObjectView;
    revisionTracker: RevisionTracker;
    peers: Peers;
    /** Whether this host holds the lease of the pool. */
    holdsLease: () => boolean;
    /** Hosts that an assignment may name as renewers, witnesses and claim keepers. */
    candidates: () => Candidate[];
    slotOf: (key: string) => number;
    timing: MoveTiming;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type AssignerReport = {
    /** Targets that count as lost. */
    lost: string[];
    /** Targets that report that they are draining. */
    draining: string[];
    /** Targets that answer again after a loss but get no slots yet. */
    heldDown: string[];
    /** Moves of the current assignment that are not released yet. */
    unfinishedMoves: number;
    /** Why the last decision could not be written or made; undefined when no decision is pending. */
    waiting: string | undefined;
};

export type Assigner = {
    /** Evaluates the pool and writes a new assignment if one is due. Call it regularly and when something changed. */
    check: () => void;
    /** Records what a host found of the targets that it probes. */
    recordProbeReport: (host: string, report: ProbeReport) => void;
    /** Records the load of slots and keys that a host counted. */
    recordLoadReport: (report: LoadReport) => void;
    report: () => AssignerReport;
};

/** Minimum time between decisions that no unavailable target forces. */
const minDecisionIntervalMilliseconds = 1_000;
const balanceIntervalMilliseconds = 10_000;
const leavingBatch = 32;
const firstRetryMilliseconds = 100;
const maxRetryMilliseconds = 1_000;

/** Creates the assigner of one pool. It decides nothing while this host does not hold the lease. */
export const createAssigner = (options: AssignerOptions): Assigner => {
    const { pool: poolName, objects, clock, log, signal } = options;
    const healthMonitor = createPoolHealthMonitor({ pool: poolName, clock, log });
    const loads = createPoolLoads(objects.get("pools", poolName)?.value.slotCount ?? 0);
    let latestHealth: PoolHealth | undefined;
    let heldLease = false;
    let isWriting = false;
    let nextWriteAt = 0;
    let retryDelay = firstRetryMilliseconds;
    let lastDecisionAt = -Infinity;
    let lastBalanceAt = -Infinity;
    let lastShares = "";
    let lastLoadRoundAt = clock.now();
    let waiting: string | undefined;
    /** Targets that must be left and can't be, since hosts are gone that would have to release the moves. */
    let bound: string[] = [];

    const currentPool = (): Pool | undefined => objects.get("pools", poolName)?.value;
    const currentAssignment = (): Assignment | undefined => objects.get("assignments", poolName)?.value;
    const currentItem = (): StoredObject | undefined => objects.newest("assignments", poolName);

    /**
     * Names of all announced hosts, or undefined unless the newest known read of the platform was sent after `time`.
     * The pool's revision record holds the time of that read.
     */
    const routersReadAfter = (time: number): string[] | undefined => {
        const { platformReadAt: readAt } = options.revisionTracker.record(poolName);
        const isRecent = readAt !== undefined && readAt > time;
        return isRecent ? objects.list("status").map(status => status.name) : undefined;
    };

    const moves = createMoveTracker({
        pool: poolName,
        host: options.host,
        peers: options.peers,
        timing: options.timing,
        routersReadAfter,
        clock,
        log,
        metrics: options.metrics,
        signal,
        onReleased: released => {
            const slots = released.reduce((sum, move) => sum + move.slots.length, 0);
            const keys = released.reduce((sum, move) => sum + move.keys.length, 0);
            log.info("moves-released", { pool: poolName, moves: released.length, slots, keys });
            check();
        },
    });

    /** Passes the current assignment to the move tracker, if this host holds the lease. */
    const trackMoves = (): void => {
        const assignment = currentAssignment();
        const item = currentItem();
        if (heldLease && assignment !== undefined && item !== undefined) {
            moves.track(assignment, item, currentPool()?.checksGrants !== false);
        }
    };

    /** Target shares, corrected by the lengths of the targets' queues. */
    const weightShares = (pool: Pool, health: PoolHealth): Map<string, number> => {
        const names = pool.targets.map(target => target.name);
        const weights = lowerWeightsByQueue(
            names.map(name => health.shares.get(name) ?? 1),
            names.map(name => health.queues.get(name)),
        );
        return new Map(names.map((name, index) => [name, weights[index]]));
    };

    const balanceOptionsFor = (pool: Pool, slotLoads: number[]): BalanceOptions => {
        const total = slotLoads.reduce((sum, load) => sum + load, 0);
        return widenDeviationsByNoise(defaultBalanceOptions, total / Math.max(1, pool.targets.length));
    };

    const assignInputFor = (
        pool: Pool,
        current: Assignment,
        health: PoolHealth,
        shouldBalance: boolean,
    ): AssignmentInput => {
        const slotLoads = loads.slotLoads(options.slotOf);
        return {
            pool,
            current,
            hosts: options.candidates(),
            capacityShares: shouldBalance ? weightShares(pool, health) : health.shares,
            lost: health.lost,
            leavingBatch,
            slotLoads,
            hotKeys: loads.hotKeys(),
            slotOf: options.slotOf,
            isReleased: moves.isReleased,
            hasAcknowledged: moves.hasAcknowledged,
            hasStopped: moves.hasStopped,
            ...(shouldBalance ? { balance: balanceOptionsFor(pool, slotLoads) } : {}),
        };
    };

    const writeNow = async (value: Assignment, reason: string): Promise<void> => {
        const writeId = randomUUID();
        const ifVersion = objects.get("assignments", poolName)?.version ?? 0;
        const sentAt = clock.now();
        const request = { kind: "assignments", name: poolName, value, ifVersion, writeId } as const;
        try {
            const { written, item } = await writeOnce(options.platform, request, signal);
            if (item !== undefined) {
                objects.accept(item);
            }
            if (written) {
                options.revisionTracker.confirm(poolName, value.revision, sentAt, options.timing.freshnessMilliseconds);
            }
            log.info("assignment-written", { pool: poolName, revision: value.revision, written, reason });
            waiting = undefined;
            retryDelay = firstRetryMilliseconds;
            lastDecisionAt = clock.now();
        }
        catch (error) {
            waiting = `Revision ${value.revision} can not be written: ${messageOf(error)}`;
            log.warn("assignment-failed", { pool: poolName, revision: value.revision, error: messageOf(error) });
            nextWriteAt = clock.now() + retryDelay;
            retryDelay = Math.min(maxRetryMilliseconds, retryDelay * 2);
        }
    };

    const write = async (value: Assignment, reason: string): Promise<void> => {
        isWriting = true;
        await runAlone("assignment-write", () => writeNow(value, reason), options);
        isWriting = false;
    };

    /**
     * Whether a slot or hot key has no owner, or an owner that must not carry load: unlisted, leaving or unavailable.
     */
    const mustMove = (pool: Pool, current: Assignment, health: PoolHealth): boolean => {
        const excluded = new Set([noOwner]);
        current.targets.forEach((name, index) => {
            const target = pool.targets.find(candidate => candidate.name === name);
            if (target === undefined || target.leaving || health.shares.get(name) === 0) {
                excluded.add(index);
            }
        });
        const excludedNames = new Set([...excluded].map(index => current.targets[index]));
        return current.owners.some(owner => excluded.has(owner))
            || current.hotKeys.some(hot => excludedNames.has(hot.target));
    };

    /** Writes the next assignment: at once if a target must be left, otherwise at most once per decision interval. */
    const decide = (pool: Pool, current: Assignment, health: PoolHealth): void => {
        bound = [];
        if (mustMove(pool, current, health)) {
            const input = assignInputFor(pool, current, health, false);
            bound = boundTargets(input);
            const next = nextAssignment(input);
            if (next !== undefined && countMoved(current, next) > 0) {
                void write(next, "target-out");
                return;
            }
        }
        const time = clock.now();
        if (time - lastDecisionAt < minDecisionIntervalMilliseconds) {
            return;
        }
        const shares = JSON.stringify([...health.shares]);
        const shouldBalance = shares !== lastShares || time - lastBalanceAt >= balanceIntervalMilliseconds;
        const next = nextAssignment(assignInputFor(pool, current, health, shouldBalance));
        lastBalanceAt = shouldBalance ? time : lastBalanceAt;
        lastShares = current.moves.every(moves.isReleased) ? shares : lastShares;
        lastDecisionAt = time;
        if (next !== undefined) {
            void write(next, countMoved(current, next) > 0 ? "balance" : "upkeep");
        }
    };

    const waitingForHosts = (): string | undefined =>
        bound.length === 0
            ? undefined
            : `Slots can not move away from ${bound.join()}: too few hosts are present that could release them.`;

    /** Closes the current round of load measurement when its time is over. */
    const endLoadRound = (pool: Pool): void => {
        if (clock.now() - lastLoadRoundAt >= loadReportIntervalMilliseconds) {
            lastLoadRoundAt = clock.now();
            loads.endRound(pool.targets.length, currentAssignment()?.hotKeys.map(hot => hot.key) ?? []);
        }
    };

    const check = (): void => {
        const holds = options.holdsLease();
        if (holds !== heldLease) {
            heldLease = holds;
            moves.reset();
            trackMoves();
        }
        const pool = currentPool();
        if (!holds || pool === undefined) {
            waiting = undefined;
            bound = [];
            return;
        }
        const current = currentAssignment();
        const isProber = (host: string, target: string): boolean => current?.renewers[target]?.includes(host) === true;
        latestHealth = healthMonitor.evaluate(pool, isProber);
        endLoadRound(pool);
        if (isWriting || clock.now() < nextWriteAt) {
            return;
        }
        if (current === undefined) {
            void write(firstAssignment(pool, options.candidates()), "first");
            return;
        }
        decide(pool, current, latestHealth);
    };

    objects.onChange("assignments", name => {
        if (name === poolName) {
            trackMoves();
        }
    });

    return {
        check,
        recordProbeReport: (host, report) => {
            healthMonitor.recordReport(host, report);
            check();
        },
        recordLoadReport: loads.recordReport,
        report: () => ({
            lost: [...latestHealth?.lost ?? []],
            draining: [...latestHealth?.draining ?? []],
            heldDown: [...latestHealth?.heldDown ?? []],
            unfinishedMoves: currentAssignment()?.moves.filter(move => !moves.isReleased(move)).length ?? 0,
            waiting: waiting ?? waitingForHosts(),
        }),
    };
};
