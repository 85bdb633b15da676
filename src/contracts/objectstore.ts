/**
 * The store of a platform that keeps objects by kind and name, each with the revision of its last change. Reads are
 * linearizable unless they say otherwise; nothing that was acknowledged is lost.
 */

export type StoreObject = {
    name: string;
    /** Revision of the object's last change; a conditional write names it. */
    revision: number;
    value: unknown;
};

export type StoreListResult = { objects: StoreObject[]; position: number };

export type StoreEvent = { object: StoreObject; removed: boolean };

/**
 * `history-lost` asks for a new list: the changes since the position are forgotten. An object that changed several times
 * has an event for each; `bytes` is the size of all of them.
 */
export type StoreWatchResult =
    | { result: "changes"; events: StoreEvent[]; position: number; bytes: number }
    | { result: "history-lost" };

/** `conflict` carries the object as it is; undefined when there is none. */
export type StoreWriteResult =
    | { result: "written"; object: StoreObject }
    | { result: "conflict"; current: StoreObject | undefined };

/** Each call may throw a `PlatformError`; after one a write may have taken effect, or may do so later. */
export type ObjectStore = {
    list: (kind: string, signal?: AbortSignal) => Promise<StoreListResult>;
    /** All objects of the kind, maybe seconds old: a far cheaper call. */
    staleList: (kind: string, signal?: AbortSignal) => Promise<StoreObject[]>;
    get: (kind: string, name: string, signal?: AbortSignal) => Promise<StoreObject | undefined>;
    /** Waits for changes after the position, at most the given time. What it tells may be seconds old. */
    watch: (
        kind: string,
        position: number,
        waitMilliseconds: number,
        signal?: AbortSignal,
    ) => Promise<StoreWatchResult>;
    create: (kind: string, name: string, value: unknown, signal?: AbortSignal) => Promise<StoreWriteResult>;
    /** Writes only while the object has the revision. */
    replace: (
        kind: string,
        name: string,
        value: unknown,
        revision: number,
        signal?: AbortSignal,
    ) => Promise<StoreWriteResult>;
    /** Calls made so far, by name. */
    callCounts: () => Record<string, number>;
    close: () => void;
};
