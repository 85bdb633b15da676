/**
 * Lists and changes of the state, from whichever source this host has. A call that waits goes on with the next source
 * when the source changes.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { ObjectStore, StoreWatchResult } from "../../contracts/objectstore.ts";
import { eraOf, isLater } from "../../contracts/storehistory.ts";
import type { CurrentSource } from "./currentsource.ts";
import type { StateCache } from "./statecache.ts";

/** How the changes of a kind are read from the store. */
export type ReadPace = {
    /** Pause after an answer with changes, so that changes in quick succession cost one call. */
    pauseMilliseconds: number;
    /** Longest wait of one watch call. */
    maxWaitMilliseconds: number;
    /**
     * A host to which the store has not confirmed the kind for so long is not current: it may be cut off without an error, or
     * its calls be answered slowly. Longer than the wait by the time in which a lost answer is found and asked for again.
     */
    maxAgeMilliseconds: number;
};

export type StateReading = Pick<ObjectStore, "list" | "watch"> & {
    /** Ends all waits, since the source has changed. */
    wakeAll: () => void;
};

export type StateReadingOptions = {
    current: Pick<CurrentSource, "get" | "epoch" | "ages" | "callStore">;
    store: Pick<ObjectStore, "list" | "watch" | "era">;
    cache: StateCache;
    /** The kinds that are read, with their pace. */
    paces: Readonly<Record<string, ReadPace>>;
    clock: Clock;
};

/** Longest wait for a source until a list looks again. */
const maxListWaitMilliseconds = 5_000;

/**
 * Time as of which a watch's answer tells the state. How long the answer was on its way is not known, so that it counts from
 * the call, and from the end of the wait when the store had nothing to tell until then.
 */
export const watchConfirmedAt = (answer: StoreWatchResult, calledAt: number, waitMilliseconds: number): number => {
    if (answer.result === "history-lost") {
        return -Infinity;
    }
    return answer.events.length === 0 ? calledAt + waitMilliseconds : calledAt;
};

/** Creates the reading. */
export const createStateReading = ({ current, store, cache, paces, clock }: StateReadingOptions): StateReading => {
    const pausedUntil = new Map<string, number>();
    /** What waits for a change of the source or an advance of a kind. */
    const changeWaiters = new Map<() => void, string>();

    /** Wakes those that wait for the kind, or all. */
    const wakeWaiters = (kind?: string): void => {
        const waiting = [...changeWaiters].filter(([, waited]) => kind === undefined || kind === waited);
        waiting.forEach(([wake]) => wake());
    };

    /** Resolves at the next change of the source or advance of the kind, at the latest after the time. */
    const waitForChange = (kind: string, milliseconds: number, callSignal: AbortSignal | undefined): Promise<void> =>
        new Promise(resolve => {
            const finish = (): void => {
                cancel();
                changeWaiters.delete(finish);
                callSignal?.removeEventListener("abort", finish);
                resolve();
            };
            const cancel = clock.after(milliseconds, finish);
            changeWaiters.set(finish, kind);
            callSignal?.addEventListener("abort", finish, { once: true });
        });
    cache.onAdvance(wakeWaiters);

    const list: ObjectStore["list"] = async (kind, callSignal) => {
        for (;;) {
            const epoch = current.epoch();
            const { kind: from } = current.get();
            const known = cache.list(kind);
            const isOutdated = known !== undefined && isLater(store.era(), eraOf(known.position));
            if (from === "reader" && known !== undefined && !isOutdated) {
                return known;
            }
            if (from === "store") {
                try {
                    const listed = await current.callStore(
                        kind,
                        epochSignal => store.list(kind, epochSignal),
                        (...[, calledAt]) => calledAt,
                        callSignal,
                    );
                    cache.applyList(kind, listed);
                    return cache.list(kind) ?? listed;
                }
                catch (error) {
                    if (!epoch.aborted || callSignal?.aborted === true) {
                        throw error;
                    }
                }
            }
            if (callSignal?.aborted === true) {
                throw new Error("The list was aborted.");
            }
            if (current.get().kind !== "store") {
                await waitForChange(kind, maxListWaitMilliseconds, callSignal);
            }
        }
    };

    const watchStore = async (
        kind: string,
        position: number,
        waitMilliseconds: number,
        callSignal: AbortSignal | undefined,
    ): Promise<StoreWatchResult> => {
        const { pauseMilliseconds, maxWaitMilliseconds } = paces[kind];
        const pause = (pausedUntil.get(kind) ?? 0) - clock.now();
        if (pause > 0) {
            await clock.sleep(pause, callSignal);
        }
        // A kind is confirmed at the end of a wait, counted from when it was confirmed before.
        const age = current.ages()[kind] ?? maxWaitMilliseconds;
        const wait = Math.min(waitMilliseconds, Math.max(0, maxWaitMilliseconds - age));
        const result = await current.callStore(
            kind,
            epochSignal => store.watch(kind, position, wait, epochSignal),
            (answer, calledAt) => watchConfirmedAt(answer, calledAt, wait),
            callSignal,
        );
        if (result.result === "changes") {
            if (result.events.length > 0) {
                pausedUntil.set(kind, clock.now() + pauseMilliseconds);
            }
            cache.applyChanges(kind, result);
        }
        return result;
    };

    const watch: ObjectStore["watch"] = async (kind, position, waitMilliseconds, callSignal) => {
        const endAt = clock.now() + waitMilliseconds;
        for (;;) {
            const known = cache.position(kind);
            if (known !== undefined && isLater(known, position)) {
                return cache.changesAfter(kind, position);
            }
            const left = endAt - clock.now();
            if (current.get().kind === "store") {
                const epoch = current.epoch();
                try {
                    return await watchStore(kind, position, Math.max(0, left), callSignal);
                }
                catch (error) {
                    if (!epoch.aborted || callSignal?.aborted === true) {
                        throw error;
                    }
                    continue;
                }
            }
            if (left <= 0 || callSignal?.aborted === true) {
                return { result: "changes", events: [], position, bytes: 0 };
            }
            await waitForChange(kind, left, callSignal);
        }
    };

    return { list, watch, wakeAll: wakeWaiters };
};
