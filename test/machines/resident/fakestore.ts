/**
 * An in-memory object store on a clock that the test advances, with faults that the test injects. It can come back from an
 * older copy; each access learns of the new era as the client of a real store does, from its next answer.
 */
import type { Clock } from "../../../src/contracts/clock.ts";
import { PlatformError } from "../../../src/contracts/errors.ts";
import type { ObjectStore, StoreObject, StoreWriteResult } from "../../../src/contracts/objectstore.ts";
import { eraOf, isLater, laterOf, placeOf, revisionOf } from "../../../src/contracts/storehistory.ts";

export type StoreFault = "none" | "silent" | "refusing" | "answers-lost" | "writes-late" | "stale" | "slow";

/** An object under the revision of the era; its place follows from the era of the answer that carries it. */
type Stored = StoreObject;
export type FakeCopy = { revision: number; objects: Map<string, Stored>; events: Change[]; oldest: number };

export type FakeStore = {
    store: ObjectStore;
    /**
     * Fault of this host's calls. `answers-lost` carries out the writes and loses their answers; `writes-late` carries them
     * out after `lateMilliseconds`, if their condition holds then, and loses their answers. `stale` watches hear of nothing and
     * name the position of before. Changes that are read by `slow` watches arrive seconds later.
     */
    fault: StoreFault;
    /** Faults of calls for single kinds, in place of the one above. */
    kindFaults: Map<string, StoreFault>;
    lateMilliseconds: number;
    /** Speed of the connection for lists and changes. */
    bytesPerMillisecond: number;
    put: (kind: string, name: string, value: unknown) => void;
    remove: (kind: string, name: string) => void;
    read: (kind: string, name: string) => StoreObject | undefined;
    /** Drops all events, so that a watch from an earlier position results in `history-lost`. */
    forgetHistory: () => void;
    copy: () => FakeCopy;
    /**
     * Resets all calls of all accesses and begins the next era with what the copy holds. Late writes are carried out in it
     * if an object has their revision there.
     */
    returnFrom: (copy: FakeCopy) => void;
    /** Returns another host's access to the same objects, with its own fault and its own knowledge of the era. */
    access: () => FakeStore;
};

type Change = { kind: string; revision: number; object: Stored; removed: boolean };
type Shared = FakeCopy & { era: number; waiters: Set<() => void> };
type Condition = (current: Stored | undefined) => boolean;

/** Time-out of a call to a silent store. */
const timeoutMilliseconds = 800;
const answerMilliseconds = 4;
/** Time that a slow answer takes from the first byte to the last. */
const slowMilliseconds = 4_000;

const keyOf = (kind: string, name: string): string => `${kind}/${name}`;

const copyOf = ({ revision, objects, events, oldest }: FakeCopy): FakeCopy => ({
    revision,
    objects: new Map(objects),
    events: [...events],
    oldest,
});

/** Rejects as soon as the signal aborts. */
const unlessAborted = (work: Promise<void>, signal: AbortSignal | undefined): Promise<void> =>
    new Promise((resolve, reject) => {
        const abort = (): void => reject(new PlatformError("aborted"));
        signal?.addEventListener("abort", abort, { once: true });
        void work.then(() => {
            signal?.removeEventListener("abort", abort);
            resolve();
        });
    });

