/**
 * The specification of versions in force: one plan that operators change at the platform, hosts that learn of it from
 * the platform and from each other, late and out of order, and an operator who waits until it is in force. It uses the
 * object view, the isolation and the judgement of src as they are. The world changes in place.
 */
import type { StoredObject } from "../../src/contracts/objects.ts";
import { createIsolation, type Isolation } from "../../src/decisions/isolation.ts";
import { type HostVersionReport, judgeRollout, type RolloutView } from "../../src/decisions/rollout.ts";
import { createObjectView, type ObjectView } from "../../src/machines/objects.ts";

export type VersionRules = {
    /** Takes an object into the view; gives the view in force from now on. */
    accept: (view: ObjectView, item: StoredObject) => ObjectView;
    /** From when a confirmation counts. */
    confirmedFrom: (sentAt: number, receivedAt: number) => number;
    judge: typeof judgeRollout;
    /** Whether a restarted host admits before it has been confirmed. */
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

type Member = { life: number; view: ObjectView; isolation: Isolation };

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
    majoritySince: number | undefined;
    /** Highest version that the operator was told to be in force everywhere. */
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

const inForce = ({ view }: Member): number => view.states()[0]?.inForce ?? 0;

const createMember = (life: number, now: number): Member => {
    const isolation = createIsolation({ isolationMilliseconds, pauseMilliseconds: 1_000_000 });
    isolation.noteAnnounced(now);
    return { life, view: createObjectView(() => 0), isolation };
};

/** The world in which all hosts have just read the first version. */
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
export const enabledEvents = (world: VersionState): VersionEvent[] => {
    const events: VersionEvent[] = [{ type: "tick" }, { type: "judge", unreachable: "" }];
    if (world.version < maxVersion) {
        events.push({ type: "write" });
    }
    for (const host of hosts) {
        events.push({ type: "judge", unreachable: host });
        if (world.restarts < maxRestarts) {
            events.push({ type: "restart", host });
        }
        if (world.messages.length < maxMessages) {
            events.push({ type: "read", host });
            for (const from of hosts.filter(other => other !== host)) {
                events.push({ type: "ask", host, from });
            }
        }
    }
    for (const index of world.messages.keys()) {
        events.push({ type: "receive", index });
    }
    return events;
};

const receive = (world: VersionState, rules: VersionRules, index: number): void => {
    const [message] = world.messages.splice(index, 1);
    const member = world.members.get(message.host) as Member;
    if (member.life !== message.life) {
        return;
    }
    const before = inForce(member);
    member.view = rules.accept(member.view, message.item);
    if (inForce(member) < before) {
        world.violation = `The version in force on host "${message.host}" went down.`;
    }
    const from = rules.confirmedFrom(message.sentAt, world.now);
    member.isolation.confirm(from, message.forMilliseconds);
    if (message.from !== "") {
        member.isolation.noteAnswer(message.from, from);
        member.isolation.extendByMajority(hosts, message.host, world.now);
    }
};

const ask = (world: VersionState, host: string, from: string): void => {
    const member = world.members.get(host) as Member;
    const other = world.members.get(from) as Member;
    const item = other.view.newest("plans", "plan");
    if (item === undefined || !other.isolation.isConfirmed()) {
        return;
    }
    const forMilliseconds = other.isolation.remaining(world.now);
    world.messages.push({ host, life: member.life, from, item, sentAt: world.now, forMilliseconds });
};

const judge = (world: VersionState, rules: VersionRules, unreachable: string): void => {
    const words = new Map<string, HostVersionReport>();
    for (const [name, member] of world.members) {
        if (name !== unreachable) {
            const admits = member.isolation.admissionBlock(world.now) === undefined;
            words.set(name, { incarnation: String(member.life), admits, inForce: inForce(member) });
        }
    }
    const view: RolloutView = {
        version: world.version,
        members: [...world.members].map(([name, { life }]) => ({
            name,
            incarnation: String(life),
            isolationMilliseconds,
        })),
        majorityHosts: new Set(hosts),
        words,
        majoritySince: world.majoritySince,
        now: world.now,
    };
    const first = rules.judge(view);
    if (first.majority) {
        world.majoritySince ??= world.now;
    }
    if (rules.judge({ ...view, majoritySince: world.majoritySince }).everywhere) {
        world.concludedVersion = world.version;
    }
};

const restart = (world: VersionState, rules: VersionRules, host: string): void => {
    const life = (world.members.get(host)?.life ?? 0) + 1;
    const member = createMember(life, world.now);
    if (rules.admitsAtStart) {
        member.isolation.confirm(world.now, isolationMilliseconds);
    }
    world.members.set(host, member);
    world.restarts += 1;
};

/** Changes the world by the event. */
export const applyEvent = (world: VersionState, rules: VersionRules, event: VersionEvent): VersionState => {
    switch (event.type) {
        case "tick":
            world.now += tickMilliseconds;
            break;
        case "write":
            world.version += 1;
            world.majoritySince = undefined;
            break;
        case "read": {
            const { life } = world.members.get(event.host) as Member;
            const item = itemOf(world.version);
            const sent = { sentAt: world.now, forMilliseconds: isolationMilliseconds };
            world.messages.push({ host: event.host, life, from: "", item, ...sent });
            break;
        }
        case "ask":
            ask(world, event.host, event.from);
            break;
        case "receive":
            receive(world, rules, event.index);
            break;
        case "restart":
            restart(world, rules, event.host);
            break;
        case "judge":
            judge(world, rules, event.unreachable);
            break;
    }
    for (const [name, member] of world.members) {
        if (member.isolation.admissionBlock(world.now) === undefined && inForce(member) < world.concludedVersion) {
            world.violation ??= `Host "${name}" admits by an older version than the one said to be in force.`;
        }
    }
    return world;
};
