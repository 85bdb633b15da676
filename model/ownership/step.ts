/**
 * The transitions of the specification of ownership, and the properties that every state must have. Questions between
 * hosts, and from hosts to targets, are answered within one step: a late answer counts from the sending of its
 * question, so it allows no more than the same answer without delay.
 */
import type { Assignment } from "../../src/contracts/assignment.ts";
import type { Grant } from "../../src/contracts/grant.ts";
import type { HeldGrant } from "../../src/decisions/grant.ts";
import type { RevisionRecord } from "../../src/decisions/revisiontracker.ts";
import type { ModelEvent } from "./events.ts";
import { releaseTimeOf } from "./release.ts";
import type { Rules } from "./rules.ts";
import {
    createStartedHost,
    type Evidence,
    type GrantMessage,
    type Host,
    hotKey,
    moveId,
    newestAssignment,
    type Specification,
    type State,
    type Target,
} from "./state.ts";
import { nextAssignment } from "./write.ts";

const slot = 0;
const slotOf = (): number => slot;

const isSameRecord = (left: RevisionRecord, right: RevisionRecord): boolean =>
    left.revision === right.revision && left.validUntil === right.validUntil
    && left.platformReadAt === right.platformReadAt;

/** The state with the host replaced; the same object if nothing of the host has changed. */
const withHost = (state: State, name: string, host: Host): State => {
    const before = state.hosts[name];
    const isSame = host.assignment === before.assignment && host.pendingRead === before.pendingRead
        && host.voucherRound === before.voucherRound
        && host.released.length === before.released.length && host.evidence === before.evidence
        && host.startedAt === before.startedAt && host.announcedAt === before.announcedAt
        && host.outstanding === before.outstanding && isSameRecord(host.record, before.record);
    return isSame ? state : { ...state, hosts: { ...state.hosts, [name]: host } };
};

const withTarget = (state: State, name: string, target: Target): State => ({
    ...state,
    targets: { ...state.targets, [name]: target },
});

/** Sets the time for the revision and every lower one that has none yet. */
const fillUpTo = (
    times: ReadonlyArray<number | undefined>,
    revision: number,
    time: number,
): ReadonlyArray<number | undefined> => {
    const filled: Array<number | undefined> = [];
    for (let index = 0; index <= Math.max(revision, times.length - 1); index += 1) {
        filled.push(times[index] ?? (index > 0 && index <= revision ? time : undefined));
    }
    return filled;
};

const isReleasedBy = (host: Host) => (move: { since: number; from: string; to: string }): boolean =>
    host.released.includes(moveId(move));

/** The host after it adopts the assignment, if it is newer. A coordinator counts its evidence from now. */
const adopt = (specification: Specification, state: State, name: string, assignment: Assignment): Host => {
    const host = state.hosts[name];
    const { rules, size } = specification;
    if (assignment.revision <= (host.assignment?.revision ?? 0)) {
        return host;
    }
    const knownFrom = rules.evidenceFrom(state.now, name !== size.coordinators[0]);
    const evidence: Evidence = size.coordinators.includes(name)
        ? {
            ...host.evidence,
            knownAt: fillUpTo(host.evidence.knownAt, assignment.revision, knownFrom),
            routers: undefined,
        }
        : host.evidence;
    const unfinished = host.released.filter(released => assignment.moves.some(move => moveId(move) === released));
    return {
        ...host,
        assignment,
        evidence,
        released: unfinished,
        voucherRound: undefined,
        record: rules.acknowledgeRevision(host.record, assignment.revision),
    };
};

/** The host receives the answer to a read of the platform. */
const receive = (specification: Specification, state: State, name: string, read: Host["pendingRead"]): State => {
    const { rules, size } = specification;
    if (read === undefined) {
        return state;
    }
    const host = adopt(specification, state, name, read.assignment);
    const from = rules.confirmedFrom(read.sentAt, state.now);
    const confirmed = rules.confirmByPlatform(
        host.record,
        read.assignment.revision,
        from,
        size.timing.freshnessMilliseconds,
    );
    return withHost(state, name, { ...host, record: confirmed, pendingRead: undefined });
};

