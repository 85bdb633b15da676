/**
 * Explores a specification exhaustively by the graph traversal of xstate, or along random walks by fast-check. Both
 * report the number of distinct states, and a trace that leads to a violation if they find one.
 */
import fc from "fast-check";
import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";

/** A specification that can be explored. */
export type Model<State, Event extends { type: string }> = {
    initial: State;
    /** Events that may happen in the state. */
    enabledEvents: (state: State) => Event[];
    nextState: (state: State, event: Event) => State;
    /** The state as text. Two states with the same text are the same state. */
    serialize: (state: State) => string;
    /** The property that the state violates; undefined when it violates none. */
    violationOf: (state: State) => string | undefined;
};

export type Exploration<State, Event> = {
    /** Distinct states reached. */
    stateCount: number;
    /** Steps computed. */
    stepCount: number;
    /** Whether every reachable state was reached. */
    complete: boolean;
    violation?: string;
    /** Events that lead from the initial state to the violation. */
    trace?: Event[];
    /** Every state reached, for further checks; empty for sampled walks. */
    reachedStates: State[];
};

/** The state and event from which a state was first reached. */
type Origin<Event> = { from: string; event: Event };

const traceOf = <Event>(origins: Map<string, Origin<Event>>, last: string): Event[] => {
    const trace: Event[] = [];
    for (let origin = origins.get(last); origin !== undefined; origin = origins.get(origin.from)) {
        trace.unshift(origin.event);
    }
    return trace;
};

/**
 * Reaches every state in breadth-first order, up to `limit` distinct states, and stops at the first violation. The
 * traversal gets only those events that lead to states not yet seen, so that its map holds no more entries than there
 * are states.
 */
export const exploreAll = <State extends object, Event extends { type: string }>(
    model: Model<State, Event>,
    limit = Infinity,
): Exploration<State, Event> => {
    const origins = new Map<string, Origin<Event>>();
    const seen = new Set<string>([model.serialize(model.initial)]);
    const reached: State[] = [model.initial];
    let steps = 0;
    let complete = true;
    let violating: { violation: string; text: string } | undefined;
    let successors = new Map<Event, State>();

    const newEventsOf = (state: State): Event[] => {
        successors = new Map();
        if (violating !== undefined) {
            return [];
        }
        const from = model.serialize(state);
        for (const event of model.enabledEvents(state)) {
            const next = model.nextState(state, event);
            steps += 1;
            if (next === state) {
                continue;
            }
            const text = model.serialize(next);
            if (seen.has(text)) {
                continue;
            }
            if (seen.size >= limit) {
                complete = false;
                break;
            }
            seen.add(text);
            reached.push(next);
            origins.set(text, { from, event });
            successors.set(event, next);
            const violation = model.violationOf(next);
            if (violation !== undefined) {
                violating = { violation, text };
                break;
            }
        }
        return [...successors.keys()];
    };

    const logic = fromTransition((state: State, event: Event) => successors.get(event) ?? state, model.initial);
    let serial = 0;
    const names = new WeakMap<State, string>();
    getAdjacencyMap(logic, {
        events: (snapshot: { context: State }) => newEventsOf(snapshot.context),
        serializeState: (snapshot: { context: State }) => {
            const name = names.get(snapshot.context) ?? String(serial += 1);
            names.set(snapshot.context, name);
            return name;
        },
    } as never);
    return {
        stateCount: seen.size,
        stepCount: steps,
        complete: complete && violating === undefined,
        ...(violating === undefined
            ? {}
            : { violation: violating.violation, trace: traceOf(origins, violating.text) }),
        reachedStates: reached,
    };
};

export type SampleOptions = {
    seed: number;
    /** Number of walks. */
    walks: number;
    /** Steps of each walk, unless no event may happen earlier. */
    length: number;
};

/**
 * Takes random walks, which depend only on the model and the seed. Stops at the first walk whose last state violates a
 * property and reports it as fast-check found it, without shrinking.
 */
export const exploreSampled = <State extends object, Event extends { type: string }>(
    model: Model<State, Event>,
    { seed, walks, length }: SampleOptions,
): Exploration<State, Event> => {
    const seen = new Set<string>();
    let steps = 0;

    const walk = (choices: number[]): { state: State; trace: Event[] } => {
        let state = model.initial;
        const trace: Event[] = [];
        for (const choice of choices) {
            const events = model.enabledEvents(state);
            if (events.length === 0) {
                break;
            }
            const event = events[choice % events.length];
            state = model.nextState(state, event);
            trace.push(event);
            steps += 1;
            seen.add(model.serialize(state));
        }
        return { state, trace };
    };

    const choice = fc.nat({ max: 1_000_000 });
    const property = fc.property(
        fc.array(choice, { minLength: length, maxLength: length, size: "max" }),
        choices => model.violationOf(walk(choices).state) === undefined,
    );
    const result = fc.check(property, { seed, numRuns: walks, endOnFailure: true });
    const states = seen.size;
    if (!result.counterexample) {
        return { stateCount: states, stepCount: steps, complete: false, reachedStates: [] };
    }
    const { state, trace } = walk(result.counterexample[0]);
    return {
        stateCount: states,
        stepCount: steps,
        complete: false,
        violation: model.violationOf(state),
        trace,
        reachedStates: [],
    };
};
