/**
 * The clock of a running process: its monotonic time and its timers.
 */
import type { Clock } from "../contracts/clock.ts";

/** What is to be called when a signal aborts. A signal has one listener, since a listener costs more than a timer. */
const callbacksOf = new WeakMap<AbortSignal, Set<() => void>>();

/** Calls back once the signal aborts. Returns a function that withdraws the callback. */
const onAbort = (signal: AbortSignal, callback: () => void): () => void => {
    const known = callbacksOf.get(signal);
    const callbacks = known ?? new Set<() => void>();
    if (known === undefined) {
        callbacksOf.set(signal, callbacks);
        signal.addEventListener("abort", () => callbacks.forEach(call => call()), { once: true });
    }
    callbacks.add(callback);
    return () => callbacks.delete(callback);
};

const after: Clock["after"] = (milliseconds, callback, signal) => {
    if (signal?.aborted) {
        return () => undefined;
    }
    const timer = setTimeout(() => {
        withdraw?.();
        callback();
    }, milliseconds);
    const cancel = (): void => {
        clearTimeout(timer);
        withdraw?.();
    };
    const withdraw = signal && onAbort(signal, cancel);
    return cancel;
};

const sleep: Clock["sleep"] = (milliseconds, signal) =>
    new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = (): void => {
            withdraw?.();
            clearTimeout(timer);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        const withdraw = signal && onAbort(signal, finish);
    });

/** The clock that running hosts and commands use; tests pass others. */
export const systemClock: Clock = { now: () => performance.now(), sleep, after };
