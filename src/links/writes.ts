/**
 * Conditional writes whose reply may be lost. The write is sent again under the same write id until the platform says
 * what became of it; since it is conditional it takes effect at most once.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../contracts/clock.ts";
import { messageOf, PlatformError } from "../contracts/errors.ts";
import type { StoredObject } from "../contracts/objects.ts";
import type { PlatformLink, PutRequest } from "./platform.ts";

export type WriteRequest = Omit<PutRequest, "writeId"> & { writeId?: string };

/**
 * `written` tells the version and whether a reply was lost on the way; `conflict` that another write came first, or,
 * when `mayHaveWritten`, that one came after the write may have taken effect.
 */
export type WriteResult =
    | { result: "written"; version: number; replyLost: boolean }
    | { result: "conflict"; current: StoredObject | undefined; mayHaveWritten: boolean };

export type WriteOptions = {
    platform: PlatformLink;
    clock: Clock;
    /** How often the write is sent at most. */
    maxAttempts?: number;
    signal?: AbortSignal;
};

const defaultAttempts = 4;
const firstPauseMilliseconds = 50;

/**
 * Writes an object.
 *
 * @throws `PlatformError` when the platform answered none of the attempts; the write may have taken effect.
 */
export const writeObject = async (request: WriteRequest, options: WriteOptions): Promise<WriteResult> => {
    const { platform, clock, signal } = options;
    const writeId = request.writeId ?? randomUUID();
    const attempts = options.maxAttempts ?? defaultAttempts;
    let failure: unknown;
    for (let attempt = 0; attempt < attempts && signal?.aborted !== true; attempt += 1) {
        if (attempt > 0) {
            await clock.sleep(firstPauseMilliseconds * 2 ** attempt * (0.5 + Math.random()), signal);
        }
        try {
            const result = await platform.put({ ...request, writeId }, signal);
            if (result.result === "written") {
                return { ...result, replyLost: attempt > 0 };
            }
            if (result.current?.writeId === writeId) {
                return { result: "written", version: result.current.version, replyLost: true };
            }
            return { ...result, mayHaveWritten: attempt > 0 };
        }
        catch (error) {
            failure = error;
        }
    }
    throw new PlatformError(
        `The platform did not confirm the write of ${request.kind}/${request.name} in ${attempts} attempts: `
            + `${messageOf(failure)} Whether it took effect is not known; its write id is ${writeId}.`,
    );
};
