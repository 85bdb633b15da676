/**
 * The keeper of one pool's key ranges. Every host runs one; the one that the store names coordinator plans ownership,
 * writes it to the store, and only then tells targets: releases first, grants after. All others stand by.
 *
 * Two keepers may renew the same grants at once: moves carry a new fence that the store gave out to one of them, and a
 * release with that fence shuts out every renewal under an older one. Where the former owner can not be asked, its hold
 * is waited out, counted from the last renewal that anyone may have sent.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreObject } from "../../contracts/objectstore.ts";
import { type OwnedRange, type Ownership, rangeId, type RangeOwner } from "../../contracts/ownership.ts";
import type { OwnershipLink } from "../../contracts/resident.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import type { KeyLoads } from "../../decisions/keyload.ts";
import {
    applyMoves,
    hasOrphans,
    mergeRanges,
    planRanges,
    type RangeMove,
    type RangeTarget,
} from "../../decisions/rangeplan.ts";
import type { TargetWork } from "../../decisions/targetwork.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { createCoordinator } from "./coordination.ts";
import type { EventLoopMonitor } from "./eventloopmonitor.ts";
import { createGrants } from "./grants.ts";
import { createMoves } from "./moves.ts";
import type { Processes } from "./processes.ts";
import type { TargetRegistry } from "./targetregistry.ts";

export type RangeControllerOptions = {
    pool: string;
    /** Name of this process. */
    self: string;
    store: ObjectStore;
    link: OwnershipLink;
    registry: TargetRegistry;
    processes: Processes;
    /** Where this host hears load reports. */
    reportsAddress: string;
    /** Processor of this host, in cores. */
    processor: number;
    loads: KeyLoads;
    work: TargetWork;
    /** The target's incarnation as the store has it now; undefined when it is not registered. */
    incarnationOf: (target: string, signal: AbortSignal) => Promise<string | undefined>;
    /** Since when the store has answered; undefined while it is lost. */
    reachableSince: () => number | undefined;
    maxHoldMilliseconds: number;
    clock: Clock;
    /** Milliseconds of the time of day. */
    wallClock: () => number;
    measure: EventLoopMonitor["measure"];
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type RangeController = {
    /** The coordination object as it was read; undefined when it is gone. */
    applyCoordination: (object: StoreObject | undefined) => void;
    isCoordinator: () => boolean;
    /** Where the pool's coordinator hears load reports; undefined while there is none. */
    reportsAddress: () => string | undefined;
    /** Gives the duty back, so that another host takes it at once. */
    resign: () => Promise<void>;
};

/** How long a grant holds: lost targets' keys wait this long, and a change of coordinator must fit in. */
const holdMilliseconds = 4_000;
const stepMilliseconds = 150;
/** While keys are on their way, their owners are asked to serve them soon after the former ones have stopped. */
const movingStepMilliseconds = 40;
/** Loads are worked out and cuts planned this far apart, several at once: every host reads every change. */
const balancingMilliseconds = 400;
const targetsPerCut = 6;
const beatMilliseconds = 800;
/** Keys that have moved stay for this time, in which their load at the new owner becomes known. */
const settleMilliseconds = 1_500;
/** Targets that registered within this time after the first may not be all yet. */
const gatherMilliseconds = 1_200;

/** The ownership in which the former owners of the ranges have stopped. */
const withoutPredecessors = (ownership: Ownership, ids: Set<string>): Ownership => ({
    ...ownership,
    ranges: ownership.ranges.map(range => ids.has(rangeId(range)) ? { ...range, predecessors: [] } : range),
});

const ownerOf = ({ name, incarnation }: RegisteredTarget): RangeOwner => ({ target: name, incarnation });

