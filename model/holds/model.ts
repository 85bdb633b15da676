/**
 * The specification of holds, ready to be explored, and the breaks that prove that its check can fail.
 */
import { exploreAll, type Model } from "../explore.ts";
import type { Report } from "../report.ts";
import {
    createInitialState,
    enabledEvents,
    type HoldEvent,
    type HoldRules,
    holdRules,
    type HoldState,
    nextState,
} from "./transitions.ts";

/** Creates the model: at any moment one target at most holds the key. It begins where the prefix leads. */
export const createHoldModel = (rules: HoldRules, prefix: HoldEvent[] = []): Model<HoldState, HoldEvent> => ({
    initial: prefix.reduce((world, event) => nextState(world, event, rules), createInitialState()),
    enabledEvents: world => enabledEvents(world, rules),
    nextState: (world, event) => nextState(world, event, rules),
    serialize: world => JSON.stringify(world),
    violationOf: world =>
        world.targets.every(target => target.holdTicksLeft > 0) ? "Both targets hold the key." : undefined,
});

/** A second coordinator has taken over and waits; its term is confirmed. */
const secondWaits: HoldEvent[] = [
    { type: "take-over", host: 0 },
    { type: "take-over", host: 1 },
    { type: "plan", host: 1 },
    { type: "tick" },
    { type: "beat", host: 1 },
];

/** The same, with the first coordinator stopped. */
const firstStopped: HoldEvent[] = [{ type: "take-over", host: 0 }, { type: "stop", host: 0 }, ...secondWaits.slice(1)];

type HoldBreak = { title: string; rules: Partial<HoldRules>; prefix?: HoldEvent[] };

export const holdBreaks: HoldBreak[] = [
    { title: "a silent owner counts as lapsed one tick early", rules: { lapseTicks: 1 } },
    { title: "the new owner is granted before the old one has stopped", rules: { grantsAfterRelease: false } },
    {
        title: "grants go on without the store's confirmation",
        rules: { stopsWithoutConfirmation: false },
        prefix: secondWaits,
    },
    { title: "a new coordinator does not allow for the one before", rules: { waitsForFormerCoordinator: false } },
    { title: "a stopped host's clock stands still", rules: { countsStoppedTime: false }, prefix: firstStopped },
    { title: "a plan keeps the fence", rules: { raisesFence: false } },
    { title: "a release carries the old fence", rules: { releasesWithNewFence: false } },
    { title: "a deposed coordinator's plan is written", rules: { checksTerm: false } },
];

/** Bounds the run: the check prints whether all states were reached. */
const maxStates = 60_000;

/** Explores the specification. */
export const runHolds = (): Report => ({
    name: "holds, one key, two targets, two hosts, two terms, two plans",
    exploration: exploreAll(createHoldModel(holdRules), maxStates),
    notes: `nearest first, up to ${maxStates} states`,
    failure: undefined,
});
