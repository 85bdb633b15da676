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
import type { ReadPace } from "./statereading.ts";

export type Source = { kind: "undecided" } | { kind: "store" } | { kind: "reader"; follow: StateFollow };

export type CurrentSource = {
    get: () => Source;
    /** Name of the reader; `store` while this host reads the store; undefined while undecided. */
    name: () => string | undefined;
    set: (next: Source, reason: string) => void;
    /** Aborted when the source changes, so that no call to the store is waited for in vain. */
    epoch: () => AbortSignal;
    /** Whether this host reads the store itself, has all kinds of its latest era, and the store has confirmed each lately. */
    isCurrent: () => boolean;
    /** Whether the store serves this host, as far as its last calls tell. */
    storeServes: () => boolean;
    /** The kind by which to find out whether the store serves this host again. */
    probedKind: () => string;
    /**
     * Milliseconds since the store confirmed each kind, to this host or to its reader; a kind of which that is not known is
     * absent.
     */
    ages: () => Record<string, number>;
    /**
     * Calls the store and records whether it served this host. The call is aborted with the signal, and when the source
     * changes. `confirmedAt` gets the answer and when the call began, and returns the time as of which the answer tells the
     * kind's state.
     */
    callStore: <Result>(
        kind: string,
        call: (callSignal: AbortSignal) => Promise<Result>,
        confirmedAt: (result: Result, calledAt: number) => number,
        callSignal: AbortSignal | undefined,
    ) => Promise<Result>;
};

export type CurrentSourceOptions = {
    store: Pick<ObjectStore, "era" | "onEra">;
    /** The kinds that are read. */
    paces: Readonly<Record<string, Pick<ReadPace, "maxAgeMilliseconds">>>;
    cache: Pick<StateCache, "position">;
    /** Called when this host became current as a reader or stopped being so, and when it reads from another source. */
    onChange: () => void;
    /** Called when this host reads from another source, before anything comes from it. */
    onSourceChange: () => void;
    /** Called when a call to the store failed, or the store has not confirmed a kind for too long. */
    onStoreFailure: () => void;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** One failed call may be chance, for example a connection that was reset. */
const failuresUntilRefused = 2;

const storeName = "store";

const nameOf = (source: Source): string | undefined =>
    source.kind === "reader" ? source.follow.reader.name : source.kind === "store" ? storeName : undefined;

const describeAges = (ages: Record<string, number>): string | undefined => {
    const pairs = Object.entries(ages).map(([kind, age]) => `${kind}:${age}`);
    return pairs.length === 0 ? undefined : pairs.join(",");
};

/** Creates the source, undecided at first. */
export const createCurrentSource = (options: CurrentSourceOptions): CurrentSource => {
    const { paces, store, cache, clock, log, metrics, signal } = options;
    let source: Source = { kind: "undecided" };
    let epoch = new AbortController();
    const kinds = Object.keys(paces);
    let sourceSince = clock.now();
    /** Time as of which the store has told each kind since this host reads from it. */
    const confirmedAts = new Map<string, number>();
    let failures = 0;
    let probedKind = kinds[0];
    let cancelExpiry: () => void = () => undefined;
    let wasCurrent = false;

    const overdueAt = (kind: string): number =>
        (confirmedAts.get(kind) ?? sourceSince) + paces[kind].maxAgeMilliseconds;

    const overdueKind = (): string | undefined => kinds.find(kind => overdueAt(kind) <= clock.now());

    const storeServes = (): boolean =>
        failures < failuresUntilRefused && (source.kind !== "store" || overdueKind() === undefined);

    const isOfLatestEra = (kind: string): boolean => {
        const position = cache.position(kind);
        return position !== undefined && eraOf(position) === store.era();
    };

    const isCurrent = (): boolean =>
        source.kind === "store" && !signal.aborted && storeServes()
        && kinds.every(kind => confirmedAts.has(kind) && isOfLatestEra(kind));

    const reportIfChanged = (): void => {
        if (isCurrent() !== wasCurrent) {
            wasCurrent = !wasCurrent;
            options.onChange();
        }
    };

    store.onEra(reportIfChanged);

    /** Notices when the store does not confirm a kind in time, as no call need end then. */
    const expectConfirmation = (): void => {
        cancelExpiry();
        const left = Math.min(...kinds.map(overdueAt)) - clock.now();
        if (source.kind === "store" && left > 0) {
            cancelExpiry = clock.after(left, () => {
                const kind = overdueKind();
                if (kind !== undefined) {
                    log.warn("state-overdue", { kind, position: cache.position(kind), ages: describeAges(ages()) });
                    metrics.count("state-overdue", { kind });
                    options.onStoreFailure();
                }
                reportIfChanged();
            }, signal);
        }
    };

    const recordConfirmed = (kind: string, at: number): void => {
        if (source.kind === "store" && at > (confirmedAts.get(kind) ?? -Infinity)) {
            confirmedAts.set(kind, at);
            expectConfirmation();
        }
    };

    const ages = (): Record<string, number> => {
        if (source.kind === "reader") {
            return source.follow.ages();
        }
        return Object.fromEntries([...confirmedAts].map(([kind, at]) => [kind, Math.round(clock.now() - at)]));
    };

    const set = (next: Source, reason: string): void => {
        const before = nameOf(source);
        if (nameOf(next) === before) {
            return;
        }
        const left = describeAges(ages());
        if (source.kind === "store") {
            const overdue = overdueKind();
            probedKind = overdue ?? kinds[0];
            failures = overdue === undefined ? failures : Math.max(failures, failuresUntilRefused);
        }
        source = next;
        epoch.abort();
        epoch = new AbortController();
        log.info("state-source-changed", { before, source: nameOf(next), reason, failures, ages: left });
        confirmedAts.clear();
        sourceSince = clock.now();
        expectConfirmation();
        metrics.count("state-source-changes", { to: next.kind });
        options.onSourceChange();
        wasCurrent = isCurrent();
        options.onChange();
    };

    const callStore: CurrentSource["callStore"] = async (kind, call, confirmedAt, callSignal) => {
        const current = epoch.signal;
        const calledAt = clock.now();
        const aborter = new AbortController();
        const abort = (): void => aborter.abort();
        current.addEventListener("abort", abort, { once: true });
        callSignal?.addEventListener("abort", abort, { once: true });
        try {
            const result = await call(aborter.signal);
            if (!current.aborted) {
                // The store may answer a watch before its wait is over.
                recordConfirmed(kind, Math.min(clock.now(), confirmedAt(result, calledAt)));
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
        probedKind: () => probedKind,
        ages,
        callStore,
    };
};
