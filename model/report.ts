/**
 * The result of exploring one specification.
 */
import type { Exploration } from "./explore.ts";

export type Report = {
    name: string;
    exploration: Exploration<object, { type: string }>;
    /** How the states were chosen and what was checked besides. */
    notes: string;
    /** Why the system fails to make progress from a state; undefined when no such failure was found. */
    failure: string | undefined;
};

/** Whether a property was violated or progress failed. */
export const hasFailed = ({ exploration, failure }: Report): boolean =>
    exploration.violation !== undefined || failure !== undefined;

/** Formats the report as one line, followed by the violation and its trace if there is one. */
export const formatReport = (report: Report): string => {
    const { name, exploration, notes, failure } = report;
    const coverage = exploration.complete ? "all states reached" : "sampled";
    const lines = [`${name}: ${exploration.stateCount} states, ${exploration.stepCount} steps, ${coverage}; ${notes}`];
    const violation = exploration.violation ?? failure;
    if (violation !== undefined) {
        lines.push(`  VIOLATED: ${violation}`);
    }
    for (const event of exploration.trace ?? []) {
        lines.push(`    ${JSON.stringify(event)}`);
    }
    return lines.join("\n");
};
