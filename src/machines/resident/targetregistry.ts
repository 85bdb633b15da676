/**
 * The targets that the platform's registry announces. An entry that lapsed while the store was away is kept for a
 * short time after its return, in which a live target registers again.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { StoreEvent, StoreObject } from "../../contracts/objectstore.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import type { Log } from "../../links/logs.ts";

export type TargetRegistry = {
    get: (name: string) => RegisteredTarget | undefined;
    ofPool: (pool: string) => RegisteredTarget[];
    /** Called with each entry that came, changed or went, after the registry has it. */
    onChange: (listener: (target: RegisteredTarget, gone: boolean) => void) => void;
    applyList: (objects: StoreObject[]) => void;
    applyChanges: (events: StoreEvent[]) => void;
};

export type TargetRegistryOptions = {
    decode: (object: StoreObject) => RegisteredTarget | string;
    /** Since when the store has been in contact; undefined while it is lost. */
    reachableSince: () => number | undefined;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

/** Live targets are registered again about two seconds after the store's return. */
const lapseGraceMilliseconds = 1_800;

/** An outage of the store lapses all entries; when fewer than this part are missing, their targets have left. */
const lapsedShare = 0.4;

/** Creates an empty registry. */
export const createTargetRegistry = (options: TargetRegistryOptions): TargetRegistry => {
    const { clock, log, signal } = options;
    const targets = new Map<string, RegisteredTarget>();
    const lapsing = new Map<string, () => void>();
    const listeners: Array<(target: RegisteredTarget, gone: boolean) => void> = [];

    const tell = (target: RegisteredTarget, gone: boolean): void => {
        listeners.forEach(listener => listener(target, gone));
    };

    const keep = (name: string): void => {
        lapsing.get(name)?.();
        lapsing.delete(name);
    };

    const drop = (name: string, reason: string): void => {
        keep(name);
        const target = targets.get(name);
        if (target !== undefined) {
            targets.delete(name);
            log.info("target-gone", { target: name, pool: target.pool, incarnation: target.incarnation, reason });
            tell(target, true);
        }
    };

    /** Time for which a missing entry is still trusted. */
    const graceLeft = (): number => {
        const since = options.reachableSince();
        return since === undefined
            ? lapseGraceMilliseconds
            : Math.max(0, since + lapseGraceMilliseconds - clock.now());
    };

    const remove = (name: string, isLapse: boolean): void => {
        const target = targets.get(name);
        if (target === undefined || lapsing.has(name)) {
            return;
        }
        const grace = isLapse && !target.leaving ? graceLeft() : 0;
        if (grace === 0) {
            drop(name, "removed");
            return;
        }
        log.info("target-lapsed", { target: name, pool: target.pool, keptMilliseconds: Math.round(grace) });
        lapsing.set(name, clock.after(grace, () => drop(name, "lapsed"), signal));
    };

    const removeAll = (names: string[]): void => {
        const missing = new Set([...names, ...lapsing.keys()]).size;
        const isLapse = missing >= targets.size * lapsedShare;
        names.forEach(name => remove(name, isLapse));
    };

    const put = (object: StoreObject): void => {
        const target = options.decode(object);
        if (typeof target === "string") {
            log.warn("target-entry-unreadable", { target: object.name, revision: object.revision, finding: target });
            drop(object.name, "unreadable");
            return;
        }
        keep(object.name);
        const before = targets.get(object.name);
        targets.set(object.name, target);
        if (before === undefined || before.incarnation !== target.incarnation || before.leaving !== target.leaving) {
            const { name, pool, incarnation, leaving, zone, address } = target;
            const { revision } = object;
            log.info("target-registered", { target: name, pool, incarnation, leaving, zone, address, revision });
        }
        tell(target, false);
    };

    return {
        get: name => targets.get(name),
        ofPool: pool => [...targets.values()].filter(target => target.pool === pool),
        onChange: listener => listeners.push(listener),
        applyList: objects => {
            const names = new Set(objects.map(object => object.name));
            objects.forEach(put);
            removeAll([...targets.keys()].filter(name => !names.has(name)));
        },
        applyChanges: events => {
            events.filter(event => !event.removed).forEach(event => put(event.object));
            removeAll(events.filter(event => event.removed).map(event => event.object.name));
        },
    };
};
