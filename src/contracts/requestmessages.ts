/**
 * Messages about requests: claims of request ids that may run only once, transfer of stored claims between claim
 * keepers, and reports of requests that may crash targets.
 */
import { z } from "zod";

/** State of a claimed id: the request may be running, it was answered, or its outcome is unknown. */
export const claimStates = { running: "running", answered: "answered", unknown: "unknown" } as const;
export type ClaimState = (typeof claimStates)[keyof typeof claimStates];

/** A keeper's answer to a claim. */
export const claimVerdicts = {
    granted: "granted",
    /** Another attempt has claimed the id; the verdict is the state of that claim. */
    ...claimStates,
    /** The earlier claims were lost and the id is not known to be new. */
    memoryLost: "memory-lost",
    /** The keeper has reached its limit of stored claims. */
    full: "full",
    /** The keeper has not yet received the group's earlier claims. */
    notReady: "not-ready",
    /** The keeper knows other keepers for the group than the asking host does. */
    otherKeepers: "other-keepers",
    /** The keeper can not confirm that its assignment is current. */
    notCurrent: "not-current",
} as const;
export type ClaimVerdict = (typeof claimVerdicts)[keyof typeof claimVerdicts];

/** Fields that identify a group of claims. `group` is the hash of the id modulo the number of groups of the pool. */
const groupFields = {
    pool: z.string(),
    group: z.int().min(0),
    /** Revision that appointed the group's keepers, as the sender knows it. */
    since: z.int().min(1),
};

/** Asks a keeper to store that the id is about to run. A repeated claim with the same token is granted again. */
export const claimSchema = z.strictObject({
    kind: z.literal("claim"),
    ...groupFields,
    id: z.string(),
    /** Identifies the attempt; another attempt with the same id has another token. */
    token: z.string(),
    /** Whether the caller declares that it sends the request for the first time. */
    firstAttempt: z.boolean(),
    /** Time since the request was received. */
    ageMilliseconds: z.number().min(0),
    /** Epoch in the other keeper's answer, when it differed from this keeper's. */
    otherEpoch: z.string().optional(),
});

/** A keeper's answer to `claim`. */
export const claimAnswerSchema = z.strictObject({
    kind: z.literal("claim-answer"),
    verdict: z.enum(Object.values(claimVerdicts)),
    /** Both keepers must answer with the same epoch. It changes with each transfer of the group's claims. */
    epoch: z.string(),
});

/** Tells a keeper the outcome of a claimed id. The claim of an id that did not run is released. */
export const claimOutcomeSchema = z.strictObject({
    kind: z.literal("claim-outcome"),
    pool: z.string(),
    group: z.int().min(0),
    id: z.string(),
    token: z.string(),
    outcome: z.enum(["answered", "unknown", "not-run"]),
});

/** Asks for the stored claims of a group, page by page. The first page starts a new epoch at the asked keeper. */
export const claimMemoryQuestionSchema = z.strictObject({
    kind: z.literal("claim-memory-question"),
    ...groupFields,
    epoch: z.string(),
    /** Number of entries received so far. */
    offset: z.int().min(0),
});

/** A stored claim. */
export const rememberedClaimSchema = z.strictObject({
    id: z.string(),
    token: z.string(),
    state: z.enum(Object.values(claimStates)),
    ageMilliseconds: z.number().min(0),
});

/** Answer to `claim-memory-question`. */
export const claimMemoryPageSchema = z.strictObject({
    kind: z.literal("claim-memory-page"),
    /** Whether the sender holds the group's claims and will grant no claim under older keepers. */
    available: z.boolean(),
    entries: z.array(rememberedClaimSchema),
    last: z.boolean(),
    /** Time for which ids that are not known to be new are still refused; 0 when no claims were lost. */
    lostMilliseconds: z.number().min(0),
});

/**
 * Tells the other hosts that a request may have crashed a target (`crashed`), that a crash did not happen (`refuted`),
 * or that the request is no longer suspected, since it was answered or an operator cleared it (`cleared`).
 */
export const crashSuspicionSchema = z.strictObject({
    kind: z.literal("suspicion"),
    pool: z.string(),
    /** Hash that identifies the request. */
    fingerprint: z.string(),
    change: z.enum(["crashed", "refuted", "cleared"]),
    /** Identifies the crash by target and incarnation; empty when the request is cleared. */
    crash: z.string(),
    /** Who had sent the request, where that is not part of what identifies it. */
    sender: z.string().optional(),
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
