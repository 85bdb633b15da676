/**
 * An in-memory object store on a clock that the test advances, with faults that the test injects.
 */
import type { Clock } from "../../../src/contracts/clock.ts";
import { PlatformError } from "../../../src/contracts/errors.ts";
import type { ObjectStore, StoreEvent, StoreObject, StoreWriteResult } from "../../../src/contracts/objectstore.ts";

export type StoreFault = "none" | "silent" | "refusing" | "answers-lost" | "stale" | "slow";

export type FakeStore = {
    store: ObjectStore;
    /**
     * Fault of this host's calls; `answers-lost` carries out the writes and loses their answers, and `stale` watches hear of
     * nothing and name the position of before. Changes that are read by `slow` watches arrive seconds later.
     */
    fault: StoreFault;
    /** Faults of calls for single kinds, in place of the one above. */
    kindFaults: Map<string, StoreFault>;
    /** Speed of the connection for lists and changes. */
    bytesPerMillisecond: number;
    put: (kind: string, name: string, value: unknown) => void;
    remove: (kind: string, name: string) => void;
    read: (kind: string, name: string) => StoreObject | undefined;
    /** Drops all events, so that a watch from an earlier position results in `history-lost`. */
    forgetHistory: () => void;
    /** Returns another host's access to the same objects, with its own fault. */
    access: () => FakeStore;
};

type Shared = {
    revision: number;
    objects: Map<string, StoreObject>;
    events: Array<{ kind: string; revision: number; event: StoreEvent }>;
    oldest: number;
    waiters: Set<() => void>;
};

/** Time-out of a call to a silent store. */
const timeoutMilliseconds = 800;
const answerMilliseconds = 4;
/** Time that a slow answer takes from the first byte to the last. */
const slowMilliseconds = 4_000;

const keyOf = (kind: string, name: string): string => `${kind}/${name}`;

const rejectWhenAborted = (signal: AbortSignal | undefined): Promise<never> =>
    new Promise((...[, reject]) => {
        signal?.addEventListener("abort", () => reject(new PlatformError("aborted")), { once: true });
    });

const access = (shared: Shared, clock: Clock): FakeStore => {
    const change = (kind: string, name: string, value: unknown, removed: boolean): StoreObject => {
        shared.revision += 1;
        const object = { name, revision: shared.revision, value };
        if (removed) {
            shared.objects.delete(keyOf(kind, name));
        }
        else {
            shared.objects.set(keyOf(kind, name), object);
        }
        shared.events.push({ kind, revision: shared.revision, event: { object, removed } });
        [...shared.waiters].forEach(wake => wake());
        return object;
    };

    const faultOf = (kind: string): StoreFault => fake.kindFaults.get(kind) ?? fake.fault;

    const applyFault = async (kind: string): Promise<void> => {
        if (faultOf(kind) === "silent") {
            await clock.sleep(timeoutMilliseconds);
            throw new PlatformError("no answer in time");
        }
        await clock.sleep(answerMilliseconds);
        if (faultOf(kind) === "refusing") {
            throw new PlatformError("answered 503");
        }
    };

    const answerUnlessLost = async (result: StoreWriteResult): Promise<StoreWriteResult> => {
        if (fake.fault === "answers-lost") {
            await clock.sleep(timeoutMilliseconds);
            throw new PlatformError("no answer in time");
        }
        return result;
    };

    const changesAfter = (kind: string, position: number): StoreEvent[] =>
        shared.events.filter(entry => entry.kind === kind && entry.revision > position).map(entry => entry.event);

    const store: ObjectStore = {
        staleList: async kind => {
            const { objects } = await store.list(kind);
            return objects;
        },
        list: async kind => {
            await applyFault(kind);
            const objects = [...shared.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) =>
                object
            );
            const position = shared.revision;
            await clock.sleep(JSON.stringify(objects).length / fake.bytesPerMillisecond);
            return { objects, position };
        },
        get: async (kind, name) => {
            await applyFault(kind);
            return shared.objects.get(keyOf(kind, name));
        },
        watch: async (kind, position, waitMilliseconds, signal) => {
            await applyFault(kind);
            if (position < shared.oldest) {
                return { result: "history-lost" };
            }
            const endAt = clock.now() + waitMilliseconds;
            while (changesAfter(kind, position).length === 0 && clock.now() < endAt) {
                await new Promise<void>(resolve => {
                    shared.waiters.add(resolve);
                    clock.after(endAt - clock.now(), resolve);
                });
            }
            if (faultOf(kind) === "stale") {
                await clock.sleep(Math.max(0, endAt - clock.now()));
                return { result: "changes", events: [], position, bytes: 0 };
            }
            if (faultOf(kind) !== "none") {
                await applyFault(kind);
            }
            const events = changesAfter(kind, position);
            const slowness = faultOf(kind) === "slow" && events.length > 0 ? slowMilliseconds : 0;
            const bytes = JSON.stringify(events).length;
            const readTo = shared.revision;
            await Promise.race([clock.sleep(bytes / fake.bytesPerMillisecond + slowness), rejectWhenAborted(signal)]);
            return { result: "changes", events, position: readTo, bytes };
        },
        create: async (kind, name, value) => {
            await applyFault(kind);
            const current = shared.objects.get(keyOf(kind, name));
            return answerUnlessLost(
                current === undefined
                    ? { result: "written", object: change(kind, name, value, false) }
                    : { result: "conflict", current },
            );
        },
        replace: async (kind, name, value, revision) => {
            await applyFault(kind);
            const current = shared.objects.get(keyOf(kind, name));
            return answerUnlessLost(
                current?.revision === revision
                    ? { result: "written", object: change(kind, name, value, false) }
                    : { result: "conflict", current },
            );
        },
        remove: async (kind, name, revision) => {
            await applyFault(kind);
            const current = shared.objects.get(keyOf(kind, name));
            const isGone = current === undefined || current.revision === revision;
            if (current !== undefined && isGone) {
                change(kind, name, undefined, true);
            }
            if (fake.fault === "answers-lost") {
                await clock.sleep(timeoutMilliseconds);
                throw new PlatformError("no answer in time");
            }
            return isGone;
        },
        callCounts: () => ({}),
        close: () => undefined,
    };

    const fake: FakeStore = {
        store,
        fault: "none",
        kindFaults: new Map(),
        bytesPerMillisecond: Infinity,
        put: (kind, name, value) => {
            change(kind, name, value, false);
        },
        remove: (kind, name) => {
            change(kind, name, undefined, true);
        },
        read: (kind, name) => shared.objects.get(keyOf(kind, name)),
        forgetHistory: () => {
            shared.oldest = shared.revision;
            shared.events = [];
        },
        access: () => access(shared, clock),
    };
    return fake;
};

/** Creates an empty store. */
export const createFakeStore = (clock: Clock): FakeStore =>
    access({ revision: 1, objects: new Map(), events: [], oldest: 0, waiters: new Set() }, clock);
