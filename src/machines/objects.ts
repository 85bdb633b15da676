/**
 * The host's view of the platform's objects. The version of an object only rises, whichever way the object arrives. If
 * a version does not match its schema, this is reported and the last valid version stays in force.
 */
import { type Finding, findingsOf } from "../contracts/finding.ts";
import { type ObjectKind, objectSchemas, type ObjectValue, type StoredObject } from "../contracts/objects.ts";

/** An object in force. */
export type HeldObject<Kind extends ObjectKind> = { name: string; version: number; value: ObjectValue<Kind> };

/** State of an object on this host. */
export type ObjectState = {
    kind: ObjectKind;
    name: string;
    /** Newest accepted version. */
    version: number;
    /** Version in force: the newest, or the last valid one when the newest does not match its schema; 0 for none. */
    inForce: number;
    deleted: boolean;
    /** When the version in force came into force, in milliseconds since the epoch. */
    since: number;
};

export type ObjectView = {
    /**
     * Accepts an object if its version is higher than the held one. True when this changed what is in force. Throws the first
     * error of a listener, once all have been called.
     */
    accept: (item: StoredObject) => boolean;
    /** The object in force; undefined when there is none. */
    get: <Kind extends ObjectKind>(kind: Kind, name: string) => HeldObject<Kind> | undefined;
    /** All objects of the kind that are in force. */
    list: <Kind extends ObjectKind>(kind: Kind) => Array<HeldObject<Kind>>;
    /** Newest accepted version of every object, including deleted ones, as the platform sent it. */
    stored: () => StoredObject[];
    /** Newest accepted version of an object, as the platform sent it. */
    newest: (kind: ObjectKind, name: string) => StoredObject | undefined;
    /** States of all objects, including deleted ones. */
    states: () => ObjectState[];
    /**
     * What is wrong with the objects whose newest version is not in force; each finding names its object as
     * `kind/name`.
     */
    findings: () => Finding[];
    /** Calls back with the name after an object of the kind was changed in force. */
    onChange: (kind: ObjectKind, listener: (name: string) => void) => void;
};

/** Creates an empty view. `wallClock` gives milliseconds since the epoch. */
export const createObjectView = (wallClock: () => number = Date.now): ObjectView => {
    const newest = new Map<string, StoredObject>();
    const states = new Map<string, ObjectState>();
    const inForce = new Map<ObjectKind, Map<string, HeldObject<ObjectKind>>>();
    const findings = new Map<string, Finding[]>();
    const listeners = new Map<ObjectKind, Array<(name: string) => void>>();

    const objectsOf = (kind: ObjectKind): Map<string, HeldObject<ObjectKind>> => {
        const held = inForce.get(kind) ?? new Map<string, HeldObject<ObjectKind>>();
        inForce.set(kind, held);
        return held;
    };

    /** Calls all listeners, and throws the first error of one afterwards. */
    const notify = (kind: ObjectKind, name: string): void => {
        const errors: unknown[] = [];
        for (const listener of listeners.get(kind) ?? []) {
            try {
                listener(name);
            }
            catch (error) {
                errors.push(error);
            }
        }
        if (errors.length > 0) {
            throw errors[0];
        }
    };

    /** Puts a newer version in force if it matches its schema. True when this changed what is in force. */
    const apply = (item: StoredObject): boolean => {
        const id = `${item.kind}/${item.name}`;
        if (item.deleted) {
            findings.delete(id);
            return objectsOf(item.kind).delete(item.name);
        }
        const parsed = objectSchemas[item.kind].safeParse(item.value);
        if (!parsed.success) {
            findings.set(id, findingsOf(id, item.value, parsed.error));
            return false;
        }
        findings.delete(id);
        objectsOf(item.kind).set(item.name, { name: item.name, version: item.version, value: parsed.data });
        return true;
    };

    const updateState = (id: string, item: StoredObject): void => {
        const { kind, name, version, deleted } = item;
        const former = states.get(id);
        if (findings.has(id)) {
            const unchanged = { inForce: former?.inForce ?? 0, since: former?.since ?? wallClock() };
            states.set(id, { kind, name, version, deleted: false, ...unchanged });
            return;
        }
        states.set(id, { kind, name, version, inForce: version, deleted, since: wallClock() });
    };

    return {
        accept: item => {
            const id = `${item.kind}/${item.name}`;
            if ((newest.get(id)?.version ?? 0) >= item.version) {
                return false;
            }
            newest.set(id, item);
            const changed = apply(item);
            updateState(id, item);
            if (changed) {
                notify(item.kind, item.name);
            }
            return changed;
        },
        get: <Kind extends ObjectKind>(kind: Kind, name: string) =>
            objectsOf(kind).get(name) as HeldObject<Kind> | undefined,
        list: <Kind extends ObjectKind>(kind: Kind) => [...objectsOf(kind).values()] as Array<HeldObject<Kind>>,
        stored: () => [...newest.values()],
        newest: (kind, name) => newest.get(`${kind}/${name}`),
        states: () => [...states.values()],
        findings: () => [...findings.values()].flat(),
        onChange: (kind, listener) => {
            const known = listeners.get(kind) ?? [];
            known.push(listener);
            listeners.set(kind, known);
        },
    };
};
