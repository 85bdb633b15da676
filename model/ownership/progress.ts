/**
 * Progress: whether the slot gets its owner when faults stop, and whether it stays owned during an outage of the
 * platform. Both apply the events in a fixed order.
 */
import { enabledEvents, type ModelEvent, slotOwner } from "./events.ts";
import { newestAssignment, plainKey, type Specification, type State } from "./state.ts";
import { holdersOf, nextState } from "./step.ts";

/** Applies the events of these kinds in turn: of each kind, all events that are enabled when the kind begins. */
const applyAll = (specification: Specification, state: State, kinds: ReadonlyArray<ModelEvent["type"]>): State => {
    let next = state;
    for (const kind of kinds) {
        for (const event of enabledEvents(specification, next)) {
            if (event.type === kind) {
                // Each delivery removes a grant, so the next one to deliver is always the first.
                next = nextState(specification, next, event.type === "deliver" ? { ...event, index: 0 } : event);
            }
        }
    }
    return next;
};

/** The events of a turn without faults. */
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
 * Lets time pass without faults until every wait is over. Returns undefined if the target to which the newest
 * assignment gives the slot is then its only owner, else a description of the failure.
 */
export const findProgressFailure = (specification: Specification, state: State): string | undefined => {
    const { timeToLiveMilliseconds, freshnessMilliseconds, longestDeadlineMilliseconds } = specification.size.timing;
    const turns = 2 * (timeToLiveMilliseconds + freshnessMilliseconds + longestDeadlineMilliseconds + 2);
    const connected: Specification = { ...specification, size: { ...specification.size, hostsShareKnowledge: true } };
    let next = state;
    for (let turn = 0; turn < turns; turn += 1) {
        next = applyAll(connected, nextState(connected, next, { type: "tick" }), healthyTurn);
    }
    if (!specification.size.checksGrants) {
        next = applyAll(connected, next, ["send"]);
    }
    const owner = slotOwner(newestAssignment(next));
    const holders = holdersOf(connected, next, plainKey);
    if (next.violation !== undefined) {
        return next.violation;
    }
    return holders.length === 1 && holders[0] === owner
        ? undefined
        : `Target "${owner}" should own the slot, but the owners are [${holders.join()}].`;
};

/** Lets turns pass in which no host reaches the platform. True when the slot had exactly one owner throughout. */
export const staysOwnedDuringOutage = (specification: Specification, state: State, turns: number): boolean => {
    let next = state;
    for (let turn = 0; turn < turns; turn += 1) {
        next = applyAll(specification, next, ["vouch", "vouch", "hear", "grant", "deliver"]);
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
