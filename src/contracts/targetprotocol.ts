/**
 * What hosts and targets say to each other over HTTP. `docs/interfaces.md` describes it; this module is the one place
 * to change when a real target differs.
 */
import { z } from "zod";

/** Headers of a request that a host sends to a target. */
export const targetRequestHeaders = {
    requestId: "request-id",
    pool: "fence-pool",
    revision: "fence-revision",
    slot: "fence-slot",
    key: "fence-key",
    /** Milliseconds that are left for the request. */
    deadline: "request-deadline",
    attempt: "request-attempt",
    idempotencyKey: "idempotency-key",
} as const;

/** Headers of a target's answer. */
export const targetAnswerHeaders = {
    /** Echo of the request's id. */
    requestId: "request-id",
    /** The target's monotonic clock in milliseconds. */
    clock: "target-clock",
    incarnation: "target-incarnation",
    /** `ran` or `not-run`. */
    outcome: "target-outcome",
    /** Why it did not run: see `targetRefusals`. */
    refusal: "target-refusal",
    /** Requests that run or wait at the target. */
    load: "target-load",
    /** Milliseconds for which a target that sheds wants no new work. */
    backOff: "target-back-off",
} as const;

export const targetRefusals = {
    fence: "fence",
    noGrant: "no-grant",
    shed: "shed",
    draining: "draining",
    deadline: "deadline",
    cancelled: "cancelled",
} as const;
export type TargetRefusal = (typeof targetRefusals)[keyof typeof targetRefusals];

export const targetStates = { starting: "starting", ready: "ready", draining: "draining" } as const;

export const targetHealthSchema = z.strictObject({
    state: z.enum(Object.values(targetStates)),
    clock: z.number(),
    incarnation: z.string(),
});
export type TargetHealth = z.infer<typeof targetHealthSchema>;

export const targetLoadReportSchema = z.strictObject({ running: z.int().min(0), queued: z.int().min(0) });
export type TargetLoadReport = z.infer<typeof targetLoadReportSchema>;

/** Paths of a target's own endpoints. Every other path is a request. */
export const targetPaths = {
    grants: "/target/grants",
    health: "/target/health",
    load: "/target/load",
    requests: "/target/requests",
} as const;
