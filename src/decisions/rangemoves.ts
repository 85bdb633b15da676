/**
 * Moves of key ranges, and the ownership after them. Each change gives the keys that it touches a new fence.
 */
import { isSameOwner, type OwnedRange, type Ownership, type RangeOwner } from "../contracts/ownership.ts";

/** A move of a range of keys, both ends included, to a target. */
export type RangeMove = { from: number; to: number; owner: RangeOwner };

/** Returns the parts of a range that a move leaves in place. */
const remaindersOf = (range: OwnedRange, move: RangeMove): OwnedRange[] => {
    const pieces: OwnedRange[] = [];
    if (range.from < move.from) {
        pieces.push({ ...range, to: Math.min(range.to, move.from - 1) });
    }
    if (range.to > move.to) {
        pieces.push({ ...range, from: Math.max(range.from, move.to + 1) });
    }
    return pieces;
};

const overlaps = (range: OwnedRange, move: RangeMove): boolean => range.from <= move.to && range.to >= move.from;

const applyMove = (ownership: Ownership, move: RangeMove): Ownership => {
    let fence = ownership.nextFence;
    const ranges: OwnedRange[] = [];
    const covered: Array<{ from: number; to: number; owners: RangeOwner[] }> = [];
    for (const range of ownership.ranges) {
        if (!overlaps(range, move)) {
            ranges.push(range);
            continue;
        }
        ranges.push(...remaindersOf(range, move));
        const owners = [...range.predecessors, range.owner];
        covered.push({ from: Math.max(range.from, move.from), to: Math.min(range.to, move.to), owners });
    }
    if (covered.length === 0) {
        covered.push({ from: move.from, to: move.to, owners: [] });
    }
    for (const { from, to, owners } of covered) {
        const predecessors = owners.filter((owner, index) =>
            !isSameOwner(owner, move.owner) && owners.findIndex(other => isSameOwner(other, owner)) === index
        );
        ranges.push({ from, to, owner: move.owner, fence, predecessors });
        fence += 1;
    }
    return { ...ownership, nextFence: fence, ranges: ranges.sort((left, right) => left.from - right.from) };
};

/** Returns the ownership after the moves. Each moved piece gets a new fence and lists its former owners. */
export const applyMoves = (ownership: Ownership, moves: RangeMove[]): Ownership => moves.reduce(applyMove, ownership);

/** Returns the ownership with a new fence for every range. Owners and former owners stay as they are. */
export const renewAllFences = (ownership: Ownership): Ownership => ({
    ...ownership,
    nextFence: ownership.nextFence + ownership.ranges.length,
    ranges: ownership.ranges.map((range, index) => ({ ...range, fence: ownership.nextFence + index })),
});

const canMerge = (left: OwnedRange, right: OwnedRange): boolean =>
    left.to + 1 === right.from && isSameOwner(left.owner, right.owner)
    && left.predecessors.length === 0 && right.predecessors.length === 0;

/**
 * Merges adjacent ranges of one owner under a new fence. Returns the same object when there are none. Ranges that still
 * have predecessors are not merged.
 */
export const mergeRanges = (ownership: Ownership): Ownership => {
    let { nextFence } = ownership;
    const ranges: OwnedRange[] = [];
    const mergedRanges = new Set<OwnedRange>();
    for (const range of ownership.ranges) {
        const last = ranges[ranges.length - 1];
        if (last === undefined || !canMerge(last, range)) {
            ranges.push(range);
            continue;
        }
        const merged = mergedRanges.has(last) ? last : { ...last, fence: nextFence };
        nextFence = mergedRanges.has(last) ? nextFence : nextFence + 1;
        merged.to = range.to;
        mergedRanges.add(merged);
        ranges[ranges.length - 1] = merged;
    }
    return mergedRanges.size === 0 ? ownership : { ...ownership, nextFence, ranges };
};
