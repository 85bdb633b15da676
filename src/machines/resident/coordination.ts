/**
 * Election of the coordinator of a pool's key ranges. The coordination object in the store names one process, which
 * writes heartbeats to it; when they stop, another process takes over. The ownership object decides which coordinator
 * is valid: it carries the coordinator's term, and writes of a coordinator of an earlier term fail.
 *
 * Each era of the store has objects of its own. The coordinator of the era before goes on renewing the grants that it knows
 * by its lease, as in an outage, until the keys are granted in the new era or its lease ends.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreObject, StoreWriteResult } from "../../contracts/objectstore.ts";
import { type Coordination, coordinationSchema, type Ownership, ownershipSchema } from "../../contracts/ownership.ts";
import { eraOf, isLater, laterOf, startOfEra } from "../../contracts/storehistory.ts";
import {
    type ClockReading,
    createCoordinatorLease,
    takeoverDelayMilliseconds,
} from "../../decisions/coordinatorlease.ts";
import { newestOwnership, withFencesOfEra } from "../../decisions/eraclearing.ts";
import { createFormerCoordinators } from "../../decisions/formercoordinators.ts";
import { firstEra, poolObjectName, readPoolObjectName } from "../../decisions/poolobjectnames.ts";
import { renewAllFences } from "../../decisions/rangemoves.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PoolNews, PoolNewsListener, Term } from "./coordinatornews.ts";
import { createOutlivedTerm } from "./outlivedterm.ts";
import type { Processes } from "./processes.ts";

/** Kinds of the two objects that each pool has in the store. */
export const storeKinds = { coordination: "coordination", ownership: "ownership" } as const;