/** The host asks another one for its assignment, the rest of its validity, and the moves known to be released. */
const hear = (specification: Specification, state: State, name: string, from: string): State => {
    const { rules } = specification;
    const other = state.hosts[from];
    if (other.assignment === undefined) {
        return state;
    }
    const host = adopt(specification, state, name, other.assignment);
    const answer = rules.answerOf(other.record, state.now);
    const record = rules.confirmByHost(host.record, answer, state.now, host.startedAt);
    const relevant = other.released.filter(released => host.assignment?.moves.some(move => moveId(move) === released));
    const released = [...new Set([...host.released, ...relevant])].sort();
    return withHost(state, name, { ...host, record, released });
};

/**
 * The host asks witnesses to vouch for its revision: all at once if `from` is empty, else the one witness, whose vouch
 * counts together with those of the same round. A majority confirms the revision from the first question of the round.
 */
const vouch = ({ rules, size }: Specification, state: State, name: string, from: string): State => {
    const host = state.hosts[name];
    const witnesses = host.assignment?.witnesses ?? [];
    const { revision } = host.record;
    const { freshnessMilliseconds } = size.timing;
    const vouches = (witness: string): boolean => rules.vouchesFor(state.hosts[witness].record, revision, false);
    const old = host.voucherRound;
    const continuesRound = old !== undefined && from !== "" && !old.vouchers.includes(from);
    const round = continuesRound
        ? { sentAt: old.sentAt, vouchers: [...old.vouchers, from].sort() }
        : { sentAt: state.now, vouchers: from === "" ? witnesses.filter(vouches) : [from] };
    if (!rules.hasMajority(witnesses, witness => round.vouchers.includes(witness))) {
        return from === "" ? state : withHost(state, name, { ...host, voucherRound: round });
    }
    const sentAt = rules.confirmedFrom(round.sentAt, state.now);
    const { vouchers } = round;
    const record = rules.confirmByWitnesses(host.record, revision, vouchers, witnesses, sentAt, freshnessMilliseconds);
    return withHost(state, name, { ...host, record, voucherRound: undefined });
};

const messageKey = (grant: GrantMessage): string => JSON.stringify(grant);

/** The host sends a grant. When too many are under way from it to the target, the oldest is lost. */
const sendGrant = ({ rules, size }: Specification, state: State, name: string, target: string): State => {
    const host = state.hosts[name];
    if (host.assignment === undefined || !rules.mayRenew(host.record, host.assignment.revision, state.now)) {
        return state;
    }
    const withheld = rules.isWithheld(host.assignment, target, isReleasedBy(host));
    const grant: GrantMessage = {
        from: name,
        target,
        revision: host.assignment.revision,
        incarnation: state.targets[target].incarnation,
        validUntil: rules.validUntilOf(state.now, size.timing.timeToLiveMilliseconds, withheld),
        ...rules.entitlementOf(host.assignment, target, isReleasedBy(host), slotOf),
    };
    const same = state.grants.filter(other => other.from === name && other.target === target);
    const lost = same.length < size.maxGrantsInFlight ? undefined : same[0];
    const grants = [...state.grants.filter(other => other !== lost), grant];
    grants.sort((left, right) => (messageKey(left) < messageKey(right) ? -1 : 1));
    return { ...state, grants };
};

/** The grant that the target holds if it receives the message now; undefined when it refuses. */
const heldAfter = (rules: Rules, state: State, message: GrantMessage): HeldGrant | undefined => {
    const target = state.targets[message.target];
    const grant: Grant = {
        pool: "pool",
        revision: message.revision,
        incarnation: String(message.incarnation),
        validUntil: rules.grantedUntil(message.validUntil, state.now),
        slots: message.slots,
        keys: message.keys,
        exceptKeys: message.exceptKeys,
    };
    const { held, refusal } = rules.takeGrant(target.held, grant, String(target.incarnation));
    return refusal === undefined ? held : undefined;
};

