/**
 * The specification of claims: one id that callers send several times through different hosts, the keepers of its
 * group with the memory of src/decisions/claim.ts as it is, restarts and changes of keepers. Every question and copy may
 * be late or lost. The world changes in place, so it is walked along samples only.
 */
import type { KeeperGroup } from "../../src/contracts/assignment.ts";
import { type ClaimAnswer, claimVerdicts, type MemoryPage } from "../../src/contracts/requestmessages.ts";
import { type ClaimMemory, createClaimMemory, type KeeperOrigin, keeperOrigins } from "../../src/decisions/claim.ts";

export type ClaimRules = {
    /** Whether an attempt may be sent after the answers of one round. */
    mayRun: (answers: ReadonlyArray<ClaimAnswer | undefined>) => boolean;
    /** How a restarted host learns of the keepers. */
    originAfterRestart: KeeperOrigin;
    /** How a running host learns of new keepers. */
    originOfChange: KeeperOrigin;
    /** Ticks after which keepers under older assignments have certainly stopped. */
    lapseTicks: number;
    /** Ticks that a first attempt may spend on its way to a host, after a later attempt was sent. */
    firstAttemptDelayTicks: number;
};

/** The rules as the tasks follow them, and the bound on first attempts on which they rest. */
export const claimRules: ClaimRules = {
    mayRun: answers =>
        answers.every(answer => answer?.verdict === claimVerdicts.granted && answer.epoch === answers[0]?.epoch),
    originAfterRestart: keeperOrigins.found,
    originOfChange: keeperOrigins.changed,
    lapseTicks: 2,
    firstAttemptDelayTicks: 1,
};

type KeeperEvent =
    | { type: "restart" | "learn" | "declare-lost" | "take"; host: string }
    | { type: "copy"; host: string; from: string };

export type ClaimEvent =
    | KeeperEvent
    | { type: "tick" }
    | { type: "arrive" | "look" | "finish"; attempt: number }
    | { type: "ask" | "settle"; attempt: number; keeperIndex: number }
    | { type: "change"; without: string };

type Attempt = {
    first: boolean;
    receivedAt: number | undefined;
    group: KeeperGroup | undefined;
    answers: Array<ClaimAnswer | undefined>;
    asked: Set<string>;
    outcome: "answered" | "not-run" | undefined;
    ran: boolean;
};

type Keeper = {
    memory: ClaimMemory;
    learnedAt: number;
    copy: { page: MemoryPage; since: number; epoch: string } | undefined;
};

export type ClaimState = {
    now: number;
    groups: Array<{ group: KeeperGroup; at: number }>;
    keepers: Map<string, Keeper>;
    attempts: Attempt[];
    restarts: number;
    epochs: number;
    runs: number;
};

const hosts = ["k1", "k2", "k3"];
const ageTicks = 1_000;
const maxChanges = 2;
const maxRestarts = 3;
const attemptCount = 3;

const createMemory = (host: string): ClaimMemory =>
    createClaimMemory({ host, ageMilliseconds: ageTicks, entryLimit: { used: 0, max: 10 } });

/** The world before any attempt, with all hosts knowing the first keepers. */
export const createInitialState = (): ClaimState => {
    const group: KeeperGroup = { hosts: ["k1", "k2"], since: 1, previous: [] };
    const keepers = new Map<string, Keeper>();
    for (const host of hosts) {
        const memory = createMemory(host);
        memory.setKeepers(group, keeperOrigins.born);
        keepers.set(host, { memory, learnedAt: 0, copy: undefined });
    }
    const attempts: Attempt[] = [];
    for (let index = 0; index < attemptCount; index += 1) {
        attempts.push({
            first: index === 0,
            receivedAt: undefined,
            group: undefined,
            answers: [],
            asked: new Set(),
            outcome: undefined,
            ran: false,
        });
    }
    return { now: 0, groups: [{ group, at: 0 }], keepers, attempts, restarts: 0, epochs: 0, runs: 0 };
};

