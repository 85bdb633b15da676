/**
 * The state of the specification of ownership. One pool with one slot and, where the size says so, one key of the slot
 * that is placed by itself. Time is a count of ticks.
 */
import type { Assignment } from "../../src/contracts/assignment.ts";
import type { HeldGrant } from "../../src/decisions/grant.ts";
import type { MoveTiming, TargetEvidence } from "../../src/decisions/move.ts";
import { emptyRecord, type RevisionRecord } from "../../src/decisions/revisiontracker.ts";
import type { Rules } from "./rules.ts";

/** What coordinators may write. */
export type Change = "force" | "hand-over" | "renewers" | "witnesses" | "tidy" | "lift";

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
    /** Hosts that have not announced themselves at the start. */
    unannounced: string[];
    checksGrants: boolean;
    /** Whether requests run at targets for longer than an instant. */
    requestsTakeTime: boolean;
    /** Whether hosts pass on what they know, reads of the platform included. */
    hostsShareKnowledge: boolean;
    /** Whether reads of the platform may be answered late. */
    lateReads: boolean;
    /** Whether the vouchers of a majority are gathered one by one instead of at once. */
    vouchersApart: boolean;
    /** Grants on their way from one host to one target; a further one takes the place of the oldest, which is lost. */
    maxGrantsInFlight: number;
    /** Whether a key may be placed apart from its slot. */
    hasHotKey: boolean;
    changes: Change[];
    maxRevision: number;
    maxHostRestarts: number;
    maxTargetRestarts: number;
    timing: MoveTiming;
};

export type Evidence = {
    /** For each revision, when the coordinator knew it or a later one. */
    knownAt: ReadonlyArray<number | undefined>;
    /** For each host and revision, when the coordinator had its acknowledgement of that revision or a later one. */
    acknowledged: Readonly<Record<string, ReadonlyArray<number | undefined>>>;
    finished: Readonly<Record<string, ReadonlyArray<number | undefined>>>;
    answers: Readonly<Record<string, TargetEvidence & { newIncarnation: boolean }>>;
    routers: readonly string[] | undefined;
};

export type Host = {
    startedAt: number;
    announcedAt: number | undefined;
    record: RevisionRecord;
    /** Newest assignment that the host has acknowledged. */
    assignment: Assignment | undefined;
    /** A read of the platform whose answer has not arrived. */
    pendingRead: { assignment: Assignment; sentAt: number } | undefined;
    /** Vouchers so far for the held revision. */
    voucherRound: { sentAt: number; vouchers: readonly string[] } | undefined;
    /** Moves known to be released. */
    released: readonly string[];
    /** Requests of this life of the host at targets that do not check grants. */
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
    announced: readonly string[];
    /** Conditional writes on their way to the platform, by coordinator. */
    writes: Readonly<Record<string, { expected: number; assignment: Assignment } | undefined>>;
    hosts: Readonly<Record<string, Host>>;
    targets: Readonly<Record<string, Target>>;
    grants: readonly GrantMessage[];
    /** Requests that are or may be running at targets that do not check grants. */
    requests: ReadonlyArray<{ host: string; life: number; target: string; until: number }>;
    hostRestarts: number;
    targetRestarts: number;
    violation: string | undefined;
};

/** A specification: its size and the rules it uses. */
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