/** Drops grants that would change nothing if they arrived now; they can have no effect later either. */
const withoutIneffectiveGrants = ({ rules }: Specification, state: State): State => {
    const grants = state.grants.filter(message => {
        const { held } = state.targets[message.target];
        const after = heldAfter(rules, state, message);
        if (rules.keepsIneffectiveGrants) {
            return true;
        }
        return after !== undefined && (after.revision !== held?.revision || after.validUntil !== held.validUntil
            || after.slots.size !== held.slots.size || after.keys.size !== held.keys.size
            || after.exceptKeys.size !== held.exceptKeys.size);
    });
    return grants.length === state.grants.length ? state : { ...state, grants };
};

/** A grant arrives at its target. Work stops when no live grant is held afterwards. */
const deliver = ({ rules }: Specification, state: State, index: number): State => {
    const message = state.grants.at(index);
    if (message === undefined) {
        return state;
    }
    const rest: State = { ...state, grants: state.grants.filter(other => other !== message) };
    const target = state.targets[message.target];
    const held = heldAfter(rules, state, message) ?? target.held;
    const fenceDecreased = (held?.revision ?? 0) < (target.held?.revision ?? 0);
    const stopped = held === undefined || (rules.stopsAtLapse && state.now >= held.validUntil);
    return {
        ...withTarget(rest, message.target, { ...target, held, running: stopped ? [] : target.running }),
        violation: fenceDecreased ? `The fence of target "${message.target}" went down.` : undefined,
    };
};

/** A request ends at a target that doesn't check grants. A host that has restarted since doesn't learn of it. */
const end = (state: State, index: number): State => {
    const request = state.requests.at(index);
    if (request === undefined) {
        return state;
    }
    const host = state.hosts[request.host];
    const rest: State = { ...state, requests: state.requests.filter(other => other !== request) };
    return host.startedAt === request.life ? withHost(rest, request.host, { ...host, outstanding: [] }) : rest;
};

/** A tick passes. Work stops where the grant has lapsed, and requests end at their deadline. */
const tick = ({ rules }: Specification, state: State): State => {
    const now = state.now + 1;
    const targets: Record<string, Target> = {};
    for (const [name, target] of Object.entries(state.targets)) {
        const lapsed = target.held === undefined || now >= target.held.validUntil;
        targets[name] = lapsed && rules.stopsAtLapse ? { ...target, running: [] } : target;
    }
    let next: State = { ...state, now, targets };
    state.requests.forEach(request => {
        next = request.until > now ? next : end(next, next.requests.indexOf(request));
    });
    return next;
};

const restartHost = (state: State, name: string): State => {
    return { ...withHost(state, name, createStartedHost(state.now)), hostRestarts: state.hostRestarts + 1 };
};

/** A coordinator sends the write of its next assignment to the platform. */
const write = (specification: Specification, state: State, event: ModelEvent & { type: "write" }): State => {
    const host = state.hosts[event.host];
    const assignment = nextAssignment(specification, host, event.change);
    if (host.assignment === undefined || assignment === undefined) {
        return state;
    }
    const pending = { expected: host.assignment.revision, assignment };
    const written: State = { ...state, writes: { ...state.writes, [event.host]: pending } };
    return specification.rules.adoptsUnconfirmedWrites
        ? withHost(written, event.host, adopt(specification, written, event.host, assignment))
        : written;
};