const newestGroup = (world: ClaimState): { group: KeeperGroup; at: number } => world.groups[world.groups.length - 1];

/** Whether a host that knows of this group may still answer by it: nothing newer, or newer for a short time only. */
const isCurrent = (world: ClaimState, group: KeeperGroup, rules: ClaimRules): boolean => {
    const next = world.groups.find(entry => entry.group.since > group.since);
    return next === undefined || world.now < next.at + rules.lapseTicks;
};

/** Whether the first attempt may still arrive: not much later than any other attempt was received. */
const mayArrive = (world: ClaimState, attempt: Attempt, rules: ClaimRules): boolean => {
    const others = world.attempts.filter(other => other !== attempt).map(other => other.receivedAt ?? world.now);
    return !attempt.first || world.now <= Math.min(...others) + rules.firstAttemptDelayTicks;
};

const attemptEvents = (world: ClaimState, rules: ClaimRules): ClaimEvent[] => {
    const events: ClaimEvent[] = [];
    for (const [index, attempt] of world.attempts.entries()) {
        if (attempt.receivedAt === undefined) {
            if (mayArrive(world, attempt, rules)) {
                events.push({ type: "arrive", attempt: index });
            }
            continue;
        }
        if (attempt.outcome !== undefined) {
            for (const place of attempt.asked.size > 0 ? [0, 1] : []) {
                events.push({ type: "settle", attempt: index, keeperIndex: place });
            }
            continue;
        }
        if (attempt.ran) {
            events.push({ type: "finish", attempt: index });
            continue;
        }
        events.push({ type: "look", attempt: index });
        for (const place of [0, 1]) {
            if (attempt.group !== undefined && attempt.answers[place] === undefined) {
                events.push({ type: "ask", attempt: index, keeperIndex: place });
            }
        }
    }
    return events;
};

const keeperEvents = (world: ClaimState, rules: ClaimRules): ClaimEvent[] => {
    const events: ClaimEvent[] = [];
    for (const [host, { memory, learnedAt, copy }] of world.keepers) {
        if (world.restarts < maxRestarts) {
            events.push({ type: "restart", host });
        }
        if (memory.group()?.since !== newestGroup(world).group.since) {
            events.push({ type: "learn", host });
        }
        if (copy !== undefined) {
            events.push({ type: "take", host });
        }
        const group = memory.group();
        const sources = memory.handoverSources() ?? (group?.hosts[1] === host ? [group.hosts[0]] : []);
        for (const from of sources) {
            events.push({ type: "copy", host, from });
        }
        if (memory.handoverSources() !== undefined && world.now - learnedAt >= rules.lapseTicks) {
            events.push({ type: "declare-lost", host });
        }
    }
    return events;
};

/** The events that may happen. */
export const enabledEvents = (world: ClaimState, rules: ClaimRules): ClaimEvent[] => {
    const events: ClaimEvent[] = [{ type: "tick" }, ...attemptEvents(world, rules), ...keeperEvents(world, rules)];
    if (world.groups.length <= maxChanges) {
        events.push(...newestGroup(world).group.hosts.map((without): ClaimEvent => ({ type: "change", without })));
    }
    return events;
};

const isFinal = (answer: ClaimAnswer | undefined, place: number): boolean =>
    answer?.verdict === claimVerdicts.answered || answer?.verdict === claimVerdicts.unknown
    || answer?.verdict === claimVerdicts.memoryLost || (place === 0 && answer?.verdict === claimVerdicts.running);

