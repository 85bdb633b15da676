/**
 * Deliberate breaks of the rules. Each must lead to a violation, which proves that the check can fail. Several are
 * rules of the first design, which a trace of the model refuted.
 */
import type { ModelEvent } from "./events.ts";
import { type Rules, rules } from "./rules.ts";
import { baseSize } from "./sizes.ts";
import type { Size } from "./state.ts";

export type Break = {
    title: string;
    rules: Partial<Rules>;
    size: Size;
    /** Events that lead from the initial state to the one from which the search for the violation starts. */
    prefix: ModelEvent[];
};

const pair: Partial<Size> = { hosts: ["h1", "h2"], witnesses: ["h1", "h2"], otherWitnesses: ["h1"] };
const oneWitness: Partial<Size> = { hosts: ["h1", "h2"], witnesses: ["h1"] };
const unchecked: Partial<Size> = { ...oneWitness, checksGrants: false };

const longGrants = { timing: { ...baseSize.timing, timeToLiveMilliseconds: 2 } };
const longFreshness = { timing: { ...baseSize.timing, freshnessMilliseconds: 2 } };
const longDeadline = { timing: { ...baseSize.timing, longestDeadlineMilliseconds: 2 } };

/** The coordinator writes the move. As the only witness it acknowledges it, and releases it two ticks later. */
const releasedByWitness: ModelEvent[] = [
    { type: "write", host: "h1", change: "force" },
    { type: "apply", host: "h1" },
    { type: "read", host: "h1" },
    { type: "acknowledge", host: "h1", from: "h1" },
    { type: "tick" },
    { type: "tick" },
    { type: "release", host: "h1", move: "a>b@2" },
];

/** The renewer acknowledges the move and restarts. A third host read the platform just before the write. */
const renewerRestarted: ModelEvent[] = [
    { type: "tick" },
    { type: "read", host: "h3" },
    { type: "write", host: "h1", change: "force" },
    { type: "apply", host: "h1" },
    { type: "read", host: "h1" },
    { type: "read", host: "h2" },
    { type: "acknowledge", host: "h1", from: "h2" },
    { type: "restart-host", host: "h2" },
];

/** The renewers of target a change, and the slot moves, while the former renewer knows of neither. */
const renewersReplaced: ModelEvent[] = [
    { type: "write", host: "h1", change: "renewers" },
    { type: "apply", host: "h1" },
    { type: "read", host: "h1" },
    { type: "write", host: "h1", change: "force" },
    { type: "apply", host: "h1" },
    { type: "read", host: "h1" },
    { type: "acknowledge", host: "h1", from: "h1" },
    { type: "tick" },
];

/** A grant is still under way when the target accepts the move, answers so, and the move is released. */
const grantLeftBehind: ModelEvent[] = [
    { type: "tick" },
    { type: "read", host: "h2" },
    { type: "grant", host: "h2", target: "a" },
    { type: "write", host: "h1", change: "force" },
    { type: "apply", host: "h1" },
    { type: "read", host: "h1" },
    { type: "read", host: "h2" },
    { type: "acknowledge", host: "h1", from: "h2" },
    { type: "grant", host: "h2", target: "a" },
    { type: "deliver", index: 1 },
    { type: "tick" },
    { type: "observe", host: "h1", target: "a" },
    { type: "release", host: "h1", move: "a>b@2" },
];

const breakOf = (
    title: string,
    broken: Partial<Rules>,
    changes: Partial<Size> = {},
    prefix: ModelEvent[] = [],
): Break => ({ title, rules: broken, size: { ...baseSize, ...changes, name: title }, prefix });

