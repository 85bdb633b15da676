/**
 * Messages about requests: claims of ids that may run once, the memory of claims, and suspicions of crashes.
 */
import { z } from "zod";

/** What a claim keeper remembers of an id: it may run now, it was answered, or what became of it is unknown. */
export const claimStates = { running: "running", answered: "answered", unknown: "unknown" } as const;
export type ClaimState = (typeof claimStates)[keyof typeof claimStates];

/** A keeper's answer to a claim. */
export const claimVerdicts = {
    granted: "granted",
    /** Another attempt has claimed the id; its state is told. */
    ...claimStates,
    /** The memory of earlier claims was lost and the id is not known to be new. */
    memoryLost: "memory-lost",
    /** The memory is at its bound. */
    full: "full",
    /** The keeper does not yet hold the group's memory. */
    notReady: "not-ready",
    /** The keeper sees other keepers for the group than the asking host. */
    otherKeepers: "other-keepers",
    /** The keeper can not confirm the assignment. */
    notCurrent: "not-current",
} as const;
export type ClaimVerdict = (typeof claimVerdicts)[keyof typeof claimVerdicts];

/** Names a group of claims: `group` is the hash of the id modulo the number of groups of the pool. */
const groupFields = {
    pool: z.string(),
    group: z.int().min(0),
    /** Revision that named the group's keepers, as the sender sees it. */
    since: z.int().min(1),
};

/** Asks a keeper to remember that the id is about to run. Asked again with the same token it is granted again. */
export const claimSchema = z.strictObject({
    kind: z.literal("claim"),
    ...groupFields,
    id: z.string(),
    /** The attempt that claims; another attempt with the same id has another token. */
    token: z.string(),
    /** Whether the caller says that it sends the request for the first time. */
    firstAttempt: z.boolean(),
    /** Time since the request was received. */
    ageMilliseconds: z.number().min(0),
    /** Epoch that the other keeper answered, when it differed from this one's. */
    otherEpoch: z.string().optional(),
});

export const claimAnswerSchema = z.strictObject({
    kind: z.literal("claim-answer"),
    verdict: z.enum(Object.values(claimVerdicts)),
    /** Both keepers must answer the same epoch; it changes with each hand-over of memory. */
    epoch: z.string(),
});

/** Tells a keeper what became of a claimed id. An id that did not run is released. */
export const claimOutcomeSchema = z.strictObject({
    kind: z.literal("claim-outcome"),
    pool: z.string(),
    group: z.int().min(0),
    id: z.string(),
    token: z.string(),
    outcome: z.enum(["answered", "unknown", "not-run"]),
});

/** Asks for the memory of a group, page by page. The first page begins a new epoch at the asked keeper. */
export const claimMemoryQuestionSchema = z.strictObject({
    kind: z.literal("claim-memory-question"),
    ...groupFields,
    epoch: z.string(),
    /** Entries that were received so far. */
    offset: z.int().min(0),
});

export const rememberedClaimSchema = z.strictObject({
    id: z.string(),
    token: z.string(),
    state: z.enum(Object.values(claimStates)),
    ageMilliseconds: z.number().min(0),
});

export const claimMemoryPageSchema = z.strictObject({
    kind: z.literal("claim-memory-page"),
    /** Whether the sender holds the memory and will grant nothing under older keepers. */
    available: z.boolean(),
    entries: z.array(rememberedClaimSchema),
    last: z.boolean(),
    /** Time for which ids that are not known to be new are still refused; 0 when no memory was lost. */
    lostMilliseconds: z.number().min(0),
});

/** Tells the other hosts whether a request crashes targets. */
export const crashSuspicionSchema = z.strictObject({
    kind: z.literal("suspicion"),
    pool: z.string(),
    fingerprint: z.string(),
    change: z.enum(["crashed", "refuted", "cleared"]),
    /** The crash: target and incarnation. Empty when all suspicion of the request is cleared. */
    crash: z.string(),
    /** Time since the crash. */
    ageMilliseconds: z.number().min(0),
});

export type ClaimQuestion = z.infer<typeof claimSchema>;
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;
export type ClaimOutcome = z.infer<typeof claimOutcomeSchema>;
export type ClaimMemoryQuestion = z.infer<typeof claimMemoryQuestionSchema>;
export type ClaimMemoryPage = z.infer<typeof claimMemoryPageSchema>;
export type RememberedClaim = z.infer<typeof rememberedClaimSchema>;
export type CrashSuspicion = z.infer<typeof crashSuspicionSchema>;

export const requestMessages = [
    claimSchema,
    claimAnswerSchema,
    claimOutcomeSchema,
    claimMemoryQuestionSchema,
    claimMemoryPageSchema,
    crashSuspicionSchema,
] as const;
