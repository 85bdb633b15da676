/**
 * Whether a version of an object is in force everywhere: on every announced host that can be reached, while the others
 * are known to admit no more. A host that can not be reached stops admitting by an older version at the latest its
 * isolation time after a majority has the newer one in force; see `isolation.ts`.
 */

/** An announced host, read from the platform after the version was written. */
export type AnnouncedMember = { name: string; incarnation: string; isolationMilliseconds: number };

/** What a host says of itself. */
export type HostVersionReport = { incarnation: string; admits: boolean; inForce: number };

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
    /** Names of the hosts of which a majority decides. */
    majorityHosts: ReadonlySet<string>;
    /** What each host said, asked after the version was written; hosts that did not answer are left out. */
    words: ReadonlyMap<string, HostVersionReport>;
    /** When a majority was first seen to have the version in force, on the asker's monotonic clock. */
    majoritySince: number | undefined;
    now: number;
};

export type RolloutVerdict = {
    states: Map<string, RolloutState>;
    /** Whether a majority has the version in force now. */
    majority: boolean;
    /** Whether no host serves by an older version. */
    everywhere: boolean;
};

const clockDriftRatio = 1.05;
const marginMilliseconds = 500;

const stateOf = (member: AnnouncedMember, view: RolloutView): RolloutState => {
    const word = view.words.get(member.name);
    const answered = word !== undefined && word.incarnation === member.incarnation;
    if (answered && word.inForce >= view.version) {
        return rolloutStates.inForce;
    }
    if (answered && (word.admits || view.majoritySince === undefined)) {
        return rolloutStates.behind;
    }
    const needed = member.isolationMilliseconds * clockDriftRatio + marginMilliseconds;
    const waited = view.majoritySince === undefined ? 0 : view.now - view.majoritySince;
    if (waited >= needed) {
        return rolloutStates.cutOff;
    }
    return answered ? rolloutStates.behind : rolloutStates.unreachable;
};

/** Judges how far a version has come. */
export const judgeRollout = (view: RolloutView): RolloutVerdict => {
    const states = new Map(view.members.map(member => [member.name, stateOf(member, view)]));
    const deciding = [...states].filter(([name]) => view.majorityHosts.has(name));
    const holding = deciding.filter(([, state]) => state === rolloutStates.inForce).length;
    const settled = [...states.values()].every(state =>
        state === rolloutStates.inForce || state === rolloutStates.cutOff
    );
    return { states, majority: 2 * holding > deciding.length, everywhere: settled };
};
