/**
 * Messages about the ownership of slots: whether a revision is current, assignments, moves, failure detection and load.
 */
import { z } from "zod";
import { storedObjectSchema } from "./objects.ts";

/** Asks whether the revision is the newest one that the other host holds to be current. */
export const currencyQuestionSchema = z.strictObject({
    kind: z.literal("currency-question"),
    pool: z.string(),
    revision: z.int(),
});

/** Answer to `currency-question`. */
export const currencyAnswerSchema = z.strictObject({
    kind: z.literal("currency-answer"),
    pool: z.string(),
    /** Newest revision that the answering host knows. */
    revision: z.int(),
    /** Time for which the answering host may still act on that revision; 0 when it may not. */
    remainingMilliseconds: z.number().min(0),
    /**
     * Time since the sending of the newest read that the platform answered, directly or through other hosts; absent
     * when there was none.
     */
    readAgeMilliseconds: z.number().min(0).optional(),
    /** Whether the answering host confirms the revision as a witness. */
    vouches: z.boolean(),
});

/** Tells another host that the sender runs and which hosts it hears from. */
export const heartbeatSchema = z.strictObject({
    kind: z.literal("heartbeat"),
    /** Hosts that the sender hears from; absent while unchanged, and the last list sent then remains valid. */
    heard: z.array(z.string()).optional(),
});

/**
 * The coordinator sends an assignment that it knows to be stored by the platform. The answer is the revision that the
 * receiver then holds.
 */
export const assignmentOfferSchema = z.strictObject({
    kind: z.literal("assignment-offer"),
    item: storedObjectSchema,
});

/** Answer to `assignment-offer`. */
export const assignmentAcknowledgementSchema = z.strictObject({
    kind: z.literal("assignment-acknowledgement"),
    pool: z.string(),
    /** Newest revision that the answering host holds; from now on it acts on no lower one. */
    revision: z.int().min(0),
    /** Highest revision below which the host certainly has no request in flight; 0 when the host can not tell. */
    finishedBelow: z.int().min(0),
});

/** Identifies one move by its `since`, `from` and `to` in the assignment. */
export const moveIdSchema = z.strictObject({ since: z.int().min(1), from: z.string(), to: z.string() });
export type MoveId = z.infer<typeof moveIdSchema>;

/** The coordinator tells the renewers which moves are released. */
export const movesReleasedSchema = z.strictObject({
    kind: z.literal("moves-released"),
    pool: z.string(),
    moves: z.array(moveIdSchema),
});

/** The coordinator asks a renewer to send the target a grant immediately and to report the answer. */
export const targetQuestionSchema = z.strictObject({
    kind: z.literal("target-question"),
    pool: z.string(),
    target: z.string(),
});

/** A renewer tells the coordinator the target's answer to a grant that was sent after the question. */
export const targetReportSchema = z.strictObject({
    kind: z.literal("target-report"),
    pool: z.string(),
    target: z.string(),
    revision: z.int().min(0),
    releasing: z.array(z.int().min(0)),
    releasingKeys: z.array(z.string()),
});

/** A renewer tells the coordinator the results of its health probes of targets. */
export const probeReportSchema = z.strictObject({
    kind: z.literal("probe-report"),
    pool: z.string(),
    findings: z.array(z.strictObject({ target: z.string(), finding: z.enum(["answering", "silent", "refusing"]) })),
    /** Targets that report that they are draining. */
    draining: z.array(z.string()),
    /** Waiting requests divided by the target's concurrency, as the targets report them. */
    queues: z.array(z.strictObject({ target: z.string(), queue: z.number().min(0) })),
});

/** A host tells the coordinator how many requests it sent for each slot, and for the most frequent keys. */
export const loadReportSchema = z.strictObject({
    kind: z.literal("load-report"),
    pool: z.string(),
    /** Pairs of a slot and its number of requests. */
    slots: z.array(z.tuple([z.int().min(0), z.int().min(0)])),
    /** Pairs of a key and its number of requests. */
    keys: z.array(z.tuple([z.string(), z.int().min(0)])),
});

export type AssignmentAcknowledgement = z.infer<typeof assignmentAcknowledgementSchema>;
export type TargetReport = z.infer<typeof targetReportSchema>;
export type ProbeReport = z.infer<typeof probeReportSchema>;
export type LoadReport = z.infer<typeof loadReportSchema>;

export const ownershipMessages = [
    currencyQuestionSchema,
    currencyAnswerSchema,
    heartbeatSchema,
    assignmentOfferSchema,
    assignmentAcknowledgementSchema,
    movesReleasedSchema,
    targetQuestionSchema,
    targetReportSchema,
    probeReportSchema,
    loadReportSchema,
] as const;
