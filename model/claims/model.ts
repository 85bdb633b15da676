/**
 * The model of claims, its exploration, and deliberate breaks of its rules. Each break must lead to a violation, which
 * proves that the check can fail.
 */
import { claimVerdicts } from "../../src/contracts/requestmessages.ts";
import { keeperOrigins } from "../../src/decisions/claim.ts";
import { exploreSampled, type Model } from "../explore.ts";
import type { Report } from "../report.ts";
import {
    applyEvent,
    type ClaimEvent,
    type ClaimRules,
    claimRules,
    type ClaimState,
    createInitialState,
    enabledEvents,
} from "./transitions.ts";

/**
 * Creates the model. The property is that the request runs at most once. Each read of `initial` returns a new state, to
 * which the events of the prefix are applied.
 */
export const createClaimModel = (rules: ClaimRules, prefix: ClaimEvent[] = []): Model<ClaimState, ClaimEvent> => ({
    get initial() {
        return prefix.reduce((state, event) => applyEvent(state, rules, event), createInitialState());
    },
    enabledEvents: state => enabledEvents(state, rules),
    nextState: (state, event) => applyEvent(state, rules, event),
    serialize: state => JSON.stringify([state.now, state.attempts, state.groups.length, state.runs]),
    violationOf: state => state.runs > 1 ? `The request ran ${state.runs} times.` : undefined,
});

/**
 * Attempt 1 has the answer of the first keeper when that keeper restarts and copies the memory of the second. Then
 * attempt 2 asks.
 */
const keeperReplacedBetween: ClaimEvent[] = [
    { type: "arrive", attempt: 1 },
    { type: "look", attempt: 1 },
    { type: "ask", attempt: 1, keeperIndex: 0 },
    { type: "restart", host: "k1" },
    { type: "copy", host: "k1", from: "k2" },
    { type: "take", host: "k1" },
    { type: "arrive", attempt: 2 },
    { type: "look", attempt: 2 },
    { type: "ask", attempt: 2, keeperIndex: 0 },
];

/** Attempt 1, which is not the first, runs. Then both keepers restart and their memory is declared lost. */
const memoryLost: ClaimEvent[] = [
    { type: "arrive", attempt: 1 },
    { type: "look", attempt: 1 },
    { type: "ask", attempt: 1, keeperIndex: 0 },
    { type: "ask", attempt: 1, keeperIndex: 1 },
    { type: "restart", host: "k1" },
    { type: "restart", host: "k2" },
    { type: "tick" },
    { type: "tick" },
    { type: "declare-lost", host: "k1" },
    { type: "tick" },
];

/** Rules to replace, and the events from which the walks start. */
type ClaimBreak = { title: string; rules: Partial<ClaimRules>; prefix: ClaimEvent[] };

export const claimBreaks: ClaimBreak[] = [
    {
        title: "one keeper is enough",
        rules: { mayRun: answers => answers.some(answer => answer?.verdict === claimVerdicts.granted) },
        prefix: [],
    },
    {
        title: "grants of different epochs count together",
        rules: { mayRun: answers => answers.every(answer => answer?.verdict === claimVerdicts.granted) },
        prefix: keeperReplacedBetween,
    },
    {
        title: "a restarted keeper considers its memory complete",
        rules: { originAfterRestart: keeperOrigins.born },
        prefix: [],
    },
    {
        title: "the first attempt arrives after the memory of a later one was lost",
        rules: { firstAttemptDelayTicks: 99 },
        prefix: memoryLost,
    },
];

const sampling = { seed: 2_000, walks: 4_000, length: 40 };

/** Explores the model along walks with a fixed seed. */
export const runClaims = (): Report => ({
    name: "claims, three attempts, keepers restart and change",
    exploration: exploreSampled(createClaimModel(claimRules), sampling),
    notes: `${sampling.walks} walks of ${sampling.length} steps, seed ${sampling.seed}`,
    failure: undefined,
});
