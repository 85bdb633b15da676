/**
 * Where this host reads the store's state from: a reader of its zone, or the store itself. Readers read the store for
 * the others, so the number of calls hardly grows with the number of hosts, and a host that the store refuses still
 * learns of changes. A host that loses its reader goes to the next one, and to the store when it finds none in time.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreWatchResult } from "../../contracts/objectstore.ts";
import type { LoadsMessage, ValuePatch } from "../../contracts/statemessages.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerDialer } from "../../links/peers.ts";
import type { ReaderCandidate, ReaderChoice } from "../../zones/readers.ts";
import { keepRunning } from "../longtasks.ts";
import type { StateCache } from "./statecache.ts";
import { createStateFollow, type StateFollow } from "./statefollow.ts";

export type StateSource = Pick<ObjectStore, "list" | "watch"> & {
    /** Whether this host reads the store itself and the store has answered lately. */
    isCurrent: () => boolean;
    /** Name of the reader that this host follows; `store` while it reads the store; undefined while undecided. */
    name: () => string | undefined;
    /** Makes the host choose its source anew, since it learned of other hosts. */
    reconsider: () => void;
    /** Sends loads to the reader; false if this host follows none. */
    sendLoads: (message: LoadsMessage) => boolean;
};

/** How the changes of a kind are read from the store. */
export type ReadPace = {
    /** Pause after an answer with changes, so that changes in quick succession cost one call. */
    pauseMilliseconds: number;
    /** Longest wait of one watch call. */
    maxWaitMilliseconds: number;
};

