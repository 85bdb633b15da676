/**
 * The clock of a running process: its monotonic time and its timers.
 */
import type { Clock } from "../contracts/clock.ts";

const after: Clock["after"] = (milliseconds, callback, signal) => {
    const timer = setTimeout(() => {
        signal?.removeEventListener("abort", cancel);
        callback();
    }, milliseconds);
    const cancel = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", cancel);
    };
    if (signal?.aborted) {
        cancel();
    }
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
            clearTimeout(timer);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        signal?.addEventListener("abort", finish, { once: true });
    });

/** The clock that running hosts and commands use; tests pass others. */
export const systemClock: Clock = { now: () => performance.now(), sleep, after };
