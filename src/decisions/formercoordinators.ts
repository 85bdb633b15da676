/**
 * Until when earlier coordinators of a pool may have sent grants. A coordinator that takes over needs this to know when
 * the hold of an owner that it cannot ask has certainly expired: one hold after that time, in whichever way the time
 * was found. The time never decreases within a term. T is the start of the term of the coordinator that waits.
 *
 * | state of the earlier coordinator | its last grant was sent by | reason |
 * | --- | --- | --- |
 * | cut off, frozen, slow, or nothing known | T + granting window | the store confirmed it before T; its lease counts the longer of two clocks |
 * | the same, and the granting window is over | T + granting window | it ended then, not before |
 * | its process has ended | when that was learned | it may have granted until it ended |
 * | it has told that it has stopped | when that was heard | it tells so when its term is over and its last grants are answered or given up |
 * | it resigned | T | it stops granting before it writes its resignation |
 * | it resigned and does not know whether that was written | T | it grants again only after a heartbeat, which makes the write impossible |
 * | it wrote the coordination object and never the ownership | T + granting window | it is listed like any other |
 * | two takeovers in a row | the later of both | the list of the former one is taken over |
 * | this process itself, in an earlier term | T | its own grants are known to it |
 *
 * Coordinators of an earlier era of the store are not listed here. They may send grants until one granting window after this
 * process learned of the present era, since the store confirmed them before.
 */
export type FormerCoordinators = {
    /** Returns the names of the processes that may still send grants. */
    names: () => string[];
    /** Records that the process has ended or grants no more, at the monotonic time at which that was learned. */
    recordEnded: (process: string, learnedAt: number) => void;
    /** Removes all processes once the granting window is over. */
    expire: (now: number) => void;
    /** Returns the monotonic time until which any earlier coordinator may have sent grants. */
    mayHaveGrantedUntil: () => number;
};

/**
 * @param listed processes that may still send grants at the start of the term.
 * @param termStartedAt monotonic time at which the store had confirmed the term.
 * @param windowMilliseconds how long a coordinator sends grants after the store last confirmed it.
 */
export const createFormerCoordinators = (
    listed: string[],
    termStartedAt: number,
    windowMilliseconds: number,
): FormerCoordinators => {
    const windowEndsAt = termStartedAt + windowMilliseconds;
    const remaining = new Set(listed);
    /** When the last of the processes that are no longer listed may have sent a grant. */
    let removedUntil = termStartedAt;

    const remove = (process: string, until: number): void => {
        if (remaining.delete(process)) {
            removedUntil = Math.max(removedUntil, Math.min(until, windowEndsAt));
        }
    };

    return {
        names: () => [...remaining],
        recordEnded: remove,
        expire: now => {
            if (now >= windowEndsAt) {
                [...remaining].forEach(process => remove(process, windowEndsAt));
            }
        },
        mayHaveGrantedUntil: () => remaining.size > 0 ? windowEndsAt : removedUntil,
    };
};
