/**
 * Shares: which part of a target or of a plan's rate falls to this host. The parts of all listed hosts add up to one.
 */

export type Member = {
    name: string;
    /** Relative capacity of the machine. */
    size: number;
};

/** This host's part, from 0 to 1, by size. The host counts itself also while it is not yet listed. */
export const shareOf = (members: Member[], self: Member): number => {
    const others = members.filter(member => member.name !== self.name);
    const sum = others.reduce((total, member) => total + member.size, self.size);
    return self.size / sum;
};

/** Part of a target's connections that stays free, so that a whole fleet may be replaced before others notice. */
const replacementHeadroom = 2;
const controlConnections = 1;

/** Connections for requests that this host may open; one more is for control. */
export const connectionsFor = (connections: number, share: number): number =>
    Math.max(1, Math.floor((connections * share) / replacementHeadroom) - controlConnections);