/** The platform receives a write and accepts it if it was made for the stored revision. */
const apply = ({ rules }: Specification, state: State, name: string): State => {
    const pending = state.writes[name];
    const done: State = { ...state, writes: { ...state.writes, [name]: undefined } };
    const stored = newestAssignment(state).revision;
    if (pending === undefined || !rules.acceptsWrite(stored, pending.expected)) {
        return done;
    }
    return {
        ...done,
        history: [...state.history, pending.assignment],
        violation: pending.assignment.revision === stored + 1
            ? undefined
            : "An acknowledged assignment was rolled back.",
    };
};

const withEvidence = (state: State, name: string, change: Partial<Evidence>): State => {
    const host = state.hosts[name];
    return withHost(state, name, { ...host, evidence: { ...host.evidence, ...change } });
};

/** A coordinator receives a target's answer to a grant. */
const observe = ({ rules }: Specification, state: State, name: string, targetName: string): State => {
    const { answers } = state.hosts[name].evidence;
    const { held, running, incarnation } = state.targets[targetName];
    const answer = {
        askedAt: state.now,
        revision: held?.revision ?? 0,
        ...rules.releasingOf(held, running.map(key => ({ slot, key }))),
        newIncarnation: rules.observesRestarts && incarnation > 1,
    };
    return withEvidence(state, name, { answers: { ...answers, [targetName]: answer } });
};

/** A coordinator receives a host's acknowledgement of its revision. */
const acknowledge = (specification: Specification, state: State, name: string, from: string): State => {
    const { acknowledged } = state.hosts[name].evidence;
    const revision = state.hosts[from].record.revision;
    if (acknowledged[from]?.[revision] !== undefined) {
        return state;
    }
    const at = specification.rules.evidenceFrom(state.now, name !== specification.size.coordinators[0]);
    const times = fillUpTo(acknowledged[from] ?? [], revision, at);
    return withEvidence(state, name, { acknowledged: { ...acknowledged, [from]: times } });
};

/** A coordinator receives a host's report that no request of its own is left at the former owner. */
const finished = ({ rules, size }: Specification, state: State, name: string, from: string): State => {
    const other = state.hosts[from];
    if (!rules.mayReportFinished(other.outstanding.length, other.startedAt, state.now, size.timing)) {
        return state;
    }
    const known = state.hosts[name].evidence.finished;
    if (known[from]?.[other.record.revision] !== undefined) {
        return state;
    }
    const times = fillUpTo(known[from] ?? [], other.record.revision, state.now);
    return withEvidence(state, name, { finished: { ...known, [from]: times } });
};

/** A coordinator releases a move, if the evidence allows it by now. */
const release = (specification: Specification, state: State, name: string, wanted: string): State => {
    const host = state.hosts[name];
    const move = host.assignment?.moves.find(candidate => moveId(candidate) === wanted);
    const time = move === undefined ? undefined : releaseTimeOf(specification, host, move);
    return time === undefined || time > state.now
        ? state
        : withHost(state, name, { ...host, released: [...host.released, wanted].sort() });
};

/** A request starts at a target, if its grant covers the key. */
const start = ({ rules }: Specification, state: State, name: string, key: string): State => {
    const target = state.targets[name];
    const revision = target.held?.revision ?? 0;
    return rules.requestRefusal(target.held, { revision, slot, key }, state.now) === undefined
        ? withTarget(state, name, { ...target, running: [...target.running, key].sort() })
        : state;
};

/** A host sends a request to a target that doesn't check grants. It has at most one under way. */
const send = ({ rules, size }: Specification, state: State, name: string, target: string): State => {
    const host = state.hosts[name];
    const { assignment, record, announcedAt } = host;
    if (assignment === undefined || !rules.mayRouteUnchecked(record, assignment.revision, state.now, announcedAt)) {
        return state;
    }
    const entitled = rules.entitlementOf(assignment, target, isReleasedBy(host), slotOf);
    if (
        !entitled.slots.includes(slot)
        || state.requests.some(request => request.host === name && request.life === host.startedAt)
    ) {
        return state;
    }
    const until = state.now + size.timing.longestDeadlineMilliseconds;
    const requests = [...state.requests, { host: name, life: host.startedAt, target, until }];
    return withHost({ ...state, requests }, name, { ...host, outstanding: [...host.outstanding, target] });
};

