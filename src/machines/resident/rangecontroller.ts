/**
 * Controls the key ranges of one pool. Every host runs one controller per pool. The one that the store names
 * coordinator plans the ownership, writes it to the store, and only then calls the targets: releases first, then
 * grants. All others wait to take over.
 *
 * Two controllers may renew the same grants at the same time. This is safe because each move has a new fence, which the
 * store gave to only one of them, and a release with that fence makes the target refuse renewals with an older one.
 * When the former owner does not answer, the controller waits until its hold has expired, counted from the last renewal
 * that any coordinator may have sent.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreObject } from "../../contracts/objectstore.ts";
import { isSameOwner, type OwnedRange, type Ownership, rangeId, type RangeOwner } from "../../contracts/ownership.ts";
import type { OwnershipLink } from "../../contracts/resident.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import { eraOf } from "../../contracts/storehistory.ts";
import { lapsedAt } from "../../decisions/coordinatorlease.ts";
import { clearingFence, isClearingOver } from "../../decisions/eraclearing.ts";
import type { KeyLoads } from "../../decisions/keyload.ts";
import type { RangeTarget } from "../../decisions/rangeloads.ts";
import { applyMoves, mergeRanges, type RangeMove } from "../../decisions/rangemoves.ts";
import { hasOrphanedKeys } from "../../decisions/rangeorphans.ts";
import { planRanges } from "../../decisions/rangeplan.ts";
import type { ServiceTimes } from "../../decisions/servicetimes.ts";
import { effectiveLimit } from "../../decisions/sharedlimit.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { keepRunning } from "../longtasks.ts";
import { createClearing } from "./clearing.ts";
import { createCoordinator } from "./coordination.ts";
import type { PoolNews, PoolNewsListener } from "./coordinatornews.ts";
import { createEarlierEras } from "./earliereras.ts";
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
    /** `address:port` at which this host receives load reports. */
    reportsAddress: string;
    /** Processor of this host, in cores. */
    processor: number;
    loads: KeyLoads;
    work: ServiceTimes;
    /** Returns the requests per second that the target takes from all hosts; undefined while it names no limit. */
    limitOf: (target: RegisteredTarget) => number | undefined;
    /** Returns the monotonic time since which the store has answered without a failure; undefined while it does not. */
    reachableSince: () => number | undefined;
    /** Returns the newest ownership that this host has read, but not one that it knows only from an older copy. */
    rememberedOwnership: () => Ownership | undefined;
    /** Tells other hosts of the terms of this process. */
    news: PoolNews;
    /** Longest hold that the settings allow. */
    maxHoldMilliseconds: number;
    clock: Clock;
    /** Returns the time of day in milliseconds. */
    wallClock: () => number;
    measure: EventLoopMonitor["measure"];
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type RangeController = PoolNewsListener & {
    /** Takes in a coordination object of the pool, of any era, as it was read from the store. */
    applyCoordination: (object: StoreObject, removed: boolean) => void;
    isCoordinator: () => boolean;
    /** Returns the address at which the pool's coordinator receives load reports; undefined while there is none. */
    reportsAddress: () => string | undefined;
    /** Steps down as coordinator so that another host takes over at once, and never takes over again. */
    resign: () => Promise<void>;
};

/**
 * How long a grant allows a target to serve its keys. The keys of a lost target are not served for this long, and a
 * change of coordinator must take less time.
 */
const holdMilliseconds = 4_000;
const stepMilliseconds = 150;
/** Step while keys move: shorter, so that their new owners serve them soon after the former owners have stopped. */
const movingStepMilliseconds = 40;
/**
 * Interval of load balancing. Several moves are planned at once because every host reads every change of the ownership.
 */
const balancingMilliseconds = 400;
const targetsPerCut = 6;
const heartbeatMilliseconds = 800;
const earlierErasMilliseconds = 1_000;
/** Moved keys do not move again for this time, in which their load at the new owner becomes known. */
const settleMilliseconds = 800;
/**
 * A coordinator whose steps have failed for this time, although the store takes its heartbeats, steps down so that another
 * host tries. It does not take over again at once, but while targets still hold their keys.
 */
