/**
 * Findings: validation errors in settings or stored objects. Each has its location; all findings of a source are
 * collected and reported together.
 */
import type { z } from "zod";
import { isTooDeep } from "./nesting.ts";

/** One validation error. */
export type Finding = {
    /** File or stored object, such as `settings.yaml` or `plans/hallam`. */
    source: string;
    line?: number;
    column?: number;
    /** Path of the value inside the source, such as `targets[3].address`. */
    path: string;
    expected: string;
    found: string;
};

/** Formats a finding as one line: `settings.yaml:3:5 host.zone: expected a name, found 7.` */
export const describeFinding = (finding: Finding): string => {
    const location = finding.line === undefined
        ? finding.source
        : `${finding.source}:${finding.line}:${finding.column}`;
    return `${location} ${finding.path}: expected ${finding.expected}, found ${finding.found}.`;
};

/** Formats a path as `targets[3].address`. An empty path is written as `(whole)`. */
export const describePath = (path: ReadonlyArray<PropertyKey>): string => {
    let text = "";
    for (const part of path) {
        const segment = typeof part === "number" ? `[${part}]` : `.${String(part)}`;
        text += segment;
    }
    return text === "" ? "(whole)" : text.replace(/^\./, "");
};

const valueAt = (value: unknown, path: ReadonlyArray<PropertyKey>): unknown => {
    let current = value;
    for (const part of path) {
        current = (current as Record<PropertyKey, unknown> | undefined)?.[part];
    }
    return current;
};

const describeValue = (value: unknown): string => {
    if (value === undefined) {
        return "nothing";
    }
    if (isTooDeep(value)) {
        return "a value that is nested too deep";
    }
    const text = JSON.stringify(value) ?? String(value);
    return text.length > 60 ? `${text.slice(0, 57)}...` : text;
};

/**
 * Converts the issues of a failed zod check into findings.
 *
 * @param source - File or stored object that was checked.
 * @param value - The checked value, from which each finding quotes the invalid part.
 */
export const findingsOf = (source: string, value: unknown, error: z.ZodError): Finding[] =>
    error.issues.map(issue => ({
        source,
        path: describePath(issue.path),
        expected: issue.message.replace(/^(Invalid input|Too small|Too big): expected /, "").replace(
            /, received .*$/,
            "",
        ),
        found: describeValue(valueAt(value, issue.path)),
    }));
