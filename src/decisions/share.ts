/**
 * Computes this host's share of a target's capacity or of a plan's rate. The shares of all listed hosts add up to one.
 */

/** A host among which capacity is divided. */
export type Member = {
    name: string;
    /** Relative capacity of the machine. */
    size: number;
};

/** Returns this host's share by size, from 0 to 1. The host counts itself even if it is not listed yet. */
export const shareOf = (members: Member[], self: Member): number => {
    const others = members.filter(member => member.name !== self.name);
    const sum = others.reduce((total, member) => total + member.size, self.size);
    return self.size / sum;
};

/**
 * Divisor of the connections of a target. It leaves half of them free, so that all hosts can be replaced before the
 * other hosts notice.
 */
const replacementHeadroom = 2;
/** Connections to a target that each host reserves for control messages. */
const controlConnections = 1;

/**
 * Returns the number of connections for requests that this host may open to a target, in addition to the control
 * connection.
 */
export const connectionsFor = (connections: number, share: number): number =>
    Math.max(1, Math.floor((connections * share) / replacementHeadroom) - controlConnections);
