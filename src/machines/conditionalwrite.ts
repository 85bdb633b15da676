/**
 * Conditional writes that may lose their reply: the object is read back, and the writer knows its own write by its id.
 */
import type { StoredObject } from "../contracts/objects.ts";
import type { PlatformLink, PutRequest } from "../links/platform.ts";

/** `written` tells whether this very write took effect; `item` is the object as it stands then. */
export type WriteOutcome = { written: boolean; item: StoredObject | undefined };

/** Writes once. Throws a `PlatformError` when it can not be known whether the write took effect. */
export const writeOnce = async (
    platform: Pick<PlatformLink, "get" | "put">,
    request: PutRequest,
    signal: AbortSignal,
): Promise<WriteOutcome> => {
    const { kind, name, value, writeId, deleted = false } = request;
    try {
        const result = await platform.put(request, signal);
        if (result.result === "conflict") {
            return { written: result.current?.writeId === writeId, item: result.current };
        }
        return { written: true, item: { kind, name, version: result.version, writeId, deleted, value } };
    }
    catch {
        const item = await platform.get(kind, name, signal);
        return { written: item?.writeId === writeId, item };
    }
};