export const breaks: Break[] = [
    breakOf("no wait for the time to live", {
        releaseTime: (move, assignment, evidence, timing) =>
            rules.releaseTime(move, assignment, evidence, { ...timing, timeToLiveMilliseconds: 0 }),
    }, pair),
    breakOf("no wait for freshness", {
        releaseTime: (move, assignment, evidence, timing) =>
            rules.releaseTime(move, assignment, evidence, { ...timing, freshnessMilliseconds: 0 }),
    }, { ...oneWitness, ...longFreshness }),
    breakOf("the wait is shortened on take-over", {
        evidenceFrom: (now, tookOver) => tookOver ? now - 1 : now,
    }, { ...pair, coordinators: ["h1", "h2"], renewers: { a: ["h1"], b: ["h2"] } }),
    breakOf("the new owner is granted before the move is released", {
        entitlementOf: (assignment, target, isReleased, slotOf) =>
            rules.entitlementOf(assignment, target, move => isReleased(move) || true, slotOf),
    }, pair),
    breakOf("a grant counts from its receipt", {
        grantedUntil: (validUntil, receivedAt) => Math.max(validUntil, receivedAt + 1),
    }, pair),
    breakOf("a confirmation counts from its answer", {
        confirmedFrom: (sentAt, receivedAt) => Math.max(sentAt, receivedAt),
    }, { ...oneWitness, lateReads: true }),
    breakOf("a target ignores its fence", {
        takeGrant: (held, grant, incarnation) =>
            rules.takeGrant(held === undefined ? held : { ...held, revision: 0 }, grant, incarnation),
    }, { ...pair, ...longGrants, maxGrantsInFlight: 2 }),
    breakOf(
        "a target takes a grant for its former incarnation",
        {
            keepsIneffectiveGrants: true,
            takeGrant: (held, grant) => rules.takeGrant(held, grant, grant.incarnation),
        },
        { ...pair, ...longGrants, maxGrantsInFlight: 2, maxTargetRestarts: 1 },
        grantLeftBehind,
    ),
    breakOf("a target's work outlasts its grant", { stopsAtLapse: false }, { ...pair, requestsTakeTime: true }),
    breakOf("a target whose slot moves by force is still renewed", {
        isWithheld: () => false,
    }, { ...pair, ...longGrants, requestsTakeTime: true }),
    breakOf("a graceful move is released by time", {
        releaseTime: (move, assignment, evidence, timing) =>
            rules.releaseTime({ ...move, forced: true }, assignment, evidence, timing),
    }, { ...pair, ...longGrants, changes: ["hand-over"], requestsTakeTime: true }),
    breakOf("a new incarnation releases the move", {
        observesRestarts: true,
        releaseTime: (move, assignment, evidence, timing) =>
            evidence.targetAnswer !== undefined && "newIncarnation" in evidence.targetAnswer
                && evidence.targetAnswer.newIncarnation === true
                ? evidence.knownAt
                : rules.releaseTime(move, assignment, evidence, timing),
    }, { ...pair, maxTargetRestarts: 1 }),
    breakOf("the former owner's answer counts while a renewer is behind", {
        releaseTime: (move, assignment, evidence, timing) =>
            rules.releasedByTarget(move, evidence.targetAnswer)
                ? evidence.knownAt
                : rules.releaseTime(move, assignment, evidence, timing),
    }, { ...pair, renewers: { a: ["h1", "h2"], b: ["h1"] }, maxTargetRestarts: 1 }),
    breakOf("a witness vouches below what it acknowledged", {
        vouchesFor: (record, revision) => record.platformReadAt !== undefined && record.revision >= revision,
    }, oneWitness),
    breakOf(
        "a witness vouches after a restart by what other hosts say",
        {
            vouchesFor: (record, revision) => record.revision === revision,
        },
        { ...oneWitness, hostsShareKnowledge: true, maxHostRestarts: 1 },
        releasedByWitness,
    ),
    breakOf("a renewer renews after a restart by what other hosts say", {
        mayRenew: (record, revision, now) => rules.remainingOf(record, revision, now) > 0,
    }, {
        witnesses: [],
        hostsShareKnowledge: true,
        maxHostRestarts: 1,
        ...longFreshness,
    }, renewerRestarted),
    breakOf("a relayed read from before the start counts", {
        confirmByHost: (record, answer, sentAt) => rules.confirmByHost(record, answer, sentAt, -Infinity),
    }, {
        witnesses: [],
        hostsShareKnowledge: true,
        maxHostRestarts: 1,
        ...longFreshness,
    }, renewerRestarted),
    breakOf(
        "another host's confirmation counts for its full time",
        {
            confirmByHost: (record, answer, sentAt, startedAt) =>
                rules.confirmByHost(record, { ...answer, remainingMilliseconds: 1 }, sentAt, startedAt),
        },
        { witnesses: ["h1"], hostsShareKnowledge: true },
        releasedByWitness,
    ),
    breakOf("renewers that were replaced are forgotten", {
        formerRenewersAfter: () => ({}),
    }, {
        ...oneWitness,
        witnesses: ["h2"],
        otherRenewers: { a: ["h1"], b: ["h1"] },
        changes: ["renewers", "force"],
        maxRevision: 3,
    }, renewersReplaced),
    breakOf("witnesses that were replaced are forgotten", {
        releaseTime: (move, assignment, evidence, timing) =>
            rules.releaseTime(move, { ...assignment, formerWitnesses: undefined }, evidence, timing),
    }, { ...pair, witnesses: ["h2"], otherWitnesses: ["h1"], changes: ["witnesses", "force"], maxRevision: 3 }),
    breakOf("the platform takes a write that was made for another version", {
        acceptsWrite: () => true,
    }, { ...pair, coordinators: ["h1", "h2"] }),
    breakOf("a coordinator acts on a write that it does not know to have taken effect", {
        adoptsUnconfirmedWrites: true,
    }, pair),
    breakOf("targets that do not check: the routers are not waited for", {
        releaseTimeUnchecked: (...seen) => seen[2].knownAt,
    }, unchecked),
    breakOf("targets that do not check: requests under way are not waited for", {
        releaseTimeUnchecked: (move, assignment, evidence, timing) =>
            rules.releaseTimeUnchecked(move, assignment, evidence, { ...timing, longestDeadlineMilliseconds: 0 }),
    }, { ...unchecked, ...longDeadline }),
    breakOf("targets that do not check: a restarted host reports at once", {
        mayReportFinished: outstandingRequests => outstandingRequests === 0,
    }, { ...unchecked, maxHostRestarts: 1 }),
    breakOf("targets that do not check: a host routes by a read from before it announced itself", {
        mayRouteUnchecked: (record, revision, now) => rules.remainingOf(record, revision, now) > 0,
    }, { ...unchecked, unannounced: ["h2"] }),
];
