/**
 * A clock of a host that can be frozen as if its process were paused, and thawed after any time.
 */
import type { Clock } from "../src/contracts/clock.ts";
import { systemClock } from "../src/links/clock.ts";

export type FreezableClock = Clock & {
    /** Stops the time and holds back every timer. */
    freeze: () => void;
    /** Lets the given time have passed; timers stay held back until `resume`. */
    thaw: (milliseconds: number) => void;
    /** Lets the timers that were held back fire. */
    resume: () => void;
};

/** Creates a clock that runs. */
export const createFreezableClock = (): FreezableClock => {
    let frozenAt: number | undefined;
    let holding = false;
    let passed = 0;
    let held: Array<() => void> = [];

    const unlessHeld = (callback: () => void): void => {
        if (holding) {
            held.push(callback);
            return;
        }
        callback();
    };

    return {
        now: () => frozenAt ?? systemClock.now() + passed,
        sleep: (milliseconds, signal) =>
            new Promise(resolve => {
                void systemClock.sleep(milliseconds, signal).then(() => unlessHeld(resolve));
            }),
        after: (milliseconds, callback, signal) => systemClock.after(milliseconds, () => unlessHeld(callback), signal),
        freeze: () => {
            frozenAt = systemClock.now() + passed;
            holding = true;
        },
        thaw: milliseconds => {
            passed += milliseconds;
            frozenAt = undefined;
        },
        resume: () => {
            holding = false;
            const due = held;
            held = [];
            due.forEach(callback => callback());
        },
    };
};
