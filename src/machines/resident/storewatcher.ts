/**
 * Watches the objects of one kind in the store: lists them, then reads their changes. Lists them again when the store
 * no longer has the changes, or when changes come faster than they can be read. Detects when the store becomes
 * unreachable and reachable again.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreEvent, StoreObject } from "../../contracts/objectstore.ts";
import { laterOf } from "../../contracts/storehistory.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { keepRunning } from "../longtasks.ts";

export type StoreWatcherOptions = {
    store: Pick<ObjectStore, "list" | "watch">;
    kind: string;
    /** Longest wait of one watch call in milliseconds: a silent connection is detected after about this time. */
    waitMilliseconds: number;
    /**
     * Longest pause between calls to an unreachable store. Changes made meanwhile must take effect soon after it is
     * back, so at least one watcher needs a short pause; it makes the others call again by `onRecovered`.
     */
    maxPauseMilliseconds: number;
    /**
     * Called with all objects of the kind, as they were at the position; objects that are not among them did not exist
     * then.
     */
    onList: (objects: StoreObject[], position: number) => void;
    /** Called with the latest change of each object that changed up to the position. */
    onChanges: (events: StoreEvent[], position: number) => void;
    /** Called when the store answers again after it was unreachable. */
    onRecovered: () => void;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type StoreWatcher = {
    /** Resolves after the first list, or when the signal aborts. */
    synced: Promise<void>;
    /** Monotonic time since which the store has answered without a failure; undefined while it does not. */
    reachableSince: () => number | undefined;
    /** Skips the pause before the next call to an unreachable store. */
    retryNow: () => void;
};

const firstPauseMilliseconds = 150;
/**
 * When one watch returned more bytes of outdated changes than this, a list is cheaper to read: a slow connection takes
 * 100 ms for as many.
 */
const maxSupersededBytes = 65_536;

/** Time in which a change counts half as much in the rate of changes that is expected. */
const changeHalfLifeMilliseconds = 10_000;
/** Changes a second that are expected at least, even of a kind that has not changed for long. */
const minChangesPerSecond = 0.2;
/**
 * After a silence of the store, a list is read when so many changes for each object are expected, as a watch returns them
 * all, and some kinds have a single object of which every version is large.
 */
const maxMissedVersions = 2;
/** After so many lists in a row that failed, a watch is tried: the store may refuse lists for longer. */
const maxFailedLists = 8;

/** Returns the last event of each object, in the order of the events. */
const latestOf = (events: StoreEvent[]): StoreEvent[] => {
    const last = new Map(events.map((event, index) => [event.object.name, index]));
    return events.filter((event, index) => last.get(event.object.name) === index);
};

/** Starts to watch. Ends when the signal aborts. */
export const createStoreWatcher = (options: StoreWatcherOptions): StoreWatcher => {
    const { store, kind, clock, log, signal } = options;
    let reachableSince: number | undefined;
    let unreachableSince = clock.now();
    let position: number | undefined;
    let pause = firstPauseMilliseconds;
    let answeredAt = clock.now();
    let objectCount = 1;
    /** Lists in a row that failed though a watch was possible. */
    let failedLists = 0;
    /** Recent changes, each counted less with its age. */
    let recentChanges = 0;
    let wake: () => void = () => undefined;

    const recordSuccess = (changeCount: number): void => {
        const now = clock.now();
        recentChanges = recentChanges * 0.5 ** ((now - answeredAt) / changeHalfLifeMilliseconds) + changeCount;
        answeredAt = now;
        pause = firstPauseMilliseconds;
        if (reachableSince === undefined) {
            reachableSince = clock.now();
            log.info("store-regained", {
                kind,
                position,
                afterMilliseconds: Math.round(reachableSince - unreachableSince),
            });
            options.onRecovered();
        }
    };

    const recordFailure = (error: unknown): void => {
        if (reachableSince !== undefined) {
            reachableSince = undefined;
            unreachableSince = clock.now();
            log.warn("store-lost", { kind, position, error: messageOf(error) });
        }
    };

    /** An exception of a listener is its own fault, not that of the store. */
    const notify = (listener: () => void): void => {
        try {
            listener();
        }
        catch (error) {
            log.error("store-listener-failed", { kind, position, error: messageOf(error) });
        }
    };

    const listOnce = async (): Promise<void> => {
        const list = await store.list(kind, signal);
        recordSuccess(0);
        objectCount = Math.max(1, list.objects.length);
        notify(() => options.onList(list.objects, list.position));
        position = list.position;
    };

    const watchOnce = async (from: number): Promise<void> => {
        const wait = reachableSince === undefined ? 0 : options.waitMilliseconds;
        const changes = await store.watch(kind, from, wait, signal);
        recordSuccess(changes.result === "changes" ? changes.events.length : 0);
        if (changes.result === "history-lost") {
            log.info("store-history-lost", { kind, position: from });
            position = undefined;
            return;
        }
        const latest = latestOf(changes.events);
        const reached = laterOf(from, changes.position);
        notify(() => options.onChanges(latest, reached));
        position = reached;
        const supersededBytes = changes.bytes * (1 - latest.length / Math.max(1, changes.events.length));
        if (supersededBytes > maxSupersededBytes) {
            log.info("store-watch-behind", { kind, position, supersededBytes: Math.round(supersededBytes) });
            position = undefined;
        }
    };

    /** Whether the changes since the last answer are probably more to read than all objects. */
    const isListCheaper = (): boolean => {
        const perSecond = recentChanges * Math.LN2 / (changeHalfLifeMilliseconds / 1_000);
        const missed = Math.max(minChangesPerSecond, perSecond) * (clock.now() - answeredAt) / 1_000;
        return reachableSince === undefined && missed > maxMissedVersions * objectCount;
    };

    const waitForRetry = (): Promise<void> =>
        new Promise(resolve => {
            const cancel = clock.after(pause, resolve);
            wake = () => {
                cancel();
                resolve();
            };
        });

    const step = async (): Promise<void> => {
        const prefersList = isListCheaper() && failedLists < maxFailedLists;
        const watchedFrom = prefersList ? undefined : position;
        try {
            await (watchedFrom === undefined ? listOnce() : watchOnce(watchedFrom));
            failedLists = 0;
        }
        catch (error) {
            failedLists = prefersList ? failedLists + 1 : 0;
            if (signal.aborted) {
                return;
            }
            recordFailure(error);
            await waitForRetry();
            pause = Math.min(options.maxPauseMilliseconds, pause * 2);
        }
    };

    let endSync: () => void = () => undefined;
    const synced = new Promise<void>(resolve => {
        endSync = resolve;
    });

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            await step();
            if (position !== undefined) {
                endSync();
            }
        }
    };
    void keepRunning(`store-watch ${kind}`, run, options).then(endSync);

    return { synced, reachableSince: () => reachableSince, retryNow: () => wake() };
};
