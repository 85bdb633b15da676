/**
 * The targets whose entries are in the platform's registry. An entry that expired while the store was unavailable is
 * kept for a short time after the store is back, in which a live target registers again. In a return from an older copy
 * the store loses entries, and brings back those of targets that have left.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { StoreEvent, StoreObject } from "../../contracts/objectstore.ts";
import { type RegisteredTarget, unknownIncarnation } from "../../contracts/routing.ts";
import { eraOf, isLater } from "../../contracts/storehistory.ts";
import type { Log } from "../../links/logs.ts";
import type { Evacuations } from "./evacuations.ts";

export type TargetRegistry = {
    get: (name: string) => RegisteredTarget | undefined;
    ofPool: (pool: string) => RegisteredTarget[];
    ofZone: (zone: string) => RegisteredTarget[];
    /** Adds a listener that is called after an entry was added, changed or removed. */
    onChange: (listener: (target: RegisteredTarget, gone: boolean) => void) => void;
    /** Whether the first list of entries was taken in. A target that appears later was not there before. */
    wasListed: () => boolean;
    /** Takes in the list of all entries at the position. Targets that are not among them are removed. */
    applyList: (objects: StoreObject[], position: number) => void;
    /** Takes in changes of entries. */
    applyChanges: (events: StoreEvent[]) => void;
    /**
     * Records that an incarnation of a target leaves, whatever its entry tells now or later. The target need not be known
     * yet.
     */
    markLeaving: (name: string, incarnation: string) => void;
};

