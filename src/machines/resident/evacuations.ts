/**
 * The evacuated zones, as the store names them, and what they mean for targets: those of an evacuated zone get no
 * requests and own no keys until the zone's object is gone. An object that is marked as being deleted counts until then.
 * While the store is unavailable, the known zones stay evacuated; when it comes back from an older copy, its list applies.
 * Evacuated targets are not leaving ones: nothing here is kept about a target, only about its zone.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { StoreEvent, StoreObject } from "../../contracts/objectstore.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";

export type Evacuations = {
    /** Takes in the list of all objects that name evacuated zones, as of the position. */
    applyList: (objects: StoreObject[], position: number) => void;
    /** Takes in changes of these objects up to the position. */
    applyChanges: (events: StoreEvent[], position: number) => void;
    /**
     * Returns the target with the flag that tells whether its zone is evacuated. Before the first list all zones count as
     * evacuated, since the host can not tell. A target of a zone that was restored counts as cold for as long as after a
     * start, since it may have become cold shortly before.
     */
    mark: (target: RegisteredTarget) => RegisteredTarget;
    /** Adds a listener that is called after the evacuated zones have changed or were read for the first time. */
    onChange: (listener: () => void) => void;
};

export type EvacuationsOptions = {
    /** Returns the number of registered targets in the zone. */
    countTargets: (zone: string) => number;
    /** Returns the time for which targets of the pool are cold after a start; 0 when the table does not limit cold targets. */
    coldMilliseconds: (pool: string) => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

/** Creates the zones, unknown at first. */
export const createEvacuations = (options: EvacuationsOptions): Evacuations => {
    const { clock, log, metrics } = options;
    /** Evacuated zones; undefined before the first list. */
    let zones: ReadonlySet<string> | undefined;
    /** When zones with targets were restored. */
    const restoredAt = new Map<string, number>();
    const listeners: Array<() => void> = [];

    const isEvacuated = (zone: string): boolean => zones === undefined || zones.has(zone);

    const recordEvacuated = (zone: string, revision: number): void => {
        restoredAt.delete(zone);
        log.info("zone-evacuated", { zone, revision, targets: options.countTargets(zone) });
    };

    const recordRestored = (zone: string, revision: number): void => {
        const targets = options.countTargets(zone);
        if (targets > 0) {
            restoredAt.set(zone, clock.now());
        }
        log.info("zone-restored", { zone, revision, targets });
    };

    /** Replaces the zones. The revisions are those of the new zones' objects, and the position that of the state. */
    const replace = (next: ReadonlySet<string>, revisions: ReadonlyMap<string, number>, position: number): void => {
        const before = zones;
        zones = next;
        const added = [...next].filter(zone => before?.has(zone) !== true);
        const removed = [...before ?? []].filter(zone => !next.has(zone));
        added.forEach(zone => recordEvacuated(zone, revisions.get(zone) ?? position));
        removed.forEach(zone => recordRestored(zone, position));
        metrics.gauge("zones-evacuated", next.size);
        if (before === undefined || added.length + removed.length > 0) {
            listeners.forEach(listener => listener());
        }
    };

    const revisionsOf = (objects: StoreObject[]): Map<string, number> =>
        new Map(objects.map(({ name, revision }) => [name, revision]));

    /** Returns the time for which the target still counts as cold since its zone was restored. */
    const coldLeft = ({ zone, pool }: RegisteredTarget): number => {
        const restored = restoredAt.get(zone);
        return restored === undefined ? 0 : Math.max(0, restored + options.coldMilliseconds(pool) - clock.now());
    };

    return {
        applyList: (objects, position) => {
            const revisions = revisionsOf(objects);
            replace(new Set(revisions.keys()), revisions, position);
        },
        applyChanges: (events, position) => {
            const next = new Set(zones);
            events.forEach(({ object, removed }) => removed ? next.delete(object.name) : next.add(object.name));
            replace(next, revisionsOf(events.map(({ object }) => object)), position);
        },
        mark: target => ({
            ...target,
            evacuated: isEvacuated(target.zone),
            warmupMilliseconds: Math.max(target.warmupMilliseconds, coldLeft(target)),
        }),
        onChange: listener => {
            listeners.push(listener);
        },
    };
};
