/**
 * Messages between a host that follows the store's state and the reader that it follows.
 */
import { z } from "zod";
import { maxEra } from "./storehistory.ts";

/** Latest era of the store that the sender knows of; absent from a host of an earlier version. */
const eraSchema = z.int().min(0).max(maxEra).optional();

/** Sent by the follower: what it holds. Sent again to get a kind anew. */
export const followSchema = z.object({
    kind: z.literal("follow"),
    /** Name of the following host. */
    host: z.string(),
    /** Position up to which the follower knows each kind; a kind that is absent is sent whole. */
    positions: z.record(z.string(), z.int().min(0)),
    era: eraSchema,
    /** Whether the follower takes `deflated` messages; absent from a host of an earlier version. */
    inflates: z.boolean().optional(),
});

const objectSchema = z.tuple([
    /** Name of the object. */
    z.string(),
    /** Its revision in the store. */
    z.int(),
    z.unknown(),
]);

/** Sent by the reader: changes of one kind, or all of its objects. */
export const changesSchema = z.object({
    kind: z.literal("changes"),
    /** The kind of the objects. */
    of: z.string(),
    /** Position after which these are all changes; absent when `objects` are all objects of the kind. */
    since: z.int().optional(),
    /** Position up to which the follower knows the kind afterwards. */
    position: z.int().min(0),
    objects: z.array(objectSchema),
    /** Objects that are sent as the difference from an earlier revision: name, revision, that revision, difference. */
    patches: z.array(z.tuple([z.string(), z.int(), z.int(), z.unknown()])),
    /** Names of objects that no longer exist. */
    removed: z.array(z.string()),
});

/** Sent by the reader in place of a large message. */
export const deflatedSchema = z.object({
    kind: z.literal("deflated"),
    /** The message's frame, compressed by DEFLATE. */
    frame: z.instanceof(Buffer),
});

/**
 * Sent by the reader a few times a second. While `current`, the store has confirmed the reader's state within about a
 * second and all changes known to the reader were sent before this message.
 */
export const readerStatusSchema = z.object({
    kind: z.literal("status"),
    current: z.boolean(),
    /** When it was sent, in milliseconds of the reader's monotonic clock; absent from a host of an earlier version. */
    sentAt: z.number().optional(),
    era: eraSchema,
    /** Milliseconds since the store confirmed each kind to the reader; absent from a host of an earlier version. */
    ages: z.record(z.string(), z.number()).optional(),
});

/**
 * What was measured at a target: its number (see `sharedmeasures.ts`), answers, sum of their service times, failures if
 * there were any.
 */
const measureSchema = z.tuple([
    z.int().min(0).max(2 ** 32 - 1),
    z.int().min(0),
    z.int().min(0),
    z.int().min(0).optional(),
]);

/**
 * How many requests hosts have at targets: sent by a follower for itself, by a reader for its zone to other readers, and
 * for all hosts to its followers.
 */
export const loadsSchema = z.object({
    kind: z.literal("loads"),
    /** Whether targets that are not listed have none; otherwise their numbers are unchanged. */
    whole: z.boolean(),
    /** Target and number of requests. */
    loads: z.array(z.tuple([z.string(), z.int().min(0)])),
    /**
     * What was measured since the message before, or, where the loads are whole, what is known of all targets. Absent from
     * a host of an earlier version and where nothing was measured.
     */
    measures: z.array(measureSchema).optional(),
});

export const readerMessageSchema = z.discriminatedUnion("kind", [changesSchema, readerStatusSchema, loadsSchema]);
export const readerFrameSchema = z.discriminatedUnion("kind", [...readerMessageSchema.options, deflatedSchema]);
export const followerMessageSchema = z.discriminatedUnion("kind", [followSchema, loadsSchema]);

export type FollowMessage = z.infer<typeof followSchema>;
export type ChangesMessage = z.infer<typeof changesSchema>;
export type LoadsMessage = z.infer<typeof loadsSchema>;
export type MeasureTuple = z.infer<typeof measureSchema>;
export type DeflatedMessage = z.infer<typeof deflatedSchema>;
export type ReaderStatusMessage = z.infer<typeof readerStatusSchema>;

/** Path at which a host serves its followers. */
export const statePath = "/state";
/** Path at which a reader receives the sums of other readers. */
export const loadsPath = "/loads";

/** How objects of a kind are sent as the difference from an earlier value. Both return undefined when that fails. */
export type ValuePatch = {
    between: (before: unknown, after: unknown) => unknown;
    apply: (before: unknown, patch: unknown) => unknown;
};
