/**
 * The clock of a running process: its monotonic time and its timers. Timers call back after the sockets were read, since what
 * they wait for may have arrived while the event loop was held.
 */
import type { Clock } from "../contracts/clock.ts";

const after: Clock["after"] = (milliseconds, callback, signal) => {
    if (signal?.aborted) {
        return () => undefined;
    }
    let isOver = false;
    const cancel = (): void => {
        isOver = true;
        clearTimeout(timer);
        signal?.removeEventListener("abort", cancel);
    };
    const finish = (): void => {
        if (!isOver) {
            cancel();
            callback();
        }
    };
    const timer = setTimeout(() => setImmediate(finish), milliseconds);
    signal?.addEventListener("abort", cancel, { once: true });
    return cancel;
};

const sleep: Clock["sleep"] = (milliseconds, signal) =>
    new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = (): void => {
            signal?.removeEventListener("abort", finish);
            cancel();
            resolve();
        };
        const cancel = after(milliseconds, finish);
        signal?.addEventListener("abort", finish, { once: true });
    });

/** The clock that running hosts and commands use; tests pass others. */
export const systemClock: Clock = { now: () => performance.now(), sleep, after };
