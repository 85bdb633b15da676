/**
 * Differences between two states of a pool's ownership. Most changes concern a few ranges of some hundred, so a
 * difference is a small fraction of the whole. Ranges are identified by their first key, which is unique in an ownership.
 */
import { z } from "zod";
import {
    isSameOwner,
    type OwnedRange,
    ownedRangeSchema,
    type Ownership,
    ownershipSchema,
} from "../contracts/ownership.ts";
import type { ValuePatch } from "../contracts/statemessages.ts";

export const ownershipChangesSchema = ownershipSchema.omit({ ranges: true }).extend({
    /** Ranges that are new or differ from those with the same first key before. */
    put: z.array(ownedRangeSchema),
    /** First keys of ranges that no longer exist. */
    removed: z.array(z.int()),
});
export type OwnershipChanges = z.infer<typeof ownershipChangesSchema>;

const areSameOwners = (left: OwnedRange["predecessors"], right: OwnedRange["predecessors"]): boolean =>
    left.length === right.length && left.every((owner, index) => isSameOwner(owner, right[index]));

const isSameRange = (left: OwnedRange, right: OwnedRange | undefined): boolean =>
    left === right
    || right !== undefined && left.from === right.from && left.to === right.to && left.fence === right.fence
        && isSameOwner(left.owner, right.owner) && areSameOwners(left.predecessors, right.predecessors);

/** Returns what changed from one ownership to another. */
export const ownershipChangesBetween = (before: Ownership, after: Ownership): OwnershipChanges => {
    const { ranges, ...rest } = after;
    const known = new Map(before.ranges.map(range => [range.from, range]));
    const remaining = new Set(ranges.map(range => range.from));
    return {
        ...rest,
        put: ranges.filter(range => !isSameRange(range, known.get(range.from))),
        removed: [...known.keys()].filter(from => !remaining.has(from)),
    };
};

/** Returns the ownership after the changes. */
export const applyOwnershipChanges = (before: Ownership, changes: OwnershipChanges): Ownership => {
    const { put, removed, ...rest } = changes;
    const ranges = new Map(before.ranges.map(range => [range.from, range]));
    removed.forEach(from => ranges.delete(from));
    put.forEach(range => ranges.set(range.from, range));
    return { ...rest, ranges: [...ranges.values()].sort((left, right) => left.from - right.from) };
};

/** Sends ownership objects as differences. */
export const ownershipPatch: ValuePatch = {
    between: (before, after) => {
        const [from, to] = [ownershipSchema.safeParse(before), ownershipSchema.safeParse(after)];
        return from.success && to.success ? ownershipChangesBetween(from.data, to.data) : undefined;
    },
    apply: (before, patch) => {
        const [from, changes] = [ownershipSchema.safeParse(before), ownershipChangesSchema.safeParse(patch)];
        return from.success && changes.success ? applyOwnershipChanges(from.data, changes.data) : undefined;
    },
};
