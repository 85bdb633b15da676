/**
 * Grants: time-limited leases that allow one incarnation of a target to serve slots of a pool. A grant expires by the
 * target's own clock.
 */
import { z } from "zod";

export const grantSchema = z.strictObject({
    pool: z.string(),
    /** Fencing token: a target refuses any grant or request below the highest revision that it has accepted. */
    revision: z.int().min(1),
    /** Incarnation of the target that the grant is for. */
    incarnation: z.string(),
    /** Time of expiry, in milliseconds on the target's own monotonic clock. */
    validUntil: z.number(),
    /** Owned slots; absent when the grant renews the slots that the target already holds at the same revision. */
    slots: z.array(z.int().min(0)).optional(),
    /** Hot keys that the target owns without owning their slots; present only with `slots`. */
    keys: z.array(z.string()).optional(),
    /** Hot keys in the target's slots that another target owns; present only with `slots`. */
    exceptKeys: z.array(z.string()).optional(),
});
export type Grant = z.infer<typeof grantSchema>;

/** Reasons for which a target refuses a grant. */
export const grantRefusals = {
    staleRevision: "stale-revision",
    otherIncarnation: "other-incarnation",
    slotsNeeded: "slots-needed",
} as const;

/** A target's answer to a grant. */
export const grantAnswerSchema = z.strictObject({
    accepted: z.boolean(),
    refusal: z.enum(Object.values(grantRefusals)).optional(),
    /** Reading of the target's monotonic clock when it answered, in milliseconds. */
    clock: z.number(),
    incarnation: z.string(),
    /** Highest revision that this incarnation has accepted for the pool; 0 when it has accepted none. */
    revision: z.int().min(0),
    /** Revoked slots on which requests are still running. */
    releasing: z.array(z.int().min(0)),
    /** Individually owned keys that were revoked and on which requests are still running. */
    releasingKeys: z.array(z.string()).optional(),
});
export type GrantAnswer = z.infer<typeof grantAnswerSchema>;
