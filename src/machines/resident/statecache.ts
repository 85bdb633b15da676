/**
 * The newest known state of the store's watched kinds, and which of their objects changed lately. It is filled from the
 * store or from another host, and is read by this host and by those that follow it. A kind's position in the store's
 * history only increases, so a change of the source never leads back to an older state.
 */
import type { StoreEvent, StoreListResult, StoreObject, StoreWatchResult } from "../../contracts/objectstore.ts";
import { eraOf, isLater, laterOf } from "../../contracts/storehistory.ts";
import { createValueBudget, type ValueBudget } from "../../decisions/valuebudget.ts";

/** Changes of a kind after a position that the receiver holds. An object that changed several times is listed once. */
export type StateChanges = { position: number; events: StoreEvent[] };

export type StateCache = {
    /** Returns the position up to which the kind is known; undefined until it was listed. */
    position: (kind: string) => number | undefined;
    /** Takes in all objects of a kind. Ignored when the position is not newer than the known one. */
    applyList: (kind: string, list: StoreListResult) => void;
    /**
     * Takes in changes that follow the known position without a gap. Ignored when the position is not newer than the
     * known one, or of another era.
     */
    applyChanges: (kind: string, changes: StateChanges) => void;
    /** Returns all objects of the kind; undefined until it was listed. */
    list: (kind: string) => StoreListResult | undefined;
    /** Returns the changes after the position; `history-lost` when they are not known as far back. */
    changesAfter: (kind: string, position: number) => StoreWatchResult;
    /** Returns the object as it was before its latest change; undefined when that is not known. */
    previous: (kind: string, name: string) => StoreObject | undefined;
    /** Returns the current object; undefined when there is none. */
    get: (kind: string, name: string) => StoreObject | undefined;
    /** Calls the listener after each advance of a kind's position. Returns a function that removes the listener. */
    onAdvance: (listener: (kind: string) => void) => () => void;
};

type KindState = {
    position: number;
    objects: Map<string, StoreObject>;
    previous: Map<string, StoreObject>;
    /** Names of changed objects with the position at which the change became known, in order. */
    changes: Array<{ position: number; name: string }>;
    /** Lowest position after which all changes are in `changes`. */
    changesFrom: number;
};

/** Changes kept for each kind. Only names are kept, so even a follower that was away for long can continue. */
const maxChanges = 8_192;

/**
 * Creates an empty cache.
 *
 * @param largeValueBytes bytes that large values of a kind may have together; not bounded for other kinds. Beyond that, the
 * largest lose their value.
 */
export const createStateCache = (largeValueBytes: Readonly<Record<string, number>> = {}): StateCache => {
    const kinds = new Map<string, KindState>();
    const budgets = new Map<string, ValueBudget>();

    const resetBudget = (kind: string): void => {
        budgets.set(kind, createValueBudget(largeValueBytes[kind] ?? Infinity));
    };

    const limit = (kind: string, object: StoreObject): void => {
        const drop = (): void => {
            object.value = undefined;
        };
        if (object.bytes === undefined) {
            budgets.get(kind)?.release(object.name);
        }
        else if (budgets.get(kind)?.admit(object.name, object.bytes, drop) === false) {
            drop();
        }
    };
    const listeners = new Set<(kind: string) => void>();

    const put = (state: KindState, object: StoreObject): void => {
        const before = state.objects.get(object.name);
        if (before !== undefined && isLater(before.revision, object.revision)) {
            return;
        }
        if (before !== undefined && isLater(object.revision, before.revision)) {
            state.previous.set(object.name, before);
        }
        state.objects.set(object.name, object);
    };

    const applyEvent = (state: KindState, { object, removed }: StoreEvent, position: number): void => {
        if (removed) {
            state.objects.delete(object.name);
            state.previous.delete(object.name);
        }
        else {
            put(state, object);
        }
        state.changes.push({ position, name: object.name });
    };

    const forgetOldChanges = (state: KindState): void => {
        const surplus = state.changes.length - maxChanges;
        if (surplus > 0) {
            state.changesFrom = state.changes[surplus - 1].position;
            state.changes.splice(0, surplus);
        }
    };

    const toEvent = (state: KindState, name: string): StoreEvent => {
        const object = state.objects.get(name);
        return object === undefined
            ? { object: { name, revision: state.position, value: undefined }, removed: true }
            : { object, removed: false };
    };

    return {
        position: kind => kinds.get(kind)?.position,
        applyList: (kind, { objects, position }) => {
            const before = kinds.get(kind);
            if (!isLater(position, before?.position)) {
                return;
            }
            resetBudget(kind);
            objects.forEach(object => limit(kind, object));
            kinds.set(kind, {
                position,
                objects: new Map(objects.map(object => [object.name, object])),
                previous: new Map(),
                changes: [],
                changesFrom: position,
            });
            listeners.forEach(listener => listener(kind));
        },
        applyChanges: (kind, { events, position }) => {
            const state = kinds.get(kind);
            if (
                state === undefined || !isLater(position, state.position)
                || eraOf(position) !== eraOf(state.position)
            ) {
                return;
            }
            events.forEach(event => applyEvent(state, event, position));
            for (const { object, removed } of events) {
                if (removed) {
                    budgets.get(kind)?.release(object.name);
                }
                else if (state.objects.get(object.name) === object) {
                    limit(kind, object);
                }
            }
            state.position = position;
            forgetOldChanges(state);
            listeners.forEach(listener => listener(kind));
        },
        list: kind => {
            const state = kinds.get(kind);
            return state && { objects: [...state.objects.values()], position: state.position };
        },
        changesAfter: (kind, position) => {
            const state = kinds.get(kind);
            if (state === undefined || isLater(state.changesFrom, position)) {
                return { result: "history-lost" };
            }
            const names = new Set<string>();
            for (let index = state.changes.length - 1; index >= 0; index -= 1) {
                if (!isLater(state.changes[index].position, position)) {
                    break;
                }
                names.add(state.changes[index].name);
            }
            const events = [...names].reverse().map(name => toEvent(state, name));
            return { result: "changes", events, position: laterOf(position, state.position), bytes: 0 };
        },
        previous: (kind, name) => kinds.get(kind)?.previous.get(name),
        get: (kind, name) => kinds.get(kind)?.objects.get(name),
        onAdvance: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
};
