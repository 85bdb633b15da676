/**
 * Keeps the result of a pure function for as long as its argument is the same object. Rankings of hosts are asked for many
 * times a second and cost a digest for each host, but the hosts hardly ever change.
 */

/** Returns `compute`, called only when the argument is another object than the last time. */
export const keepLastResult = <Argument extends object, Result>(
    compute: (argument: Argument) => Result,
): (argument: Argument) => Result => {
    let last: { argument: Argument; result: Result } | undefined;
    return argument => {
        if (last?.argument !== argument) {
            last = { argument, result: compute(argument) };
        }
        return last.result;
    };
};
