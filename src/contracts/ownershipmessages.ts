/**
 * Messages about currency, witnesses, detection and moves.
 */
import { z } from "zod";

/** Asks whether the revision is the newest that the other host holds as current. */
export const currencyQuestionSchema = z.strictObject({
    kind: z.literal("currency-question"),
    pool: z.string(),
    revision: z.int(),
});

export const currencyAnswerSchema = z.strictObject({
    kind: z.literal("currency-answer"),
    pool: z.string(),
    /** Newest revision that the answering host knows. */
    revision: z.int(),
    /** What is left of the answering host's own deadline at that revision; 0 when it is not current. */
    remainingMilliseconds: z.number().min(0),
    /** Time since the sending of the newest question that the platform answered, on whatever way; absent if none. */
    readAgeMilliseconds: z.number().min(0).optional(),
    /** Whether the answering host vouches for the revision as a witness. */
    vouches: z.boolean(),
});

export const ownershipMessages = [currencyQuestionSchema, currencyAnswerSchema] as const;
