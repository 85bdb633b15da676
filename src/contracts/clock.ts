/**
 * The clock that asynchronous tasks use. Decisions take the time as an argument; tasks take a clock, so that tests can
 * pass one whose time they advance themselves.
 */

/** A monotonic clock with timers. All values are in milliseconds. */
export type Clock = {
    /** Milliseconds since an arbitrary start. Never decreases and is not wall-clock time. */
    now: () => number;
    /** Resolves after the delay, or at once when the signal aborts. Never rejects. */
    sleep: (milliseconds: number, signal?: AbortSignal) => Promise<void>;
    /** Calls the callback once after the delay, unless the returned function is called or the signal aborts first. */
    after: (milliseconds: number, callback: () => void, signal?: AbortSignal) => () => void;
};
