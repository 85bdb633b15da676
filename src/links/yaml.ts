/**
 * Parses YAML and checks it against a schema. All findings of a file are reported together, each with its place;
 * for an unknown name, the most similar known name is suggested.
 */
import { distance } from "fastest-levenshtein";
import { type Document, isNode, LineCounter, parseAllDocuments } from "yaml";
import type { z } from "zod";
import { describePath, type Finding, findingsOf } from "../contracts/finding.ts";

/** The value of one document, or `undefined` with the findings when the document is not valid. */
export type CheckedDocument<Shape> = { value: Shape | undefined; findings: Finding[] };

/** The known name with the least edit distance; undefined when it is too different to be a likely misspelling. */
const nearestName = (name: string, known: string[]): string | undefined => {
    const ranked = known.map(other => ({ other, edits: distance(name, other) })).sort((a, b) => a.edits - b.edits);
    return ranked[0] !== undefined && ranked[0].edits <= Math.max(2, name.length / 2) ? ranked[0].other : undefined;
};

/** Property names of the schema at a path; empty where the schema is not an object. */
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

/** Turns an issue about unknown names into one finding for each name, with the nearest known name. */
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

type PlaceFinder = (path: ReadonlyArray<PropertyKey>) => { line: number; column: number };

/**
 * Finds the line and column of paths in a document. A path that does not exist gets those of the nearest enclosing
 * node.
 */
const createPlaceFinder = (document: Document, lines: LineCounter): PlaceFinder => path => {
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
    const findPlace = createPlaceFinder(document, lines);
    const findings = parsed.error.issues.flatMap(issue => {
        if (issue.code === "unrecognized_keys") {
            return unknownNameFindings(source, schema, issue).map((finding, index) => ({
                ...finding,
                ...findPlace([...issue.path, issue.keys[index]]),
            }));
        }
        const single = { issues: [issue] } as z.ZodError;
        return findingsOf(source, value, single).map(finding => ({ ...finding, ...findPlace(issue.path) }));
    });
    return { value: undefined, findings };
};

/** Checks every document of a YAML file against a schema. An empty file counts as one document without properties. */
export const checkYamlDocuments = <Shape>(
    source: string,
    text: string,
    schema: z.ZodType<Shape>,
): Array<CheckedDocument<Shape>> => {
    const lines = new LineCounter();
    const documents = parseAllDocuments(text, { lineCounter: lines });
    const nonEmpty = documents.length === 0 ? parseAllDocuments("{}") : documents;
    return nonEmpty.map(document => checkDocument(source, document as unknown as Document, lines, schema));
};

/** Checks a YAML file that may hold only one document. */
export const checkYaml = <Shape>(source: string, text: string, schema: z.ZodType<Shape>): CheckedDocument<Shape> => {
    const [first, second] = checkYamlDocuments(source, text, schema);
    if (second !== undefined) {
        const found = "a second document";
        return { value: undefined, findings: [{ source, path: "(whole)", expected: "one document", found }] };
    }
    return first;
};
