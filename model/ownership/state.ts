/**
 * The state of the specification of ownership. It has one pool with one slot and, where the size says so, one key of
 * the slot that can be placed on its own. Time is counted in ticks, also where names say milliseconds.
 */
import type { Assignment } from "../../src/contracts/assignment.ts";
import type { HeldGrant } from "../../src/decisions/grant.ts";
import type { MoveTiming, TargetEvidence } from "../../src/decisions/move.ts";
import { emptyRecord, type RevisionRecord } from "../../src/decisions/revisiontracker.ts";
import type { Rules } from "./rules.ts";

/**
 * Changes that a coordinator may write: a move of the slot by force or gracefully ("hand-over"), other renewers or
 * witnesses, the removal of what is no longer needed ("tidy"), and the placement of the hot key apart from its slot or
 * back ("lift").
 */
export type Change = "force" | "hand-over" | "renewers" | "witnesses" | "tidy" | "lift";

/** The bounds within which the specification is explored, and the features that take part. */
export type Size = {
    name: string;
    hosts: string[];
    coordinators: string[];
    targets: string[];
    renewers: Record<string, string[]>;
    /** Renewers after a change of renewers. */
    otherRenewers: Record<string, string[]>;
    witnesses: string[];
    /** Witnesses after a change of witnesses. */
    otherWitnesses: string[];
    /** Hosts that have not announced themselves in the initial state. */
    unannounced: string[];
    /** Whether targets check grants. */
    checksGrants: boolean;
    /** Whether requests take time at targets that check grants. */
    requestsTakeTime: boolean;
    /** Whether hosts share what they know with each other, including their reads of the platform. */
    hostsShareKnowledge: boolean;
    /** Whether answers of the platform to reads may be late. */
    lateReads: boolean;
    /** Whether the vouches of a majority are gathered one by one instead of all at once. */
    vouchersApart: boolean;
    /** Grants under way from one host to one target. When a further one is sent, the oldest is lost. */
    maxGrantsInFlight: number;
    /** Whether there is a key that may be placed apart from its slot. */
    hasHotKey: boolean;
    changes: Change[];
    maxRevision: number;
    maxHostRestarts: number;
    maxTargetRestarts: number;
    timing: MoveTiming;
};

/** What a coordinator knows about the progress of moves. */
export type Evidence = {
    /** For each revision, when the coordinator first knew it or a later one. */
    knownAt: ReadonlyArray<number | undefined>;
    /** For each host and revision, when the coordinator first had its acknowledgement of that or a later revision. */
    acknowledged: Readonly<Record<string, ReadonlyArray<number | undefined>>>;
    /** For each host and revision, when the host first reported that no request of its own is left. */
    finished: Readonly<Record<string, ReadonlyArray<number | undefined>>>;
    /** Newest answer of each target. */
    answers: Readonly<Record<string, TargetEvidence & { newIncarnation: boolean }>>;
    /** Hosts that the platform listed since the newest assignment was known; undefined before the list is read. */
    routers: readonly string[] | undefined;
};

export type Host = {
    startedAt: number;
    announcedAt: number | undefined;
    record: RevisionRecord;
    /** Newest assignment that the host has acknowledged. */
    assignment: Assignment | undefined;
    /** Read of the platform whose answer has not arrived. */
    pendingRead: { assignment: Assignment; sentAt: number } | undefined;
    /** Witnesses that have vouched so far for the host's revision, and when the first was asked. */
    voucherRound: { sentAt: number; vouchers: readonly string[] } | undefined;
    /** Moves known to be released. */
    released: readonly string[];
    /** Targets, which do not check grants, with a request that the host has sent since its start and not finished. */
    outstanding: readonly string[];
    evidence: Evidence;
};

export type GrantMessage = {
    from: string;
    target: string;
    revision: number;
    incarnation: number;
    validUntil: number;
    slots: number[];
    keys: string[];
    exceptKeys: string[];
};

export type Target = { incarnation: number; held: HeldGrant | undefined; running: readonly string[] };

export type State = {
    now: number;
    /** All assignments that the platform has held, by revision. */
    history: readonly Assignment[];
    /** Hosts that the platform lists. */
    announced: readonly string[];
    /** Conditional writes on their way to the platform, by coordinator. */
    writes: Readonly<Record<string, { expected: number; assignment: Assignment } | undefined>>;
    hosts: Readonly<Record<string, Host>>;
    targets: Readonly<Record<string, Target>>;
    /** Grants under way. */
    grants: readonly GrantMessage[];
    /** Requests that may be running at targets that do not check grants. `life` is the start time of their host. */
    requests: ReadonlyArray<{ host: string; life: number; target: string; until: number }>;
    hostRestarts: number;
    targetRestarts: number;
    violation: string | undefined;
};

/** A specification: the rules, and the size at which they are explored. */
export type Specification = { size: Size; rules: Rules };

export const plainKey = "plain";
export const hotKey = "hot";

export const emptyEvidence: Evidence = { knownAt: [], acknowledged: {}, finished: {}, answers: {}, routers: undefined };

export const moveId = (move: { since: number; from: string; to: string }): string =>
    `${move.from}>${move.to}@${move.since}`;

export const newestAssignment = (state: State): Assignment => state.history[state.history.length - 1];

/** A host that has just started and knows nothing. */
export const createStartedHost = (startedAt: number): Host => ({
    startedAt,
    announcedAt: undefined,
    record: emptyRecord,
    assignment: undefined,
    pendingRead: undefined,
    voucherRound: undefined,
    released: [],
    outstanding: [],
    evidence: emptyEvidence,
});

/** The state in which the first target owns the slot and every host has just read the platform. */
export const initialState = ({ size, rules }: Specification): State => {
    const first: Assignment = {
        revision: 1,
        targets: size.targets,
        owners: [0],
        hotKeys: [],
        moves: [],
        renewers: size.renewers,
        witnesses: size.witnesses,
        keepers: [],
    };
    const { freshnessMilliseconds, timeToLiveMilliseconds, longestDeadlineMilliseconds } = size.timing;
    const hosts: Record<string, Host> = {};
    for (const name of size.hosts) {
        const fresh = createStartedHost(-longestDeadlineMilliseconds);
        hosts[name] = size.unannounced.includes(name) ? { ...fresh, startedAt: 0 } : {
            ...fresh,
            announcedAt: -1,
            assignment: first,
            record: rules.confirmByPlatform(emptyRecord, 1, 0, freshnessMilliseconds),
            evidence: { ...emptyEvidence, knownAt: [undefined, 0] },
        };
    }
    const targets: Record<string, Target> = {};
    for (const name of size.targets) {
        const held: HeldGrant = {
            revision: 1,
            validUntil: timeToLiveMilliseconds,
            slots: new Set([0]),
            keys: new Set(),
            exceptKeys: new Set(),
        };
        targets[name] = {
            incarnation: 1,
            held: size.checksGrants && name === size.targets[0] ? held : undefined,
            running: [],
        };
    }
    return {
        now: 0,
        history: [first],
        announced: size.hosts.filter(name => !size.unannounced.includes(name)),
        writes: {},
        hosts,
        targets,
        grants: [],
        requests: [],
        hostRestarts: 0,
        targetRestarts: 0,
        violation: undefined,
    };
};
