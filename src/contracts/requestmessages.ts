/**
 * Messages about requests: claims, quarantine and shares of rates and of targets.
 */
import { z } from "zod";

/** Asks a claim keeper to remember that the id is about to run. */
export const claimSchema = z.strictObject({
    kind: z.literal("claim"),
    pool: z.string(),
    revision: z.int(),
    slot: z.int().min(0),
    id: z.string(),
    /** Whether the caller says that it sends the request for the first time. */
    firstAttempt: z.boolean(),
});

export const requestMessages = [claimSchema] as const;
