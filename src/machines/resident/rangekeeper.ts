/**
 * The keeper of one pool's key ranges. Every host runs one; the one that the store names coordinator plans ownership,
 * writes it to the store, and only then tells targets: releases first, grants after. All others stand by.
 *
 * Safe at any time: two keepers may renew the same grants at once, since moves carry a new fence that the store gave
 * out to one of them, and since a release with that fence shuts out every renewal under an older one. Where the former
 * owner can not be asked, its hold is waited out, counted from the last renewal that anyone may have sent.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreObject } from "../../contracts/objectstore.ts";
import {
    type Coordination,
    coordinationSchema,
    type OwnedRange,
    type Ownership,
    ownershipSchema,
    type RangeOwner,
} from "../../contracts/ownership.ts";
import type { OrderResult, OwnershipLink } from "../../contracts/resident.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import type { KeyLoads } from "../../decisions/keyload.ts";
import { applyMoves, planRanges, type RangeTarget } from "../../decisions/rangeplan.ts";
import { type ClockReading, createStanding, lapsedAt } from "../../decisions/standing.ts";
import type { TargetWork } from "../../decisions/targetwork.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { Registry } from "./registry.ts";

export type RangeKeeperOptions = {
    pool: string;
    /** Name of this host's process; another one after each start. */
    self: string;
    store: ObjectStore;
    link: OwnershipLink;
    registry: Registry;
    /** Where this host hears load reports. */
    reports: string;
    loads: KeyLoads;
    work: TargetWork;
    /** The target's incarnation as the store has it now; undefined when it is not registered. */
    incarnationOf: (target: string, signal: AbortSignal) => Promise<string | undefined>;
    /** Since when the store has answered; undefined while it is lost. */
    inContactSince: () => number | undefined;
    maxHoldMilliseconds: number;
    clock: Clock;
    /** Milliseconds of the time of day. */
    wallClock: () => number;
    unit: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type RangeKeeper = {
    /** The coordination object as it was read; undefined when it is gone. */
    put: (object: StoreObject | undefined) => void;
    isCoordinator: () => boolean;
    /** Where the pool's coordinator hears load reports; undefined while there is none. */
    reportsTo: () => string | undefined;
    /** Gives the duty back, so that another host takes it at once. */
    resign: () => Promise<void>;
};

export const resourceKinds = { coordination: "coordination", ownership: "ownership" } as const;

/** How long a grant holds: lost targets' keys wait this long, and a change of coordinator must fit in. */
const holdMilliseconds = 4_000;
const renewMilliseconds = 1_200;
const retryMilliseconds = 250;
const stepMilliseconds = 150;
const beatMilliseconds = 800;
/** A coordinator that shows no sign of life for this time is replaced. */
const silenceMilliseconds = 1_900;
/** Part of the hosts that try at once to fill a vacancy: all of them would waste calls. */
const vacancyShare = 0.3;
/** How long a coordinator renews without the store: longer than its usual outages. */
const currencyMilliseconds = 12_000;
/** A release answers when the work on its keys has ended. */
const releaseMilliseconds = 2_500;
/** A target that takes no grants for this time is taken for lost, and left alone as long. */
const lostMilliseconds = 900;
const lostPauseMilliseconds = 2_000;
/** Keys that have moved stay for this time, in which their load at the new owner becomes known. */
const settleMilliseconds = 1_500;
/** Targets that registered within this time after the first may not be all yet. */
const gatherMilliseconds = 1_200;

const nameOf = (owner: RangeOwner): string => `${owner.target}/${owner.incarnation}`;

/** What is left of a range after a cut has the same fence, so that a range is known by its first key too. */
const idOf = (range: OwnedRange): string => `${range.fence}:${range.from}:${range.to}`;

