/**
 * Whether the messages of another host arrive ever later, as on a connection whose sender is faster than its link. The clocks
 * of the two hosts need not agree: the fastest message seen is taken for one that was not held up.
 */

/** How much later than the fastest message one is that counts as late. */
const lateMilliseconds = 600;
/**
 * A host is late when its messages have been for this time. Those that wait for a receiver which did not run come together,
 * the last of them not late.
 */
const persistMilliseconds = 300;

/**
 * Creates a function that takes in when a message was sent, by its sender's clock, and when it arrived, and returns whether
 * the sender is late. Times are in milliseconds.
 */
export const createLateness = (): (sentAt: number, arrivedAt: number) => boolean => {
    let fastest = Infinity;
    let lateSince: number | undefined;
    return (sentAt, arrivedAt) => {
        const taken = arrivedAt - sentAt;
        fastest = Math.min(fastest, taken);
        lateSince = taken - fastest > lateMilliseconds ? lateSince ?? arrivedAt : undefined;
        return lateSince !== undefined && arrivedAt - lateSince >= persistMilliseconds;
    };
};
