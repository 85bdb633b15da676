/**
 * The source from which this host reads the state now, and whether the store serves this host.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { ObjectStore } from "../../contracts/objectstore.ts";
import { eraOf } from "../../contracts/storehistory.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { StateCache } from "./statecache.ts";
import type { StateFollow } from "./statefollow.ts";

export type Source = { kind: "undecided" } | { kind: "store" } | { kind: "reader"; follow: StateFollow };

export type CurrentSource = {
    get: () => Source;
    /** Name of the reader; `store` while this host reads the store; undefined while undecided. */
    name: () => string | undefined;
    set: (next: Source, reason: string) => void;
    /** Aborted when the source changes, so that no call to the store is waited for in vain. */
    epoch: () => AbortSignal;
    /** Whether this host reads the store itself, has all kinds of its latest era, and the store has answered lately. */
    isCurrent: () => boolean;
    /** Whether the store serves this host, as far as its last calls tell. */
    storeServes: () => boolean;
    /**
     * Calls the store and records whether it served this host. The call is aborted with the signal, and when the source
     * changes.
     */
    callStore: <Result>(
        call: (callSignal: AbortSignal) => Promise<Result>,
        callSignal: AbortSignal | undefined,
    ) => Promise<Result>;
};

export type CurrentSourceOptions = {
    kinds: string[];
    store: Pick<ObjectStore, "era" | "onEra">;
    cache: Pick<StateCache, "position">;
    /** Called when this host became current as a reader or stopped being so, and when it reads from another source. */
    onChange: () => void;
    /** Called when this host reads from another source, before anything comes from it. */
    onSourceChange: () => void;
    /** Called when a call to the store failed. */
    onStoreFailure: () => void;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** A host whose store has not answered for longer is not current: it may be cut off without an error. */
const maxStoreSilenceMilliseconds = 1_200;
/** One failed call may be chance, for example a connection that was reset. */
const failuresUntilRefused = 2;

const storeName = "store";

const nameOf = (source: Source): string | undefined =>
    source.kind === "reader" ? source.follow.reader.name : source.kind === "store" ? storeName : undefined;

/** Creates the source, undecided at first. */
export const createCurrentSource = (options: CurrentSourceOptions): CurrentSource => {
    const { kinds, store, cache, clock, log, metrics, signal } = options;
    let source: Source = { kind: "undecided" };
    let epoch = new AbortController();
    let storeAnsweredAt = clock.now();
    /** Whether the store has answered since this host reads from it. */
    let isStoreConfirmed = false;
    let failures = 0;
    let wasCurrent = false;

    const storeServes = (): boolean =>
        failures < failuresUntilRefused
        && (source.kind !== "store" || clock.now() - storeAnsweredAt < maxStoreSilenceMilliseconds);

    const isOfLatestEra = (kind: string): boolean => {
        const position = cache.position(kind);
        return position !== undefined && eraOf(position) === store.era();
    };

    const isCurrent = (): boolean =>
        source.kind === "store" && isStoreConfirmed && !signal.aborted && storeServes()
        && kinds.every(isOfLatestEra);

    const reportIfChanged = (): void => {
        if (isCurrent() !== wasCurrent) {
            wasCurrent = !wasCurrent;
            options.onChange();
        }
    };

    store.onEra(reportIfChanged);

    const set = (next: Source, reason: string): void => {
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
        wasCurrent = isCurrent();
        options.onChange();
    };

    const callStore: CurrentSource["callStore"] = async (call, callSignal) => {
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
                options.onStoreFailure();
            }
            throw error;
        }
        finally {
            current.removeEventListener("abort", abort);
            callSignal?.removeEventListener("abort", abort);
            reportIfChanged();
        }
    };

    return {
        get: () => source,
        name: () => nameOf(source),
        set,
        epoch: () => epoch.signal,
        isCurrent,
        storeServes,
        callStore,
    };
};
