/**
 * Decides whether a majority of a set of hosts meets a condition.
 */

/** Returns whether more than half of the hosts meet the condition; false for an empty set. */
export const hasMajority = (hosts: readonly string[], meetsCondition: (host: string) => boolean): boolean =>
    2 * hosts.filter(meetsCondition).length > hosts.length;
