/**
 * Reads settings from YAML and checks their shape. All findings are reported together, each with its place.
 */
import { distance } from "fastest-levenshtein";
import { readFile } from "node:fs/promises";
import { dirname, resolve } from "node:path";
import { isNode, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import { InputError, messageOf } from "../contracts/errors.ts";
import { describeFinding, describePath, type Finding, findingsOf } from "../contracts/finding.ts";
import { type Settings, settingsSchema } from "../contracts/settings.ts";

export type SettingsResult = { settings: Settings; findings: [] } | { settings: undefined; findings: Finding[] };

const nearestName = (name: string, known: string[]): string | undefined => {
    const ranked = known.map(other => ({ other, steps: distance(name, other) })).sort((a, b) => a.steps - b.steps);
    return ranked[0] !== undefined && ranked[0].steps <= Math.max(2, name.length / 2) ? ranked[0].other : undefined;
};

/** Names that the schema knows at a path; empty where it is not an object. */
const knownNamesAt = (schema: unknown, path: ReadonlyArray<PropertyKey>): string[] => {
    let current = schema as { def?: { innerType?: unknown }; shape?: Record<string, unknown>; element?: unknown };
    const unwrap = (): void => {
        while (current?.def?.innerType !== undefined) {
            current = current.def.innerType as typeof current;
        }
    };
    unwrap();
    for (const part of path) {
        current = (typeof part === "number" ? current?.element : current?.shape?.[String(part)]) as typeof current;
        unwrap();
    }
    return Object.keys(current?.shape ?? {});
};

/** Splits an issue about unknown names into one finding a name, with the nearest known name. */
const unknownNameFindings = (source: string, schema: unknown, issue: z.core.$ZodIssueUnrecognizedKeys): Finding[] =>
    issue.keys.map(name => {
        const known = knownNamesAt(schema, issue.path);
        const nearest = nearestName(name, known);
        return {
            source,
            path: describePath([...issue.path, name]),
            expected: nearest === undefined ? `one of ${known.join(", ")}` : `a known name such as "${nearest}"`,
            found: `the unknown name "${name}"`,
        };
    });

/** Checks the text of a YAML file against a schema. */
export const checkYaml = <Shape>(
    source: string,
    text: string,
    schema: z.ZodType<Shape>,
): { value: Shape | undefined; findings: Finding[] } => {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines });
    if (document.errors.length > 0) {
        const findings = document.errors.map(error => ({
            source,
            line: error.linePos?.[0].line ?? 1,
            column: error.linePos?.[0].col ?? 1,
            path: "(whole)",
            expected: "valid YAML",
            found: error.message.split("\n")[0],
        }));
        return { value: undefined, findings };
    }
    const value = (document.toJS() ?? {}) as unknown;
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return { value: parsed.data, findings: [] };
    }
    const placeOf = (path: ReadonlyArray<PropertyKey>): { line: number; column: number } => {
        for (let length = path.length; length >= 0; length -= 1) {
            const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true);
            if (isNode(node) && node.range) {
                const { line, col } = lines.linePos(node.range[0]);
                return { line, column: col };
            }
        }
        return { line: 1, column: 1 };
    };
    const findings = parsed.error.issues.flatMap(issue => {
        if (issue.code === "unrecognized_keys") {
            return unknownNameFindings(source, schema, issue).map((finding, index) => ({
                ...finding,
                ...placeOf([...issue.path, issue.keys[index]]),
            }));
        }
        const single = { issues: [issue] } as z.ZodError;
        return findingsOf(source, value, single).map(finding => ({ ...finding, ...placeOf(issue.path) }));
    });
    return { value: undefined, findings };
};

/** Reads a settings file, or throws an `InputError` that lists every finding. */
export const readSettings = async (file: string): Promise<Settings> => {
    const text = await readFile(file, "utf8").catch((error: unknown) => {
        throw new InputError(`The settings file "${file}" is not readable: ${messageOf(error)}.`);
    });
    const { value, findings } = checkYaml(file, text, settingsSchema);
    if (value === undefined) {
        throw new InputError(findings.map(describeFinding).join("\n"));
    }
    return value;
};

/** Reads a secret from a file named relative to the settings file. */
export const readSecret = async (settingsFile: string, secretFile: string): Promise<Buffer> => {
    const path = resolve(dirname(settingsFile), secretFile);
    const text = await readFile(path, "utf8").catch((error: unknown) => {
        throw new InputError(`The secret file "${secretFile}" is not readable: ${messageOf(error)}.`);
    });
    return Buffer.from(text.trim());
};
