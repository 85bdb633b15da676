/**
 * Holds: requests that certainly did not run wait here until their key has an owner again. How many may wait is
 * bounded, and each waits no longer than its deadline.
 */
import type { Clock } from "../contracts/clock.ts";
import { holdDelay } from "../decisions/retry.ts";
import type { HangUp } from "../links/callerhead.ts";

export type WaitResult = "again" | "full" | "late" | "gone";

export type WaitQueue = {
    /** Waits for the next attempt. `again` when it is due. */
    wait: (pool: string, timesHeld: number, deadlineAt: number, hangUp: HangUp) => Promise<WaitResult>;
    /** Lets all requests of the pool try again now, since its assignment changed. */
    wake: (pool: string) => void;
    count: () => number;
};

type Held = { pool: string; resume: (result: WaitResult) => void };

/** Creates the holds of one host. */
export const createWaitQueue = (options: { length: number; clock: Clock; signal: AbortSignal }): WaitQueue => {
    const { length, clock, signal } = options;
    const held = new Set<Held>();

    return {
        wait: (pool, timesHeld, deadlineAt, hangUp) => {
            if (held.size >= length) {
                return Promise.resolve("full");
            }
            const left = deadlineAt - clock.now();
            if (left <= 0) {
                return Promise.resolve("late");
            }
            return new Promise(resolve => {
                const delay = holdDelay(timesHeld);
                const entry: Held = {
                    pool,
                    resume: result => {
                        held.delete(entry);
                        hangUp.listener = undefined;
                        cancel();
                        resolve(result);
                    },
                };
                const cancel = clock.after(
                    Math.min(delay, left),
                    () => entry.resume(delay < left ? "again" : "late"),
                    signal,
                );
                hangUp.listener = () => entry.resume("gone");
                held.add(entry);
            });
        },
        wake: pool => {
            for (const entry of [...held]) {
                if (entry.pool === pool) {
                    entry.resume("again");
                }
            }
        },
        count: () => held.size,
    };
};