const maxFailingMilliseconds = 6_000;
const restMilliseconds = 2_500;
/** A new coordinator waits this long before it assigns the first ranges, since more targets may still register. */
const initialGatherMilliseconds = 1_200;

/** Returns the ownership in which the ranges with these ids have no former owners any more. */
const withoutPredecessors = (ownership: Ownership, ids: Set<string>): Ownership => ({
    ...ownership,
    ranges: ownership.ranges.map(range => ids.has(rangeId(range)) ? { ...range, predecessors: [] } : range),
});

const ownerOf = ({ name, incarnation }: RegisteredTarget): RangeOwner => ({ target: name, incarnation });

/** Creates the controller, which runs until the signal aborts. */
export const createRangeController = (options: RangeControllerOptions): RangeController => {
    const { pool, registry, clock, measure, metrics, signal, link } = options;
    const log = options.log.child({ pool });
    const movedAt = new Map<number, number>();
    const lastKnown = new Map<string, RegisteredTarget>();
    /** When the targets' entries were removed. */
    const goneAt = new Map<string, number>();
    let gatheringStartedAt = clock.now();
    let balancedAt = -Infinity;

    const remember = (target: RegisteredTarget): void => {
        lastKnown.set(`${target.name}/${target.incarnation}`, target);
        goneAt.delete(target.name);
    };
    registry.ofPool(pool).forEach(remember);
    registry.onChange((target, gone) => {
        if (target.pool === pool && !gone) {
            remember(target);
        }
        else if (target.pool === pool) {
            goneAt.set(target.name, clock.now());
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
            gatheringStartedAt = clock.now();
        },
        hasGrantsInFlight: () => grants.areInFlight(),
    });

    const earlierEras = createEarlierEras({ pool, store: options.store, clock, log, signal });

    const currentRanges = (): OwnedRange[] => coordinator.grantedOwnership()?.ranges ?? [];

    let currentIndex: { ranges: OwnedRange[]; ids: Set<string> } = { ranges: [], ids: new Set() };

    const isCurrent = (range: OwnedRange): boolean => {
        const ranges = currentRanges();
        if (currentIndex.ranges !== ranges) {
            currentIndex = { ranges, ids: new Set(ranges.map(rangeId)) };
        }
        return currentIndex.ids.has(rangeId(range));
    };

    /** Runs a step and logs its failure unless the host is stopping. Resolves to whether it succeeded. */
    const runStep = async (step: string, work: () => Promise<unknown>): Promise<boolean> => {
        try {
            await work();
            return true;
        }
        catch (error) {
            if (!signal.aborted) {
                log.warn("ownership-step-failed", { step, error: messageOf(error) });
            }
            return false;
        }
    };

    /** Assigns the ranges to the same owners again under new fences, in one write. */
    const renewFences = async (ranges: OwnedRange[]): Promise<void> => {
        const due = ranges.filter(isCurrent).map(({ from, to, owner }): RangeMove => ({ from, to, owner }));
        if (due.length > 0) {
            await coordinator.updateOwnership(ownership => applyMoves(ownership, due));
        }
    };

    const renewFencesOf = async (owner: RangeOwner): Promise<void> => {
        const ranges = currentRanges().filter(range => isSameOwner(range.owner, owner) && moves.isGrantable(range));
        log.info("fences-renewed", { target: owner.target, incarnation: owner.incarnation, ranges: ranges.length });
        await renewFences(ranges);
    };

    const grantedMilliseconds = Math.min(holdMilliseconds, options.maxHoldMilliseconds);
    const grants = createGrants({
        link,
        findTarget,
        mayGrant: coordinator.mayGrant,
        isCurrent,
        onHigherFence: range => void runStep("renew-fence", () => renewFences([range])),
        onSuspect: async owner => {
            await runStep("renew-fences", () => renewFencesOf(owner));
        },
        holdMilliseconds: grantedMilliseconds,
        clock,
        log,
        metrics,
    });
    const { formerMayGrantUntil } = coordinator;
    const clearing = createClearing({
        link,
        ranges: () => coordinator.ownership()?.ranges ?? [],
        clock,
        log,
        metrics,
    });
    const moves = createMoves({
        link,
        grants,
        findTarget,
        successorOf,
        formerMayGrantUntil,
        isCurrent,
        clock,
        log,
        metrics,
        signal,
    });

    /** Returns when all holds that earlier coordinators may have granted have certainly expired. */
    const formerHoldsLapseAt = (): number => lapsedAt(-Infinity, formerMayGrantUntil(), grantedMilliseconds);

    /**
     * Returns the targets that an earlier era may have given keys, as far as this process knows them: those that own keys
     * and those whose entries were there not too long before.
     */
    const targetsToClear = (ownership: Ownership, eraLearnedAt: number): RegisteredTarget[] => {
        const owners = ownership.ranges.flatMap(range => [range.owner, ...range.predecessors]);
        const goneSince = eraLearnedAt - (formerHoldsLapseAt() - eraLearnedAt);
        const recent = [...lastKnown.values()].filter(({ name }) => (goneAt.get(name) ?? Infinity) >= goneSince);
        const known = [...owners.map(findTarget), ...recent, ...registry.ofPool(pool)];
        return [...new Map(known.flatMap(target => target === undefined ? [] : [[target.name, target]])).values()];
    };

    let clearingStartedAt: number | undefined;

    /**
     * Lets the targets release the keys of others, and records when none can hold them any more. Targets that appear later
     * are cleared, too, while earlier eras may still have granted them keys.
     */
    const clear = async (ownership: Ownership): Promise<void> => {
        const { learnedAt, isRemembered } = coordinator.pastEras();
        const now = clock.now();
        if (ownership.isUncleared !== true && (learnedAt === undefined || now >= formerHoldsLapseAt())) {
            return;
        }
        const fence = clearingFence(eraOf(ownership.term));
        const eraLearnedAt = learnedAt ?? -Infinity;
        const targets = targetsToClear(ownership, eraLearnedAt);
        // Whoever does not know what it may have missed waits until all former holds are over.
        const remembersTargets = isRemembered || learnedAt === undefined;
        if (remembersTargets) {
            clearing.advance(targets, fence);
        }
        if (ownership.isUncleared !== true) {
            return;
        }
        if (clearingStartedAt === undefined) {
            clearingStartedAt = now;
            log.info("clearing-started", { fence, targets: targets.length, remembered: isRemembered });
        }
        const names = new Set(targets.map(({ name }) => name));
        const unknown = ownership.ranges.filter(({ owner }) => !names.has(owner.target)).length;
        const pending = unknown + targets.filter(target => !clearing.isCleared(target, fence)).length;
        const view = { now, eraLearnedAt, lapsesAt: formerHoldsLapseAt(), pending, remembersTargets };
        if (
            !isClearingOver(view)
            || !await coordinator.updateOwnership(before => ({ ...before, isUncleared: undefined }))
        ) {
            return;
        }
        const waitedMilliseconds = Math.round(clock.now() - clearingStartedAt);
        clearingStartedAt = undefined;
        metrics.timing("clearing", waitedMilliseconds, { pool });
        log.info("clearing-finished", { fence, targets: targets.length, pending, waitedMilliseconds });
    };

    const targetsToPlan = (): RegisteredTarget[] =>
        registry.ofPool(pool).filter(target =>
            !target.leaving && target.evacuated !== true && !grants.isLost(ownerOf(target))
        );

    const planTargetOf = (target: RegisteredTarget): RangeTarget => ({
        owner: ownerOf(target),
        capacity: Math.min(
            options.work.capacity(target.name, target.slots),
            effectiveLimit(options.limitOf(target) ?? Infinity),
        ),
        slots: target.slots,
    });

    const logMove = (move: RangeMove, before: OwnedRange[]): void => {
        const moved = currentRanges().find(range => range.from === move.from);
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

    const planMoves = (ranges: OwnedRange[]): RangeMove[] => {
        const now = clock.now();
        if (ranges.length === 0 && now - gatheringStartedAt < initialGatherMilliseconds) {
            return [];
        }
        const targets = targetsToPlan();
        const mayBalance = now - balancedAt >= balancingMilliseconds;
        if (!mayBalance && !hasOrphanedKeys(ranges, targets.map(ownerOf))) {
            return [];
        }
        balancedAt = mayBalance ? now : balancedAt;
        return planRanges({
            ranges,
            targets: targets.map(planTargetOf),
            segments: options.loads.segments(now),
            sampleCount: options.loads.sampleCount(now),
            knownShare: options.loads.knownShare(now),
            maxSplits: mayBalance ? Math.ceil(targets.length / targetsPerCut) : 0,
            isMovable: range => now - (movedAt.get(range.fence) ?? -Infinity) >= settleMilliseconds,
        });
    };

    /** Records completed moves, plans new ones and merges adjacent ranges of one owner, all in one write. */
    const plan = async (ownership: Ownership): Promise<void> => {
        const finished = new Set(moves.finished());
        const { next, due } = measure("plan", () => {
            const settled = finished.size === 0 ? ownership : withoutPredecessors(ownership, finished);
            const newMoves = coordinator.mayPlan() ? planMoves(settled.ranges) : [];
            const moved = applyMoves(settled, newMoves);
            return { next: coordinator.mayPlan() ? mergeRanges(moved) : moved, due: newMoves };
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
        const uncleared = coordinator.ownership();
        if (uncleared !== undefined) {
            await clear(uncleared);
        }
        const ownership = coordinator.ownership();
        if (ownership !== undefined && ownership.isUncleared !== true) {
            await plan(ownership);
        }
        moves.start(currentRanges());
    };

    const removeEarlierEras = async (): Promise<void> => {
        const ownership = coordinator.ownership();
        if (ownership !== undefined && ownership.isUncleared !== true && coordinator.mayPlan()) {
            await earlierEras.removeBefore(eraOf(ownership.term));
        }
    };

    const resign = (): Promise<boolean> => runStep("resign", coordinator.resign);

    let failingSince: number | undefined;
    let restsUntil = -Infinity;

    /** Steps down when all steps have failed for long for another reason than a store that does not answer. */
    const recordStep = async (succeeded: boolean): Promise<void> => {
        if (succeeded || !coordinator.mayPlan()) {
            failingSince = undefined;
            return;
        }
        failingSince ??= clock.now();
        const failingMilliseconds = clock.now() - failingSince;
        if (failingMilliseconds >= maxFailingMilliseconds) {
            log.error("coordinator-gave-up", { failingMilliseconds: Math.round(failingMilliseconds) });
            failingSince = undefined;
            restsUntil = Math.max(restsUntil, clock.now() + restMilliseconds);
            await resign();
        }
    };

    const step = async (): Promise<void> => {
        if (coordinator.ownership() !== undefined) {
            await recordStep(await runStep("step", coordinate));
        }
        else if (clock.now() >= restsUntil) {
            await runStep("step", coordinator.tryTakeOver);
            // The host may have been asked to resign meanwhile.
            if (restsUntil === Infinity) {
                await resign();
            }
        }
    };

    /** Each run starts from the ownership and the holds as they are then, so that a failure leaves nothing to repeat. */
    const repeat = (name: string, pause: () => number, work: () => unknown): void => {
        const run = async (): Promise<void> => {
            while (!signal.aborted) {
                await work();
                await clock.sleep(pause(), signal);
            }
        };
        void keepRunning(`${name} ${pool}`, run, { clock, log, metrics, signal });
    };
    repeat(
        "coordination",
        () => moves.arePending() ? movingStepMilliseconds : stepMilliseconds,
        step,
    );
    repeat("coordination-beat", () => heartbeatMilliseconds, () => runStep("beat", coordinator.heartbeat));
    repeat("earlier-eras", () => earlierErasMilliseconds, () => runStep("earlier-eras", removeEarlierEras));
    const renew = (): void => measure("renew", () => grants.renew(currentRanges().filter(moves.isGrantable)));
    repeat("grant-renewal", () => stepMilliseconds, renew);

    return {
        applyCoordination: (object, removed) => {
            coordinator.applyCoordination(object, removed);
            earlierEras.applyCoordination(object, removed);
        },
        applyTerm: coordinator.applyTerm,
        applyRetired: coordinator.applyRetired,
        isCoordinator: () => coordinator.ownership() !== undefined,
        reportsAddress: coordinator.reportsAddress,
        resign: async () => {
            restsUntil = Infinity;
            await resign();
        },
    };
};
