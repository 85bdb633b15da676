/**
 * Messages about currency, witnesses, detection, load and moves.
 */
import { z } from "zod";
import { storedObjectSchema } from "./objects.ts";

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

/** A host tells another that it runs, and whom it hears itself. */
export const heartbeatSchema = z.strictObject({
    kind: z.literal("heartbeat"),
    /** Left out while it is the same as before; then the last one counts. */
    heard: z.array(z.string()).optional(),
});

/** The coordinator hands out an assignment that it knows to be written. Answered by the revision that is held then. */
export const assignmentOfferSchema = z.strictObject({
    kind: z.literal("assignment-offer"),
    item: storedObjectSchema,
});

export const assignmentAcknowledgementSchema = z.strictObject({
    kind: z.literal("assignment-acknowledgement"),
    pool: z.string(),
    /** Newest revision that the answering host holds: it acts on no lower one any more. */
    revision: z.int().min(0),
    /** Highest revision below which this host certainly has no request under way; 0 when it can not tell. */
    finishedBelow: z.int().min(0),
});

/** Names one move; `since`, `from` and `to` are those of the move in the assignment. */
export const moveIdSchema = z.strictObject({ since: z.int().min(1), from: z.string(), to: z.string() });
export type MoveId = z.infer<typeof moveIdSchema>;

/** The coordinator tells renewers which moves are released. */
export const movesReleasedSchema = z.strictObject({
    kind: z.literal("moves-released"),
    pool: z.string(),
    moves: z.array(moveIdSchema),
});

/** The coordinator asks a renewer to offer the target a grant now, and what the target answers. */
export const targetQuestionSchema = z.strictObject({
    kind: z.literal("target-question"),
    pool: z.string(),
    target: z.string(),
});

/** A renewer tells the coordinator what the target answered to a grant that was sent after the question. */
export const targetReportSchema = z.strictObject({
    kind: z.literal("target-report"),
    pool: z.string(),
    target: z.string(),
    revision: z.int().min(0),
    releasing: z.array(z.int().min(0)),
    releasingKeys: z.array(z.string()),
});

/** A renewer tells the coordinator what it finds of the targets that it probes. */
export const probeReportSchema = z.strictObject({
    kind: z.literal("probe-report"),
    pool: z.string(),
    findings: z.array(z.strictObject({ target: z.string(), finding: z.enum(["answering", "silent", "refusing"]) })),
    /** Targets that say of themselves that they drain. */
    draining: z.array(z.string()),
    /** Waiting requests over concurrency by the targets' own reports. */
    queues: z.array(z.strictObject({ target: z.string(), queue: z.number().min(0) })),
});

/** A host tells the coordinator how many requests it sent by slot, and which keys it sent most. */
export const loadReportSchema = z.strictObject({
    kind: z.literal("load-report"),
    pool: z.string(),
    slots: z.array(z.tuple([z.int().min(0), z.int().min(0)])),
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
