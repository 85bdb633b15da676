/**
 * What a run of the model check found.
 */
import type { Exploration } from "./explore.ts";

export type Report = {
    name: string;
    exploration: Exploration<object, { type: string }>;
    notes: string;
    /** A failure of progress; undefined when there is none. */
    failure: string | undefined;
};

/** Whether the report tells of a violation. */
export const hasFailed = ({ exploration, failure }: Report): boolean =>
    exploration.violation !== undefined || failure !== undefined;

/** One line for the report, followed by the trace if a property was violated. */
export const formatReport = (report: Report): string => {
    const { name, exploration, notes, failure } = report;
    const reach = exploration.complete ? "all states reached" : "sampled";
    const lines = [`${name}: ${exploration.stateCount} states, ${exploration.stepCount} steps, ${reach}; ${notes}`];
    const wrong = exploration.violation ?? failure;
    if (wrong !== undefined) {
        lines.push(`  VIOLATED: ${wrong}`);
    }
    for (const event of exploration.trace ?? []) {
        lines.push(`    ${JSON.stringify(event)}`);
    }
    return lines.join("\n");
};
