/**
 * Conditional writes to the platform that survive a lost reply. The write is sent again with the same write id until
 * the platform says whether it took effect. Since the write is conditional, it takes effect at most once.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../contracts/clock.ts";
import { messageOf, PlatformError } from "../contracts/errors.ts";
import type { StoredObject } from "../contracts/objects.ts";
import type { PlatformLink, PutRequest } from "./platform.ts";

/** A write; without a `writeId` a random one is used. */
export type WriteRequest = Omit<PutRequest, "writeId"> & { writeId?: string };

/**
 * `written` carries the new version, and whether the reply to an attempt was lost. `conflict` means that another write
 * came first; with `mayHaveWritten`, that the write may have taken effect before another one followed.
 */
export type WriteResult =
    | { result: "written"; version: number; replyLost: boolean }
    | { result: "conflict"; current: StoredObject | undefined; mayHaveWritten: boolean };

export type WriteOptions = {
    platform: PlatformLink;
    clock: Clock;
    /** Limit on the number of sends; 4 by default. */
    maxAttempts?: number;
    signal?: AbortSignal;
};

const defaultMaxAttempts = 4;
const backoffBaseMilliseconds = 50;

/**
 * Writes an object, with exponential backoff between the attempts.
 *
 * @throws `PlatformError` when the platform answered none of the attempts; the write may still have taken effect.
 */
export const writeObject = async (request: WriteRequest, options: WriteOptions): Promise<WriteResult> => {
    const { platform, clock, signal } = options;
    const writeId = request.writeId ?? randomUUID();
    const maxAttempts = options.maxAttempts ?? defaultMaxAttempts;
    let failure: unknown;
    for (let attempt = 0; attempt < maxAttempts && signal?.aborted !== true; attempt += 1) {
        if (attempt > 0) {
            await clock.sleep(backoffBaseMilliseconds * 2 ** attempt * (0.5 + Math.random()), signal);
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
        `The platform did not confirm the write of ${request.kind}/${request.name} in ${maxAttempts} attempts: `
            + `${messageOf(failure)} Whether it took effect is not known; its write id is ${writeId}.`,
    );
};
