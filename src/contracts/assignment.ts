/**
 * Assignments: which target owns each slot of a pool at a revision, which moves are not finished, and which hosts
 * renew, witness and keep claims. The platform holds one assignment a pool and is its only authority.
 */
import { z } from "zod";

/** Owner index of a slot that no target owns. */
export const noOwner = -1;

export const moveSchema = z.strictObject({
    /** Revision that took the slots and keys from their former owner. */
    since: z.int().min(1),
    from: z.string(),
    to: z.string(),
    slots: z.array(z.int().min(0)),
    keys: z.array(z.string()),
    /**
     * Set when the former owner is taken for lost: it gets no renewal until the move is released, and the move may be
     * released by time. Left out when the former owner finishes its work and answers for itself.
     */
    forced: z.boolean().optional(),
});

export const keeperGroupSchema = z.strictObject({
    /** Hosts that remember claims of the group, in different zones where there are several zones. */
    hosts: z.array(z.string()).max(2),
    /** Revision that named these hosts. */
    since: z.int().min(1),
    /** Hosts that kept the group before; the new ones take the memory over from one of them. */
    previous: z.array(z.string()).max(2),
    /** Revision that had named the previous hosts; left out when there were none. */
    previousSince: z.int().min(1).optional(),
});

export const assignmentSchema = z.strictObject({
    /** Counts up by one with each change of the assignment. Serves as the fence of every grant and request. */
    revision: z.int().min(1),
    targets: z.array(z.string()),
    /** For each slot the index of its owner in `targets`, or `noOwner`. */
    owners: z.array(z.int().min(noOwner)),
    /** Keys that are placed by themselves, apart from their slot. */
    hotKeys: z.array(z.strictObject({ key: z.string(), target: z.string() })),
    /** Moves whose former owner may still serve. The new owner gets its grant only after the move is released. */
    moves: z.array(moveSchema),
    /** For each target the hosts, up to three in different zones, that renew its grant. */
    renewers: z.record(z.string(), z.array(z.string()).max(3)),
    /** For each target the hosts that once renewed its grant and are not known to have stopped. */
    formerRenewers: z.record(z.string(), z.array(z.string())).optional(),
    /** Hosts that vouch for revisions while the platform is out. */
    witnesses: z.array(z.string()),
    /** The witnesses before the last change of the set, until a majority of them has acknowledged the change. */
    formerWitnesses: z.array(z.string()).optional(),
    /** Claim keepers; the group of an id is its hash modulo the number of groups, which never changes. */
    keepers: z.array(keeperGroupSchema),
});

export type Move = z.infer<typeof moveSchema>;
export type KeeperGroup = z.infer<typeof keeperGroupSchema>;
export type Assignment = z.infer<typeof assignmentSchema>;
