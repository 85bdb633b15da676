/**
 * Election of the coordinator of a pool's key ranges. The coordination object in the store names one process, which
 * writes heartbeats to it; when they stop, another process takes over. The ownership object decides which coordinator
 * is valid: it carries the coordinator's term, and writes of a coordinator of an earlier term fail.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreObject, StoreWriteResult } from "../../contracts/objectstore.ts";
import { type Coordination, coordinationSchema, type Ownership, ownershipSchema } from "../../contracts/ownership.ts";
import {
    type ClockReading,
    createCoordinatorLease,
    takeoverDelayMilliseconds,
} from "../../decisions/coordinatorlease.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { Processes } from "./processes.ts";

/** Kinds of the two objects that each pool has in the store. */
export const storeKinds = { coordination: "coordination", ownership: "ownership" } as const;

export type CoordinatorOptions = {
    pool: string;
    /** Name of this process. */
    self: string;
    /** `address:port` at which this host receives load reports. */
    reportsAddress: string;
    store: ObjectStore;
    processes: Processes;
    /** Returns the monotonic time since which the store has answered without a failure; undefined while it does not. */
    reachableSince: () => number | undefined;
    /** Processor of this host, in cores. */
    processor: number;
    /** Returns whether there is anything to coordinate; otherwise this host does not take over. */
    isNeeded: () => boolean;
    /** Called when this process becomes coordinator, before anything else is done in the term. */
    onTermStart: () => void;
    clock: Clock;
    /** Returns the time of day in milliseconds. */
    wallClock: () => number;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type Coordinator = {
    /** Takes in the coordination object as it was read from the store; undefined when it was removed. */
    applyCoordination: (object: StoreObject | undefined) => void;
    /** Returns the pool's ownership while this process is coordinator, otherwise undefined. */
    ownership: () => Ownership | undefined;
    /**
     * Writes a changed ownership to the store. Resolves to true once the write is confirmed. While another change is
     * being written, it resolves to false at once.
     */
    updateOwnership: (change: (ownership: Ownership) => Ownership) => Promise<boolean>;
    /** Whether grants may be sent: the store has confirmed this coordinator recently enough. */
    mayGrant: () => boolean;
    /**
     * Whether moves may be planned: the store has confirmed a write recently, so that a started move can be completed.
     */
    mayPlan: () => boolean;
    /** Returns the monotonic time until which earlier coordinators may still send grants. */
    formerMayGrantUntil: () => number;
    /** Removes earlier coordinators that can certainly send no more grants. */
    pruneFormer: () => Promise<void>;
    /** Returns the address at which the coordinator receives load reports; undefined while there is no coordinator. */
    reportsAddress: () => string | undefined;
    /** Takes over if the pool has no coordinator or its coordinator has stopped writing heartbeats. */
    tryTakeOver: () => Promise<void>;
    /** Writes a heartbeat to the coordination object while this process is coordinator. */
    heartbeat: () => Promise<void>;
    /** Steps down so that another host takes over at once. Remains coordinator while the store does not answer. */
    resign: () => Promise<void>;
};

/** A coordinator that has written no heartbeat for this time is replaced. */
const heartbeatTimeoutMilliseconds = 1_900;
/** Each host waits up to this share longer, at random, so that not all of them try to take over at once. */
const heartbeatTimeoutSpread = 0.2;
/**
 * Probability with which a host tries to take over when there is no coordinator: calls are wasted if all try at once.
 */
const vacancyTakeOverProbability = 0.3;
/** Pause after a failed attempt to take over. */
const takeOverRetryMilliseconds = 1_000;
/**
 * A coordinator sends grants for this long after the store last confirmed it. With the hold of the last grant, targets
 * keep their keys for longer than most outages of the store last.
 */
const grantingWindowMilliseconds = 8_000;
/**
 * No moves are planned when the store has not answered for this time: keys are not served until their move completes.
 */
const planningWindowMilliseconds = 1_200;

/** The ownership and its revision in the store while this process is coordinator. */
type HeldOwnership = { ownership: Ownership; revision: number };
/** The coordination object as last read or written. */
type KnownCoordination = { coordination: Coordination; revision: number };

const noCoordinator = "";
const noOwnership: Ownership = { term: 0, coordinator: noCoordinator, nextFence: 1, ranges: [] };

/** Creates the election of one pool on this host. The process is not coordinator at first. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
    const { pool, self, store, processes, clock, log, signal, random } = options;
    const standing = createCoordinatorLease(grantingWindowMilliseconds);
    let known: KnownCoordination | undefined;
    let knownChangeAt = clock.now();
    let heldOwnership: HeldOwnership | undefined;
    let termStartedAt = -Infinity;
    /** When the store last confirmed a write of this coordinator. */
    let confirmedAt = -Infinity;
    let changing = false;

    const readClocks = (): ClockReading => ({ monotonic: clock.now(), wall: options.wallClock() });

    const stepDown = (reason: string): void => {
        if (heldOwnership !== undefined) {
            log.info("coordinator-stepped-down", { term: heldOwnership.ownership.term, reason });
        }
        heldOwnership = undefined;
        standing.revoke();
    };

    const applyCoordination: Coordinator["applyCoordination"] = object => {
        if (object !== undefined && object.revision <= (known?.revision ?? 0)) {
            return;
        }
        const parsed = object === undefined ? undefined : coordinationSchema.safeParse(object.value);
        if (object !== undefined && parsed?.success !== true) {
            log.error("coordination-unreadable", { revision: object.revision });
        }
        known = object !== undefined && parsed?.success === true
            ? { coordination: parsed.data, revision: object.revision }
            : undefined;
        knownChangeAt = clock.now();
        if (heldOwnership !== undefined && known?.coordination.coordinator !== self) {
            stepDown(`"${known?.coordination.coordinator ?? "nobody"}" is the coordinator`);
        }
    };

    const recordWrite = (coordination: Coordination, write: StoreWriteResult & { result: "written" }): void => {
        known = { coordination, revision: write.object.revision };
        knownChangeAt = clock.now();
        confirmedAt = knownChangeAt;
    };

    /** Writes the new term to the ownership object. After that, no write of an earlier coordinator succeeds. */
    const writeTerm = async (term: number): Promise<HeldOwnership | undefined> => {
        for (;;) {
            const current = await store.get(storeKinds.ownership, pool, signal);
            const parsed = current === undefined ? undefined : ownershipSchema.safeParse(current.value);
            if (parsed?.success === false) {
                log.error("ownership-unreadable", { revision: current?.revision, finding: parsed.error.message });
                return undefined;
            }
            const before = parsed?.data ?? noOwnership;
            if (before.term > term) {
                return undefined;
            }
            const ownership = { ...before, term, coordinator: self };
            const write = current === undefined
                ? await store.create(storeKinds.ownership, pool, ownership, signal)
                : await store.replace(storeKinds.ownership, pool, ownership, current.revision, signal);
            if (write.result === "written") {
                return { ownership, revision: write.object.revision };
            }
        }
    };

    /**
     * Coordinators that may still send grants: the previous one, unless it stepped down, and those it listed as such.
     */
    const formerOf = (before: Coordination | undefined): string[] => {
        const all = before === undefined ? [] : [...before.former, before.coordinator];
        return [...new Set(all)].filter(process => process !== noCoordinator && process !== self);
    };

    const takeOver = async (): Promise<void> => {
        const askedAt = readClocks();
        const before = known?.coordination;
        const coordination: Coordination = {
            term: (before?.term ?? 0) + 1,
            coordinator: self,
            reports: options.reportsAddress,
            former: formerOf(before),
            beat: 0,
        };
        const write = known === undefined
            ? await store.create(storeKinds.coordination, pool, coordination, signal)
            : await store.replace(storeKinds.coordination, pool, coordination, known.revision, signal);
        if (write.result === "conflict") {
            applyCoordination(write.current);
            return;
        }
        recordWrite(coordination, write);
        const ownershipInTerm = await writeTerm(coordination.term);
        if (ownershipInTerm === undefined) {
            return;
        }
        standing.renew(askedAt);
        termStartedAt = clock.now();
        confirmedAt = termStartedAt;
        options.onTermStart();
        heldOwnership = ownershipInTerm;
        options.metrics.count("coordinator-terms", { pool });
        log.info("coordinator-took-over", {
            term: coordination.term,
            before: before?.coordinator,
            former: coordination.former.join(","),
            ranges: ownershipInTerm.ownership.ranges.length,
            revision: ownershipInTerm.revision,
        });
    };

    /**
     * Reads the object back when the answer to a write is lost: its keys cannot be served until the result is known.
     */
    const writeOrReadBack = async (next: Ownership, revision: number): Promise<StoreWriteResult> => {
        try {
            return await store.replace(storeKinds.ownership, pool, next, revision, signal);
        }
        catch (error) {
            const current = await store.get(storeKinds.ownership, pool, signal);
            log.info("write-read-back", { revision, found: current?.revision, error: messageOf(error) });
            return { result: "conflict", current };
        }
    };

    const updateOwnership: Coordinator["updateOwnership"] = async apply => {
        if (heldOwnership === undefined || changing) {
            return false;
        }
        changing = true;
        try {
            const next = apply(heldOwnership.ownership);
            const write = await writeOrReadBack(next, heldOwnership.revision);
            if (heldOwnership === undefined) {
                return false;
            }
            if (write.result === "written") {
                heldOwnership = { ownership: next, revision: write.object.revision };
                confirmedAt = clock.now();
                return true;
            }
            const parsed = ownershipSchema.safeParse(write.current?.value);
            if (write.current === undefined || !parsed.success || parsed.data.term !== heldOwnership.ownership.term) {
                stepDown("the ownership was written in another term");
                return false;
            }
            heldOwnership = { ownership: parsed.data, revision: write.current.revision };
            return false;
        }
        finally {
            changing = false;
        }
    };

    const former = (): string[] => known?.coordination.former ?? [];

    return {
        applyCoordination,
        ownership: () => heldOwnership?.ownership,
        updateOwnership,
        mayGrant: () => heldOwnership !== undefined && standing.isValid(readClocks()),
        mayPlan: () => heldOwnership !== undefined && clock.now() - confirmedAt < planningWindowMilliseconds,
        formerMayGrantUntil: () => former().length === 0 ? termStartedAt : termStartedAt + grantingWindowMilliseconds,
        pruneFormer: async () => {
            if (heldOwnership === undefined || known === undefined || former().length === 0) {
                return;
            }
            const isOver = clock.now() - termStartedAt >= grantingWindowMilliseconds;
            const asked = await Promise.all(
                former().map(async process => ({
                    process,
                    mayGrant: !isOver && !await processes.hasEnded(process),
                })),
            );
            const left = asked.filter(({ mayGrant }) => mayGrant).map(({ process }) => process);
            known.coordination = { ...known.coordination, former: left };
        },
        reportsAddress: () =>
            known?.coordination.coordinator === noCoordinator ? undefined : known?.coordination.reports,
        tryTakeOver: async () => {
            const storeReachableSince = options.reachableSince();
            if (storeReachableSince === undefined || !options.isNeeded()) {
                return;
            }
            const hasNoCoordinator = known === undefined || known.coordination.coordinator === noCoordinator;
            const isOwnLateWrite = known?.coordination.coordinator === self;
            const silentFor = clock.now() - Math.max(knownChangeAt, storeReachableSince)
                - takeoverDelayMilliseconds(options.processor, processes.maxProcessor());
            const isSilent = silentFor >= heartbeatTimeoutMilliseconds * (1 + heartbeatTimeoutSpread * random());
            const mayFillVacancy = hasNoCoordinator && silentFor >= 0 && random() < vacancyTakeOverProbability;
            if (!isOwnLateWrite && !isSilent && !mayFillVacancy) {
                return;
            }
            try {
                await takeOver();
            }
            catch (error) {
                log.warn("take-over-failed", { error: messageOf(error) });
                await clock.sleep(takeOverRetryMilliseconds, signal);
            }
        },
        heartbeat: async () => {
            if (known === undefined || heldOwnership === undefined) {
                return;
            }
            const askedAt = readClocks();
            const coordination = { ...known.coordination, beat: known.coordination.beat + 1 };
            const write = await store.replace(storeKinds.coordination, pool, coordination, known.revision, signal);
            if (heldOwnership === undefined) {
                return;
            }
            if (write.result === "written") {
                recordWrite(coordination, write);
                standing.renew(askedAt);
                return;
            }
            applyCoordination(write.current);
        },
        resign: async () => {
            if (heldOwnership === undefined || known === undefined) {
                return;
            }
            const next = { ...known.coordination, coordinator: noCoordinator };
            const write = await store.replace(storeKinds.coordination, pool, next, known.revision);
            if (write.result === "written") {
                stepDown("the host is stopping");
            }
        },
    };
};
