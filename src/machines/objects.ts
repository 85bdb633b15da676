/**
 * The host's view of the platform's objects. Each object only goes up in version, whichever path it comes by; one of
 * the wrong shape is reported, and the last good one stays in force.
 */
import { type Finding, findingsOf } from "../contracts/finding.ts";
import { type ObjectKind, objectSchemas, type ObjectValue, type StoredObject } from "../contracts/objects.ts";

/** An object in force. */
export type HeldObject<Kind extends ObjectKind> = { name: string; version: number; value: ObjectValue<Kind> };

export type ObjectView = {
    /** Takes an object if its version is higher than the held one. True when it changed what is in force. */
    accept: (item: StoredObject) => boolean;
    get: <Kind extends ObjectKind>(kind: Kind, name: string) => HeldObject<Kind> | undefined;
    list: <Kind extends ObjectKind>(kind: Kind) => Array<HeldObject<Kind>>;
    /** Newest accepted version of every object, tombstones included, as the platform gave it. */
    stored: () => StoredObject[];
    /** What is wrong with objects that were not taken, by `kind/name`. */
    findings: () => Finding[];
    /** Calls back after an object of the kind changed. */
    onChange: (kind: ObjectKind, listener: (name: string) => void) => void;
};

/** Creates an empty view. */
export const createObjectView = (): ObjectView => {
    const newest = new Map<string, StoredObject>();
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

    return {
        accept: item => {
            const place = `${item.kind}/${item.name}`;
            if ((newest.get(place)?.version ?? 0) >= item.version) {
                return false;
            }
            newest.set(place, item);
            const changed = apply(item);
            if (changed) {
                listeners.get(item.kind)?.forEach(listener => listener(item.name));
            }
            return changed;
        },
        get: <Kind extends ObjectKind>(kind: Kind, name: string) =>
            heldOf(kind).get(name) as HeldObject<Kind> | undefined,
        list: <Kind extends ObjectKind>(kind: Kind) => [...heldOf(kind).values()] as Array<HeldObject<Kind>>,
        stored: () => [...newest.values()],
        findings: () => [...findings.values()].flat(),
        onChange: (kind, listener) => {
            const known = listeners.get(kind) ?? [];
            known.push(listener);
            listeners.set(kind, known);
        },
    };
};
