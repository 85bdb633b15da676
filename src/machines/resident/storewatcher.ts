/**
 * Follows the objects of one kind in the store: a list, then their changes; a list again when history is lost or changes
 * come faster than they can be read. Tells when the store is lost and regained.
 */
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import type { ObjectStore, StoreEvent, StoreObject } from "../../contracts/objectstore.ts";
import type { Log } from "../../links/logs.ts";

export type StoreWatcherOptions = {
    store: ObjectStore;
    kind: string;
    /** The longest wait of one watch: a link that went silent is found after about this time. */
    waitMilliseconds: number;
    /** All objects of the kind; what is not among them is gone. */
    onList: (objects: StoreObject[]) => void;
    /** The newest change of each object that changed. */
    onChanges: (events: StoreEvent[]) => void;
    /** The store answered again after a loss. */
    onRecovered: () => void;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

export type StoreWatcher = {
    /** Resolves after the first list. */
    synced: Promise<void>;
    /** Monotonic time since which the store has answered without a failure; undefined while it does not. */
    reachableSince: () => number | undefined;
    /** Asks the store again at once when it was lost. */
    retryNow: () => void;
};

const firstPauseMilliseconds = 150;
/** A store that is back is found within this time: changes made meanwhile must be in force soon after. */
const maxPauseMilliseconds = 500;
/** Beyond this a list is cheaper to read than changes that were overtaken: a thin link takes 100 ms for as much. */
const maxSupersededBytes = 65_536;

/** The last event of each object, in their order. */
const newestOf = (events: StoreEvent[]): StoreEvent[] => {
    const last = new Map(events.map((event, index) => [event.object.name, index]));
    return events.filter((event, index) => last.get(event.object.name) === index);
};

/** Starts to follow. Ends when the signal aborts. */
export const createStoreWatcher = (options: StoreWatcherOptions): StoreWatcher => {
    const { store, kind, clock, log, signal } = options;
    let contactSince: number | undefined;
    let lostSince = clock.now();
    let position: number | undefined;
    let pause = firstPauseMilliseconds;
    let wake: () => void = () => undefined;

    const noteContact = (): void => {
        pause = firstPauseMilliseconds;
        if (contactSince === undefined) {
            contactSince = clock.now();
            log.info("store-regained", { kind, position, afterMilliseconds: Math.round(contactSince - lostSince) });
            options.onRecovered();
        }
    };

    const noteLoss = (error: unknown): void => {
        if (contactSince !== undefined) {
            contactSince = undefined;
            lostSince = clock.now();
            log.warn("store-lost", { kind, position, error: messageOf(error) });
        }
    };

    const listOnce = async (): Promise<void> => {
        const list = await store.list(kind, signal);
        noteContact();
        options.onList(list.objects);
        position = list.position;
    };

    const watchOnce = async (from: number): Promise<void> => {
        const wait = contactSince === undefined ? 0 : options.waitMilliseconds;
        const changes = await store.watch(kind, from, wait, signal);
        noteContact();
        if (changes.result === "history-lost") {
            log.info("store-history-lost", { kind, position: from });
            position = undefined;
            return;
        }
        const newest = newestOf(changes.events);
        options.onChanges(newest);
        position = Math.max(from, changes.position);
        const supersededBytes = changes.bytes * (1 - newest.length / Math.max(1, changes.events.length));
        if (supersededBytes > maxSupersededBytes) {
            log.info("store-overtaken", { kind, position, supersededBytes: Math.round(supersededBytes) });
            position = undefined;
        }
    };

    const pauseOrWake = (): Promise<void> =>
        new Promise(resolve => {
            const cancel = clock.after(pause, resolve);
            wake = () => {
                cancel();
                resolve();
            };
        });

    const step = async (): Promise<void> => {
        try {
            await (position === undefined ? listOnce() : watchOnce(position));
        }
        catch (error) {
            if (signal.aborted) {
                return;
            }
            noteLoss(error);
            await pauseOrWake();
            pause = Math.min(maxPauseMilliseconds, pause * 2);
        }
    };

    const started = (async () => {
        while (position === undefined && !signal.aborted) {
            await step();
        }
    })();

    const run = async (): Promise<void> => {
        await started;
        while (!signal.aborted) {
            await step();
        }
    };
    run().catch((error: unknown) => log.error("follower-ended", { kind, error: messageOf(error) }));

    return { synced: started, reachableSince: () => contactSince, retryNow: () => wake() };
};
