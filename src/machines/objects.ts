/**
 * The host's view of the platform's objects. Each object only goes up in version, whichever path it comes by; one of
 * the wrong shape is reported, and the last good one stays in force.
 */
import { type Finding, findingsOf } from "../contracts/finding.ts";
import { type ObjectKind, objectSchemas, type ObjectValue, type StoredObject } from "../contracts/objects.ts";

/** An object in force. */
export type HeldObject<Kind extends ObjectKind> = { name: string; version: number; value: ObjectValue<Kind> };

/** How an object stands on this host. */
export type ObjectState = {
    kind: ObjectKind;
    name: string;
    /** Newest version that was accepted. */
    version: number;
    /** Version that is in force: the newest, or the last good one when the newest has the wrong shape; 0 for none. */
    inForce: number;
    deleted: boolean;
    /** When the version in force came into force, in milliseconds since the epoch. */
    since: number;
};

export type ObjectView = {
    /** Takes an object if its version is higher than the held one. True when it changed what is in force. */
    accept: (item: StoredObject) => boolean;
    get: <Kind extends ObjectKind>(kind: Kind, name: string) => HeldObject<Kind> | undefined;
    list: <Kind extends ObjectKind>(kind: Kind) => Array<HeldObject<Kind>>;
    /** Newest accepted version of every object, tombstones included, as the platform gave it. */
    stored: () => StoredObject[];
    /** Newest accepted version of an object, as the platform gave it. */
    newest: (kind: ObjectKind, name: string) => StoredObject | undefined;
    states: () => ObjectState[];
    /** What is wrong with objects that were not taken, by `kind/name`. */
    findings: () => Finding[];
    /** Calls back after an object of the kind changed. */
    onChange: (kind: ObjectKind, listener: (name: string) => void) => void;
};

/** Creates an empty view. `wallClock` gives milliseconds since the epoch. */
export const createObjectView = (wallClock: () => number = Date.now): ObjectView => {
    const newest = new Map<string, StoredObject>();
    const standings = new Map<string, ObjectState>();
    const inForce = new Map<ObjectKind, Map<string, HeldObject<ObjectKind>>>();
    const findings = new Map<string, Finding[]>();
    const listeners = new Map<ObjectKind, Array<(name: string) => void>>();

    const heldOf = (kind: ObjectKind): Map<string, HeldObject<ObjectKind>> => {
        const held = inForce.get(kind) ?? new Map<string, HeldObject<ObjectKind>>();
        inForce.set(kind, held);
        return held;
    };

    const apply = (item: StoredObject): boolean => {
        const place = `${item.kind}/${item.name}`;
        if (item.deleted) {
            findings.delete(place);
            return heldOf(item.kind).delete(item.name);
        }
        const parsed = objectSchemas[item.kind].safeParse(item.value);
        if (!parsed.success) {
            findings.set(place, findingsOf(place, item.value, parsed.error));
            return false;
        }
        findings.delete(place);
        heldOf(item.kind).set(item.name, { name: item.name, version: item.version, value: parsed.data });
        return true;
    };

    const noteStanding = (place: string, item: StoredObject): void => {
        const { kind, name, version, deleted } = item;
        const former = standings.get(place);
        if (findings.has(place)) {
            const unchanged = { inForce: former?.inForce ?? 0, since: former?.since ?? wallClock() };
            standings.set(place, { kind, name, version, deleted: false, ...unchanged });
            return;
        }
        standings.set(place, { kind, name, version, inForce: version, deleted, since: wallClock() });
    };

    return {
        accept: item => {
            const place = `${item.kind}/${item.name}`;
            if ((newest.get(place)?.version ?? 0) >= item.version) {
                return false;
            }
            newest.set(place, item);
            const changed = apply(item);
            noteStanding(place, item);
            if (changed) {
                listeners.get(item.kind)?.forEach(listener => listener(item.name));
            }
            return changed;
        },
        get: <Kind extends ObjectKind>(kind: Kind, name: string) =>
            heldOf(kind).get(name) as HeldObject<Kind> | undefined,
        list: <Kind extends ObjectKind>(kind: Kind) => [...heldOf(kind).values()] as Array<HeldObject<Kind>>,
        stored: () => [...newest.values()],
        newest: (kind, name) => newest.get(`${kind}/${name}`),
        states: () => [...standings.values()],
        findings: () => [...findings.values()].flat(),
        onChange: (kind, listener) => {
            const known = listeners.get(kind) ?? [];
            known.push(listener);
            listeners.set(kind, known);
        },
    };
};
