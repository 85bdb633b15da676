/**
 * Time as the tasks see it. Decisions take the time as an argument; tasks take a clock, so that tests can pass one
 * whose time they advance by hand.
 */

/** A monotonic clock with timers. All values are milliseconds. */
export type Clock = {
    /** Monotonic milliseconds since an arbitrary start. Never goes back, and is not a wall clock. */
    now: () => number;
    /** Resolves after the delay, or at once when the signal aborts. Never rejects. */
    sleep: (milliseconds: number, signal?: AbortSignal) => Promise<void>;
    /** Calls back once after the delay unless the returned function is called or the signal aborts before. */
    after: (milliseconds: number, callback: () => void, signal?: AbortSignal) => () => void;
};
