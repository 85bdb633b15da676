/**
 * The wait queue: requests that certainly did not run wait here until their key has an owner again. The number of
 * waiting requests is bounded, and each waits no longer than its deadline.
 */
import type { Clock } from "../contracts/clock.ts";
import { holdDelay } from "../decisions/retry.ts";
import type { HangUp } from "../links/callerhead.ts";

/** How a wait ended: another attempt is due, the queue was full, the deadline came first, or the caller hung up. */
export type WaitResult = "again" | "full" | "late" | "gone";

export type WaitQueue = {
    /**
     * Waits for the next attempt.
     *
     * @param ownerWaits how often the request waited before; the wait grows with it.
     * @param deadlineAt monotonic milliseconds.
     */
    wait: (pool: string, ownerWaits: number, deadlineAt: number, hangUp: HangUp) => Promise<WaitResult>;
    /** Ends the wait of all requests of the pool. Called when its assignment changes. */
    wake: (pool: string) => void;
    /** Number of waiting requests. */
    count: () => number;
};

type Waiter = { pool: string; resume: (result: WaitResult) => void };

/** Creates the wait queue of one host. At most `length` requests wait at a time. */
export const createWaitQueue = (options: { length: number; clock: Clock; signal: AbortSignal }): WaitQueue => {
    const { length, clock, signal } = options;
    const waiters = new Set<Waiter>();

    return {
        wait: (pool, ownerWaits, deadlineAt, hangUp) => {
            if (waiters.size >= length) {
                return Promise.resolve("full");
            }
            const remaining = deadlineAt - clock.now();
            if (remaining <= 0) {
                return Promise.resolve("late");
            }
            return new Promise(resolve => {
                const delay = holdDelay(ownerWaits);
                const waiter: Waiter = {
                    pool,
                    resume: result => {
                        waiters.delete(waiter);
                        hangUp.listener = undefined;
                        cancel();
                        resolve(result);
                    },
                };
                const cancel = clock.after(
                    Math.min(delay, remaining),
                    () => waiter.resume(delay < remaining ? "again" : "late"),
                    signal,
                );
                hangUp.listener = () => waiter.resume("gone");
                waiters.add(waiter);
            });
        },
        wake: pool => {
            for (const waiter of [...waiters]) {
                if (waiter.pool === pool) {
                    waiter.resume("again");
                }
            }
        },
        count: () => waiters.size,
    };
};