const access = (shared: Shared, clock: Clock): FakeStore => {
    const listeners: Array<(era: number) => void> = [];
    let knownEra: number | undefined;
    const wakeAll = (): void => [...shared.waiters].forEach(wake => wake());

    const learnEra = (told: number): void => {
        const before = knownEra ?? 0;
        knownEra = laterOf(before, told);
        if (isLater(knownEra, before)) {
            wakeAll();
            listeners.forEach(listener => listener(told));
        }
    };

    const change = (kind: string, name: string, value: unknown, removed: boolean): Stored => {
        shared.revision += 1;
        const object = { name, revision: shared.revision, value };
        if (removed) {
            shared.objects.delete(keyOf(kind, name));
        }
        else {
            shared.objects.set(keyOf(kind, name), object);
        }
        shared.events.push({ kind, revision: shared.revision, object, removed });
        wakeAll();
        return object;
    };

    const placed = (object: Stored): StoreObject => ({
        ...object,
        revision: placeOf(shared.era, object.revision),
    });

    /** Throws when connections were reset since the call began in the era. */
    const checkConnected = (era: number): void => {
        if (shared.era !== era) {
            throw new PlatformError("connection reset");
        }
    };

    const faultOf = (kind: string): StoreFault => fake.kindFaults.get(kind) ?? fake.fault;

    /** Takes the time of an answer, with whose arrival the era becomes known. */
    const applyFault = async (kind: string): Promise<void> => {
        const { era } = shared;
        if (faultOf(kind) === "silent") {
            await clock.sleep(timeoutMilliseconds);
            throw new PlatformError("no answer in time");
        }
        await clock.sleep(answerMilliseconds);
        checkConnected(era);
        if (faultOf(kind) === "refusing") {
            learnEra(era);
            throw new PlatformError("answered 503");
        }
    };

    /** Whoever knows of a later era takes no answer of this one. */
    const learnFromAnswer = (): void => {
        if (isLater(knownEra ?? 0, shared.era)) {
            throw new PlatformError("answer of an earlier era");
        }
        learnEra(shared.era);
    };

    /**
     * Carries out a write if its condition holds, and answers with what `write` returns. A write that was sent in an earlier
     * era is a conflict, whether it was carried out or not.
     */
    const applyWrite = async (
        kind: string,
        name: string,
        holds: Condition,
        write: () => Stored,
    ): Promise<StoreWriteResult> => {
        const sentIn = knownEra;
        await applyFault(kind);
        if (faultOf(kind) === "writes-late") {
            clock.after(fake.lateMilliseconds, () => {
                if (holds(shared.objects.get(keyOf(kind, name)))) {
                    write();
                }
            });
            await clock.sleep(timeoutMilliseconds);
            throw new PlatformError("no answer in time");
        }
        const before = shared.objects.get(keyOf(kind, name));
        const written = holds(before) ? write() : undefined;
        const current = fake.read(kind, name);
        const isOtherEra = sentIn !== undefined && sentIn !== shared.era;
        const result: StoreWriteResult = written === undefined || isOtherEra
            ? { result: "conflict", current }
            : { result: "written", object: placed(written) };
        if (faultOf(kind) === "answers-lost") {
            await clock.sleep(timeoutMilliseconds);
            throw new PlatformError("no answer in time");
        }
        learnFromAnswer();
        return result;
    };

    /**
     * The store sees only the revision of a place. Whoever knows of a later era than that of the place doesn't send it, so
     * that nothing matches.
     */
    const matches = (place: number): Condition => {
        learnEra(eraOf(place));
        const isSent = eraOf(place) === knownEra;
        return current => isSent && current?.revision === revisionOf(place);
    };

    const changesAfter = (kind: string, revision: number): Change[] =>
        shared.events.filter(entry => entry.kind === kind && entry.revision > revision);

    const store: ObjectStore = {
        era: () => knownEra ?? 0,
        learnEra,
        onEra: listener => {
            listeners.push(listener);
        },
        staleList: async kind => {
            const { objects } = await store.list(kind);
            return objects;
        },
        list: async kind => {
            await applyFault(kind);
            const { era } = shared;
            const objects = [...shared.objects].filter(([key]) => key.startsWith(`${kind}/`))
                .map(([, object]) => placed(object));
            const position = placeOf(era, shared.revision);
            await clock.sleep(JSON.stringify(objects).length / fake.bytesPerMillisecond);
            checkConnected(era);
            learnFromAnswer();
            return { objects, position };
        },
        get: async (kind, name) => {
            await applyFault(kind);
            learnFromAnswer();
            return fake.read(kind, name);
        },
        watch: async (kind, position, waitMilliseconds, signal) => {
            learnEra(eraOf(position));
            const sentIn = knownEra;
            await applyFault(kind);
            const { era } = shared;
            const from = revisionOf(position);
            if (eraOf(position) !== knownEra || from < shared.oldest || from > shared.revision) {
                learnFromAnswer();
                return { result: "history-lost" };
            }
            const endAt = clock.now() + waitMilliseconds;
            const isWaiting = (): boolean => shared.era === era && knownEra === sentIn && clock.now() < endAt;
            while (isWaiting() && changesAfter(kind, from).length === 0) {
                await new Promise<void>(resolve => {
                    shared.waiters.add(resolve);
                    clock.after(endAt - clock.now(), resolve);
                });
            }
            if (knownEra !== sentIn) {
                return { result: "history-lost" };
            }
            checkConnected(era);
            if (faultOf(kind) === "stale") {
                await clock.sleep(Math.max(0, endAt - clock.now()));
                return { result: "changes", events: [], position, bytes: 0 };
            }
            if (faultOf(kind) !== "none") {
                await applyFault(kind);
            }
            const events = changesAfter(kind, from).map(({ object, removed }) => ({
                object: placed(object),
                removed,
            }));
            const bytes = JSON.stringify(events).length;
            const readTo = placeOf(era, shared.revision);
            const slowness = faultOf(kind) === "slow" && events.length > 0 ? slowMilliseconds : 0;
            await unlessAborted(clock.sleep(bytes / fake.bytesPerMillisecond + slowness), signal);
            checkConnected(era);
            learnFromAnswer();
            if (eraOf(position) !== era) {
                return { result: "history-lost" };
            }
            return { result: "changes", events, position: readTo, bytes };
        },
        create: (kind, name, value) =>
            applyWrite(kind, name, current => current === undefined, () => change(kind, name, value, false)),
        replace: (kind, name, value, place) =>
            applyWrite(kind, name, matches(place), () => change(kind, name, value, false)),
        remove: async (kind, name, place) => {
            const result = await applyWrite(kind, name, matches(place), () => change(kind, name, undefined, true));
            return result.result === "written" || result.current === undefined;
        },
        callCounts: () => ({}),
        close: () => undefined,
    };

    const fake: FakeStore = {
        store,
        fault: "none",
        lateMilliseconds: 2_000,
        kindFaults: new Map(),
        bytesPerMillisecond: Infinity,
        put: (kind, name, value) => {
            change(kind, name, value, false);
        },
        remove: (kind, name) => {
            change(kind, name, undefined, true);
        },
        read: (kind, name) => {
            const object = shared.objects.get(keyOf(kind, name));
            return object && placed(object);
        },
        forgetHistory: () => {
            shared.oldest = shared.revision;
            shared.events = [];
        },
        copy: () => copyOf(shared),
        returnFrom: copy => {
            Object.assign(shared, copyOf(copy));
            shared.era += 1;
            wakeAll();
        },
        access: () => access(shared, clock),
    };
    return fake;
};

/** Creates an empty store, which tells no eras if it is in era 0. */
export const createFakeStore = (clock: Clock, era = 0): FakeStore =>
    access({ era, revision: 1, objects: new Map(), events: [], oldest: 0, waiters: new Set() }, clock);
