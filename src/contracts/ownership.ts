/**
 * Ownership of key ranges: who owns each key of a pool, with which fence, as it is written in the store before any
 * target is told.
 */
import { z } from "zod";

/** Keys are whole numbers from 0 to this one. */
export const maxKey = 65_535;

const ownerSchema = z.object({ target: z.string(), incarnation: z.string() });

const ownedRangeSchema = z.object({
    /** First and last key, both included. */
    from: z.int().min(0).max(maxKey),
    to: z.int().min(0).max(maxKey),
    owner: ownerSchema,
    fence: z.int().min(1),
    /** Owners before, until it is certain that none of them serves these keys any more. */
    predecessors: z.array(ownerSchema),
});

export const ownershipSchema = z.object({
    /** Goes up by one with each coordinator. */
    term: z.int().min(0),
    coordinator: z.string(),
    /** Above every fence that was ever given out. */
    nextFence: z.int().min(1),
    /** Sorted and without overlap; keys in no range have no owner. */
    ranges: z.array(ownedRangeSchema),
});

export type RangeOwner = z.infer<typeof ownerSchema>;
export type OwnedRange = z.infer<typeof ownedRangeSchema>;
export type Ownership = z.infer<typeof ownershipSchema>;

/** The sign of life that a pool's coordinator writes again and again. */
export const coordinationSchema = z.object({
    term: z.int().min(0),
    /** Empty while the duty is vacant. */
    coordinator: z.string(),
    /** Where the coordinator hears load reports, `address:port`. */
    reports: z.string(),
    /** Coordinators before that may still send grants. */
    former: z.array(z.string()),
    beat: z.int().min(0),
});
export type Coordination = z.infer<typeof coordinationSchema>;

export const isSameOwner = (left: RangeOwner | undefined, right: RangeOwner | undefined): boolean =>
    left?.target === right?.target && left?.incarnation === right?.incarnation;

/** What is left of a range after a cut keeps its fence, so that a range is known by its keys too. */
export const rangeId = (range: OwnedRange): string => `${range.fence}:${range.from}-${range.to}`;

/** The range that holds the key, by binary search; undefined when the key has no owner. */
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
