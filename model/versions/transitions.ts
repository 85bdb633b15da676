/**
 * The states and events of the specification of versions in force. Operators change one plan at the platform. Hosts
 * learn of it from the platform and from each other, late and out of order. An operator waits until the newest version
 * is in force. The object view, the isolation and the judgement of rollouts are those of src. Events change the state
 * in place.
 */
import type { StoredObject } from "../../src/contracts/objects.ts";
import { createIsolation, type Isolation } from "../../src/decisions/isolation.ts";
import { type HostVersionReport, judgeRollout, type RolloutView } from "../../src/decisions/rollout.ts";
import { createObjectView, type ObjectView } from "../../src/machines/objects.ts";

export type VersionRules = {
    /** Accepts an object into the view and returns the view to use from now on. */
    accept: (view: ObjectView, item: StoredObject) => ObjectView;
    /** Returns the time from which a confirmation counts. */
    confirmedFrom: (sentAt: number, receivedAt: number) => number;
    judge: typeof judgeRollout;
    /** Whether a restarted host admits requests before it has been confirmed. */
    admitsAtStart: boolean;
};

export const versionRules: VersionRules = {
    accept: (view, item) => {
        view.accept(item);
        return view;
    },
    confirmedFrom: (sentAt, receivedAt) => Math.min(sentAt, receivedAt),
    judge: judgeRollout,
    admitsAtStart: false,
};

export type VersionEvent =
    | { type: "tick" | "write" }
    | { type: "read" | "restart"; host: string }
    | { type: "ask"; host: string; from: string }
    | { type: "receive"; index: number }
    | { type: "judge"; unreachable: string };

/** One host. `life` counts its starts. */
type Member = { life: number; view: ObjectView; isolation: Isolation };

/** An answer to a host that is on its way. `from` is the answering host, or empty for the platform. */
type Message = {
    host: string;
    life: number;
    from: string;
    item: StoredObject;
    sentAt: number;
    forMilliseconds: number;
};

export type VersionState = {
    now: number;
    version: number;
    members: Map<string, Member>;
    messages: Message[];
    restarts: number;
    /** Time since which the operator knows that a majority of the hosts has the newest version. */
    majoritySince: number | undefined;
    /** Newest version that was reported to the operator as in force everywhere. */
    concludedVersion: number;
    violation: string | undefined;
};

const hosts = ["h1", "h2", "h3"];
const tickMilliseconds = 500;
const isolationMilliseconds = 2_000;
const maxVersion = 3;
const maxRestarts = 2;
const maxMessages = 3;

const itemOf = (version: number): StoredObject => ({
    kind: "plans",
    name: "plan",
    version,
    writeId: `write ${version}`,
    deleted: false,
    value: { customer: `customer ${version}`, tokenHashes: [] },
});

/** The version of the plan that is in force on the host. */
const inForceVersion = ({ view }: Member): number => view.states()[0]?.inForce ?? 0;

const createMember = (life: number, now: number): Member => {
    const isolation = createIsolation({ isolationMilliseconds, pauseMilliseconds: 1_000_000 });
    isolation.noteAnnounced(now);
    return { life, view: createObjectView(() => 0), isolation };
};

/** The state in which all hosts have just read the first version. */
export const createInitialState = (rules: VersionRules): VersionState => {
    const members = new Map<string, Member>();
    for (const host of hosts) {
        const member = createMember(1, 0);
        member.view = rules.accept(member.view, itemOf(1));
        member.isolation.confirm(0, isolationMilliseconds);
        members.set(host, member);
    }
    return {
        now: 0,
        version: 1,
        members,
        messages: [],
        restarts: 0,
        majoritySince: undefined,
        concludedVersion: 0,
        violation: undefined,
    };
};

/** The events that may happen. */
export const enabledEvents = (state: VersionState): VersionEvent[] => {
    const events: VersionEvent[] = [{ type: "tick" }, { type: "judge", unreachable: "" }];
    if (state.version < maxVersion) {
        events.push({ type: "write" });
    }
    for (const host of hosts) {
        events.push({ type: "judge", unreachable: host });
        if (state.restarts < maxRestarts) {
            events.push({ type: "restart", host });
        }
        if (state.messages.length < maxMessages) {
            events.push({ type: "read", host });
            for (const from of hosts.filter(other => other !== host)) {
                events.push({ type: "ask", host, from });
            }
        }
    }
    for (const index of state.messages.keys()) {
        events.push({ type: "receive", index });
    }
    return events;
};

