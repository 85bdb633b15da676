/**
 * The events of the specification of ownership. A paused host or target, a cut link and an outage of the platform need
 * no events: the exploration may leave out any event for any time, and deliver any message late.
 */
import type { Assignment } from "../../src/contracts/assignment.ts";
import { type Change, hotKey, moveId, plainKey, type Specification, type State } from "./state.ts";

export type ModelEvent =
    | { type: "tick" }
    | { type: "read" | "receive" | "announce" | "restart-host" | "list" | "apply"; host: string }
    | { type: "hear" | "vouch" | "acknowledge" | "finished"; host: string; from: string }
    | { type: "grant" | "observe" | "send"; host: string; target: string }
    | { type: "deliver" | "end"; index: number }
    | { type: "restart-target"; target: string }
    | { type: "write"; host: string; change: Change }
    | { type: "release"; host: string; move: string }
    | { type: "start" | "finish"; target: string; key: string };

/** The target that owns the slot by the assignment. */
export const slotOwner = (assignment: Assignment): string => assignment.targets[assignment.owners[0]];

const keysOf = (specification: Specification): string[] =>
    specification.size.hasHotKey ? [plainKey, hotKey] : [plainKey];

const hostEvents = ({ size, rules }: Specification, state: State, host: string): ModelEvent[] => {
    const { record, assignment, pendingRead: read, announcedAt } = state.hosts[host];
    const events: ModelEvent[] = [];
    if (read !== undefined) {
        events.push({ type: "receive", host });
    }
    if (announcedAt === undefined && !size.checksGrants) {
        events.push({ type: "announce", host });
    }
    events.push({ type: "read", host });
    if (state.hostRestarts < size.maxHostRestarts) {
        events.push({ type: "restart-host", host });
    }
    if (assignment === undefined) {
        return events;
    }
    if (!size.vouchersApart) {
        events.push({ type: "vouch", host, from: "" });
    }
    for (const from of size.vouchersApart ? size.witnesses : []) {
        const other = state.hosts[from].record;
        if (assignment.witnesses.includes(from) && rules.vouchesFor(other, record.revision, false)) {
            events.push({ type: "vouch", host, from });
        }
    }
    for (const target of size.targets) {
        // An empty grant has an effect only on a target from which something is taken.
        const isRelevant = slotOwner(assignment) === target || assignment.hotKeys.length > 0
            || assignment.moves.some(move => move.from === target);
        if (size.checksGrants && isRelevant && assignment.renewers[target]?.includes(host)) {
            events.push({ type: "grant", host, target });
        }
        if (!size.checksGrants && slotOwner(assignment) === target) {
            events.push({ type: "send", host, target });
        }
    }
    return events;
};

const coordinatorEvents = ({ size, rules }: Specification, state: State, host: string): ModelEvent[] => {
    const { assignment, released } = state.hosts[host];
    const events: ModelEvent[] = [];
    if (state.writes[host] !== undefined) {
        events.push({ type: "apply", host });
    }
    if (assignment === undefined) {
        return events;
    }
    if (state.writes[host] === undefined && assignment.revision < size.maxRevision) {
        events.push(...size.changes.map((change): ModelEvent => ({ type: "write", host, change })));
    }
    const pending = assignment.moves.filter(move => !released.includes(moveId(move)));
    if (pending.length === 0 && assignment.formerRenewers === undefined && assignment.formerWitnesses === undefined) {
        return events;
    }
    const lowest = Math.min(assignment.revision, ...pending.map(move => move.since));
    for (const from of size.hosts.filter(name => state.hosts[name].record.revision >= lowest)) {
        events.push({ type: "acknowledge", host, from });
        if (!size.checksGrants) {
            events.push({ type: "finished", host, from });
        }
    }
    if (!size.checksGrants) {
        events.push({ type: "list", host });
    }
    for (const move of pending) {
        const { held, incarnation } = state.targets[move.from];
        const isNew = rules.observesRestarts && incarnation > 1;
        if (size.checksGrants && (isNew || (held !== undefined && held.revision >= move.since))) {
            events.push({ type: "observe", host, target: move.from });
        }
        events.push({ type: "release", host, move: moveId(move) });
    }
    return events;
};

/** The events that may happen in the state; none after a violation. Some of them may leave the state unchanged. */
export const enabledEvents = (specification: Specification, state: State): ModelEvent[] => {
    const { size } = specification;
    if (state.violation !== undefined) {
        return [];
    }
    const events: ModelEvent[] = [{ type: "tick" }];
    for (const host of size.hosts) {
        events.push(...hostEvents(specification, state, host));
        if (size.coordinators.includes(host)) {
            events.push(...coordinatorEvents(specification, state, host));
        }
        for (const from of size.hostsShareKnowledge ? size.hosts : []) {
            const other = state.hosts[from];
            if (from !== host && other.assignment !== undefined) {
                events.push({ type: "hear", host, from });
            }
        }
    }
    for (const index of state.grants.keys()) {
        events.push({ type: "deliver", index });
    }
    for (const index of state.requests.keys()) {
        events.push({ type: "end", index });
    }
    for (const target of size.targets) {
        if (state.targetRestarts < size.maxTargetRestarts) {
            events.push({ type: "restart-target", target });
        }
        for (const key of size.requestsTakeTime && size.checksGrants ? keysOf(specification) : []) {
            const { running } = state.targets[target];
            events.push(running.includes(key) ? { type: "finish", target, key } : { type: "start", target, key });
        }
    }
    return events;
};
