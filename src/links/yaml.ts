/**
 * YAML whose shape is checked: all findings of a file are reported together, each with its place and, for an unknown
 * name, the nearest known one.
 */
import { distance } from "fastest-levenshtein";
import { type Document, isNode, LineCounter, parseAllDocuments } from "yaml";
import type { z } from "zod";
import { describePath, type Finding, findingsOf } from "../contracts/finding.ts";

/** What one document of a file holds, and what is wrong with it. The value is there when nothing is. */
export type CheckedDocument<Shape> = { value: Shape | undefined; findings: Finding[] };

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

type PlaceOf = (path: ReadonlyArray<PropertyKey>) => { line: number; column: number };

/** Places in a document, those of the nearest enclosing node where a path leads to nothing. */
const placesIn = (document: Document, lines: LineCounter): PlaceOf => path => {
    for (let length = path.length; length >= 0; length -= 1) {
        const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true);
        if (isNode(node) && node.range) {
            const { line, col } = lines.linePos(node.range[0]);
            return { line, column: col };
        }
    }
    return { line: 1, column: 1 };
};

const syntaxFindings = (source: string, document: Document): Finding[] =>
    document.errors.map(error => ({
        source,
        line: error.linePos?.[0].line ?? 1,
        column: error.linePos?.[0].col ?? 1,
        path: "(whole)",
        expected: "valid YAML",
        found: error.message.split("\n")[0],
    }));

const checkDocument = <Shape>(
    source: string,
    document: Document,
    lines: LineCounter,
    schema: z.ZodType<Shape>,
): CheckedDocument<Shape> => {
    if (document.errors.length > 0) {
        return { value: undefined, findings: syntaxFindings(source, document) };
    }
    const value = (document.toJS() ?? {}) as unknown;
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return { value: parsed.data, findings: [] };
    }
    const placeOf = placesIn(document, lines);
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

/** Checks every document of a YAML file against a schema. An empty file counts as one empty document. */
export const checkYamlDocuments = <Shape>(
    source: string,
    text: string,
    schema: z.ZodType<Shape>,
): Array<CheckedDocument<Shape>> => {
    const lines = new LineCounter();
    const documents = parseAllDocuments(text, { lineCounter: lines });
    const held = documents.length === 0 ? parseAllDocuments("{}") : documents;
    return held.map(document => checkDocument(source, document as unknown as Document, lines, schema));
};

/** Checks a YAML file that holds one document. */
export const checkYaml = <Shape>(source: string, text: string, schema: z.ZodType<Shape>): CheckedDocument<Shape> => {
    const [first, second] = checkYamlDocuments(source, text, schema);
    if (second !== undefined) {
        const found = "a second document";
        return { value: undefined, findings: [{ source, path: "(whole)", expected: "one document", found }] };
    }
    return first;
};
