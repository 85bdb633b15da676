/**
 * A host clock that a test can freeze, as if the process were paused, and set forward by any time.
 */
import type { Clock } from "../src/contracts/clock.ts";
import { systemClock } from "../src/links/clock.ts";

export type FreezableClock = Clock & {
    /** Stops the time and holds back all timers. */
    freeze: () => void;
    /** Sets the time forward and lets it run on. Timers stay held back until `resume`. */
    thaw: (milliseconds: number) => void;
    /** Fires the timers that were held back. */
    resume: () => void;
};

/** Creates a clock that is not frozen. */
export const createFreezableClock = (): FreezableClock => {
    let frozenAt: number | undefined;
    let isHolding = false;
    let addedMilliseconds = 0;
    let heldCallbacks: Array<() => void> = [];

    const runUnlessHeld = (callback: () => void): void => {
        if (isHolding) {
            heldCallbacks.push(callback);
            return;
        }
        callback();
    };

    return {
        now: () => frozenAt ?? systemClock.now() + addedMilliseconds,
        sleep: (milliseconds, signal) =>
            new Promise(resolve => {
                void systemClock.sleep(milliseconds, signal).then(() => runUnlessHeld(resolve));
            }),
        after: (milliseconds, callback, signal) =>
            systemClock.after(milliseconds, () => runUnlessHeld(callback), signal),
        freeze: () => {
            frozenAt = systemClock.now() + addedMilliseconds;
            isHolding = true;
        },
        thaw: milliseconds => {
            addedMilliseconds += milliseconds;
            frozenAt = undefined;
        },
        resume: () => {
            isHolding = false;
            const due = heldCallbacks;
            heldCallbacks = [];
            due.forEach(callback => callback());
        },
    };
};