/** The state after the event, before ineffective grants are dropped and properties are checked. */
const applyEvent = (specification: Specification, state: State, event: ModelEvent): State => {
    switch (event.type) {
        case "tick":
            return tick(specification, state);
        case "read": {
            const read = { assignment: newestAssignment(state), sentAt: state.now };
            return specification.size.lateReads
                ? withHost(state, event.host, { ...state.hosts[event.host], pendingRead: read })
                : receive(specification, state, event.host, read);
        }
        case "receive":
            return receive(specification, state, event.host, state.hosts[event.host].pendingRead);
        case "hear":
            return hear(specification, state, event.host, event.from);
        case "vouch":
            return vouch(specification, state, event.host, event.from);
        case "grant":
            return sendGrant(specification, state, event.host, event.target);
        case "deliver":
            return deliver(specification, state, event.index);
        case "restart-host":
            return restartHost(state, event.host);
        case "restart-target": {
            const { incarnation } = state.targets[event.target];
            const fresh = { incarnation: incarnation + 1, held: undefined, running: [] };
            return { ...withTarget(state, event.target, fresh), targetRestarts: state.targetRestarts + 1 };
        }
        case "announce": {
            const host = { ...state.hosts[event.host], announcedAt: state.now };
            const announced = [...new Set([...state.announced, event.host])].sort();
            return { ...withHost(state, event.host, host), announced };
        }
        case "list":
            return withEvidence(state, event.host, { routers: state.announced });
        case "write":
            return write(specification, state, event);
        case "apply":
            return apply(specification, state, event.host);
        case "observe":
            return observe(specification, state, event.host, event.target);
        case "acknowledge":
            return acknowledge(specification, state, event.host, event.from);
        case "finished":
            return finished(specification, state, event.host, event.from);
        case "release":
            return release(specification, state, event.host, event.move);
        case "start":
            return start(specification, state, event.target, event.key);
        case "finish": {
            const target = state.targets[event.target];
            const running = target.running.filter(key => key !== event.key);
            return withTarget(state, event.target, { ...target, running });
        }
        case "send":
            return send(specification, state, event.host, event.target);
        case "end":
            return end(state, event.index);
    }
};

/** The targets that hold the key now or still run a request for it. */
export const holdersOf = ({ size, rules }: Specification, state: State, key: string): string[] =>
    size.targets.filter(name => {
        const { held, running } = state.targets[name];
        const serves = held !== undefined && rules.ownsKey(held, slot, key, state.now);
        return serves || running.includes(key) || state.requests.some(request => request.target === name);
    });

/**
 * The first property that the state violates: at most one target owns a key, and hosts act only on assignments that the
 * platform has stored.
 */
const violationOf = (specification: Specification, state: State): string | undefined => {
    for (const key of specification.size.hasHotKey ? ["plain", hotKey] : ["plain"]) {
        const holders = holdersOf(specification, state, key);
        if (holders.length > 1) {
            return `Targets "${holders.join("\" and \"")}" own key "${key}" at the same time.`;
        }
    }
    for (const [name, { assignment }] of Object.entries(state.hosts)) {
        if (assignment !== undefined && state.history[assignment.revision - 1] !== assignment) {
            return `Host "${name}" acts on an assignment that the platform does not hold.`;
        }
    }
    return undefined;
};

/** The state after the event. It carries the first property that was violated. */
export const nextState = (specification: Specification, state: State, event: ModelEvent): State => {
    const next = withoutIneffectiveGrants(specification, applyEvent(specification, state, event));
    const violation = next.violation ?? violationOf(specification, next);
    return violation === next.violation ? next : { ...next, violation };
};
