/**
 * Virtual time for tests of tasks: nothing waits, and the same test always takes the same turns.
 */
import type { Clock } from "../../../src/contracts/clock.ts";

export type VirtualClock = Clock & {
    /** Runs all timers of the next milliseconds in order, and what follows from them. */
    advance: (milliseconds: number) => Promise<void>;
};

type Timer = { at: number; order: number; callback: () => void };

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Creates a clock that stands at 1,000 ms. A signal that aborts takes effect when the timer is due. */
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

    const dueBy = (end: number): Timer[] => {
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
            for (let due = dueBy(end); due.length > 0; due = dueBy(end)) {
                due.forEach(timer => timer.callback());
                await settle();
            }
            now = end;
        },
    };
};

export type PausableClock = Clock & { pause: () => void; resume: () => void; isPaused: () => boolean };

/** The clock of one process: time goes on while it is paused, but nothing of it runs until it is resumed. */
export const createPausableClock = (clock: Clock): PausableClock => {
    let held: Array<() => void> | undefined;

    const unlessPaused = (callback: () => void): void => {
        if (held === undefined) {
            callback();
            return;
        }
        held.push(callback);
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
            held ??= [];
        },
        resume: () => {
            const callbacks = held ?? [];
            held = undefined;
            callbacks.forEach(callback => callback());
        },
        isPaused: () => held !== undefined,
    };
};
