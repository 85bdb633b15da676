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

/** Length of a turn of the event loop in which it counts as held. */
const heldMilliseconds = 20;
/** Turns that are waited for on a host whose turns are all so long. */
export const maxHeldTurns = 5;

/** Calls back as `afterNextReads` does, but reads again if the event loop was held between the reads and that moment. */
export const afterFreshReads = (callback: () => void, turns = maxHeldTurns): void => {
    setImmediate(() => {
        const startedAt = performance.now();
        setImmediate(() => {
            if (turns > 0 && performance.now() - startedAt >= heldMilliseconds) {
                afterFreshReads(callback, turns - 1);
            }
            else {
                callback();
            }
        });
    });
};
