/**
 * The HTTP protocol between hosts and targets, described in `docs/interfaces.md`. To support targets with a different
 * protocol, only this module has to change.
 */
import { z } from "zod";

/** Headers of a request that a host sends to a target. */
export const targetRequestHeaders = {
    requestId: "request-id",
    pool: "fence-pool",
    revision: "fence-revision",
    slot: "fence-slot",
    key: "fence-key",
    /** Time left for the request, in milliseconds. */
    deadline: "request-deadline",
    attempt: "request-attempt",
    idempotencyKey: "idempotency-key",
} as const;

/** Headers of a target's answer. */
export const targetAnswerHeaders = {
    /** The id of the request. */
    requestId: "request-id",
    /** Reading of the target's monotonic clock, in milliseconds. */
    clock: "target-clock",
    incarnation: "target-incarnation",
    /** `ran` or `not-run`. */
    outcome: "target-outcome",
    /** Why the request did not run: one of `targetRefusals`. */
    refusal: "target-refusal",
    /** Number of requests that run or wait at the target. */
    load: "target-load",
    /** Time for which a target that sheds load wants no new requests, in milliseconds. */
    backOff: "target-back-off",
} as const;

/** Reasons for which a target refuses a request. */
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

/** A target's answer to a health check. `clock` is its monotonic clock in milliseconds. */
export const targetHealthSchema = z.strictObject({
    state: z.enum(Object.values(targetStates)),
    clock: z.number(),
    incarnation: z.string(),
});
export type TargetHealth = z.infer<typeof targetHealthSchema>;

/** A target's report of its load: numbers of running and queued requests. */
export const targetLoadReportSchema = z.strictObject({ running: z.int().min(0), queued: z.int().min(0) });
export type TargetLoadReport = z.infer<typeof targetLoadReportSchema>;

/** Paths of a target's own endpoints. A request to any other path is a caller's request. */
export const targetPaths = {
    grants: "/target/grants",
    health: "/target/health",
    load: "/target/load",
    requests: "/target/requests",
} as const;
