/**
 * Messages that carry objects of the platform from host to host: changes that are pushed as they are learned, and the
 * question by which a host fills gaps and has its deadlines extended.
 */
import { z } from "zod";
import { storedObjectSchema } from "./objects.ts";

/** A change of an object against the version that the receiver is expected to hold, as JSON Patch (RFC 6902). */
export const objectPatchSchema = z.strictObject({
    kind: storedObjectSchema.shape.kind,
    name: z.string(),
    baseVersion: z.int().min(1),
    version: z.int().min(1),
    writeId: z.string(),
    operations: z.array(z.strictObject({
        op: z.enum(["add", "remove", "replace"]),
        path: z.string(),
        value: z.unknown().optional(),
    })),
});
export type ObjectPatch = z.infer<typeof objectPatchSchema>;

/** Pushes objects as soon as they are learned. Nothing answers it; a lost one is made up for by the next question. */
export const objectsPushSchema = z.strictObject({
    kind: z.literal("objects"),
    /** The items are all that was written after this position, up to `position`. */
    after: z.int().min(0),
    position: z.int().min(0),
    whole: z.array(storedObjectSchema),
    differences: z.array(objectPatchSchema),
});

/** Asks for the objects written after a position, and for what is left of the other host's deadlines. */
export const objectsQuestionSchema = z.strictObject({
    kind: z.literal("objects-question"),
    after: z.int().min(0),
});

/** A member that the platform's list does not show as live. */
export const departureSchema = z.strictObject({ name: z.string(), state: z.enum(["leaving", "absent"]) });

export const objectsAnswerSchema = z.strictObject({
    kind: z.literal("objects-answer"),
    /** False while the answering host has not caught up itself; its deadlines then count for nothing. */
    ready: z.boolean(),
    /** The items are complete up to here. */
    position: z.int().min(0),
    /** True when items were left out for the size of the frame; ask again from `position`. */
    more: z.boolean(),
    items: z.array(storedObjectSchema),
    /** Age of the question to which the platform gave its newest answer that the host knows of. */
    readAgeMilliseconds: z.number().min(0),
    /** What is left until the answering host stops admitting. */
    admitMilliseconds: z.number().min(0),
    /** Revisions whose currency outlasts what that read gives, as witnesses vouch for them. */
    current: z.array(z.strictObject({
        pool: z.string(),
        revision: z.int().min(1),
        remainingMilliseconds: z.number().min(0),
    })),
    departures: z.array(departureSchema),
});

export type ObjectsPush = z.infer<typeof objectsPushSchema>;
export type ObjectsAnswer = z.infer<typeof objectsAnswerSchema>;
export type Departure = z.infer<typeof departureSchema>;

export const objectMessages = [objectsPushSchema, objectsQuestionSchema, objectsAnswerSchema] as const;
