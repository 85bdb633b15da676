/**
 * Who coordinates a pool's key ranges. The coordination object in the store names one process, which shows signs of
 * life there; when they cease, another one takes over. What counts is the ownership object: it carries the term of its
 * coordinator, and a write by one of an earlier term fails.
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

export const storeKinds = { coordination: "coordination", ownership: "ownership" } as const;

export type CoordinatorOptions = {
    pool: string;
    /** Name of this process. */
    self: string;
    /** Where this host hears load reports. */
    reportsAddress: string;
    store: ObjectStore;
    processes: Processes;
    /** Since when the store has answered; undefined while it is lost. */
    reachableSince: () => number | undefined;
    /** Processor of this host, in cores. */
    processor: number;
    /** Whether there is anything to coordinate. */
    isNeeded: () => boolean;
    /** Called when this process has become coordinator, before anything else is done in the term. */
    onTermStart: () => void;
    clock: Clock;
    /** Milliseconds of the time of day. */
    wallClock: () => number;
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type Coordinator = {
    /** The coordination object as it was read; undefined when it is gone. */
    applyCoordination: (object: StoreObject | undefined) => void;
    /** The ownership while this process is coordinator. */
    ownership: () => Ownership | undefined;
    /** Changes the ownership in the store. True once that is certain; one change at a time. */
    updateOwnership: (change: (ownership: Ownership) => Ownership) => Promise<boolean>;
    /** Whether grants may be sent: the store confirmed this coordinator not long ago. */
    mayGrant: () => boolean;
    /** Whether the store answered lately, so that what is begun can be finished. */
    mayPlan: () => boolean;
    /** Up to this time an earlier coordinator may send grants. */
    formerMayGrantUntil: () => number;
    /** Drops earlier coordinators that have certainly ended. */
    pruneFormer: () => Promise<void>;
    /** Where the coordinator hears load reports; undefined while there is none. */
    reportsAddress: () => string | undefined;
    /** Takes over when there is no coordinator that shows signs of life. */
    tryTakeOver: () => Promise<void>;
    /** Shows a sign of life. */
    heartbeat: () => Promise<void>;
    /** Gives the duty back, so that another host takes it at once; keeps it while the store does not answer. */
    resign: () => Promise<void>;
};

/** A coordinator that shows no sign of life for this time is replaced. */
const silenceMilliseconds = 1_900;
/** Hosts wait up to this part longer, so that not all of them try at once. */
const silenceSpread = 0.2;
/** Part of the hosts that try at once to fill a vacancy: all of them would waste calls. */
const vacancyShare = 0.3;
/** A host that could not take over tries again after this time. */
const takeOverPauseMilliseconds = 1_000;
/** How long a coordinator grants without the store; with the hold, longer than most of its outages. */
const currencyMilliseconds = 8_000;
/** Nothing is planned when the store has not answered for this time: a move that can not be finished stops its keys. */
const planningMilliseconds = 1_200;

type Held = { ownership: Ownership; revision: number };
type Seen = { coordination: Coordination; revision: number };

const vacant = "";
const noOwnership: Ownership = { term: 0, coordinator: vacant, nextFence: 1, ranges: [] };

