/**
 * The model of ownership, for exploration.
 */
import type { Model } from "../explore.ts";
import { enabledEvents, type ModelEvent } from "./events.ts";
import { createStateSerializer } from "./serialize.ts";
import { initialState, type Specification, type State } from "./state.ts";
import { nextState } from "./step.ts";

/** Creates the model of one specification. Its initial state is the one to which the events of the prefix lead. */
export const createOwnershipModel = (
    specification: Specification,
    prefix: ModelEvent[] = [],
): Model<State, ModelEvent> => ({
    initial: prefix.reduce((state, event) => nextState(specification, state, event), initialState(specification)),
    enabledEvents: state => enabledEvents(specification, state),
    nextState: (state, event) => nextState(specification, state, event),
    serialize: createStateSerializer(specification),
    violationOf: state => state.violation,
});
