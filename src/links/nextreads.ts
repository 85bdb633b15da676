/**
 * Lets the event loop read from its sockets before a decision. Node runs timers ahead of reads, so an event loop that was
 * held would judge by what it knew before, though the request or the answer in question has arrived.
 */

/** Calls back after the event loop has read from all readable sockets. */
export const afterNextReads = (callback: () => void): void => {
    // The first may come before some of the sockets when it is asked for by one of them.
    setImmediate(() => setImmediate(callback));
};

/** Resolves after the event loop has read from all readable sockets. */
export const waitForNextReads = (): Promise<void> => new Promise(afterNextReads);
