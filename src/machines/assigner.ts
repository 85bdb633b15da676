/**
 * The assigner decides the assignments of one pool while this host holds its lease: it writes what must move at once,
 * the rest now and then, and follows each move to its release.
 */
import { randomUUID } from "node:crypto";
import { type Assignment, noOwner } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { StoredObject } from "../contracts/objects.ts";
import type { LoadReport, ProbeReport } from "../contracts/ownershipmessages.ts";
import type { Pool } from "../contracts/pool.ts";
import { type AssignInput, type Candidate, countMoved, firstAssignment, nextAssignment } from "../decisions/assign.ts";
import { type BalanceOptions, boundByNoise, correctWeights, defaultBalanceOptions } from "../decisions/balance.ts";
import type { Currency } from "../decisions/currency.ts";
import type { MoveTiming } from "../decisions/move.ts";
import type { Log } from "../links/logs.ts";
import type { PlatformLink } from "../links/platform.ts";
import { createPoolEvidence, type Standings } from "./evidence.ts";
import { createPoolLoads, loadReportIntervalMilliseconds } from "./loads.ts";
import { createMoves } from "./moves.ts";
import type { ObjectView } from "./objects.ts";
import type { Peers } from "./peers.ts";
import { writeObject } from "./write.ts";

export type AssignerOptions = {
    pool: string;
    host: string;
    platform: Pick<PlatformLink, "get" | "put">;
    objects: ObjectView;
    currency: Currency;
    peers: Peers;
    /** Whether this host holds the lease of the pool. */
    holdsLease: () => boolean;
    /** Hosts that may be named in an assignment. */
    candidates: () => Candidate[];
    slotOf: (key: string) => number;
    timing: MoveTiming;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

export type AssignerReport = {
    lost: string[];
    draining: string[];
    heldDown: string[];
    unfinishedMoves: number;
    /** Why a decision waits; undefined when none does. */
    waiting: string | undefined;
};

export type Assigner = {
    /** Looks whether something is to be decided now. */
    check: () => void;
    takeProbe: (host: string, report: ProbeReport) => void;
    takeLoad: (report: LoadReport) => void;
    report: () => AssignerReport;
};

const calmMilliseconds = 1_000;
const balanceMilliseconds = 10_000;
const leavingBatch = 32;
const firstRetryMilliseconds = 100;
const maxRetryMilliseconds = 1_000;

/** Creates the assigner of one pool. It is idle while another host holds the lease. */
export const createAssigner = (options: AssignerOptions): Assigner => {
    const { pool: poolName, objects, clock, log, signal } = options;
    const evidence = createPoolEvidence({ pool: poolName, clock, log });
    const loads = createPoolLoads(objects.get("pools", poolName)?.value.slotCount ?? 0);
    let standings: Standings | undefined;
    let holding = false;
    let writing = false;
    let notBefore = 0;
    let retryDelay = firstRetryMilliseconds;
    let lastWriteAt = -Infinity;
    let lastBalanceAt = -Infinity;
    let lastShares = "";
    let lastLoadRoundAt = clock.now();
    let waiting: string | undefined;

    const poolNow = (): Pool | undefined => objects.get("pools", poolName)?.value;
    const assignmentNow = (): Assignment | undefined => objects.get("assignments", poolName)?.value;
    const itemNow = (): StoredObject | undefined => objects.newest("assignments", poolName);

    /** Host statuses as of a read sent after the time; the record of currency tells when the newest read was sent. */
    const routersSince = (time: number): string[] | undefined => {
        const { readAt } = options.currency.record(poolName);
        const isRecent = readAt !== undefined && readAt > time;
        return isRecent ? objects.list("status").map(status => status.name) : undefined;
    };

    const moves = createMoves({
        pool: poolName,
        host: options.host,
        peers: options.peers,
        timing: options.timing,
        routersSince,
        clock,
        signal,
        onReleased: released => {
            const slots = released.reduce((sum, move) => sum + move.slots.length, 0);
            const keys = released.reduce((sum, move) => sum + move.keys.length, 0);
            log.info("moves-released", { pool: poolName, moves: released.length, slots, keys });
            check();
        },
    });

    const beginMoves = (): void => {
        const assignment = assignmentNow();
        const item = itemNow();
        if (holding && assignment !== undefined && item !== undefined) {
            moves.begin(assignment, item, poolNow()?.checksGrants !== false);
        }
    };

    const weightShares = (pool: Pool, now: Standings): Map<string, number> => {
        const names = pool.targets.map(target => target.name);
        const weights = correctWeights(
            names.map(name => now.shares.get(name) ?? 1),
            names.map(name => now.queues.get(name)),
        );
        return new Map(names.map((name, index) => [name, weights[index]]));
    };

    const balanceOf = (pool: Pool, slotLoads: number[]): BalanceOptions => {
        const total = slotLoads.reduce((sum, load) => sum + load, 0);
        return boundByNoise(defaultBalanceOptions, total / Math.max(1, pool.targets.length));
    };

    const inputOf = (pool: Pool, current: Assignment, now: Standings, balances: boolean): AssignInput => {
        const slotLoads = loads.slotLoads(options.slotOf);
        return {
            pool,
            current,
            hosts: options.candidates(),
            shares: balances ? weightShares(pool, now) : now.shares,
            lost: now.lost,
            leavingBatch,
            slotLoads,
            hotKeys: loads.hotKeys(),
            slotOf: options.slotOf,
            isReleased: moves.isReleased,
            hasAcknowledged: moves.hasAcknowledged,
            hasStopped: moves.hasStopped,
            ...(balances ? { balance: balanceOf(pool, slotLoads) } : {}),
        };
    };

    const write = async (value: Assignment, reason: string): Promise<void> => {
        writing = true;
        const writeId = randomUUID();
        const ifVersion = objects.get("assignments", poolName)?.version ?? 0;
        const sentAt = clock.now();
        const request = { kind: "assignments", name: poolName, value, ifVersion, writeId } as const;
        try {
            const { written, item } = await writeObject(options.platform, request, signal);
            if (item !== undefined) {
                objects.accept(item);
            }
            if (written) {
                options.currency.confirm(poolName, value.revision, sentAt, options.timing.freshnessMilliseconds);
            }
            log.info("assignment-written", { pool: poolName, revision: value.revision, written, reason });
            waiting = undefined;
            retryDelay = firstRetryMilliseconds;
            lastWriteAt = clock.now();
        }
        catch (error) {
            waiting = `Revision ${value.revision} can not be written: ${messageOf(error)}`;
            log.warn("assignment-failed", { pool: poolName, revision: value.revision, error: messageOf(error) });
            notBefore = clock.now() + retryDelay;
            retryDelay = Math.min(maxRetryMilliseconds, retryDelay * 2);
        }
        writing = false;
    };

    /** Whether an item is without an owner, or with one that must carry nothing. */
    const mustMove = (pool: Pool, current: Assignment, now: Standings): boolean => {
        const out = new Set([noOwner]);
        current.targets.forEach((name, index) => {
            const target = pool.targets.find(candidate => candidate.name === name);
            if (target === undefined || target.leaving || now.shares.get(name) === 0) {
                out.add(index);
            }
        });
        const outNames = new Set([...out].map(index => current.targets[index]));
        return current.owners.some(owner => out.has(owner)) || current.hotKeys.some(hot => outNames.has(hot.target));
    };

    const decide = (pool: Pool, current: Assignment, now: Standings): void => {
        if (mustMove(pool, current, now)) {
            const next = nextAssignment(inputOf(pool, current, now, false));
            if (next !== undefined && countMoved(current, next) > 0) {
                void write(next, "target-out");
                return;
            }
        }
        const time = clock.now();
        if (time - lastWriteAt < calmMilliseconds) {
            return;
        }
        const shares = JSON.stringify([...now.shares]);
        const balances = shares !== lastShares || time - lastBalanceAt >= balanceMilliseconds;
        const next = nextAssignment(inputOf(pool, current, now, balances));
        lastBalanceAt = balances ? time : lastBalanceAt;
        lastShares = current.moves.every(moves.isReleased) ? shares : lastShares;
        lastWriteAt = time;
        if (next !== undefined) {
            void write(next, countMoved(current, next) > 0 ? "balance" : "upkeep");
        }
    };

    const endLoadRound = (pool: Pool): void => {
        if (clock.now() - lastLoadRoundAt >= loadReportIntervalMilliseconds) {
            lastLoadRoundAt = clock.now();
            loads.endRound(pool.targets.length, assignmentNow()?.hotKeys.map(hot => hot.key) ?? []);
        }
    };

    const check = (): void => {
        const holds = options.holdsLease();
        if (holds !== holding) {
            holding = holds;
            moves.forget();
            beginMoves();
        }
        const pool = poolNow();
        if (!holds || pool === undefined) {
            waiting = undefined;
            return;
        }
        const current = assignmentNow();
        const isProber = (host: string, target: string): boolean => current?.renewers[target]?.includes(host) === true;
        standings = evidence.judge(pool, isProber);
        endLoadRound(pool);
        if (writing || clock.now() < notBefore) {
            return;
        }
        if (current === undefined) {
            void write(firstAssignment(pool, options.candidates()), "first");
            return;
        }
        decide(pool, current, standings);
    };

    objects.onChange("assignments", name => {
        if (name === poolName) {
            beginMoves();
        }
    });

    return {
        check,
        takeProbe: (host, report) => {
            evidence.take(host, report);
            check();
        },
        takeLoad: loads.recordReport,
        report: () => ({
            lost: [...standings?.lost ?? []],
            draining: [...standings?.draining ?? []],
            heldDown: [...standings?.heldDown ?? []],
            unfinishedMoves: assignmentNow()?.moves.filter(move => !moves.isReleased(move)).length ?? 0,
            waiting,
        }),
    };
};
