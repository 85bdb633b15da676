/**
 * The model of holds, its exploration, and deliberate breaks of its rules. Each break must lead to a violation, which
 * proves that the check can fail.
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

/**
 * Creates the model. The property is that at most one target holds the key at any time. The initial state is the one to
 * which the prefix leads.
 */
export const createHoldModel = (
    rules: HoldRules,
    prefix: HoldEvent[] = [],
    returnsLeft = 0,
): Model<HoldState, HoldEvent> => ({
    initial: prefix.reduce((state, event) => nextState(state, event, rules), createInitialState(returnsLeft)),
    enabledEvents: state => enabledEvents(state, rules),
    nextState: (state, event) => nextState(state, event, rules),
    serialize: state => JSON.stringify(state),
    violationOf: state =>
        state.targets.every(target => target.holdTicksLeft > 0) ? "Both targets hold the key." : undefined,
});

/** A second coordinator has taken over, written a plan and waits, and the store has confirmed its term. */
const secondWaits: HoldEvent[] = [
    { type: "take-over", host: 0 },
    { type: "take-over", host: 1 },
    { type: "plan", host: 1 },
    { type: "tick" },
    { type: "beat", host: 1 },
];

/** The same, with the first coordinator stopped. */
const firstStopped: HoldEvent[] = [{ type: "take-over", host: 0 }, { type: "stop", host: 0 }, ...secondWaits.slice(1)];

/** The second coordinator has moved the key; the first goes on by its lease. */
const secondMoved: HoldEvent[] = [
    { type: "take-over", host: 0 },
    { type: "take-over", host: 1 },
    { type: "plan", host: 1 },
    { type: "release", host: 1, target: 0 },
];

/** The same, and the store has forgotten that. */
const moveForgotten: HoldEvent[] = [...secondMoved, { type: "return", forgottenWrites: 2 }];

/** Rules to replace, and the events from which the exploration starts. */
type HoldBreak = { title: string; rules: Partial<HoldRules>; prefix?: HoldEvent[]; returnsLeft?: number };

export const holdBreaks: HoldBreak[] = [
    { title: "a silent owner counts as lapsed one tick early", rules: { lapseTicks: 1 } },
    { title: "the new owner is granted before the old one has stopped", rules: { grantsAfterRelease: false } },
    {
        title: "grants continue without the store's confirmation",
        rules: { stopsWithoutConfirmation: false },
        prefix: secondWaits,
    },
    {
        title: "a new coordinator does not wait for the grants of the former one",
        rules: { waitsForFormerCoordinator: false },
    },
    {
        title: "the wait for a former coordinator ends when its window does",
        rules: { waitsAfterFormerWindow: false },
        prefix: secondWaits,
    },
    {
        title: "a coordinator grants until it learns that its resignation was written",
        rules: { stopsBeforeResigning: false },
        prefix: [{ type: "take-over", host: 0 }, { type: "resign", host: 0 }, ...secondWaits.slice(1, 3)],
    },
    {
        title: "a deposed coordinator tells that it has stopped and goes on granting",
        rules: { stopsBeforeRetiring: false },
        prefix: secondWaits.slice(0, 3),
    },
    { title: "a stopped host's clock stands still", rules: { countsStoppedTime: false }, prefix: firstStopped },
    { title: "a plan does not raise the fence", rules: { raisesFence: false } },
    { title: "a release carries the old fence", rules: { releasesWithNewFence: false } },
    { title: "a deposed coordinator's plan is written", rules: { checksTerm: false } },
    ...([
        { title: "fences of a new era are not above those of the one before", rules: { startsFencesByEra: false } },
        { title: "keys are granted before the targets are cleared", rules: { clearsTargets: false } },
        { title: "a deposed coordinator believes that it has been the last", rules: { checksDispute: false } },
        { title: "a new era does not wait for coordinators of the one before", rules: { waitsForFormerEra: false } },
        {
            title: "a coordinator grants on the strength of a lease that the copy has brought back",
            rules: { ignoresCopiedCoordinator: false },
        },
    ] satisfies HoldBreak[]).map(holdBreak => ({ ...holdBreak, prefix: moveForgotten, returnsLeft: 1 })),
    {
        title: "a coordinator renews the grants of the era before for longer than its lease",
        rules: { stopsWithFormerLease: false },
        prefix: [
            ...secondMoved.slice(0, 2),
            { type: "return", forgottenWrites: 1 },
            { type: "take-over", host: 0 },
            { type: "take-over", host: 1 },
            { type: "plan", host: 1 },
            { type: "tick" },
            { type: "beat", host: 1 },
        ],
        returnsLeft: 1,
    },
];

/** Bounds the exploration. The report says whether all states were reached. */
const maxStates = 60_000;

/** Explores the model. */
export const runHolds = (): Report => ({
    name: "holds, one key, two targets, two hosts, two terms, two plans",
    exploration: exploreAll(createHoldModel(holdRules), maxStates),
    notes: `nearest first, up to ${maxStates} states`,
    failure: undefined,
});

/** Bounds the exploration of what follows a return of the store. */
const maxStatesAfterReturn = 20_000;

/** Explores what follows when the store forgets that the key was moved, or any of its last writes. */
export const runHoldsAfterReturn = (): Report[] =>
    [
        { name: "a move is forgotten", prefix: moveForgotten },
        { name: "any writes are forgotten", prefix: [] },
    ].map(({ name, prefix }) => ({
        name: `holds across a return of the store, ${name}`,
        exploration: exploreAll(createHoldModel(holdRules, prefix, 1), maxStatesAfterReturn),
        notes: `nearest first, up to ${maxStatesAfterReturn} states`,
        failure: undefined,
    }));
