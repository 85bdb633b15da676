/**
 * Assignments: which target owns each slot of a pool at a revision, which moves of slots are unfinished, and which
 * hosts renew grants, act as witnesses and keep claims. The platform stores one assignment per pool; only its copy is
 * authoritative.
 */
import { z } from "zod";

/** Index in `owners` for a slot that no target owns. */
export const noOwner = -1;

/** A transfer of slots and hot keys from one target to another. */
export const moveSchema = z.strictObject({
    /** Revision in which the former owner lost the slots and keys. */
    since: z.int().min(1),
    from: z.string(),
    to: z.string(),
    slots: z.array(z.int().min(0)),
    keys: z.array(z.string()),
    /**
     * Set when the former owner is presumed lost: its grant is not renewed until the move is released, and the move may
     * be released once enough time has passed. Absent when the former owner finishes its work and reports that itself.
     */
    forced: z.boolean().optional(),
});

/** The claim keepers of one group of request ids. */
export const keeperGroupSchema = z.strictObject({
    /** Hosts that store the group's claims, in different zones where there is more than one zone. */
    hosts: z.array(z.string()).max(2),
    /** Revision that appointed these hosts. */
    since: z.int().min(1),
    /** Former keepers of the group; the new keepers copy the stored claims from one of them. */
    previous: z.array(z.string()).max(2),
    /** Revision that appointed the former keepers; absent when there were none. */
    previousSince: z.int().min(1).optional(),
});

export const assignmentSchema = z.strictObject({
    /** Increases by one with each change of the assignment. Serves as the fencing token of every grant and request. */
    revision: z.int().min(1),
    targets: z.array(z.string()),
    /** For each slot, the index of its owner in `targets`, or `noOwner`. */
    owners: z.array(z.int().min(noOwner)),
    /** Keys that are assigned individually instead of with their slot. */
    hotKeys: z.array(z.strictObject({ key: z.string(), target: z.string() })),
    /** Moves whose former owner may still serve. The new owner is granted the slots only after the move is released. */
    moves: z.array(moveSchema),
    /** For each target, the hosts that renew its grant: up to three, in different zones. */
    renewers: z.record(z.string(), z.array(z.string()).max(3)),
    /** For each target, the hosts that used to renew its grant and are not known to have stopped. */
    formerRenewers: z.record(z.string(), z.array(z.string())).optional(),
    /** Hosts that confirm revisions while the platform is unreachable. */
    witnesses: z.array(z.string()),
    /** The witnesses before the last change of the set; kept until a majority of them has acknowledged the change. */
    formerWitnesses: z.array(z.string()).optional(),
    /** Claim keepers by group. The group of an id is its hash modulo the number of groups, which never changes. */
    keepers: z.array(keeperGroupSchema),
});

export type Move = z.infer<typeof moveSchema>;
export type KeeperGroup = z.infer<typeof keeperGroupSchema>;
export type Assignment = z.infer<typeof assignmentSchema>;
