/**
 * Progress: what comes of a state when faults stop, and what goes on while the platform is out. Both take the events in
 * a fixed order.
 */
import { enabledEvents, type ModelEvent, slotOwner } from "./events.ts";
import { newestAssignment, plainKey, type Specification, type State } from "./state.ts";
import { holdersOf, nextState } from "./step.ts";

/** Takes every event of these kinds that may happen, each as often as it appeared at the start of its turn. */
const takeAll = (specification: Specification, state: State, kinds: ReadonlyArray<ModelEvent["type"]>): State => {
    let next = state;
    for (const kind of kinds) {
        for (const event of enabledEvents(specification, next)) {
            if (event.type === kind) {
                // Each delivery takes a grant away, so the next to deliver is always the first.
                next = nextState(specification, next, event.type === "deliver" ? { ...event, index: 0 } : event);
            }
        }
    }
    return next;
};

const healthyTurn: ReadonlyArray<ModelEvent["type"]> = [
    "apply",
    "announce",
    "read",
    "receive",
    "finish",
    "acknowledge",
    "finished",
    "list",
    "observe",
    "release",
    "hear",
    "grant",
    "deliver",
];

/**
 * Lets time pass without faults until every wait is over. Undefined when the target that the platform names then owns
 * the slot alone; else what is wrong.
 */
export const findProgressFailure = (specification: Specification, state: State): string | undefined => {
    const { timeToLiveMilliseconds, freshnessMilliseconds, longestDeadlineMilliseconds } = specification.size.timing;
    const turns = 2 * (timeToLiveMilliseconds + freshnessMilliseconds + longestDeadlineMilliseconds + 2);
    const open: Specification = { ...specification, size: { ...specification.size, hostsShareKnowledge: true } };
    let next = state;
    for (let turn = 0; turn < turns; turn += 1) {
        next = takeAll(open, nextState(open, next, { type: "tick" }), healthyTurn);
    }
    if (!specification.size.checksGrants) {
        next = takeAll(open, next, ["send"]);
    }
    const owner = slotOwner(newestAssignment(next));
    const holders = holdersOf(open, next, plainKey);
    if (next.violation !== undefined) {
        return next.violation;
    }
    return holders.length === 1 && holders[0] === owner
        ? undefined
        : `Target "${owner}" should own the slot, but the owners are [${holders.join()}].`;
};

/** Lets turns pass in which no host reaches the platform. True when the slot was owned at every moment. */
export const staysOwnedDuringOutage = (specification: Specification, state: State, turns: number): boolean => {
    let next = state;
    for (let turn = 0; turn < turns; turn += 1) {
        next = takeAll(specification, next, ["vouch", "vouch", "hear", "grant", "deliver"]);
        if (holdersOf(specification, next, plainKey).length !== 1) {
            return false;
        }
        next = nextState(specification, next, { type: "tick" });
        if (holdersOf(specification, next, plainKey).length !== 1) {
            return false;
        }
    }
    return true;
};