export type StateSourceOptions = {
    /** Name of this host. */
    self: string;
    store: ObjectStore;
    cache: StateCache;
    /** The kinds that are read, with their pace. */
    paces: Readonly<Record<string, ReadPace>>;
    patches: Readonly<Record<string, ValuePatch>>;
    /** Resolves when this host knows the other hosts, or cannot learn of them. */
    hostsKnown: Promise<unknown>;
    /** Chooses whom this host may follow among the hosts known now. */
    choose: () => ReaderChoice;
    dial: PeerDialer;
    /** Called when this host became current as a reader or stopped being so, and when it reads from another source. */
    onChange: () => void;
    /** Called with the loads that the reader told. */
    onLoads: (message: LoadsMessage) => void;
    /** Called when this host reads from another source, before anything comes from it. */
    onSourceChange: () => void;
    clock: Clock;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** A host whose store has not answered for longer is not current: it may be cut off without an error. */
const maxStoreSilenceMilliseconds = 1_200;
/** One failed call may be chance, for example a connection that was reset. */
const failuresUntilRefused = 2;
/** Time without a reader until the host reads the store itself. */
const readerSearchMilliseconds = 400;
/** Time for which a starting host waits for a reader that starts too and is not current yet. */
const startingReaderMilliseconds = 1_500;
/** Time given to one candidate to say whether it is current. */
const candidateMilliseconds = 900;
/** A candidate that takes longer does not keep the next ones from being asked. */
const slowCandidateMilliseconds = 100;
/** Interval of the search for a better source, and of the checks of whether the store serves a refused reader again. */
const searchMilliseconds = 5_000;
const refusedSearchMilliseconds = 1_000;
const searchSpread = 0.4;
/** A candidate that could not be reached is not tried again for this time. */
const unreachableMilliseconds = 10_000;

const storeName = "store";

type Source = { kind: "undecided" } | { kind: "store" } | { kind: "reader"; follow: StateFollow };

/** Creates the source and starts the search for a reader. */
export const createStateSource = (options: StateSourceOptions): StateSource => {
    const { store, cache, paces, clock, log, metrics, random, signal } = options;
    const kinds = Object.keys(paces);
    let source: Source = { kind: "undecided" };
    /** Aborted when the source changes, so that no call to the store is waited for in vain. */
    let epoch = new AbortController();
    let storeAnsweredAt = clock.now();
    /** Whether the store has answered since this host reads from it. */
    let isStoreConfirmed = false;
    let failures = 0;
    let wasCurrent = false;
    const follows = new Map<string, StateFollow>();
    const unreachableUntil = new Map<string, number>();
    const pausedUntil = new Map<string, number>();
    let awaitReaderUntil = -Infinity;
    let isSearchWanted = false;
    let endSearchPause: () => void = () => undefined;
    /** What waits for a change of the source or an advance of a kind. */
    const changeWaiters = new Map<() => void, string>();

    const wakeSearch = (): void => {
        isSearchWanted = true;
        endSearchPause();
    };

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

    const nameOf = (of: Source): string | undefined =>
        of.kind === "reader" ? of.follow.reader.name : of.kind === "store" ? storeName : undefined;

    const storeServes = (): boolean =>
        failures < failuresUntilRefused
        && (source.kind !== "store" || clock.now() - storeAnsweredAt < maxStoreSilenceMilliseconds);

    const isCurrent = (): boolean =>
        source.kind === "store" && isStoreConfirmed && !signal.aborted && storeServes()
        && kinds.every(kind => cache.position(kind) !== undefined);

    const reportIfChanged = (): void => {
        if (isCurrent() !== wasCurrent) {
            wasCurrent = !wasCurrent;
            options.onChange();
        }
    };

    const setSource = (next: Source, reason: string): void => {
        const before = nameOf(source);
        if (nameOf(next) === before) {
            return;
        }
        source = next;
        epoch.abort();
        epoch = new AbortController();
        isStoreConfirmed = false;
        storeAnsweredAt = clock.now();
        log.info("state-source-changed", { before, source: nameOf(next), reason, failures });
        metrics.count("state-source-changes", { to: next.kind });
        options.onSourceChange();
        wakeWaiters();
        wasCurrent = isCurrent();
        options.onChange();
    };

    /**
     * Calls the store and records whether it served this host. The call is aborted with the signal, and when the source
     * changes.
     */
    const callStore = async <Result>(
        call: (callSignal: AbortSignal) => Promise<Result>,
        callSignal: AbortSignal | undefined,
    ): Promise<Result> => {
        const current = epoch.signal;
        const aborter = new AbortController();
        const abort = (): void => aborter.abort();
        current.addEventListener("abort", abort, { once: true });
        callSignal?.addEventListener("abort", abort, { once: true });
        try {
            const result = await call(aborter.signal);
            if (!current.aborted) {
                storeAnsweredAt = clock.now();
                isStoreConfirmed = true;
                failures = 0;
            }
            return result;
        }
        catch (error) {
            if (!aborter.signal.aborted) {
                failures += 1;
                wakeSearch();
            }
            throw error;
        }
        finally {
            current.removeEventListener("abort", abort);
            callSignal?.removeEventListener("abort", abort);
            reportIfChanged();
        }
    };

    const list: ObjectStore["list"] = async (kind, callSignal) => {
        for (;;) {
            const current = epoch;
            const known = cache.list(kind);
            if (source.kind === "reader" && known !== undefined) {
                return known;
            }
            if (source.kind === "store") {
                try {
                    const listed = await callStore(epochSignal => store.list(kind, epochSignal), callSignal);
                    cache.applyList(kind, listed);
                    return cache.list(kind) ?? listed;
                }
                catch (error) {
                    if (!current.signal.aborted || callSignal?.aborted === true) {
                        throw error;
                    }
                }
            }
            if (callSignal?.aborted === true) {
                throw new Error("The list was aborted.");
            }
            if (source.kind !== "store") {
                await waitForChange(kind, searchMilliseconds, callSignal);
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
        const wait = Math.min(waitMilliseconds, maxWaitMilliseconds);
        const result = await callStore(epochSignal => store.watch(kind, position, wait, epochSignal), callSignal);
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
            if ((cache.position(kind) ?? -1) > position) {
                return cache.changesAfter(kind, position);
            }
            const left = endAt - clock.now();
            if (source.kind === "store") {
                const current = epoch;
                try {
                    return await watchStore(kind, position, Math.max(0, left), callSignal);
                }
                catch (error) {
                    if (!current.signal.aborted || callSignal?.aborted === true) {
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

    const open = (reader: ReaderCandidate): StateFollow => {
        const known = follows.get(reader.name);
        if (known !== undefined && known.state() !== "closed") {
            return known;
        }
        const follow = createStateFollow({
            ...options,
            reader,
            kinds,
            onLoads: message => {
                if (source.kind === "reader" && source.follow === follow) {
                    options.onLoads(message);
                }
            },
            onChange: () => {
                wakeSearch();
                if (source.kind === "reader" && source.follow === follow && follow.state() !== "current") {
                    leaveReader(follow);
                }
            },
        });
        follows.set(reader.name, follow);
        return follow;
    };

    const leaveReader = (follow: StateFollow): void => {
        const reason = follow.closeReason() ?? "reader-not-current";
        awaitReaderUntil = -Infinity;
        setSource({ kind: "undecided" }, reason);
        const left = epoch;
        clock.after(readerSearchMilliseconds, () => {
            if (epoch === left) {
                setSource({ kind: "store" }, "no-reader-in-time");
            }
        }, signal);
    };

    /** Resolves when the search is wanted, at the latest after the time. */
    const waitForSearch = async (milliseconds: number): Promise<void> => {
        if (!isSearchWanted) {
            await new Promise<void>(resolve => {
                endSearchPause = resolve;
                clock.after(milliseconds, resolve);
            });
        }
        isSearchWanted = false;
    };

    /**
     * Resolves to whether the candidate is current. A candidate that is reached but not current stays connected. While it
     * does not answer, `askNext` is called at intervals.
     */
    const isCandidateCurrent = async (reader: ReaderCandidate, askNext: () => void): Promise<boolean> => {
        const follow = open(reader);
        const startedAt = clock.now();
        const endAt = startedAt + candidateMilliseconds;
        let nextAt = startedAt + slowCandidateMilliseconds;
        while (follow.state() === "waiting" && clock.now() < endAt && !signal.aborted) {
            if (clock.now() >= nextAt) {
                nextAt += slowCandidateMilliseconds;
                askNext();
            }
            await waitForSearch(Math.min(nextAt, endAt) - clock.now());
        }
        if (follow.state() === "waiting") {
            follow.close("no-answer");
        }
        if (follow.state() === "closed") {
            unreachableUntil.set(reader.name, clock.now() + unreachableMilliseconds);
        }
        return follow.state() === "current";
    };

    /** Returns the candidates that are preferred to the present source. */
    const betterCandidates = (candidates: ReaderCandidate[]): ReaderCandidate[] => {
        const present = nameOf(source);
        const rank = candidates.findIndex(candidate => candidate.name === present);
        return candidates.slice(0, rank === -1 ? candidates.length : rank)
            .filter(candidate => (unreachableUntil.get(candidate.name) ?? 0) <= clock.now());
    };

    const closeOthers = (kept: readonly string[], reason: string): void => {
        for (const [name, follow] of follows) {
            if (!kept.includes(name) || follow.state() === "closed") {
                follow.close(reason);
                follows.delete(name);
            }
        }
    };

    /** Asks the store whether it serves this host again. */
    const probeStore = async (): Promise<void> => {
        try {
            const position = cache.position(kinds[0]) ?? 0;
            await callStore(callSignal => store.watch(kinds[0], position, 0, callSignal), signal);
        }
        catch (error) {
            log.debug("store-probe-failed", { error: messageOf(error) });
        }
    };

    /** Whether this host is starting and a reader that it has reached may become current soon. */
    const mayAwaitReader = (candidates: ReaderCandidate[]): boolean =>
        source.kind === "undecided" && clock.now() < awaitReaderUntil
        && candidates.some(candidate => follows.get(candidate.name)?.state() === "refused");

    const search = async (): Promise<number> => {
        const { isReader, candidates } = options.choose();
        if (isReader && source.kind === "reader") {
            await probeStore();
        }
        if (isReader && storeServes()) {
            setSource({ kind: "store" }, "reader-of-zone");
            closeOthers([], "is-reader");
            return searchMilliseconds;
        }
        const better = betterCandidates(candidates);
        const unasked = [...better];
        const askNext = (): void => {
            const next = unasked.shift();
            if (next !== undefined) {
                open(next);
            }
        };
        for (const candidate of better) {
            if (unasked[0] === candidate) {
                unasked.shift();
            }
            if (await isCandidateCurrent(candidate, askNext)) {
                const follow = open(candidate);
                setSource({ kind: "reader", follow }, "reader-current");
                follow.askForLoads();
                closeOthers([candidate.name], "not-needed");
                return isReader ? refusedSearchMilliseconds : searchMilliseconds;
            }
        }
        if (mayAwaitReader(candidates)) {
            return readerSearchMilliseconds;
        }
        if (source.kind !== "reader") {
            setSource({ kind: "store" }, "no-reader");
        }
        closeOthers(candidates.map(candidate => candidate.name), "not-a-candidate");
        return isReader || !storeServes() ? refusedSearchMilliseconds : searchMilliseconds;
    };

    const sendLoads = (message: LoadsMessage): boolean => source.kind === "reader" && source.follow.sendLoads(message);

    let isSearching = false;
    const searchRepeatedly = async (): Promise<void> => {
        await options.hostsKnown;
        if (!isSearching) {
            isSearching = true;
            awaitReaderUntil = clock.now() + startingReaderMilliseconds;
        }
        while (!signal.aborted) {
            const pause = await search();
            await waitForSearch(pause * (1 + searchSpread * (random() - 0.5)));
        }
    };
    void keepRunning("reader-search", searchRepeatedly, { clock, log, metrics, signal });

    return { list, watch, isCurrent, name: () => nameOf(source), reconsider: wakeSearch, sendLoads };
};