/** Creates the coordinator's duty, not held at first. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
    const { pool, self, store, processes, clock, log, signal, random: unit } = options;
    const standing = createCoordinatorLease(currencyMilliseconds);
    let seen: Seen | undefined;
    let seenChangeAt = clock.now();
    let held: Held | undefined;
    let termStartedAt = -Infinity;
    /** When the store last answered a write of this coordinator. */
    let confirmedAt = -Infinity;
    let changing = false;

    const reading = (): ClockReading => ({ monotonic: clock.now(), wall: options.wallClock() });

    const stepDown = (reason: string): void => {
        if (held !== undefined) {
            log.info("coordinator-stepped-down", { term: held.ownership.term, reason });
        }
        held = undefined;
        standing.revoke();
    };

    const put: Coordinator["applyCoordination"] = object => {
        if (object !== undefined && object.revision <= (seen?.revision ?? 0)) {
            return;
        }
        const parsed = object === undefined ? undefined : coordinationSchema.safeParse(object.value);
        if (object !== undefined && parsed?.success !== true) {
            log.error("coordination-unreadable", { revision: object.revision });
        }
        seen = object !== undefined && parsed?.success === true
            ? { coordination: parsed.data, revision: object.revision }
            : undefined;
        seenChangeAt = clock.now();
        if (held !== undefined && seen?.coordination.coordinator !== self) {
            stepDown(`"${seen?.coordination.coordinator ?? "nobody"}" has the duty`);
        }
    };

    const noteWritten = (coordination: Coordination, write: StoreWriteResult & { result: "written" }): void => {
        seen = { coordination, revision: write.object.revision };
        seenChangeAt = clock.now();
        confirmedAt = seenChangeAt;
    };

    /** Puts the term on the ownership: from then on no earlier coordinator's write succeeds. */
    const writeTerm = async (term: number): Promise<Held | undefined> => {
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

    /** Coordinators that may still grant: the one before, unless it gave the duty back, and those it did not outlive. */
    const formerOf = (before: Coordination | undefined): string[] => {
        const all = before === undefined ? [] : [...before.former, before.coordinator];
        return [...new Set(all)].filter(process => process !== vacant && process !== self);
    };

    const takeOver = async (): Promise<void> => {
        const askedAt = reading();
        const before = seen?.coordination;
        const coordination: Coordination = {
            term: (before?.term ?? 0) + 1,
            coordinator: self,
            reports: options.reportsAddress,
            former: formerOf(before),
            beat: 0,
        };
        const write = seen === undefined
            ? await store.create(storeKinds.coordination, pool, coordination, signal)
            : await store.replace(storeKinds.coordination, pool, coordination, seen.revision, signal);
        if (write.result === "conflict") {
            put(write.current);
            return;
        }
        noteWritten(coordination, write);
        const written = await writeTerm(coordination.term);
        if (written === undefined) {
            return;
        }
        standing.renew(askedAt);
        termStartedAt = clock.now();
        confirmedAt = termStartedAt;
        options.onTermStart();
        held = written;
        options.metrics.count("coordinator-terms", { pool });
        log.info("coordinator-took-over", {
            term: coordination.term,
            before: before?.coordinator,
            former: coordination.former.join(","),
            ranges: written.ownership.ranges.length,
            revision: written.revision,
        });
    };

    /** A write whose answer was lost is read back at once: until it is known, its keys can not be served. */
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

    const change: Coordinator["updateOwnership"] = async apply => {
        if (held === undefined || changing) {
            return false;
        }
        changing = true;
        try {
            const next = apply(held.ownership);
            const write = await writeOrReadBack(next, held.revision);
            if (held === undefined) {
                return false;
            }
            if (write.result === "written") {
                held = { ownership: next, revision: write.object.revision };
                confirmedAt = clock.now();
                return true;
            }
            const parsed = ownershipSchema.safeParse(write.current?.value);
            if (write.current === undefined || !parsed.success || parsed.data.term !== held.ownership.term) {
                stepDown("the ownership was written in another term");
                return false;
            }
            held = { ownership: parsed.data, revision: write.current.revision };
            return false;
        }
        finally {
            changing = false;
        }
    };

    const former = (): string[] => seen?.coordination.former ?? [];

    return {
        applyCoordination: put,
        ownership: () => held?.ownership,
        updateOwnership: change,
        mayGrant: () => held !== undefined && standing.isValid(reading()),
        mayPlan: () => held !== undefined && clock.now() - confirmedAt < planningMilliseconds,
        formerMayGrantUntil: () => former().length === 0 ? termStartedAt : termStartedAt + currencyMilliseconds,
        pruneFormer: async () => {
            if (held === undefined || seen === undefined || former().length === 0) {
                return;
            }
            const isOver = clock.now() - termStartedAt >= currencyMilliseconds;
            const asked = await Promise.all(
                former().map(async process => ({
                    process,
                    mayGrant: !isOver && !await processes.hasEnded(process),
                })),
            );
            const left = asked.filter(({ mayGrant }) => mayGrant).map(({ process }) => process);
            seen.coordination = { ...seen.coordination, former: left };
        },
        reportsAddress: () => seen?.coordination.coordinator === vacant ? undefined : seen?.coordination.reports,
        tryTakeOver: async () => {
            const contact = options.reachableSince();
            if (contact === undefined || !options.isNeeded()) {
                return;
            }
            const isVacant = seen === undefined || seen.coordination.coordinator === vacant;
            const isOwnLateWrite = seen?.coordination.coordinator === self;
            const silentFor = clock.now() - Math.max(seenChangeAt, contact)
                - takeoverDelayMilliseconds(options.processor, processes.maxProcessor());
            const isSilent = silentFor >= silenceMilliseconds * (1 + silenceSpread * unit());
            const isWilling = isVacant && silentFor >= 0 && unit() < vacancyShare;
            if (!isOwnLateWrite && !isSilent && !isWilling) {
                return;
            }
            try {
                await takeOver();
            }
            catch (error) {
                log.warn("take-over-failed", { error: messageOf(error) });
                await clock.sleep(takeOverPauseMilliseconds, signal);
            }
        },
        heartbeat: async () => {
            if (seen === undefined || held === undefined) {
                return;
            }
            const askedAt = reading();
            const coordination = { ...seen.coordination, beat: seen.coordination.beat + 1 };
            const write = await store.replace(storeKinds.coordination, pool, coordination, seen.revision, signal);
            if (held === undefined) {
                return;
            }
            if (write.result === "written") {
                noteWritten(coordination, write);
                standing.renew(askedAt);
                return;
            }
            put(write.current);
        },
        resign: async () => {
            if (held === undefined || seen === undefined) {
                return;
            }
            const next = { ...seen.coordination, coordinator: vacant };
            const write = await store.replace(storeKinds.coordination, pool, next, seen.revision);
            if (write.result === "written") {
                stepDown("the host stops");
            }
        },
    };
};
