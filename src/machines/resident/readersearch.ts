/**
 * The search for the source of the state: a reader of the zone, the best that is current, or the store when there is none in
 * time. It goes on all the time, since better ones come and the present one may go.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore } from "../../contracts/objectstore.ts";
import type { LoadsMessage, ValuePatch } from "../../contracts/statemessages.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerDialer } from "../../links/peers.ts";
import type { ReaderCandidate, ReaderChoice } from "../../zones/readers.ts";
import { keepRunning } from "../longtasks.ts";
import type { CurrentSource } from "./currentsource.ts";
import type { StateCache } from "./statecache.ts";
import { createStateFollow, lateReason, type StateFollow } from "./statefollow.ts";
import { watchConfirmedAt } from "./statereading.ts";

export type ReaderSearchOptions = {
    /** Name of this host. */
    self: string;
    current: CurrentSource;
    store: Pick<ObjectStore, "watch" | "era" | "learnEra">;
    cache: StateCache;
    kinds: string[];
    patches: Readonly<Record<string, ValuePatch>>;
    /** Resolves when this host knows the other hosts, or cannot learn of them. */
    hostsKnown: Promise<unknown>;
    /** Chooses whom this host may follow among the hosts known now. */
    choose: () => ReaderChoice;
    dial: PeerDialer;
    /** Called with the loads that the reader told. */
    onLoads: (message: LoadsMessage) => void;
    clock: Clock;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type ReaderSearch = {
    /** Searches at once. */
    wake: () => void;
};

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
/** A candidate that could not be reached, or was late, is not tried again for this time. */
const unreachableMilliseconds = 10_000;

/** Starts the search. */
export const startReaderSearch = (options: ReaderSearchOptions): ReaderSearch => {
    const { current, store, cache, clock, log, metrics, random, signal } = options;
    const follows = new Map<string, StateFollow>();
    const unreachableUntil = new Map<string, number>();
    let awaitReaderUntil = -Infinity;
    let isWanted = false;
    let endPause: () => void = () => undefined;

    const wake = (): void => {
        isWanted = true;
        endPause();
    };

    const isFollowed = (follow: StateFollow): boolean => {
        const source = current.get();
        return source.kind === "reader" && source.follow === follow;
    };

    const open = (reader: ReaderCandidate): StateFollow => {
        const known = follows.get(reader.name);
        if (known !== undefined && known.state() !== "closed") {
            return known;
        }
        const follow = createStateFollow({
            ...options,
            reader,
            onLoads: message => {
                if (isFollowed(follow)) {
                    options.onLoads(message);
                }
            },
            onChange: () => {
                if (follow.closeReason() === lateReason) {
                    unreachableUntil.set(reader.name, clock.now() + unreachableMilliseconds);
                }
                wake();
                if (isFollowed(follow) && follow.state() !== "current") {
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
        current.set({ kind: "undecided" }, reason);
        const left = current.epoch();
        clock.after(readerSearchMilliseconds, () => {
            if (current.epoch() === left) {
                current.set({ kind: "store" }, "no-reader-in-time");
            }
        }, signal);
    };

    /** Resolves when the search is wanted, at the latest after the time. */
    const waitForSearch = async (milliseconds: number): Promise<void> => {
        if (!isWanted) {
            await new Promise<void>(resolve => {
                endPause = resolve;
                clock.after(milliseconds, resolve);
            });
        }
        isWanted = false;
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
        const present = current.name();
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
            const kind = current.probedKind();
            const position = cache.position(kind) ?? 0;
            await current.callStore(
                kind,
                callSignal => store.watch(kind, position, 0, callSignal),
                (answer, calledAt) => watchConfirmedAt(answer, calledAt, 0),
                signal,
            );
        }
        catch (error) {
            log.debug("store-probe-failed", { error: messageOf(error) });
        }
    };

    /** Whether this host is starting and a reader that it has reached may become current soon. */
    const mayAwaitReader = (candidates: ReaderCandidate[]): boolean =>
        current.get().kind === "undecided" && clock.now() < awaitReaderUntil
        && candidates.some(candidate => follows.get(candidate.name)?.state() === "refused");

    const search = async (): Promise<number> => {
        const { isReader, candidates: preferred, refuges } = options.choose();
        if (isReader && current.get().kind === "reader") {
            await probeStore();
        }
        if (isReader && current.storeServes()) {
            current.set({ kind: "store" }, "reader-of-zone");
            closeOthers([], "is-reader");
            return searchMilliseconds;
        }
        const candidates = current.storeServes() ? preferred : [...preferred, ...refuges];
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
                current.set({ kind: "reader", follow }, "reader-current");
                follow.askForLoads();
                closeOthers([candidate.name], "not-needed");
                return isReader ? refusedSearchMilliseconds : searchMilliseconds;
            }
        }
        if (mayAwaitReader(candidates)) {
            return readerSearchMilliseconds;
        }
        if (current.get().kind !== "reader") {
            current.set({ kind: "store" }, "no-reader");
        }
        closeOthers([...candidates.map(candidate => candidate.name), current.name() ?? ""], "not-a-candidate");
        return isReader || !current.storeServes() ? refusedSearchMilliseconds : searchMilliseconds;
    };

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

    return { wake };
};
