/**
 * Applies edits from the command line to an object: setting a field, adding to a list, removing a field or an entry of
 * a list.
 */
import { isDeepStrictEqual } from "node:util";
import type { Finding } from "../contracts/finding.ts";

export type Edit = { action: "set" | "add" | "remove"; path: string; value: unknown };

type Container = Record<string, unknown> | unknown[];

/** Splits a path such as `uses[0].rate.perSecond` into names and indexes. Returns undefined for an invalid path. */
export const parsePath = (path: string): Array<string | number> | undefined => {
    if (!/^[A-Za-z]\w*(\.[A-Za-z]\w*|\[\d+\])*$/.test(path)) {
        return undefined;
    }
    return [...path.matchAll(/[A-Za-z]\w*|\d+(?=\])/g)].map(([part]) => /^\d/.test(part) ? Number(part) : part);
};

const childOf = (container: Container, part: string | number): unknown =>
    (container as Record<string | number, unknown>)[part];

const isContainer = (value: unknown): value is Container => typeof value === "object" && Boolean(value);

/**
 * Returns the object or list that contains the last part of a path, and creates objects for missing fields on the way.
 * Returns undefined when the path leads through a value that contains nothing.
 */
const containerOf = (value: Container, parts: Array<string | number>): Container | undefined => {
    let current: unknown = value;
    for (const part of parts.slice(0, -1)) {
        if (!isContainer(current)) {
            return undefined;
        }
        if (childOf(current, part) === undefined && typeof part === "string" && !Array.isArray(current)) {
            current[part] = {};
        }
        current = childOf(current, part);
    }
    return isContainer(current) ? current : undefined;
};

/** Adds the edit's value to a list or removes it. Returns what was expected at the path, if the edit does not apply. */
const applyToList = (list: unknown, edit: Edit): string | undefined => {
    if (!Array.isArray(list)) {
        return "a list";
    }
    const index = list.findIndex(entry => isDeepStrictEqual(entry, edit.value));
    if (edit.action === "remove") {
        if (index === -1) {
            return `a list that holds ${JSON.stringify(edit.value)}`;
        }
        list.splice(index, 1);
    }
    else if (index === -1) {
        list.push(edit.value);
    }
    return undefined;
};

/** Applies one edit in place. Returns what was expected at the path, if the edit does not apply. */
const applyEdit = (value: Container, edit: Edit): string | undefined => {
    const parts = parsePath(edit.path);
    if (parts === undefined) {
        return "a path such as uses[0].rate.perSecond";
    }
    const container = containerOf(value, parts);
    if (container === undefined) {
        return "a path into the object";
    }
    const last = parts[parts.length - 1];
    const fields = container as Record<string | number, unknown>;
    if (edit.action === "set") {
        fields[last] = edit.value;
        return undefined;
    }
    if (edit.action === "add") {
        fields[last] ??= [];
        return applyToList(fields[last], edit);
    }
    if (edit.value !== undefined) {
        return applyToList(fields[last], edit);
    }
    if (fields[last] === undefined) {
        return "a field that is there";
    }
    if (Array.isArray(container)) {
        container.splice(Number(last), 1);
    }
    else {
        delete fields[last];
    }
    return undefined;
};

/** Applies edits to a copy of a value, and returns a finding for each edit that does not apply. */
export const applyEdits = (source: string, value: unknown, edits: Edit[]): { value: unknown; findings: Finding[] } => {
    const copy = structuredClone(value) as Container;
    const findings: Finding[] = [];
    for (const edit of edits) {
        const expected = applyEdit(copy, edit);
        if (expected !== undefined) {
            findings.push({ source, path: edit.path, expected, found: `--${edit.action} ${edit.path}` });
        }
    }
    return { value: copy, findings };
};
