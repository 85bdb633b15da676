/**
 * Findings: what is wrong in settings or objects, each with its place, collected and reported together.
 */
import type { z } from "zod";

export type Finding = {
    /** File or object, such as `settings.yaml` or `plans/hallam`. */
    source: string;
    line?: number;
    column?: number;
    /** Path inside the source, such as `targets[3].address`. */
    path: string;
    expected: string;
    found: string;
};

/** One line a finding: `settings.yaml:3:5 host.zone: expected a name, found 7.` */
export const describeFinding = (finding: Finding): string => {
    const place = finding.line === undefined ? finding.source : `${finding.source}:${finding.line}:${finding.column}`;
    return `${place} ${finding.path}: expected ${finding.expected}, found ${finding.found}.`;
};

/** Writes a path as `targets[3].address`. */
export const describePath = (path: ReadonlyArray<PropertyKey>): string => {
    let text = "";
    for (const part of path) {
        const step = typeof part === "number" ? `[${part}]` : `.${String(part)}`;
        text += step;
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
    const text = JSON.stringify(value) ?? String(value);
    return text.length > 60 ? `${text.slice(0, 57)}...` : text;
};

/** Turns the issues of a failed check into findings. */
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
