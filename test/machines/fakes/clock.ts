/**
 * Virtual time for tests of tasks. Tests do not wait, and each run of a test executes its timers in the same order.
 */
import type { Clock } from "../../../src/contracts/clock.ts";

export type VirtualClock = Clock & {
    /**
     * Advances the time by the milliseconds and runs all timers that become due, also those set meanwhile, in order.
     */
    advance: (milliseconds: number) => Promise<void>;
};

type Timer = { at: number; order: number; callback: () => void };

/** Waits until the callbacks that are pending in the event loop have run. */
const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Creates a clock that starts at 1,000 ms. An aborted signal suppresses a callback only when its timer is due. */
export const createVirtualClock = (): VirtualClock => {
    const timers = new Set<Timer>();
    let now = 1_000;
    let order = 0;

    const after: Clock["after"] = (milliseconds, callback, signal) => {
        const run = (): void => signal?.aborted === true ? undefined : callback();
        const timer = { at: now + Math.max(0, milliseconds), order, callback: run };
        order += 1;
        timers.add(timer);
        return () => timers.delete(timer);
    };

    /** Removes and returns the timers due at the next time that has any, up to `end`, and sets the time to it. */
    const takeDueTimers = (end: number): Timer[] => {
        let next = Infinity;
        for (const timer of timers) {
            next = Math.min(next, timer.at);
        }
        if (next > end) {
            return [];
        }
        now = Math.max(now, next);
        const due = [...timers].filter(timer => timer.at <= now).sort((left, right) => left.order - right.order);
        due.forEach(timer => timers.delete(timer));
        return due;
    };

    return {
        now: () => now,
        after,
        sleep: milliseconds =>
            new Promise(resolve => {
                after(milliseconds, resolve);
            }),
        advance: async milliseconds => {
            const end = now + milliseconds;
            await settle();
            for (let due = takeDueTimers(end); due.length > 0; due = takeDueTimers(end)) {
                due.forEach(timer => timer.callback());
                await settle();
            }
            now = end;
        },
    };
};

export type PausableClock = Clock & { pause: () => void; resume: () => void; isPaused: () => boolean };

/**
 * Creates the clock of one process. While it is paused, time goes on, but its callbacks run only when it is resumed.
 */
export const createPausableClock = (clock: Clock): PausableClock => {
    /** Callbacks that came due during a pause; undefined while the process runs. */
    let deferred: Array<() => void> | undefined;

    const unlessPaused = (callback: () => void): void => {
        if (deferred === undefined) {
            callback();
            return;
        }
        deferred.push(callback);
    };

    const after: Clock["after"] = (milliseconds, callback, signal) =>
        clock.after(milliseconds, () => unlessPaused(callback), signal);

    return {
        now: clock.now,
        after,
        sleep: milliseconds =>
            new Promise(resolve => {
                after(milliseconds, resolve);
            }),
        pause: () => {
            deferred ??= [];
        },
        resume: () => {
            const callbacks = deferred ?? [];
            deferred = undefined;
            callbacks.forEach(callback => callback());
        },
        isPaused: () => deferred !== undefined,
    };
};
