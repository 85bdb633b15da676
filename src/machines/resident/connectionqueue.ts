/**
 * The requests of a host that wait for one of its connections to a target or to the targets of a pool, in the order in
 * which they get one.
 */
import type { Clock } from "../../contracts/clock.ts";

/** A request that waits, or may wait. */
export type Waiter = {
    /** Rank of the request, 0 the most urgent. */
    priority: number;
    /** Monotonic time of its arrival. */
    receivedAt: number;
};

export type ConnectionQueue = {
    /** Returns the number of waiting requests that come before this one. */
    ahead: (place: string, waiter: Waiter) => number;
    /** Resolves when a connection is free for the request, at the latest after the time. */
    wait: (place: string, waiter: Waiter, milliseconds: number) => Promise<void>;
    /** Ends the wait of the first request, since a connection is free. */
    wakeFirst: (place: string) => void;
};

/** Place of the requests that wait for one target, or for any target of a pool. */
export const placeOfTarget = (target: string): string => `target/${target}`;
export const placeOfPool = (pool: string): string => `pool/${pool}`;

type Entry = { waiter: Waiter; wake: () => void };

const comesBefore = (left: Waiter, right: Waiter): boolean =>
    left.priority === right.priority ? left.receivedAt < right.receivedAt : left.priority < right.priority;

/** Creates an empty queue for each place that is named. */
export const createConnectionQueue = (clock: Pick<Clock, "after">): ConnectionQueue => {
    const queues = new Map<string, Entry[]>();

    const remove = (place: string, entry: Entry): void => {
        const left = (queues.get(place) ?? []).filter(other => other !== entry);
        if (left.length === 0) {
            queues.delete(place);
        }
        else {
            queues.set(place, left);
        }
    };

    return {
        ahead: (place, waiter) => (queues.get(place) ?? []).filter(other => !comesBefore(waiter, other.waiter)).length,
        wait: (place, waiter, milliseconds) =>
            new Promise(resolve => {
                const entry: Entry = {
                    waiter,
                    wake: () => {
                        cancel();
                        remove(place, entry);
                        resolve();
                    },
                };
                const cancel = clock.after(milliseconds, entry.wake);
                const queue = queues.get(place) ?? [];
                const index = queue.findIndex(other => comesBefore(waiter, other.waiter));
                queues.set(place, queue.toSpliced(index === -1 ? queue.length : index, 0, entry));
            }),
        wakeFirst: place => queues.get(place)?.[0].wake(),
    };
};
