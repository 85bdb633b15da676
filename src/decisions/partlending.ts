/**
 * What of its part of a target's connections a host lends to another one. A loan moves connections from one part to
 * another, so the sum over all hosts stays the same, whatever they know of each other: the lender goes without them until
 * it has them back or the loan has run out on its own clock, and the borrower uses them only for requests that end before.
 */

/** Time for which a borrower may use what it has asked for, from when it asked. */
export const loanMilliseconds = 5_000;
/** The lender waits this much longer: clocks differ a little, and connections take a moment to close. */
const marginMilliseconds = 500;
/** Time for which the lender goes without what it has lent, from when it granted. */
export const lentMilliseconds = loanMilliseconds + marginMilliseconds;
/** A lender keeps this share of its part. */
const keptShare = 0.5;
/** Hosts with few connections keep them for what comes at once. */
const minKept = 3;
/** Connections beyond those in use that a lender keeps free for its next requests. */
const spareConnections = 2;

export type LenderState = {
    part: number;
    /** Connections of the part that are lent now. */
    lent: number;
    /** Requests that use connections of the part. */
    inUse: number;
    /** Whether the host also knows those that joined with it. */
    isSettled: boolean;
    /** Whether a process that ran on this host before may have lent what has not run out. */
    mayHaveLent: boolean;
};

/** Connections that no host lends. */
const keptConnections = (part: number): number => Math.min(part, Math.max(minKept, Math.ceil(part * keptShare)));

/** Whether hosts lend any of such parts. Those of the other hosts of a target are about as large. */
export const isLent = (part: number): boolean => keptConnections(part) < part;

/** Returns how many connections of its part a host may use itself. */
export const ownConnections = (
    { part, lent, mayHaveLent }: Pick<LenderState, "part" | "lent" | "mayHaveLent">,
): number => mayHaveLent ? keptConnections(part) : Math.max(0, part - lent);

/** Returns how many of the connections that it is asked for a host lends. */
export const grantedConnections = (state: LenderState, asked: number): number => {
    const { part, lent, inUse, isSettled, mayHaveLent } = state;
    if (!isSettled || mayHaveLent) {
        return 0;
    }
    const idle = part - lent - inUse - spareConnections;
    const lendable = part - keptConnections(part) - lent;
    return Math.max(0, Math.min(asked, idle, lendable));
};
