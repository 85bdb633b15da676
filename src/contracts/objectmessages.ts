/**
 * Messages that replicate the platform's objects between hosts. A host pushes changes as soon as it learns of them, and
 * asks another host for missed changes and for an extension of its own deadlines.
 */
import { z } from "zod";
import { storedObjectSchema } from "./objects.ts";

/** A change of an object as JSON Patch (RFC 6902), against the version that the receiver is expected to hold. */
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

/**
 * Pushes objects as soon as the sender learns of them. It is not answered; the next `objects-question` recovers what a
 * lost push carried.
 */
export const objectsPushSchema = z.strictObject({
    kind: z.literal("objects"),
    /** The push holds all objects that were written after this position, up to and including `position`. */
    after: z.int().min(0),
    position: z.int().min(0),
    /** Objects that are sent in full. */
    whole: z.array(storedObjectSchema),
    /** Objects that are sent as changes. */
    differences: z.array(objectPatchSchema),
});

/** Asks another host for the objects written after a position and for the time left until its deadlines. */
export const objectsQuestionSchema = z.strictObject({
    kind: z.literal("objects-question"),
    after: z.int().min(0),
});

/** A host that the platform's list does not show as live. */
export const departureSchema = z.strictObject({ name: z.string(), state: z.enum(["leaving", "absent"]) });

/** Answer to `objects-question`. */
export const objectsAnswerSchema = z.strictObject({
    kind: z.literal("objects-answer"),
    /** False while the answering host itself has not caught up; the receiver then ignores its deadlines. */
    ready: z.boolean(),
    /** Position up to which the items are complete. */
    position: z.int().min(0),
    /** True when items were omitted because of the frame size limit; the receiver asks again from `position`. */
    more: z.boolean(),
    items: z.array(storedObjectSchema),
    /** Time since the sending of the read that gave the platform's newest answer that the host knows of. */
    readAgeMilliseconds: z.number().min(0),
    /** Time left until the answering host stops admitting requests. */
    admitMilliseconds: z.number().min(0),
    /** Revisions that stay valid for longer than that read allows, because witnesses confirmed them. */
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