/** Creates the keeper; it works until the signal aborts. */
export const createRangeController = (options: RangeControllerOptions): RangeController => {
    const { pool, registry, clock, measure, metrics, signal, link } = options;
    const log = options.log.child({ pool });
    const movedAt = new Map<number, number>();
    const lastKnown = new Map<string, RegisteredTarget>();
    let gatheringSince = clock.now();
    let balancedAt = -Infinity;

    const remember = (target: RegisteredTarget): void => {
        lastKnown.set(`${target.name}/${target.incarnation}`, target);
    };
    registry.ofPool(pool).forEach(remember);
    registry.onChange((target, gone) => {
        if (target.pool === pool && !gone) {
            remember(target);
        }
    });

    const findTarget = ({ target, incarnation }: RangeOwner): RegisteredTarget | undefined =>
        lastKnown.get(`${target}/${incarnation}`);

    const successorOf = ({ target, incarnation }: RangeOwner): RegisteredTarget | undefined => {
        const current = registry.get(target);
        return current?.incarnation === incarnation ? undefined : current;
    };

    const coordinator = createCoordinator({
        ...options,
        log,
        isNeeded: () => registry.ofPool(pool).length > 0,
        onTermStart: () => {
            grants.reset();
            moves.reset();
            movedAt.clear();
            gatheringSince = clock.now();
        },
    });

    const rangesNow = (): OwnedRange[] => coordinator.ownership()?.ranges ?? [];

    let planned: { ranges: OwnedRange[]; ids: Set<string> } = { ranges: [], ids: new Set() };

    const isPlanned = (range: OwnedRange): boolean => {
        const ranges = rangesNow();
        if (planned.ranges !== ranges) {
            planned = { ranges, ids: new Set(ranges.map(rangeId)) };
        }
        return planned.ids.has(rangeId(range));
    };

    const guard = async (step: string, work: () => Promise<unknown>): Promise<void> => {
        try {
            await work();
        }
        catch (error) {
            if (!signal.aborted) {
                log.warn("ownership-step-failed", { step, error: messageOf(error) });
            }
        }
    };

    /** Gives the owner its range again under a new fence. */
    const renewFence = async (range: OwnedRange): Promise<void> => {
        if (isPlanned(range)) {
            const { from, to, owner } = range;
            await coordinator.updateOwnership(ownership => applyMoves(ownership, [{ from, to, owner }]));
        }
    };

    const grants = createGrants({
        link,
        findTarget,
        incarnationOf: options.incarnationOf,
        mayGrant: coordinator.mayGrant,
        isCurrent: isPlanned,
        onHigherFence: range => void guard("renew-fence", () => renewFence(range)),
        holdMilliseconds: Math.min(holdMilliseconds, options.maxHoldMilliseconds),
        clock,
        log,
        metrics,
        signal,
    });
    const { formerMayGrantUntil: othersUntil } = coordinator;
    const moves = createMoves({
        link,
        grants,
        findTarget,
        successorOf,
        formerMayGrantUntil: othersUntil,
        isCurrent: isPlanned,
        clock,
        log,
        metrics,
        signal,
    });

    const targetsToPlan = (): RegisteredTarget[] =>
        registry.ofPool(pool).filter(target => !target.leaving && !grants.isLost(ownerOf(target)));

    const planTargetOf = (target: RegisteredTarget): RangeTarget => ({
        owner: ownerOf(target),
        capacity: options.work.capacity(target.name, target.slots),
        slots: target.slots,
    });

    const logMove = (move: RangeMove, before: OwnedRange[]): void => {
        const moved = rangesNow().find(range => range.from === move.from);
        const former = before.find(range => range.from <= move.from && range.to >= move.from);
        movedAt.set(moved?.fence ?? 0, clock.now());
        metrics.count("moved-keys", { pool }, move.to - move.from + 1);
        log.info("keys-moved", {
            from: move.from,
            to: move.to,
            target: move.owner.target,
            before: former?.owner.target,
            fence: moved?.fence,
            requestsPerSecond: Math.round(options.loads.rate(clock.now())),
        });
    };

    const movesDue = (ranges: OwnedRange[]): RangeMove[] => {
        const now = clock.now();
        if (ranges.length === 0 && now - gatheringSince < gatherMilliseconds) {
            return [];
        }
        const targets = targetsToPlan();
        const mayBalance = now - balancedAt >= balancingMilliseconds;
        if (!mayBalance && !hasOrphans(ranges, targets.map(ownerOf))) {
            return [];
        }
        balancedAt = mayBalance ? now : balancedAt;
        return planRanges({
            ranges,
            targets: targets.map(planTargetOf),
            atoms: options.loads.atoms(now),
            evidence: options.loads.evidence(now),
            cuts: mayBalance ? Math.ceil(targets.length / targetsPerCut) : 0,
            isMovable: range => now - (movedAt.get(range.fence) ?? -Infinity) >= settleMilliseconds,
        });
    };

    /** Writes what has finished and what moves now in one change, and joins neighbouring ranges of one owner. */
    const plan = async (ownership: Ownership): Promise<void> => {
        const finished = new Set(moves.finished());
        const { next, due } = measure("plan", () => {
            const settled = finished.size === 0 ? ownership : withoutPredecessors(ownership, finished);
            const movesNow = coordinator.mayPlan() ? movesDue(settled.ranges) : [];
            const moved = applyMoves(settled, movesNow);
            return { next: coordinator.mayPlan() ? mergeRanges(moved) : moved, due: movesNow };
        });
        if (next === ownership || !await coordinator.updateOwnership(() => next)) {
            return;
        }
        moves.removeFinished([...finished]);
        due.forEach(move => logMove(move, ownership.ranges));
        if (finished.size > 0) {
            log.info("moves-finished", { ranges: [...finished].join(",") });
        }
    };

    const coordinate = async (): Promise<void> => {
        await coordinator.pruneFormer();
        const ownership = coordinator.ownership();
        if (ownership !== undefined) {
            await plan(ownership);
        }
        moves.start(rangesNow());
    };

    const repeat = async (pause: () => number, work: () => Promise<unknown>): Promise<void> => {
        while (!signal.aborted) {
            await work();
            await clock.sleep(pause(), signal);
        }
    };
    void repeat(
        () => moves.arePending() ? movingStepMilliseconds : stepMilliseconds,
        () => guard("step", () => coordinator.ownership() === undefined ? coordinator.tryTakeOver() : coordinate()),
    );
    void repeat(() => beatMilliseconds, () => guard("beat", coordinator.heartbeat));
    const renew = (): void => measure("renew", () => grants.renew(rangesNow().filter(moves.isGrantable)));
    void repeat(() => stepMilliseconds, () => Promise.resolve(renew()));

    return {
        applyCoordination: coordinator.applyCoordination,
        isCoordinator: () => coordinator.ownership() !== undefined,
        reportsAddress: coordinator.reportsAddress,
        resign: () => guard("resign", coordinator.resign),
    };
};
