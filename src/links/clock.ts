/**
 * The clock of a running process: its monotonic time and its timers. Timers that fire late call back after the sockets
 * were read, in the order in which they fired.
 */
import type { Clock } from "../contracts/clock.ts";
import { afterNextReads } from "./nextreads.ts";

/** Delay of a timer from which the event loop counts as held. */
const lateMilliseconds = 20;

/** Timers that have fired and wait for the next reads. */
let waiting = 0;

const runInTurn = (dueAt: number, callback: () => void): void => {
    if (waiting === 0 && performance.now() - dueAt < lateMilliseconds) {
        callback();
        return;
    }
    waiting += 1;
    afterNextReads(() => {
        waiting -= 1;
        callback();
    });
};

const after: Clock["after"] = (milliseconds, callback, signal) => {
    if (signal?.aborted) {
        return () => undefined;
    }
    const dueAt = performance.now() + milliseconds;
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
    const timer = setTimeout(() => runInTurn(dueAt, finish), milliseconds);
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
