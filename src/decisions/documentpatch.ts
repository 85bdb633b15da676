/**
 * Differences between two values of a JSON object, as JSON patches. The order of an object's fields may differ afterwards.
 */
import jsonPatch, { type Operation } from "fast-json-patch";
import type { ValuePatch } from "../contracts/statemessages.ts";

const isDocument = (value: unknown): value is object => typeof value === "object" && Boolean(value);

/** Sends JSON objects as differences where these are smaller. */
export const documentPatch: ValuePatch = {
    between: (before, after) => {
        if (!isDocument(before) || !isDocument(after) || Array.isArray(before) !== Array.isArray(after)) {
            return undefined;
        }
        const operations = jsonPatch.compare(before, after);
        return JSON.stringify(operations).length < JSON.stringify(after).length ? operations : undefined;
    },
    apply: (before, patch) => {
        if (!isDocument(before) || !Array.isArray(patch)) {
            return undefined;
        }
        try {
            const patched: unknown = jsonPatch.applyPatch(before, patch as Operation[], true, false).newDocument;
            return isDocument(patched) ? patched : undefined;
        }
        catch {
            return undefined;
        }
    },
};
