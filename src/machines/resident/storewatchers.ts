/**
 * The watchers of a host, one for each kind of object. The first one probes the store often while it is out; the others
 * wait longer and go on once one of them has reached it.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { StoreObject } from "../../contracts/objectstore.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { StateSource } from "./statesource.ts";
import { createStoreWatcher, type StoreWatcher, type StoreWatcherOptions } from "./storewatcher.ts";

export type StoreWatchers = {
    /** Starts to watch a kind. */
    watch: (
        kind: string,
        onList: StoreWatcherOptions["onList"],
        onChanges: StoreWatcherOptions["onChanges"],
    ) => StoreWatcher;
    /** Starts to watch a kind of which removals are ignored. An object whose listener throws is left out alone. */
    watchObjects: (kind: string, onObject: (object: StoreObject) => void) => StoreWatcher;
    /** Ends the pauses of all. */
    retryNow: () => void;
    /** Resolves when all have the state. */
    synced: () => Promise<unknown>;
};

export type StoreWatchersOptions = {
    store: Pick<StateSource, "list" | "watch">;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Wait of one watch call. A watch on a silent connection fails after this and the time-out of a call. */
export const watchMilliseconds = 3_000;
/** Pauses between calls of the watcher that finds out when the store is back, and of those that wait for it. */
const maxProbePauseMilliseconds = 500;
const maxWaitingPauseMilliseconds = 3_000;

/** Takes in an object so that an exception costs this object alone. */
export const applyAlone = (log: Log, kind: string, object: StoreObject, apply: () => void): void => {
    try {
        apply();
    }
    catch (error) {
        const { name, revision } = object;
        log.error("object-failed", { kind, name, revision, error: messageOf(error) });
    }
};

/** Creates the watchers of a host, none at first. */
export const createStoreWatchers = (options: StoreWatchersOptions): StoreWatchers => {
    const watchers: StoreWatcher[] = [];
    const retryNow = (): void => watchers.forEach(watcher => watcher.retryNow());

    const watch: StoreWatchers["watch"] = (kind, onList, onChanges) => {
        const watcher = createStoreWatcher({
            ...options,
            kind,
            waitMilliseconds: watchMilliseconds,
            maxPauseMilliseconds: watchers.length === 0 ? maxProbePauseMilliseconds : maxWaitingPauseMilliseconds,
            onList,
            onChanges,
            onRecovered: retryNow,
        });
        watchers.push(watcher);
        return watcher;
    };
    return {
        watch,
        watchObjects: (kind, onObject) => {
            const takeIn = (object: StoreObject): void => applyAlone(options.log, kind, object, () => onObject(object));
            return watch(kind, all => all.forEach(takeIn), events => {
                events.filter(event => !event.removed).forEach(event => takeIn(event.object));
            });
        },
        retryNow,
        synced: () => Promise.all(watchers.map(watcher => watcher.synced)),
    };
};
