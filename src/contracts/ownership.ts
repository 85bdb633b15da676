/**
 * Ownership of key ranges: which target owns each key of a pool and with which fencing token. Every change is written
 * to the store before any target learns of it.
 */
import { z } from "zod";

/** The highest key. Keys are whole numbers from 0. */
export const maxKey = 65_535;

const ownerSchema = z.object({ target: z.string(), incarnation: z.string() });

export const ownedRangeSchema = z.object({
    /** First and last key, both inclusive. */
    from: z.int().min(0).max(maxKey),
    to: z.int().min(0).max(maxKey),
    owner: ownerSchema,
    fence: z.int().min(1),
    /** Former owners; each is kept until it is certain that it no longer serves these keys. */
    predecessors: z.array(ownerSchema),
});

export const ownershipSchema = z.object({
    /** Increases with each new coordinator, across eras of the store. */
    term: z.int().min(0),
    coordinator: z.string(),
    /** Higher than every fence that was ever assigned, in this or an earlier era of the store. */
    nextFence: z.int().min(1),
    /**
     * Whether targets may hold keys that an earlier era of the store gave them and that have other owners here. No keys are
     * granted under these fences until that is ruled out.
     */
    isUncleared: z.boolean().optional(),
    /** Sorted by key, without overlap. Keys outside of all ranges have no owner. */
    ranges: z.array(ownedRangeSchema),
});

export type RangeOwner = z.infer<typeof ownerSchema>;
export type OwnedRange = z.infer<typeof ownedRangeSchema>;
export type Ownership = z.infer<typeof ownershipSchema>;

/** The heartbeat that a pool's coordinator writes to the store at regular intervals. */
export const coordinationSchema = z.object({
    term: z.int().min(0),
    /** Name of the host; empty while the pool has no coordinator. */
    coordinator: z.string(),
    /** Where the coordinator receives load reports, as `address:port`. */
    reports: z.string(),
    /** Former coordinators that may still send grants. */
    former: z.array(z.string()),
    /** Increases with each heartbeat. */
    beat: z.int().min(0),
});
export type Coordination = z.infer<typeof coordinationSchema>;

/** Whether both are the same incarnation of the same target. Also true when both are undefined. */
export const isSameOwner = (left: RangeOwner | undefined, right: RangeOwner | undefined): boolean =>
    left?.target === right?.target && left?.incarnation === right?.incarnation;

/** Identifies a range by its fence and its keys: the parts of a range that was split keep the same fence. */
export const rangeId = (range: OwnedRange): string => `${range.fence}:${range.from}-${range.to}`;

/** Finds the range that contains the key by binary search. Returns undefined when the key has no owner. */
export const findRangeOfKey = (ranges: OwnedRange[], key: number): OwnedRange | undefined => {
    let low = 0;
    let high = ranges.length - 1;
    while (low <= high) {
        const middle = (low + high) >> 1;
        const range = ranges[middle];
        if (key < range.from) {
            high = middle - 1;
        }
        else if (key > range.to) {
            low = middle + 1;
        }
        else {
            return range;
        }
    }
    return undefined;
};
