/**
 * More than half of a set of hosts.
 */

/** Whether more than half of the hosts fulfil the condition. False for an empty set. */
export const hasMajority = (hosts: readonly string[], fulfils: (host: string) => boolean): boolean =>
    2 * hosts.filter(fulfils).length > hosts.length;
