/**
 * The states and events of the specification of claims. Callers send one request id several times through different
 * hosts. The keepers of its group use the memory of src/decisions/claim.ts itself, restart and are replaced. Every
 * question and copy may be late or lost. Events change the state in place, so it can only be explored along walks.
 */
import type { KeeperGroup } from "../../src/contracts/assignment.ts";
import { type ClaimAnswer, type ClaimMemoryPage, claimVerdicts } from "../../src/contracts/requestmessages.ts";
import { type ClaimMemory, createClaimMemory, type KeeperOrigin, keeperOrigins } from "../../src/decisions/claim.ts";

export type ClaimRules = {
    /** Whether an attempt may be sent to the target. The answer of a keeper is undefined until it arrives. */
    mayRun: (answers: ReadonlyArray<ClaimAnswer | undefined>) => boolean;
    /** How a restarted host comes to know of the keepers. */
    originAfterRestart: KeeperOrigin;
    /** How a running host comes to know of new keepers. */
    originOfChange: KeeperOrigin;
    /** Ticks after which keepers under older assignments have certainly stopped. */
    lapseTicks: number;
    /** Ticks for which a first attempt may still be under way to a host after another attempt was received. */
    firstAttemptDelayTicks: number;
};

/** The rules that the hosts follow, and the bound on the delay of first attempts that they rely on. */
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

/** One sending of the request. `asked` names the keepers that it asked. */
type Attempt = {
    first: boolean;
    receivedAt: number | undefined;
    group: KeeperGroup | undefined;
    answers: Array<ClaimAnswer | undefined>;
    asked: Set<string>;
    outcome: "answered" | "not-run" | undefined;
    ran: boolean;
};

/** A host as a keeper. `copy` is a page of another keeper's memory that was read and is not yet imported. */
type Keeper = {
    memory: ClaimMemory;
    learnedAt: number;
    copy: { page: ClaimMemoryPage; since: number; epoch: string } | undefined;
};

export type ClaimState = {
    now: number;
    /** All groups of keepers so far and the times at which they came into force. */
    groups: Array<{ group: KeeperGroup; at: number }>;
    keepers: Map<string, Keeper>;
    attempts: Attempt[];
    restarts: number;
    epochs: number;
    /** Number of times that the request ran. */
    runs: number;
};

const hosts = ["k1", "k2", "k3"];
const ageTicks = 1_000;
const maxChanges = 2;
const maxRestarts = 3;
const attemptCount = 3;

const createMemory = (host: string): ClaimMemory =>
    createClaimMemory({ host, ageMilliseconds: ageTicks, entryLimit: { used: 0, max: 10 } });

/** The state before any attempt, in which all hosts know of the first keepers. */
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

const newestGroup = (state: ClaimState): { group: KeeperGroup; at: number } => state.groups[state.groups.length - 1];

/** Whether a host that knows of this group may still answer: until the lapse ticks after the next group have passed. */
const isCurrent = (state: ClaimState, group: KeeperGroup, rules: ClaimRules): boolean => {
    const next = state.groups.find(entry => entry.group.since > group.since);
    return next === undefined || state.now < next.at + rules.lapseTicks;
};

/** Whether the attempt may arrive. The first one may not arrive much later than any other one was received. */
const mayArrive = (state: ClaimState, attempt: Attempt, rules: ClaimRules): boolean => {
    const others = state.attempts.filter(other => other !== attempt).map(other => other.receivedAt ?? state.now);
    return !attempt.first || state.now <= Math.min(...others) + rules.firstAttemptDelayTicks;
};

const attemptEvents = (state: ClaimState, rules: ClaimRules): ClaimEvent[] => {
    const events: ClaimEvent[] = [];
    for (const [index, attempt] of state.attempts.entries()) {
        if (attempt.receivedAt === undefined) {
            if (mayArrive(state, attempt, rules)) {
                events.push({ type: "arrive", attempt: index });
            }
            continue;
        }
        if (attempt.outcome !== undefined) {
            for (const keeperIndex of attempt.asked.size > 0 ? [0, 1] : []) {
                events.push({ type: "settle", attempt: index, keeperIndex });
            }
            continue;
        }
        if (attempt.ran) {
            events.push({ type: "finish", attempt: index });
            continue;
        }
        events.push({ type: "look", attempt: index });
        for (const keeperIndex of [0, 1]) {
            if (attempt.group !== undefined && attempt.answers[keeperIndex] === undefined) {
                events.push({ type: "ask", attempt: index, keeperIndex });
            }
        }
    }
    return events;
};