export type TargetRegistryOptions = {
    /** Decodes an entry, or returns what is wrong with it. */
    decode: (object: StoreObject) => RegisteredTarget | string;
    /** Returns the monotonic time since which the store has answered without a failure; undefined while it does not. */
    reachableSince: () => number | undefined;
    /** The evacuated zones, which targets are marked with; undefined in a deployment that evacuates none. */
    evacuations?: Pick<Evacuations, "mark" | "onChange"> | undefined;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

/** How long expired entries are kept: live targets are registered again about two seconds after the store is back. */
const expiryGraceMilliseconds = 1_800;

/**
 * The store removes the entry of a target that is silent for long. One of a target that had left, which a copy brought back
 * and which is still there after this time, is that of a target that lives.
 */
const doubtMilliseconds = 10_000;

const maxLeavers = 2_000;

/** An outage of the store expires all entries. When a smaller share than this is missing, those targets have left. */
const massExpiryShare = 0.4;

/** Creates an empty registry. */
export const createTargetRegistry = (options: TargetRegistryOptions): TargetRegistry => {
    const { evacuations, clock, log, signal } = options;
    const targets = new Map<string, RegisteredTarget>();
    const pendingRemovals = new Map<string, () => void>();
    /** Incarnations of targets that leave, by name; the oldest are dropped. */
    const leavers = new Map<string, string>();
    /** Incarnations of targets whose entries were removed, by name, and the place of the entry that a copy brought back. */
    const departed = new Map<string, { incarnation: string; broughtBackAt: number }>();
    /** Revision of each target's entry, and when it was first seen. */
    const seenEntries = new Map<string, { revision: number; at: number }>();
    let wasListed = false;
    /** Place of the newest list. */
    let listedAt: number | undefined;
    /** When the first list of the latest era was read. */
    let returnedAt = -Infinity;
    const listeners: Array<(target: RegisteredTarget, gone: boolean) => void> = [];

    const notify = (target: RegisteredTarget, gone: boolean): void => {
        listeners.forEach(listener => listener(target, gone));
    };

    const cancelRemoval = (name: string): void => {
        pendingRemovals.get(name)?.();
        pendingRemovals.delete(name);
    };

    /** Keeps an entry of a map in which the oldest are dropped. */
    const keepBounded = <Value>(map: Map<string, Value>, name: string, value: Value): void => {
        map.delete(name);
        map.set(name, value);
        for (const oldest of map.keys()) {
            if (map.size <= maxLeavers) {
                break;
            }
            map.delete(oldest);
        }
    };

    const deleteTarget = (name: string, reason: "removed" | "lapsed" | "unreadable"): void => {
        cancelRemoval(name);
        const target = targets.get(name);
        if (target !== undefined && reason === "removed") {
            keepBounded(departed, name, { incarnation: target.incarnation, broughtBackAt: 0 });
        }
        if (target !== undefined) {
            targets.delete(name);
            seenEntries.delete(name);
            if (target.incarnation === unknownIncarnation) {
                leavers.delete(name);
            }
            log.info("target-gone", { target: name, pool: target.pool, incarnation: target.incarnation, reason });
            notify(target, true);
        }
    };

    /** Returns the time for which a missing entry is kept. */
    const remainingGrace = (): number => {
        const reachableSince = options.reachableSince();
        const since = reachableSince === undefined ? clock.now() : Math.max(reachableSince, returnedAt);
        return Math.max(0, since + expiryGraceMilliseconds - clock.now());
    };

    const remove = (name: string, isExpiry: boolean): void => {
        const target = targets.get(name);
        if (target === undefined || pendingRemovals.has(name)) {
            return;
        }
        const grace = isExpiry && !target.leaving ? remainingGrace() : 0;
        if (grace === 0) {
            deleteTarget(name, "removed");
            return;
        }
        log.info("target-entry-expired", { target: name, pool: target.pool, keptMilliseconds: Math.round(grace) });
        pendingRemovals.set(name, clock.after(grace, () => deleteTarget(name, "lapsed"), signal));
    };

    const removeMissing = (names: string[], isLostInReturn: boolean): void => {
        const missing = new Set([...names, ...pendingRemovals.keys()]).size;
        const isExpiry = isLostInReturn || missing >= targets.size * massExpiryShare;
        names.forEach(name => remove(name, isExpiry));
    };

    /** Decodes an entry. A failure to do so is a finding like any other. */
    const decode = (object: StoreObject): RegisteredTarget | string => {
        try {
            return options.decode(object);
        }
        catch (error) {
            return messageOf(error);
        }
    };

    /** Whether the entry is of a target that left before the return in which a copy brought it back. */
    const isBroughtBack = ({ name, revision }: StoreObject, incarnation: string, isReturn: boolean): boolean => {
        const left = departed.get(name);
        if (left === undefined) {
            return false;
        }
        if (isReturn) {
            left.broughtBackAt = revision;
        }
        return left.incarnation === incarnation && !isLater(revision, left.broughtBackAt)
            && clock.now() - returnedAt < doubtMilliseconds;
    };

    /** Returns what is left of the warm-up that an entry tells. The same entry may be read again much later. */
    const remainingWarmup = ({ name, revision }: StoreObject, toldMilliseconds: number): number => {
        const seen = seenEntries.get(name);
        const entry = seen?.revision === revision ? seen : { revision, at: clock.now() };
        seenEntries.set(name, entry);
        return Math.max(0, toldMilliseconds - (clock.now() - entry.at));
    };

    /** Takes in an entry. A change is logged; the many entries of the first list are not, but for their number. */
    const put = (object: StoreObject, logsChange = true, isReturn = false): void => {
        const decoded = decode(object);
        if (typeof decoded === "string") {
            log.warn("target-entry-unreadable", { target: object.name, revision: object.revision, finding: decoded });
            deleteTarget(object.name, "unreadable");
            return;
        }
        const hasLeft = isBroughtBack(object, decoded.incarnation, isReturn);
        const isLeaver = leavers.get(object.name) === decoded.incarnation;
        const registered = {
            ...decoded,
            leaving: decoded.leaving || isLeaver || hasLeft,
            warmupMilliseconds: remainingWarmup(object, decoded.warmupMilliseconds),
        };
        const target = evacuations?.mark(registered) ?? registered;
        cancelRemoval(object.name);
        if (hasLeft && isReturn) {
            log.info("target-brought-back", { target: object.name, incarnation: target.incarnation });
            clock.after(doubtMilliseconds, () => putAgain(object), signal);
        }
        else if (!hasLeft) {
            departed.delete(object.name);
        }
        const before = targets.get(object.name);
        targets.set(object.name, target);
        const isChanged = before === undefined || before.incarnation !== target.incarnation
            || before.leaving !== target.leaving;
        if (isChanged && logsChange) {
            const { name, pool, incarnation, leaving, evacuated, zone, address } = target;
            const { revision } = object;
            const fields = { target: name, pool, incarnation, leaving, evacuated, zone, address, revision };
            log.info("target-registered", fields);
        }
        notify(target, false);
    };

    /** Takes in an entry again that a copy brought back, if it is still there as it was. */
    const putAgain = (object: StoreObject): void => {
        if (targets.has(object.name) && departed.get(object.name)?.broughtBackAt === object.revision) {
            put(object);
        }
    };

    const markLeaving = (name: string, incarnation: string): void => {
        keepBounded(leavers, name, incarnation);
        const target = targets.get(name);
        if (target?.incarnation === incarnation && !target.leaving) {
            const leaving = { ...target, leaving: true };
            targets.set(name, leaving);
            log.info("target-leaving", { target: name, pool: target.pool, incarnation });
            notify(leaving, false);
        }
    };

    evacuations?.onChange(() => {
        for (const target of [...targets.values()]) {
            const marked = evacuations.mark(target);
            if (marked.evacuated !== target.evacuated) {
                targets.set(target.name, marked);
                notify(marked, false);
            }
        }
    });

    return {
        get: name => targets.get(name),
        ofPool: pool => [...targets.values()].filter(target => target.pool === pool),
        ofZone: zone => [...targets.values()].filter(target => target.zone === zone),
        onChange: listener => listeners.push(listener),
        wasListed: () => wasListed,
        applyList: (objects, position) => {
            const names = new Set(objects.map(object => object.name));
            const isFirst = targets.size === 0;
            const isReturn = listedAt !== undefined && isLater(eraOf(position), eraOf(listedAt));
            listedAt = position;
            if (isReturn) {
                returnedAt = clock.now();
                // A target that leaves does not come back; a copy may say that it is ready.
                [...targets.values()].filter(({ name, leaving }) => leaving && !departed.has(name))
                    .forEach(({ name, incarnation }) => keepBounded(leavers, name, incarnation));
            }
            objects.forEach(object => put(object, !isFirst, isReturn));
            log.info("targets-listed", { targets: targets.size, objects: objects.length, isReturn });
            removeMissing([...targets.keys()].filter(name => !names.has(name)), isReturn);
            wasListed = true;
        },
        applyChanges: events => {
            events.filter(event => !event.removed).forEach(event => put(event.object));
            removeMissing(events.filter(event => event.removed).map(event => event.object.name), false);
        },
        markLeaving,
    };
};
