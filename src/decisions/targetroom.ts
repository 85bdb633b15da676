/**
 * How many connections a host may use at a target that accepts a limited number from all hosts together. A part is
 * divided among the hosts that are known; the rest is kept for hosts that join before all others know of them.
 */

/** The hosts among which a target's connections are divided, as one host knows them. */
export type SharingHosts = {
    /** Hosts that are known, this one included. */
    count: number;
    /** Place of this host in the order of all hosts, from 0. */
    place: number;
    /** Whether this host also knows those that joined at the same time. */
    isSettled: boolean;
    /** Whether a process that ran on this host before may have lent a part of its connections. */
    mayHaveLent?: boolean;
};

/**
 * Fraction that is divided among the known hosts. When three quarters as many join and none of the others learns of it,
 * the parts sum up to 1 + 3/7 of this.
 */
const settledFraction = 0.65;
/** Fraction that is divided among all hosts for those that join: three quarters as many use 3/4 of this at most. */
const joiningFraction = 0.4;
/** The hosts of a new deployment start together before any knows another. */
const minJoiningHosts = 14;
/** Where there are more hosts than parts, connections are open for one request only, while all hosts have fewer. */
const sparseFraction = 0.8;
/** How many of these one host may open. */
const sparseConnections = 2;
/** The same for a host that knows of no host, as when the store does not answer at its start. */
const unknownConnections = 1;
/** The same for a host that has just joined and has no part, since others keep theirs open. */
const joiningSparseFraction = 0.2;

const isSparse = (accepted: number, { count }: SharingHosts): boolean => accepted * settledFraction < count;

/**
 * Returns the host's part: the connections that it may use and keep open.
 *
 * @param accepted connections that the target accepts from all hosts.
 * @param offset a number from 0, different for each target, so that not the same hosts get what doesn't divide evenly.
 * @param hosts undefined when no hosts are known.
 */
export const connectionPart = (accepted: number, offset: number, hosts: SharingHosts | undefined): number => {
    if (hosts === undefined || isSparse(accepted, hosts)) {
        return 0;
    }
    const { count, place, isSettled } = hosts;
    if (!isSettled) {
        return Math.floor(Math.min(accepted * joiningFraction / count, accepted / minJoiningHosts));
    }
    const divided = Math.floor(accepted * settledFraction);
    const hasOneMore = (place + offset) % count < divided % count;
    return Math.floor(divided / count) + Number(hasOneMore);
};

/**
 * Returns how many connections a host without a part may open, each for one request.
 *
 * @param hosts undefined when no hosts are known.
 * @param requests requests of all hosts at the target, as far as this one knows.
 */
export const sparseLimit = (accepted: number, hosts: SharingHosts | undefined, requests: number): number => {
    const hasJoined = hosts?.isSettled === false;
    const most = Math.max(1, Math.floor(accepted * (hasJoined ? joiningSparseFraction : sparseFraction)));
    const isLimitedToOne = hasJoined || hosts === undefined;
    return requests < most ? Math.min(most, isLimitedToOne ? unknownConnections : sparseConnections) : 0;
};
