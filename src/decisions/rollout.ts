/**
 * Decides whether a version of an object is in force everywhere: every announced host that can be reached has it in
 * force, and the others are known to have stopped admitting requests. A host that can not be reached stops admitting by
 * an older version no later than its isolation time after a majority has the newer one in force; see `isolation.ts`.
 */

/** An announced host, read from the platform after the version was written. */
export type AnnouncedMember = { name: string; incarnation: string; isolationMilliseconds: number };

/** A host's report on an object: whether it admits requests, and the version that it has in force. */
export type HostVersionReport = { incarnation: string; admits: boolean; inForce: number };

/** How far a version has come on one host. */
export const rolloutStates = {
    inForce: "in-force",
    behind: "behind",
    unreachable: "unreachable",
    cutOff: "cut-off",
} as const;
export type RolloutState = (typeof rolloutStates)[keyof typeof rolloutStates];

export type RolloutView = {
    version: number;
    members: AnnouncedMember[];
    /** Names of the hosts that count for the majority. */
    majorityHosts: ReadonlySet<string>;
    /** Reports by host, requested after the version was written. Hosts that did not answer have no entry. */
    words: ReadonlyMap<string, HostVersionReport>;
    /** When a majority was first seen to have the version in force, on the caller's monotonic clock in milliseconds. */
    majoritySince: number | undefined;
    now: number;
};

export type RolloutVerdict = {
    states: Map<string, RolloutState>;
    /** Whether a majority of `majorityHosts` has the version in force now. */
    majority: boolean;
    /** Whether no host serves by an older version any more. */
    everywhere: boolean;
};

/** Factor on the isolation time of a host, since its clock may run slower than the caller's. */
const clockDriftRatio = 1.05;
const marginMilliseconds = 500;

const stateOf = (member: AnnouncedMember, view: RolloutView): RolloutState => {
    const report = view.words.get(member.name);
    const answered = report !== undefined && report.incarnation === member.incarnation;
    if (answered && report.inForce >= view.version) {
        return rolloutStates.inForce;
    }
    if (answered && (report.admits || view.majoritySince === undefined)) {
        return rolloutStates.behind;
    }
    const requiredMilliseconds = member.isolationMilliseconds * clockDriftRatio + marginMilliseconds;
    const waitedMilliseconds = view.majoritySince === undefined ? 0 : view.now - view.majoritySince;
    if (waitedMilliseconds >= requiredMilliseconds) {
        return rolloutStates.cutOff;
    }
    return answered ? rolloutStates.behind : rolloutStates.unreachable;
};

/** Determines how far a version has come on each host, and whether it is in force everywhere. */
export const judgeRollout = (view: RolloutView): RolloutVerdict => {
    const states = new Map(view.members.map(member => [member.name, stateOf(member, view)]));
    const majorityStates = [...states].filter(([name]) => view.majorityHosts.has(name));
    const inForceCount = majorityStates.filter(([, state]) => state === rolloutStates.inForce).length;
    const settled = [...states.values()].every(state =>
        state === rolloutStates.inForce || state === rolloutStates.cutOff
    );
    return { states, majority: 2 * inForceCount > majorityStates.length, everywhere: settled };
};