/** Creates the keeper; it works until the signal aborts. */
export const createRangeKeeper = (options: RangeKeeperOptions): RangeKeeper => {
    const { pool, self, store, link, registry, clock, unit, metrics, signal } = options;
    const log = options.log.child({ pool });
    const hold = Math.min(holdMilliseconds, options.maxHoldMilliseconds);
    const standing = createStanding(currencyMilliseconds);

    let seen: { coordination: Coordination; revision: number } | undefined;
    let seenChangeAt = clock.now();
    let held: { ownership: Ownership; revision: number } | undefined;
    /** An earlier coordinator may renew until then. */
    let othersUntil = -Infinity;
    /** Last moment at which a grant of this term may have arrived at an owner. */
    const lastArrivalAt = new Map<string, number>();
    const renewedAt = new Map<string, number>();
    const failingSince = new Map<string, number>();
    const lostUntil = new Map<string, number>();
    const handovers = new Map<number, string | undefined>();
    const granting = new Set<string>();
    const movedAt = new Map<number, number>();

    const reading = (): ClockReading => ({ steady: clock.now(), wall: options.wallClock() });

    const stepDown = (reason: string): void => {
        if (held !== undefined) {
            log.info("coordinator-stepped-down", { term: held.ownership.term, reason });
        }
        held = undefined;
        standing.lose();
    };

    const put: RangeKeeper["put"] = object => {
        const parsed = object === undefined ? undefined : coordinationSchema.safeParse(object.value);
        if (object !== undefined && parsed?.success !== true) {
            log.error("coordination-unreadable", { revision: object.revision });
        }
        if (object !== undefined && object.revision <= (seen?.revision ?? 0)) {
            return;
        }
        seen = object !== undefined && parsed?.success === true
            ? { coordination: parsed.data, revision: object.revision }
            : undefined;
        seenChangeAt = clock.now();
        if (held !== undefined && seen !== undefined && seen.coordination.coordinator !== self) {
            stepDown(`${seen.coordination.coordinator} has term ${seen.coordination.term}`);
        }
    };

    const targetOf = (owner: RangeOwner): RegisteredTarget | undefined => {
        const target = registry.get(owner.target);
        return target?.incarnation === owner.incarnation ? target : undefined;
    };

    /** Addresses of owners that are no longer registered, for releases. */
    const lastKnown = new Map<string, RegisteredTarget>();
    registry.onChange((target, gone) => {
        if (target.pool === pool && !gone) {
            lastKnown.set(nameOf({ target: target.name, incarnation: target.incarnation }), target);
        }
    });

    /** Whether the registry shows that the process that was this owner has ended. */
    const hasEnded = (owner: RangeOwner): boolean => {
        const current = registry.get(owner.target);
        return current !== undefined && current.incarnation !== owner.incarnation;
    };

    const takeOver = async (): Promise<void> => {
        const askedAt = reading();
        const before = seen?.coordination;
        const coordination = { term: (before?.term ?? 0) + 1, coordinator: self, reports: options.reports, beat: 0 };
        const write = seen === undefined
            ? await store.create(resourceKinds.coordination, pool, coordination, signal)
            : await store.replace(resourceKinds.coordination, pool, coordination, seen.revision, signal);
        if (write.result === "conflict") {
            put(write.current);
            return;
        }
        seen = { coordination, revision: write.object.revision };
        seenChangeAt = clock.now();
        const ownership = await writeTerm(coordination.term);
        if (ownership === undefined) {
            return;
        }
        lastArrivalAt.clear();
        renewedAt.clear();
        failingSince.clear();
        lostUntil.clear();
        handovers.clear();
        movedAt.clear();
        settled.clear();
        const wasHandedOver = before === undefined || before.coordinator === "";
        othersUntil = wasHandedOver ? clock.now() : clock.now() + currencyMilliseconds;
        standing.confirm(askedAt);
        held = ownership;
        metrics.count("coordinator-terms", { pool });
        log.info("coordinator-took-over", {
            term: coordination.term,
            before: before?.coordinator,
            ranges: ownership.ownership.ranges.length,
            handedOver: wasHandedOver,
        });
    };

    /** Puts the term on the ownership: from then on no earlier coordinator's write succeeds. */
    const writeTerm = async (term: number): Promise<{ ownership: Ownership; revision: number } | undefined> => {
        for (;;) {
            const current = await store.get(resourceKinds.ownership, pool, signal);
            const parsed = current === undefined ? undefined : ownershipSchema.safeParse(current.value);
            if (parsed?.success === false) {
                log.error("ownership-unreadable", { revision: current?.revision, finding: parsed.error.message });
                return undefined;
            }
            const before = parsed?.data ?? { term: 0, coordinator: "", nextFence: 1, ranges: [] };
            if (before.term > term) {
                return undefined;
            }
            const ownership = { ...before, term, coordinator: self };
            const write = current === undefined
                ? await store.create(resourceKinds.ownership, pool, ownership, signal)
                : await store.replace(resourceKinds.ownership, pool, ownership, current.revision, signal);
            if (write.result === "written") {
                return { ownership, revision: write.object.revision };
            }
        }
    };

    const beat = async (): Promise<void> => {
        if (seen === undefined || held === undefined) {
            return;
        }
        const askedAt = reading();
        const coordination = { ...seen.coordination, beat: seen.coordination.beat + 1 };
        const write = await store.replace(resourceKinds.coordination, pool, coordination, seen.revision, signal);
        if (write.result === "written") {
            seen = { coordination, revision: write.object.revision };
            seenChangeAt = clock.now();
            standing.confirm(askedAt);
            return;
        }
        put(write.current);
        if (write.current === undefined) {
            stepDown("the coordination object is gone");
        }
    };

    /** Writes the ownership, or steps down when another coordinator has written. True once it is certainly written. */
    const writeOwnership = async (next: Ownership): Promise<boolean> => {
        if (held === undefined) {
            return false;
        }
        const write = await store.replace(resourceKinds.ownership, pool, next, held.revision, signal);
        if (held === undefined) {
            return false;
        }
        if (write.result === "written") {
            held = { ownership: next, revision: write.object.revision };
            return true;
        }
        const parsed = ownershipSchema.safeParse(write.current?.value);
        if (write.current === undefined || !parsed.success || parsed.data.term !== held.ownership.term) {
            stepDown("the ownership was written by another");
            return false;
        }
        held = { ownership: parsed.data, revision: write.current.revision };
        return false;
    };

    const noteTaken = (owner: RangeOwner): void => {
        failingSince.delete(nameOf(owner));
    };

    const noteRefused = (owner: RangeOwner, reason: string): void => {
        const name = nameOf(owner);
        const now = clock.now();
        const since = failingSince.get(name) ?? now;
        failingSince.set(name, since);
        if (now - since >= lostMilliseconds && !isLost(owner)) {
            lostUntil.set(name, now + lostPauseMilliseconds);
            failingSince.delete(name);
            log.warn("target-lost", { target: owner.target, reason, forMilliseconds: Math.round(now - since) });
        }
    };

    /** Owners whose connections broke: they may have started again under the same name, without their keys. */
    const suspects = new Set<string>();

    /** Whether the owner still is the process that was granted. Asks the store once after its connections broke. */
    const isSameProcess = async (target: RegisteredTarget): Promise<boolean> => {
        const name = nameOf({ target: target.name, incarnation: target.incarnation });
        if (!suspects.has(name)) {
            return true;
        }
        const incarnation = await options.incarnationOf(target.name, signal);
        if (incarnation === target.incarnation) {
            suspects.delete(name);
        }
        return incarnation === target.incarnation;
    };

    const isLost = (owner: RangeOwner): boolean => (lostUntil.get(nameOf(owner)) ?? 0) > clock.now();

    const grant = async (range: OwnedRange): Promise<void> => {
        const target = targetOf(range.owner) ?? lastKnown.get(nameOf(range.owner));
        if (target === undefined || granting.has(idOf(range)) || !standing.isCurrent(reading())) {
            return;
        }
        granting.add(idOf(range));
        try {
            if (await isSameProcess(target)) {
                const answer = await link.grant(target, range, hold, handovers.get(range.fence));
                await noteGrant(range, answer.result);
            }
            else {
                noteRefused(range.owner, "another process may run there");
            }
        }
        catch (error) {
            log.info("grant-withheld", { target: target.name, fence: range.fence, error: messageOf(error) });
        }
        finally {
            granting.delete(idOf(range));
        }
    };

    const noteGrant = async (range: OwnedRange, result: OrderResult["result"]): Promise<void> => {
        const now = clock.now();
        metrics.count("grants", { result });
        if (result === "unreachable" || result === "unknown") {
            suspects.add(nameOf(range.owner));
        }
        if (result !== "unreachable") {
            lastArrivalAt.set(nameOf(range.owner), now);
        }
        if (result === "done") {
            renewedAt.set(idOf(range), now);
            noteTaken(range.owner);
            return;
        }
        log.info("grant-failed", {
            target: range.owner.target,
            from: range.from,
            to: range.to,
            fence: range.fence,
            result,
        });
        renewedAt.set(idOf(range), now - renewMilliseconds + retryMilliseconds);
        if (result === "higher-fence" && held !== undefined) {
            await refence(range);
            return;
        }
        noteRefused(range.owner, result);
    };

    /** The range as it is planned now; undefined when it was cut or moved meanwhile. */
    const findRange = (range: OwnedRange): OwnedRange | undefined =>
        held?.ownership.ranges.find(other => idOf(other) === idOf(range));

    /** The owner has seen a newer fence on one of the keys: gives it the range again under a new one. */
    const refence = async (range: OwnedRange): Promise<void> => {
        const current = findRange(range);
        if (current === undefined) {
            return;
        }
        await changeOwnership(ownership => applyMoves(ownership, [{ ...current, owner: current.owner }]));
    };

    const renewDue = (): void => {
        const now = clock.now();
        for (const range of held?.ownership.ranges ?? []) {
            const due = (renewedAt.get(idOf(range)) ?? -Infinity) + renewMilliseconds <= now;
            if (range.predecessors.length === 0 && due && !isLost(range.owner)) {
                void grant(range);
            }
        }
    };

    /** Asks the former owner to stop. True when it certainly serves the keys no more. */
    const isFree = async (range: OwnedRange, predecessor: RangeOwner): Promise<boolean> => {
        if (hasEnded(predecessor)) {
            return true;
        }
        const now = clock.now();
        const arrival = lastArrivalAt.get(nameOf(predecessor)) ?? -Infinity;
        if (now >= lapsedAt(Math.max(arrival, termStartedAt), othersUntil, hold)) {
            log.info("hold-lapsed", { target: predecessor.target, from: range.from, to: range.to, fence: range.fence });
            return true;
        }
        const target = targetOf(predecessor) ?? lastKnown.get(nameOf(predecessor));
        if (target === undefined) {
            return false;
        }
        const answer = await link.release(target, range, releaseMilliseconds);
        metrics.count("releases", { result: answer.result });
        if (answer.result === "done") {
            handovers.set(range.fence, answer.handover);
        }
        return answer.result === "done" || answer.result === "gone";
    };

    const settling = new Set<string>();
    const settled = new Set<string>();
    let termStartedAt = clock.now();
    let changing = false;

    const areFree = async (range: OwnedRange): Promise<boolean> => {
        const free = await Promise.all(range.predecessors.map(predecessor => isFree(range, predecessor)));
        return free.every(Boolean);
    };

    /** Brings one move to its end: the former owners stop, the new one is granted. */
    const settle = async (range: OwnedRange): Promise<void> => {
        settling.add(idOf(range));
        try {
            while (findRange(range) !== undefined && !signal.aborted) {
                if (await areFree(range)) {
                    await grant(range);
                    settled.add(idOf(range));
                    return;
                }
                await clock.sleep(retryMilliseconds, signal);
            }
        }
        finally {
            settling.delete(idOf(range));
        }
    };

    const changeOwnership = async (change: (ownership: Ownership) => Ownership): Promise<boolean> => {
        if (held === undefined || changing) {
            return false;
        }
        changing = true;
        try {
            const next = change(held.ownership);
            return await writeOwnership(next);
        }
        finally {
            changing = false;
        }
    };

    const noteSettled = async (): Promise<void> => {
        if (settled.size === 0) {
            return;
        }
        const ids = new Set(settled);
        const written = await changeOwnership(ownership => ({
            ...ownership,
            ranges: ownership.ranges.map(range => ids.has(idOf(range)) ? { ...range, predecessors: [] } : range),
        }));
        if (written) {
            ids.forEach(id => settled.delete(id));
            log.info("moves-finished", { ranges: [...ids].join(",") });
        }
    };

    const availableTargets = (): RangeTarget[] =>
        registry.ofPool(pool)
            .map(target => ({ target, owner: { target: target.name, incarnation: target.incarnation } }))
            .filter(({ target, owner }) => !target.leaving && !isLost(owner))
            .map(({ target, owner }) => ({ owner, capacity: options.work.capacity(target.name, target.slots) }));

    /** The first plan waits for the targets that start together with the hosts. */
    const isGathering = (): boolean =>
        held?.ownership.ranges.length === 0 && clock.now() - gatheringSince < gatherMilliseconds;
    let gatheringSince = clock.now();

    const plan = async (): Promise<void> => {
        if (held === undefined || isGathering()) {
            return;
        }
        const now = clock.now();
        const before = held.ownership;
        const moves = planRanges({
            ranges: before.ranges,
            targets: availableTargets(),
            atoms: options.loads.atoms(now),
            evidence: options.loads.evidence(now),
            isMovable: range => now - (movedAt.get(range.fence) ?? -Infinity) >= settleMilliseconds,
        });
        if (moves.length === 0 || !await changeOwnership(ownership => applyMoves(ownership, moves))) {
            return;
        }
        metrics.count("moved-keys", { pool }, moves.reduce((sum, move) => sum + move.to - move.from + 1, 0));
        for (const move of moves) {
            const former = before.ranges.find(range => range.from <= move.from && range.to >= move.from);
            const moved = held?.ownership.ranges.find(range => range.from === move.from);
            movedAt.set(moved?.fence ?? 0, now);
            log.info("keys-moved", {
                from: move.from,
                to: move.to,
                target: move.owner.target,
                before: former?.owner.target,
                requestsPerSecond: Math.round(options.loads.rate(now)),
                fence: moved?.fence,
            });
        }
    };

    const settleDue = (): void => {
        for (const range of held?.ownership.ranges ?? []) {
            if (range.predecessors.length > 0 && !settling.has(idOf(range)) && !settled.has(idOf(range))) {
                void settle(range);
            }
        }
    };

    const coordinate = async (): Promise<void> => {
        await noteSettled();
        await plan();
        settleDue();
        renewDue();
    };

    const standBy = async (): Promise<void> => {
        const now = clock.now();
        const contact = options.inContactSince();
        const isVacant = seen === undefined || seen.coordination.coordinator === "";
        const isOwnLateWrite = seen?.coordination.coordinator === self;
        const silentFor = now - Math.max(seenChangeAt, contact ?? now);
        if (contact === undefined || registry.ofPool(pool).length === 0) {
            return;
        }
        if (
            isOwnLateWrite || (isVacant && unit() < vacancyShare)
            || silentFor >= silenceMilliseconds * (1 + 0.2 * unit())
        ) {
            await takeOver();
            termStartedAt = clock.now();
            gatheringSince = termStartedAt;
        }
    };

    const guard = async (name: string, work: () => Promise<void>): Promise<void> => {
        try {
            await work();
        }
        catch (error) {
            if (!signal.aborted) {
                log.warn("ownership-step-failed", { step: name, error: messageOf(error) });
            }
        }
    };

    const runSteps = async (): Promise<void> => {
        while (!signal.aborted) {
            await guard("step", () => held === undefined ? standBy() : coordinate());
            await clock.sleep(stepMilliseconds, signal);
        }
    };

    const runBeats = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(beatMilliseconds, signal);
            await guard("beat", beat);
        }
    };
    void runSteps();
    void runBeats();

    return {
        put,
        isCoordinator: () => held !== undefined,
        reportsTo: () => seen?.coordination.coordinator === "" ? undefined : seen?.coordination.reports,
        resign: async () => {
            if (held === undefined || seen === undefined) {
                return;
            }
            const { revision, coordination } = seen;
            stepDown("the host stops");
            await guard("resign", async () => {
                const vacant = { ...coordination, coordinator: "" };
                await store.replace(resourceKinds.coordination, pool, vacant, revision);
            });
        },
    };
};
