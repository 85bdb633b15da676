/**
 * Who coordinates a pool. Safety does not hang on it: every write is conditional and every take-over repeats the waits.
 * So the lease is written only when the coordinator changes, and never for its renewal.
 */
/** Ranks hosts for a pool, best first. Every host finds the same order. */
export type HostRanking = (pool: string, hosts: readonly string[]) => string[];

export type LeaseView = {
    host: string;
    incarnation: string;
    /** Holder and its incarnation by the newest lease known; undefined when there is none. */
    held: { holder: string; incarnation: string } | undefined;
    /** Live hosts, best first. */
    ranked: readonly string[];
    /** Time for which the holder has been lost or leaving; undefined while it is neither. */
    holderGoneMilliseconds: number | undefined;
    /** Time for which the best host has been heard without a break; 0 when it is not heard. */
    bestHeardMilliseconds: number;
};

export type LeaseOptions = {
    /** How much longer each lower rank waits before it takes a lease, so that seldom two try at once. */
    rankMilliseconds: number;
    /** Time for which the best host must have lived before it takes the lease from another live host. */
    settledMilliseconds: number;
};

export const defaultLeaseOptions: LeaseOptions = { rankMilliseconds: 250, settledMilliseconds: 10_000 };

/** Whether this host holds the lease. */
export const holdsLease = (view: LeaseView): boolean =>
    view.held !== undefined && view.held.holder === view.host && view.held.incarnation === view.incarnation;

/** Whether this host should take the lease now. */
export const shouldTakeLease = (view: LeaseView, options: LeaseOptions): boolean => {
    const rank = view.ranked.indexOf(view.host);
    if (rank < 0 || holdsLease(view)) {
        return false;
    }
    if (view.held === undefined) {
        return rank === 0;
    }
    if (view.held.holder === view.host) {
        return true;
    }
    if (view.holderGoneMilliseconds !== undefined) {
        const others = view.ranked.filter(host => host !== view.held?.holder);
        return view.holderGoneMilliseconds >= others.indexOf(view.host) * options.rankMilliseconds;
    }
    return rank === 0 && view.bestHeardMilliseconds >= options.settledMilliseconds;
};
