/**
 * Computes differences between two values of an object: as a patch that one host sends to another, and as lines of text
 * for operators.
 */
import jsonPatch, { type Operation } from "fast-json-patch";
import type { ObjectPatch } from "../contracts/objectmessages.ts";
import type { StoredObject } from "../contracts/objects.ts";

const isDocument = (value: unknown): value is object => typeof value === "object" && Boolean(value);

/**
 * Returns the difference from one version to the next. Returns undefined when the patch would be no smaller than the
 * whole object, or when one of the versions is missing, deleted or no JSON object or array.
 */
export const differenceOf = (before: StoredObject | undefined, after: StoredObject): ObjectPatch | undefined => {
    const comparable = before !== undefined && !before.deleted && !after.deleted;
    if (!comparable || !isDocument(before.value) || !isDocument(after.value)) {
        return undefined;
    }
    const operations = jsonPatch.compare(before.value, after.value) as ObjectPatch["operations"];
    if (JSON.stringify(operations).length >= JSON.stringify(after.value).length) {
        return undefined;
    }
    const { kind, name, version, writeId } = after;
    return { kind, name, baseVersion: before.version, version, writeId, operations };
};

/**
 * Applies a difference. Returns undefined when the held object is not the one from which the difference was computed.
 */
export const applyDifference = (
    held: StoredObject | undefined,
    difference: ObjectPatch,
): StoredObject | undefined => {
    if (held === undefined || held.deleted || held.version !== difference.baseVersion) {
        return undefined;
    }
    const { kind, name, version, writeId } = difference;
    try {
        const patched = jsonPatch.applyPatch(held.value, difference.operations as Operation[], true, false);
        return { kind, name, version, writeId, deleted: false, value: patched.newDocument };
    }
    catch {
        return undefined;
    }
};

const describe = (value: unknown): string => value === undefined ? "nothing" : JSON.stringify(value);

/** Converts a JSON pointer to a path such as `uses[0].pool`. */
const pathOf = (pointer: string): string =>
    pointer.slice(1).split("/")
        .map(part => part.replaceAll("~1", "/").replaceAll("~0", "~"))
        .map(part => (/^\d+$/.test(part) ? `[${part}]` : `.${part}`))
        .join("")
        .replace(/^\./, "");

/**
 * Describes how one value differs from another, one line per difference: `+` marks an added value, `-` a removed one,
 * and a line such as `~ rate.perSecond: 10 -> 20` a changed one.
 */
export const describeDifference = (before: unknown, after: unknown): string[] => {
    if (!isDocument(before) || !isDocument(after)) {
        return before === after ? [] : [`~ (whole): ${describe(before)} -> ${describe(after)}`];
    }
    return jsonPatch.compare(before, after).map(operation => {
        const path = pathOf(operation.path);
        if (operation.op === "add") {
            return `+ ${path}: ${describe(operation.value)}`;
        }
        const former = describe(jsonPatch.getValueByPointer(before, operation.path));
        return operation.op === "replace"
            ? `~ ${path}: ${former} -> ${describe(operation.value)}`
            : `- ${path}: ${former}`;
    });
};
