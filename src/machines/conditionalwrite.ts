/**
 * A conditional write that is sent once. If its reply is lost, the object is read back and the write id tells whether
 * this write or another took effect.
 */
import type { StoredObject } from "../contracts/objects.ts";
import type { PlatformLink, PutRequest } from "../links/platform.ts";

/** `written` tells whether this write took effect; `item` is the object that the platform holds afterwards, if any. */
export type WriteOutcome = { written: boolean; item: StoredObject | undefined };

/**
 * Sends a conditional write once.
 *
 * @throws `PlatformError` when neither the write nor the read after it was answered, so that the outcome is unknown.
 */
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
