/**
 * The specification of claims, ready to be walked, and the breaks that prove that its check can fail.
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

/** Creates the model. Each walk begins with a new world, or with where the prefix leads it. */
export const createClaimModel = (rules: ClaimRules, prefix: ClaimEvent[] = []): Model<ClaimState, ClaimEvent> => ({
    get initial() {
        return prefix.reduce((world, event) => applyEvent(world, rules, event), createInitialState());
    },
    enabledEvents: world => enabledEvents(world, rules),
    nextState: (world, event) => applyEvent(world, rules, event),
    serialize: world => JSON.stringify([world.now, world.attempts, world.groups.length, world.runs]),
    violationOf: world => world.runs > 1 ? `The request ran ${world.runs} times.` : undefined,
});

/** One attempt has the first keeper's word when this restarts and takes the second's memory; another asks then. */
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

/** A later attempt runs, both keepers restart, and their memory is declared lost. */
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
        title: "a restarted keeper holds its memory for complete",
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

/** Walks the specification with fixed seeds. */
export const runClaims = (): Report => ({
    name: "claims, three attempts, keepers restart and change",
    exploration: exploreSampled(createClaimModel(claimRules), sampling),
    notes: `${sampling.walks} walks of ${sampling.length} steps, seed ${sampling.seed}`,
    failure: undefined,
});
