/**
 * Decides which host takes the lease to coordinate a pool. Safety does not depend on a single coordinator, since every
 * write is conditional and every take-over repeats the waits. The lease is therefore written only when the coordinator
 * changes, and is never renewed.
 */
/** Ranks hosts for a pool, best first. Every host computes the same order. */
export type HostRanking = (pool: string, hosts: readonly string[]) => string[];

export type LeaseView = {
    host: string;
    incarnation: string;
    /** Holder and its incarnation according to the newest known lease; undefined when there is none. */
    held: { holder: string; incarnation: string } | undefined;
    /** Live hosts, best first. */
    ranked: readonly string[];
    /** Time since the holder was lost or began to leave; undefined while it is neither lost nor leaving. */
    holderGoneMilliseconds: number | undefined;
    /** Time for which the best host's heartbeats have arrived without a gap; 0 when they do not arrive. */
    bestHeardMilliseconds: number;
};

export type LeaseOptions = {
    /** Additional delay per rank before a host takes a lease, so that two hosts seldom try at the same time. */
    rankMilliseconds: number;
    /** Time for which the best host must have been live before it takes the lease from another live host. */
    settledMilliseconds: number;
};

export const defaultLeaseOptions: LeaseOptions = { rankMilliseconds: 250, settledMilliseconds: 10_000 };

/** Returns whether this host holds the lease under its present incarnation. */
export const holdsLease = (view: LeaseView): boolean =>
    view.held !== undefined && view.held.holder === view.host && view.held.incarnation === view.incarnation;

/**
 * Returns whether this host should take the lease now: when the best host finds no lease, when an earlier incarnation
 * of this host holds it, when the holder is gone and it is this host's turn by rank, or when this host is the best one
 * and has been live for long enough.
 */
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
