/**
 * The specification of ownership, ready to be explored.
 */
import type { Model } from "../explore.ts";
import { eventsOf, type ModelEvent } from "./events.ts";
import { createSerialize } from "./serialize.ts";
import { initialState, type Specification, type State } from "./state.ts";
import { stepOf } from "./step.ts";

/** Creates the model of one specification, which sets out from the initial state or from where a prefix leads. */
export const createOwnershipModel = (
    specification: Specification,
    prefix: ModelEvent[] = [],
): Model<State, ModelEvent> => ({
    initial: prefix.reduce((state, event) => stepOf(specification, state, event), initialState(specification)),
    eventsOf: state => eventsOf(specification, state),
    stepOf: (state, event) => stepOf(specification, state, event),
    serialize: createSerialize(specification),
    violationOf: state => state.violation,
});