/** Delivers a message. One that was sent to an earlier start of the host is dropped. */
const receive = (state: VersionState, rules: VersionRules, index: number): void => {
    const [message] = state.messages.splice(index, 1);
    const member = state.members.get(message.host) as Member;
    if (member.life !== message.life) {
        return;
    }
    const before = inForceVersion(member);
    member.view = rules.accept(member.view, message.item);
    if (inForceVersion(member) < before) {
        state.violation = `The version in force on host "${message.host}" went down.`;
    }
    const from = rules.confirmedFrom(message.sentAt, state.now);
    member.isolation.confirm(from, message.forMilliseconds);
    if (message.from !== "") {
        member.isolation.noteAnswer(message.from, from);
        member.isolation.extendByMajority(hosts, message.host, state.now);
    }
};

/** Asks another host, which answers only when it is confirmed itself. */
const ask = (state: VersionState, host: string, from: string): void => {
    const member = state.members.get(host) as Member;
    const other = state.members.get(from) as Member;
    const item = other.view.newest("plans", "plan");
    if (item === undefined || !other.isolation.isConfirmed()) {
        return;
    }
    const forMilliseconds = other.isolation.remaining(state.now);
    state.messages.push({ host, life: member.life, from, item, sentAt: state.now, forMilliseconds });
};

/** Judges the rollout by the reports of all hosts except the unreachable one. */
const judge = (state: VersionState, rules: VersionRules, unreachable: string): void => {
    const reports = new Map<string, HostVersionReport>();
    for (const [name, member] of state.members) {
        if (name !== unreachable) {
            const admits = member.isolation.admissionBlock(state.now) === undefined;
            reports.set(name, { incarnation: String(member.life), admits, inForce: inForceVersion(member) });
        }
    }
    const view: RolloutView = {
        version: state.version,
        members: [...state.members].map(([name, { life }]) => ({
            name,
            incarnation: String(life),
            isolationMilliseconds,
        })),
        majorityHosts: new Set(hosts),
        words: reports,
        majoritySince: state.majoritySince,
        now: state.now,
    };
    const first = rules.judge(view);
    if (first.majority) {
        state.majoritySince ??= state.now;
    }
    if (rules.judge({ ...view, majoritySince: state.majoritySince }).everywhere) {
        state.concludedVersion = state.version;
    }
};

const restart = (state: VersionState, rules: VersionRules, host: string): void => {
    const life = (state.members.get(host)?.life ?? 0) + 1;
    const member = createMember(life, state.now);
    if (rules.admitsAtStart) {
        member.isolation.confirm(state.now, isolationMilliseconds);
    }
    state.members.set(host, member);
    state.restarts += 1;
};

/** Applies the event to the state in place and returns it. */
export const applyEvent = (state: VersionState, rules: VersionRules, event: VersionEvent): VersionState => {
    switch (event.type) {
        case "tick":
            state.now += tickMilliseconds;
            break;
        case "write":
            state.version += 1;
            state.majoritySince = undefined;
            break;
        case "read": {
            const { life } = state.members.get(event.host) as Member;
            const item = itemOf(state.version);
            const sent = { sentAt: state.now, forMilliseconds: isolationMilliseconds };
            state.messages.push({ host: event.host, life, from: "", item, ...sent });
            break;
        }
        case "ask":
            ask(state, event.host, event.from);
            break;
        case "receive":
            receive(state, rules, event.index);
            break;
        case "restart":
            restart(state, rules, event.host);
            break;
        case "judge":
            judge(state, rules, event.unreachable);
            break;
    }
    for (const [name, member] of state.members) {
        if (
            member.isolation.admissionBlock(state.now) === undefined && inForceVersion(member) < state.concludedVersion
        ) {
            state.violation ??= `Host "${name}" admits by an older version than the one said to be in force.`;
        }
    }
    return state;
};