const keeperEvents = (state: ClaimState, rules: ClaimRules): ClaimEvent[] => {
    const events: ClaimEvent[] = [];
    for (const [host, { memory, learnedAt, copy }] of state.keepers) {
        if (state.restarts < maxRestarts) {
            events.push({ type: "restart", host });
        }
        if (memory.group()?.since !== newestGroup(state).group.since) {
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
        if (memory.handoverSources() !== undefined && state.now - learnedAt >= rules.lapseTicks) {
            events.push({ type: "declare-lost", host });
        }
    }
    return events;
};

/** The events that may happen. */
export const enabledEvents = (state: ClaimState, rules: ClaimRules): ClaimEvent[] => {
    const events: ClaimEvent[] = [{ type: "tick" }, ...attemptEvents(state, rules), ...keeperEvents(state, rules)];
    if (state.groups.length <= maxChanges) {
        events.push(...newestGroup(state).group.hosts.map((without): ClaimEvent => ({ type: "change", without })));
    }
    return events;
};

/** Whether the answer of a keeper rules out that the attempt runs. */
const isFinal = (answer: ClaimAnswer | undefined, keeperIndex: number): boolean =>
    answer?.verdict === claimVerdicts.answered || answer?.verdict === claimVerdicts.unknown
    || answer?.verdict === claimVerdicts.memoryLost || (keeperIndex === 0 && answer?.verdict === claimVerdicts.running);

/** Asks a keeper of the attempt's group. The attempt runs when the rules allow it after the answer. */
const ask = (state: ClaimState, rules: ClaimRules, index: number, keeperIndex: number): void => {
    const attempt = state.attempts[index];
    const { group } = attempt;
    const keeper = state.keepers.get(group?.hosts[keeperIndex] ?? "");
    const known = keeper?.memory.group();
    if (group === undefined || keeper === undefined || known === undefined || !isCurrent(state, known, rules)) {
        return;
    }
    attempt.asked.add(group.hosts[keeperIndex]);
    const answer = keeper.memory.claim({
        kind: "claim",
        pool: "pool",
        group: 0,
        since: group.since,
        id: "id",
        token: `attempt ${index}`,
        firstAttempt: attempt.first,
        ageMilliseconds: state.now - (attempt.receivedAt ?? state.now),
    }, state.now);
    attempt.answers[keeperIndex] = answer;
    if (isFinal(answer, keeperIndex)) {
        attempt.outcome = "not-run";
        return;
    }
    const answered = attempt.answers.filter(other => other !== undefined).length;
    if (answered > 0 && rules.mayRun([attempt.answers[0], attempt.answers[1]])) {
        attempt.ran = true;
        state.runs += 1;
    }
};

/** Replaces one keeper of the group by the host that is not in it. */
const changeKeepers = (state: ClaimState, without: string): void => {
    const { group } = newestGroup(state);
    const since = group.since + 1;
    const joining = hosts.find(host => !group.hosts.includes(host)) ?? without;
    const keepers = group.hosts.map(host => host === without ? joining : host);
    const next: KeeperGroup = { hosts: keepers, since, previous: group.hosts, previousSince: group.since };
    state.groups.push({ group: next, at: state.now });
};

/** Tells a keeper that was asked the outcome of the attempt. */
const settle = (state: ClaimState, index: number, keeperIndex: number): void => {
    const attempt = state.attempts[index];
    const name = [...attempt.asked][keeperIndex];
    if (name !== undefined && attempt.outcome !== undefined) {
        const outcome = { kind: "claim-outcome", pool: "pool", group: 0, id: "id" } as const;
        const message = { ...outcome, token: `attempt ${index}`, outcome: attempt.outcome };
        state.keepers.get(name)?.memory.recordOutcome(message);
    }
};

/** Applies an event of one keeper. */
const applyKeeperEvent = (state: ClaimState, rules: ClaimRules, host: string, event: KeeperEvent): void => {
    const keeper = state.keepers.get(host) as Keeper;
    const since = keeper.memory.group()?.since ?? 0;
    if (event.type === "restart") {
        const memory = createMemory(host);
        memory.setKeepers(newestGroup(state).group, rules.originAfterRestart);
        state.keepers.set(host, { memory, learnedAt: state.now, copy: undefined });
        state.restarts += 1;
    }
    else if (event.type === "learn") {
        keeper.memory.setKeepers(newestGroup(state).group, rules.originOfChange);
        keeper.learnedAt = state.now;
    }
    else if (event.type === "declare-lost") {
        state.epochs += 1;
        keeper.memory.declareMemoryLost(`epoch ${state.epochs}`, state.now);
    }
    else if (event.type === "copy") {
        state.epochs += 1;
        const epoch = `epoch ${state.epochs}`;
        const question = { kind: "claim-memory-question", pool: "pool", group: 0, since, epoch, offset: 0 } as const;
        const page = state.keepers.get(event.from)?.memory.readPage(question, state.now);
        keeper.copy = page?.available === true ? { page, since, epoch } : keeper.copy;
    }
    else if (event.type === "take" && keeper.copy !== undefined) {
        keeper.memory.importPage(keeper.copy.page, keeper.copy.since, keeper.copy.epoch, state.now);
        keeper.copy = undefined;
    }
};

/** Applies the event to the state in place and returns it. */
export const applyEvent = (state: ClaimState, rules: ClaimRules, event: ClaimEvent): ClaimState => {
    switch (event.type) {
        case "tick":
            state.now += 1;
            break;
        case "change":
            changeKeepers(state, event.without);
            break;
        case "ask":
            ask(state, rules, event.attempt, event.keeperIndex);
            break;
        case "settle":
            settle(state, event.attempt, event.keeperIndex);
            break;
        case "arrive":
            state.attempts[event.attempt].receivedAt = state.now;
            break;
        case "look":
            state.attempts[event.attempt].group = newestGroup(state).group;
            state.attempts[event.attempt].answers = [];
            break;
        case "finish":
            state.attempts[event.attempt].outcome = "answered";
            break;
        case "restart":
        case "learn":
        case "declare-lost":
        case "copy":
        case "take":
            applyKeeperEvent(state, rules, event.host, event);
            break;
    }
    return state;
};
