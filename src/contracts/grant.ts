/**
 * Grants: the right of one incarnation of a target to serve slots of a pool until a time on the target's own clock.
 */
import { z } from "zod";

export const grantSchema = z.strictObject({
    pool: z.string(),
    /** Fence: a target refuses any grant or request below the highest revision that it has accepted. */
    revision: z.int().min(1),
    /** The incarnation of the target for which the grant was made. */
    incarnation: z.string(),
    /** Milliseconds on the target's own monotonic clock. */
    validUntil: z.number(),
    /** Owned slots; left out when a renewal extends the slots that the target holds at the same revision. */
    slots: z.array(z.int().min(0)).optional(),
    /** Hot keys owned apart from their slots; goes with `slots`. */
    keys: z.array(z.string()).optional(),
    /** Hot keys whose slot is owned here but which another target owns; goes with `slots`. */
    exceptKeys: z.array(z.string()).optional(),
});
export type Grant = z.infer<typeof grantSchema>;

/** Why a target refused a grant. */
export const grantRefusals = {
    staleRevision: "stale-revision",
    otherIncarnation: "other-incarnation",
    slotsNeeded: "slots-needed",
} as const;

export const grantAnswerSchema = z.strictObject({
    accepted: z.boolean(),
    refusal: z.enum(Object.values(grantRefusals)).optional(),
    /** The target's monotonic clock in milliseconds when it answered. */
    clock: z.number(),
    incarnation: z.string(),
    /** Highest revision that this incarnation has accepted for the pool; 0 when none. */
    revision: z.int().min(0),
    /** Slots that were taken away and on which requests still run. */
    releasing: z.array(z.int().min(0)),
    /** Keys that were taken away apart from their slot and on which requests still run. */
    releasingKeys: z.array(z.string()).optional(),
});
export type GrantAnswer = z.infer<typeof grantAnswerSchema>;