export type CoordinatorOptions = {
    pool: string;
    /** Name of this process. */
    self: string;
    /** `address:port` at which this process receives load reports. */
    reportsAddress: string;
    store: ObjectStore;
    processes: Processes;
    /** Returns the monotonic time since which the store has answered without a failure; undefined while it does not. */
    reachableSince: () => number | undefined;
    /** Processor of this host, in cores. */
    processor: number;
    /** Returns whether there is anything to coordinate; otherwise this process does not take over. */
    isNeeded: () => boolean;
    /** Called when this process may grant keys in a new term, before anything else is done in it. */
    onTermStart: () => void;
    /** Returns the newest ownership that this host has read, but not one that it knows only from an older copy. */
    rememberedOwnership: () => Ownership | undefined;
    /** Tells other hosts of the terms of this process. */
    news: PoolNews;
    /** Whether a grant of this process is on its way. */
    hasGrantsInFlight: () => boolean;
    clock: Clock;
    /** Returns the time of day in milliseconds. */
    wallClock: () => number;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/**
 * One process's part in the election of a pool's coordinator. Every process has one for each pool with key owners,
 * and nearly all of these processes are not the coordinator.
 */
export type Coordinator = PoolNewsListener & {
    /** Takes in a coordination object of the pool, of any era, as it was read from the store. */
    applyCoordination: (object: StoreObject, removed: boolean) => void;
    /** Returns the pool's ownership while this process is coordinator, otherwise undefined. */
    ownership: () => Ownership | undefined;
    /**
     * Returns the ownership whose grants this process renews. It is that of the era before until the keys may be granted in
     * the new one.
     */
    grantedOwnership: () => Ownership | undefined;
    /**
     * Writes a changed ownership to the store. Resolves to true once the write is confirmed. Resolves to false at once
     * while this process is not coordinator, while another change is being written, for a moment after a failure, and, but
     * for the change that ends it, while the ownership is uncleared.
     *
     * False after a write does not mean that nothing was written: the answer may have been lost. `ownership()` then
     * returns what the store was found to hold, or undefined if the process stepped down. Rejects when the store fails
     * both the write and the read after it.
     */
    updateOwnership: (change: (ownership: Ownership) => Ownership) => Promise<boolean>;
    /** Whether grants may be sent: the store has confirmed this coordinator recently enough. */
    mayGrant: () => boolean;
    /**
     * Whether moves may be planned: the store has confirmed a write recently, so that a started move can be completed.
     */
    mayPlan: () => boolean;
    /** Returns the monotonic time until which earlier coordinators may have sent grants, or may still send them. */
    formerMayGrantUntil: () => number;
    /** Returns what this process knows of earlier eras. */
    pastEras: () => PastEras;
    /**
     * Removes earlier coordinators that can certainly send no more grants. The next heartbeat writes the rest to the
     * store.
     */
    pruneFormer: () => Promise<void>;
    /** Returns the address at which the coordinator receives load reports; undefined while there is no coordinator. */
    reportsAddress: () => string | undefined;
    /**
     * Tries to take over if the pool has no coordinator, if its coordinator has stopped writing heartbeats, or if the
     * coordination object already names this process. Called repeatedly while this process is not coordinator. Does
     * nothing before the registration of the process is confirmed, since others would take it for one that has ended.
     */
    tryTakeOver: () => Promise<void>;
    /** Writes a heartbeat to the coordination object while this process is coordinator. */
    heartbeat: () => Promise<void>;
    /**
     * Steps down so that another process takes over at once. Remains coordinator while the store does not answer, but
     * sends no grants between the write of a resignation and the next confirmed heartbeat.
     */
    resign: () => Promise<void>;
};

export type PastEras = {
    /** When this process learned of the era; undefined when there was none before. */
    learnedAt: number | undefined;
    /** Whether it knows an ownership from an earlier era. */
    isRemembered: boolean;
};

/**
 * A process tries to replace a coordinator that has written no heartbeat for this time, extended by the process's
 * takeover delay and a random spread.
 */
const heartbeatTimeoutMilliseconds = 1_900;
/**
 * The time-out is up to this share longer, drawn anew on each call of `tryTakeOver`, so that not all processes try to
 * take over at once.
 */
const heartbeatTimeoutSpread = 0.2;
/**
 * Probability with which each call of `tryTakeOver` tries to take over when there is no coordinator: calls to the store
 * are wasted if all processes try at once.
 */
const vacancyTakeOverProbability = 0.3;
/**
 * How much longer a process that knows nothing of earlier eras waits to become the first coordinator of an era: it has to wait
 * until all earlier holds have expired, while one that remembers the owners clears the targets at once.
 */
const withoutMemoryDelayMilliseconds = 1_500;
/** Pause after a failed attempt to take over. */
const takeOverRetryMilliseconds = 1_000;
/**
 * A coordinator sends grants for this long after the store last confirmed it. Targets keep their keys for this time
 * plus the hold of the last grant, which outlasts most outages of the store.
 */
const grantingWindowMilliseconds = 8_000;
/**
 * No moves are planned when the store has not answered for this time: keys are not served until their move completes.
 */
const planningWindowMilliseconds = 1_200;

/**
 * Pause after a failed write of the ownership. A coordinator with moves in progress would otherwise call a store that
 * refuses it with every step.
 */
const failedWritePauseMilliseconds = 400;

/** Interval at which a process whose term is over looks whether its last grants have been answered or given up. */
const retirementCheckMilliseconds = 50;

/** A resignation that meets a heartbeat of this process is written again, up to this many times in all. */
const maxResignations = 3;

/** The ownership and its revision in the store while this process is coordinator. */
type HeldOwnership = { ownership: Ownership; revision: number };
/** The coordination object as last read or written. */
type KnownCoordination = { coordination: Coordination; revision: number };

const noCoordinator = "";
const resigned = "it resigned";
const noOwnership: Ownership = {
    term: 0,
    coordinator: noCoordinator,
    nextFence: 1,
    ranges: [],
};

/** Creates this process's part in the election of one pool's coordinator. The process is not coordinator at first. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
    const { pool, self, store, processes, clock, log, signal, random } = options;
    let era = store.era();
    /** The last ownership of this process in an earlier era. */
    let lastOwnership: Ownership | undefined;
    /** Whether an earlier era had a coordinator, which may take over in this one before others do. */
    let hadCoordinator: boolean | undefined;
    /** A coordination object of a later era than the known one. */
    let ahead: StoreObject | undefined;
    let lease = createCoordinatorLease(grantingWindowMilliseconds);
    let known: KnownCoordination | undefined;
    let knownChangeAt = clock.now();
    let heldOwnership: HeldOwnership | undefined;
    let formerCoordinators = createFormerCoordinators([], -Infinity, grantingWindowMilliseconds);
    /** When the store last confirmed a write of this coordinator. */
    let confirmedAt = -Infinity;
    let changing = false;
    /** Whether this process has ever tried to coordinate. */
    let hasTried = false;
    /** The latest term that this process knows of, and the one of which it has told that it sends no grants of earlier ones. */
    let latest: Term = { term: 0, coordinator: noCoordinator };
    let retiredFor = latest;
    let isRetiring = false;
    /** The successors of which other processes have told the same. */
    const successors = new Map<string, Term>();
    /** Monotonic time before which the ownership is not written again after a failure. */
    let nextWriteAt = -Infinity;
    /** When this process learned of the era. */
    let eraLearnedAt = clock.now();
    let pastEras: PastEras = { learnedAt: undefined, isRemembered: false };

    const readClocks = (): ClockReading => ({ monotonic: clock.now(), wall: options.wallClock() });

    const stepDown = (reason: string): void => {
        if (heldOwnership !== undefined) {
            log.info("coordinator-stepped-down", { term: heldOwnership.ownership.term, reason });
        }
        heldOwnership = undefined;
        lease.revoke();
    };

    /** Whether another process grants the keys in this era. */
    const isSucceeded = (): boolean => {
        const newest = options.rememberedOwnership();
        return newest !== undefined && eraOf(newest.term) === era && newest.coordinator !== self
            && newest.isUncleared !== true;
    };

    const outlivedTerm = createOutlivedTerm({ readClocks, isSucceeded, onEnd: () => void retire(), log });

    /** Takes in what the store holds of this process's term. */
    const hold = (held: HeldOwnership): void => {
        const mayGrantBefore = heldOwnership !== undefined && heldOwnership.ownership.isUncleared !== true;
        if (!mayGrantBefore && held.ownership.isUncleared !== true) {
            options.onTermStart();
            outlivedTerm.end();
        }
        heldOwnership = held;
    };

    /** Tells that no grant of an earlier term comes from this process, once the last ones are answered or given up. */
    const retire = async (): Promise<void> => {
        if (isRetiring) {
            return;
        }
        isRetiring = true;
        try {
            while (options.hasGrantsInFlight() && !signal.aborted) {
                await clock.sleep(retirementCheckMilliseconds, signal);
            }
            const mayGrant = heldOwnership !== undefined || outlivedTerm.ownership() !== undefined;
            if (!mayGrant && retiredFor !== latest && !signal.aborted) {
                retiredFor = latest;
                log.info("coordinator-retired", { latestTerm: latest.term, by: latest.coordinator });
                options.news.announceRetired(latest);
            }
        }
        finally {
            isRetiring = false;
        }
    };

    /** Takes in that another process coordinates in the term, which ends all earlier ones. */
    const applyTerm = ({ term, coordinator }: Term): void => {
        if (!isLater(term, latest.term) || coordinator === self) {
            return;
        }
        store.learnEra(eraOf(term));
        latest = { term, coordinator };
        if (heldOwnership !== undefined && isLater(term, heldOwnership.ownership.term)) {
            stepDown(`"${coordinator}" is the coordinator`);
        }
        if (hasTried) {
            void retire();
        }
    };

    /** Whether the process has told that it sends no grants of terms before the one that this process holds. */
    const hasRetired = (process: string): boolean => {
        const successor = successors.get(process);
        return successor?.coordinator === self && successor.term === heldOwnership?.ownership.term;
    };

    const removeRetired = (): void => {
        for (const process of formerCoordinators.names().filter(hasRetired)) {
            formerCoordinators.recordEnded(process, clock.now());
            log.info("former-coordinator-retired", { process });
        }
    };

    /** Takes in the coordination object of this era; undefined when there is none. */
    const applyCurrent = (object: StoreObject | undefined): void => {
        if (object !== undefined && !isLater(object.revision, known?.revision)) {
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
            const { coordinator } = known?.coordination ?? {};
            const by = coordinator === undefined ? "nobody" : `"${coordinator}"`;
            stepDown(coordinator === noCoordinator ? resigned : `${by} is the coordinator`);
        }
        if (known !== undefined && known.coordination.coordinator !== noCoordinator) {
            applyTerm(known.coordination);
            // It grants again, whatever it has told before.
            successors.delete(known.coordination.coordinator);
        }
    };

    /** Takes in that an earlier era had the object, perhaps only in the copy that the store came back from. */
    const applyEarlier = (object: StoreObject): void => {
        pastEras = { ...pastEras, learnedAt: pastEras.learnedAt ?? eraLearnedAt };
        hadCoordinator ??= coordinationSchema.safeParse(object.value).data?.coordinator !== noCoordinator;
    };

    const applyCoordination: Coordinator["applyCoordination"] = (object, removed) => {
        const named = readPoolObjectName(object.name).era;
        const current = laterOf(era, firstEra);
        if (isLater(named, current)) {
            ahead = object;
        }
        else if (isLater(current, named)) {
            if (!removed) {
                applyEarlier(object);
            }
        }
        else if (eraOf(object.revision) === era) {
            applyCurrent(removed ? undefined : object);
        }
    };

    /** Returns the newest ownership of an earlier era that this process knows. */
    const earlierOwnership = (): Ownership | undefined => {
        const newest = newestOwnership(lastOwnership, options.rememberedOwnership());
        return newest !== undefined && isLater(era, eraOf(newest.term)) ? newest : undefined;
    };

    /** Ends the term of this process in the store, and keeps what it may still do. */
    const outlive = (ownership: Ownership): void => {
        lastOwnership = ownership;
        // Before the keys were cleared, only the grants of the era before were renewed.
        if (ownership.isUncleared !== true) {
            outlivedTerm.begin(ownership, lease);
        }
        log.info("coordinator-outlived-era", { term: ownership.term, undisputed: outlivedTerm.isUndisputed() });
    };

    const lookBack = (): void => {
        const isRemembered = earlierOwnership() !== undefined;
        // The first era that a store tells has none before it, unless the host has known one.
        const hasPast = isRemembered || isLater(era, firstEra);
        pastEras = { learnedAt: hasPast ? eraLearnedAt : undefined, isRemembered };
    };
    lookBack();

    const enterEra = (next: number): void => {
        const before = era;
        outlivedTerm.dispute();
        if (heldOwnership !== undefined) {
            outlive(heldOwnership.ownership);
        }
        if (known !== undefined) {
            hadCoordinator = known.coordination.coordinator !== noCoordinator;
        }
        era = next;
        heldOwnership = undefined;
        lease = createCoordinatorLease(grantingWindowMilliseconds);
        formerCoordinators = createFormerCoordinators([], -Infinity, grantingWindowMilliseconds);
        known = undefined;
        eraLearnedAt = clock.now();
        knownChangeAt = eraLearnedAt;
        lookBack();
        log.info("era-entered", { era, before, remembered: pastEras.isRemembered, hadCoordinator });
        if (ahead !== undefined) {
            const object = ahead;
            ahead = undefined;
            applyCoordination(object, false);
        }
    };
    store.onEra(enterEra);

    const recordWrite = (coordination: Coordination, write: StoreWriteResult & { result: "written" }): void => {
        known = { coordination, revision: write.object.revision };
        knownChangeAt = clock.now();
        confirmedAt = knownChangeAt;
    };

    /** Reads the newest ownership of an earlier era from the copy that the store came back from. */
    const readCopy = async (): Promise<Ownership | undefined> => {
        const { objects } = await store.list(storeKinds.ownership, signal);
        return objects
            .filter(({ name }) => readPoolObjectName(name).pool === pool)
            .map(({ value }) => ownershipSchema.safeParse(value).data)
            .reduce(newestOwnership, undefined);
    };

    /**
     * Returns the ownership with which the pool begins, or from which it goes on in a new era. In a new era, whoever knows
     * of moves that the store forgot may still carry them out.
     */
    const firstOwnership = async (term: number): Promise<Ownership> => {
        if (era === 0) {
            return noOwnership;
        }
        const isUndisputed = outlivedTerm.isUndisputed();
        const remembered = earlierOwnership();
        const base = remembered ?? await readCopy();
        const isUncleared = !isUndisputed && (base !== undefined || pastEras.learnedAt !== undefined);
        log.info("era-base-chosen", {
            era,
            term,
            baseTerm: base?.term,
            source: remembered !== undefined ? "memory" : base !== undefined ? "copy" : "none",
            ranges: base?.ranges.length,
            uncleared: isUncleared,
        });
        return { ...base ?? noOwnership, isUncleared: isUncleared ? true : undefined };
    };

    /**
     * Writes the new term to the ownership object. After that, no write of an earlier coordinator succeeds. All ranges get new
     * fences: only the earlier coordinator knew whether the processes that took the former ones still run.
     */
    const writeTerm = async (term: number): Promise<HeldOwnership | undefined> => {
        const name = poolObjectName(pool, era);
        for (;;) {
            const current = await store.get(storeKinds.ownership, name, signal);
            if (eraOf(term) !== era) {
                return undefined;
            }
            const parsed = current === undefined ? undefined : ownershipSchema.safeParse(current.value);
            if (parsed?.success === false) {
                log.error("ownership-unreadable", { revision: current?.revision, finding: parsed.error.message });
                return undefined;
            }
            const before = parsed?.data ?? await firstOwnership(term);
            if (isLater(before.term, term)) {
                log.warn("take-over-found-later-term", { term, found: before.term, by: before.coordinator });
                return undefined;
            }
            const ownership = { ...renewAllFences(withFencesOfEra(before, eraOf(term))), term, coordinator: self };
            const write = current === undefined
                ? await store.create(storeKinds.ownership, name, ownership, signal)
                : await store.replace(storeKinds.ownership, name, ownership, current.revision, signal);
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
        const name = poolObjectName(pool, era);
        const coordination: Coordination = {
            term: laterOf(before?.term ?? 0, startOfEra(era)) + 1,
            coordinator: self,
            reports: options.reportsAddress,
            former: formerOf(before),
            beat: 0,
        };
        hasTried = true;
        const latestBefore = latest.term;
        const write = known === undefined
            ? await store.create(storeKinds.coordination, name, coordination, signal)
            : await store.replace(storeKinds.coordination, name, coordination, known.revision, signal);
        if (eraOf(coordination.term) !== era) {
            return;
        }
        if (write.result === "conflict") {
            applyCurrent(write.current);
            return;
        }
        recordWrite(coordination, write);
        const ownershipInTerm = await writeTerm(coordination.term);
        // Another process may have taken over meanwhile, and have been told that this one sends no grants.
        if (
            ownershipInTerm === undefined || eraOf(coordination.term) !== era
            || isLater(latest.term, laterOf(coordination.term, latestBefore))
        ) {
            return;
        }
        lease.renew(askedAt);
        confirmedAt = clock.now();
        formerCoordinators = createFormerCoordinators(coordination.former, confirmedAt, grantingWindowMilliseconds);
        hold(ownershipInTerm);
        latest = { term: coordination.term, coordinator: self };
        options.news.announceTerm(latest);
        removeRetired();
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
     * Writes the ownership, and reads it back when the write fails: the answer may have been lost, and keys that the
     * write moves cannot be served until its result is known. Reports a conflict then, even if the write took effect.
     */
    const writeOrReadBack = async (next: Ownership, revision: number): Promise<StoreWriteResult> => {
        const name = poolObjectName(pool, eraOf(next.term));
        try {
            return await store.replace(storeKinds.ownership, name, next, revision, signal);
        }
        catch (error) {
            nextWriteAt = clock.now() + failedWritePauseMilliseconds;
            const current = await store.get(storeKinds.ownership, name, signal);
            log.info("write-read-back", { revision, found: current?.revision, error: messageOf(error) });
            return { result: "conflict", current };
        }
    };

    const updateOwnership: Coordinator["updateOwnership"] = async apply => {
        if (heldOwnership === undefined || changing || clock.now() < nextWriteAt) {
            return false;
        }
        const { ownership, revision } = heldOwnership;
        const next = apply(ownership);
        if (ownership.isUncleared === true && next.isUncleared === true) {
            return false;
        }
        changing = true;
        try {
            const write = await writeOrReadBack(next, revision);
            // The answer may come in a later term of this process.
            if (heldOwnership?.ownership.term !== ownership.term) {
                return false;
            }
            if (write.result === "written") {
                hold({ ownership: next, revision: write.object.revision });
                confirmedAt = clock.now();
                return true;
            }
            const parsed = ownershipSchema.safeParse(write.current?.value);
            if (write.current === undefined || !parsed.success || parsed.data.term !== heldOwnership.ownership.term) {
                stepDown("the ownership was written in another term");
                return false;
            }
            hold({ ownership: parsed.data, revision: write.current.revision });
            return false;
        }
        finally {
            changing = false;
        }
    };

    return {
        applyCoordination,
        applyTerm,
        applyRetired: (process, { term, coordinator }) => {
            successors.set(process, { term, coordinator });
            removeRetired();
        },
        ownership: () => heldOwnership?.ownership,
        grantedOwnership: () =>
            heldOwnership === undefined || heldOwnership.ownership.isUncleared === true
                ? outlivedTerm.ownership()
                : heldOwnership.ownership,
        updateOwnership,
        mayGrant: () =>
            heldOwnership === undefined || heldOwnership.ownership.isUncleared === true
                ? outlivedTerm.ownership() !== undefined
                : lease.isValid(readClocks()),
        mayPlan: () => heldOwnership !== undefined && clock.now() - confirmedAt < planningWindowMilliseconds,
        formerMayGrantUntil: () =>
            Math.max(
                formerCoordinators.mayHaveGrantedUntil(),
                (pastEras.learnedAt ?? -Infinity) + grantingWindowMilliseconds,
            ),
        pastEras: () => pastEras,
        pruneFormer: async () => {
            if (heldOwnership === undefined) {
                return;
            }
            const former = formerCoordinators;
            former.expire(clock.now());
            await Promise.all(
                former.names().map(async process => {
                    if (await processes.hasEnded(process)) {
                        former.recordEnded(process, clock.now());
                        log.info("former-coordinator-ended", { process });
                    }
                }),
            );
        },
        reportsAddress: () =>
            known?.coordination.coordinator === noCoordinator ? undefined : known?.coordination.reports,
        tryTakeOver: async () => {
            const storeReachableSince = options.reachableSince();
            if (storeReachableSince === undefined || !options.isNeeded() || !processes.isRegistered()) {
                return;
            }
            const hasNoCoordinator = known === undefined
                ? hadCoordinator !== true
                : known.coordination.coordinator === noCoordinator;
            // Only the coordinator of the era before knows how it left the keys.
            const goesOn = known === undefined && outlivedTerm.ownership() !== undefined;
            // The object names this process, but the process does not hold the ownership: the answer to its write was
            // lost, the new term could not be written, or it stepped down since the ownership is not of its term.
            const isNamedButNotCoordinator = known?.coordination.coordinator === self;
            const lacksMemory = known === undefined && pastEras.learnedAt !== undefined && !pastEras.isRemembered;
            // Time without a heartbeat while the store answered, less this process's takeover delay. It is negative
            // until that delay is over.
            const overdueMilliseconds = clock.now() - Math.max(knownChangeAt, storeReachableSince)
                - takeoverDelayMilliseconds(options.processor, processes.maxProcessor())
                - (lacksMemory ? withoutMemoryDelayMilliseconds : 0);
            const isSilent =
                overdueMilliseconds >= heartbeatTimeoutMilliseconds * (1 + heartbeatTimeoutSpread * random());
            const mayFillVacancy = hasNoCoordinator && overdueMilliseconds >= 0
                && random() < vacancyTakeOverProbability;
            if (!isNamedButNotCoordinator && !goesOn && !isSilent && !mayFillVacancy) {
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
            const { term } = heldOwnership.ownership;
            const coordination = {
                ...known.coordination,
                former: formerCoordinators.names(),
                beat: known.coordination.beat + 1,
            };
            const name = poolObjectName(pool, eraOf(term));
            const write = await store.replace(storeKinds.coordination, name, coordination, known.revision, signal);
            // The answer may come in a later term of this process.
            if (heldOwnership?.ownership.term !== term) {
                return;
            }
            if (write.result === "written") {
                recordWrite(coordination, write);
                lease.renew(askedAt);
                return;
            }
            applyCurrent(write.current);
        },
        resign: async () => {
            outlivedTerm.revoke();
            if (options.reachableSince() === undefined) {
                return;
            }
            for (let attempt = 0; attempt < maxResignations; attempt += 1) {
                if (heldOwnership === undefined || known === undefined) {
                    return;
                }
                // Grants end before the write, since its answer may be lost and a successor does not wait for a process
                // that resigned. They resume after a confirmed heartbeat, which makes a pending resignation fail.
                lease.revoke();
                const next = { ...known.coordination, former: formerCoordinators.names(), coordinator: noCoordinator };
                const { term } = heldOwnership.ownership;
                const name = poolObjectName(pool, eraOf(term));
                const write = await store.replace(storeKinds.coordination, name, next, known.revision);
                if (eraOf(term) !== era) {
                    return;
                }
                if (write.result === "written") {
                    stepDown(resigned);
                    return;
                }
                // A heartbeat was written meanwhile, or another process has taken over.
                applyCurrent(write.current);
            }
        },
    };
};