const ask = (world: ClaimState, rules: ClaimRules, index: number, place: number): void => {
    const attempt = world.attempts[index];
    const { group } = attempt;
    const keeper = world.keepers.get(group?.hosts[place] ?? "");
    const known = keeper?.memory.group();
    if (group === undefined || keeper === undefined || known === undefined || !isCurrent(world, known, rules)) {
        return;
    }
    attempt.asked.add(group.hosts[place]);
    const answer = keeper.memory.claim({
        kind: "claim",
        pool: "pool",
        group: 0,
        since: group.since,
        id: "id",
        token: `attempt ${index}`,
        firstAttempt: attempt.first,
        ageMilliseconds: world.now - (attempt.receivedAt ?? world.now),
    }, world.now);
    attempt.answers[place] = answer;
    if (isFinal(answer, place)) {
        attempt.outcome = "not-run";
        return;
    }
    const answered = attempt.answers.filter(other => other !== undefined).length;
    if (answered > 0 && rules.mayRun([attempt.answers[0], attempt.answers[1]])) {
        attempt.ran = true;
        world.runs += 1;
    }
};

const change = (world: ClaimState, without: string): void => {
    const { group } = newestGroup(world);
    const since = group.since + 1;
    const joining = hosts.find(host => !group.hosts.includes(host)) ?? without;
    const named = group.hosts.map(host => host === without ? joining : host);
    const next: KeeperGroup = { hosts: named, since, previous: group.hosts, previousSince: group.since };
    world.groups.push({ group: next, at: world.now });
};

const settle = (world: ClaimState, index: number, place: number): void => {
    const attempt = world.attempts[index];
    const name = [...attempt.asked][place];
    if (name !== undefined && attempt.outcome !== undefined) {
        const outcome = { kind: "claim-outcome", pool: "pool", group: 0, id: "id" } as const;
        const told = { ...outcome, token: `attempt ${index}`, outcome: attempt.outcome };
        world.keepers.get(name)?.memory.recordOutcome(told);
    }
};

const keeperStep = (world: ClaimState, rules: ClaimRules, host: string, event: KeeperEvent): void => {
    const keeper = world.keepers.get(host) as Keeper;
    const since = keeper.memory.group()?.since ?? 0;
    if (event.type === "restart") {
        const memory = createMemory(host);
        memory.setKeepers(newestGroup(world).group, rules.originAfterRestart);
        world.keepers.set(host, { memory, learnedAt: world.now, copy: undefined });
        world.restarts += 1;
    }
    else if (event.type === "learn") {
        keeper.memory.setKeepers(newestGroup(world).group, rules.originOfChange);
        keeper.learnedAt = world.now;
    }
    else if (event.type === "declare-lost") {
        world.epochs += 1;
        keeper.memory.declareMemoryLost(`epoch ${world.epochs}`, world.now);
    }
    else if (event.type === "copy") {
        world.epochs += 1;
        const epoch = `epoch ${world.epochs}`;
        const question = { kind: "claim-memory-question", pool: "pool", group: 0, since, epoch, offset: 0 } as const;
        const page = world.keepers.get(event.from)?.memory.readPage(question, world.now);
        keeper.copy = page?.available === true ? { page, since, epoch } : keeper.copy;
    }
    else if (event.type === "take" && keeper.copy !== undefined) {
        keeper.memory.importPage(keeper.copy.page, keeper.copy.since, keeper.copy.epoch, world.now);
        keeper.copy = undefined;
    }
};

/** Changes the world by the event. */
export const applyEvent = (world: ClaimState, rules: ClaimRules, event: ClaimEvent): ClaimState => {
    switch (event.type) {
        case "tick":
            world.now += 1;
            break;
        case "change":
            change(world, event.without);
            break;
        case "ask":
            ask(world, rules, event.attempt, event.keeperIndex);
            break;
        case "settle":
            settle(world, event.attempt, event.keeperIndex);
            break;
        case "arrive":
            world.attempts[event.attempt].receivedAt = world.now;
            break;
        case "look":
            world.attempts[event.attempt].group = newestGroup(world).group;
            world.attempts[event.attempt].answers = [];
            break;
        case "finish":
            world.attempts[event.attempt].outcome = "answered";
            break;
        case "restart":
        case "learn":
        case "declare-lost":
        case "copy":
        case "take":
            keeperStep(world, rules, event.host, event);
            break;
    }
    return world;
};
