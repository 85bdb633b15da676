/**
 * Pieces that are split off ranges, to relieve their owners or to give keys to targets that own none.
 */
import { isSameOwner, type OwnedRange, type RangeOwner } from "../contracts/ownership.ts";
import type { KeySegment } from "./keyload.ts";
import {
    addedRequests,
    fractionOfKeys,
    highUtilization,
    marginalCost,
    type RangePlanInput,
    type RangeTargetLoad,
    requestsAt,
    segmentsBetween,
    usualAllKeysCost,
} from "./rangeloads.ts";
import { applyMoves, type RangeMove } from "./rangemoves.ts";

/**
 * Gain, in requests, that a split needs, unless it supplies a target without keys. Less is within the noise of the
 * loads.
 */
const minGain = 0.2;
/**
 * While loads are uncertain, so are the capacities that are learned with them, and many keys would be moved back and forth.
 * The cost then grows by this power of the certainty, so that narrow ranges of busy keys move first.
 */
const uncertainCostExponent = 2;
/** A plan ends when this many of the targets with the highest marginal cost have no split that pays. */
const maxExhaustedDonors = 8;
/** Number of targets considered as receivers: those with the lowest marginal cost. */
const maxReceivers = 4;
/** Bonus, in requests, for a piece adjacent to a range of the receiver, since the two can be merged. */
const adjacencyBonus = 0.05;

/**
 * A piece to be split off a range. `gain` is the decrease of the expected requests at the donor and the receiver
 * together, less the cost of the move, plus `adjacencyBonus` if the piece is adjacent to a range of the receiver.
 */
type Split = { from: number; to: number; load: number; receiver: RangeTargetLoad; gain: number };

/**
 * Returns the pieces that can be split off a range without leaving many fragments: each run of segments from either end
 * of the range, and its heaviest segment alone.
 */
const piecesOf = (range: OwnedRange, segments: KeySegment[]): Array<{ from: number; to: number; load: number }> => {
    const own = segmentsBetween(segments, range.from, range.to);
    const pieces: Array<{ from: number; to: number; load: number }> = [];
    let load = 0;
    for (const segment of own) {
        load += segment.load;
        pieces.push({ from: range.from, to: segment.to, load });
    }
    load = 0;
    for (const segment of [...own].reverse()) {
        load += segment.load;
        pieces.push({ from: segment.from, to: range.to, load });
    }
    const heaviest = own.reduce<KeySegment | undefined>(
        (most, segment) => most === undefined || segment.load > most.load ? segment : most,
        undefined,
    );
    if (heaviest !== undefined) {
        pieces.push({ from: heaviest.from, to: heaviest.to, load: heaviest.load });
    }
    return pieces;
};

/** Returns a function that tells whether a target owns the keys just before or just after a piece. */
const createAdjacencyCheck = (ranges: OwnedRange[]) => {
    const byFrom = new Map(ranges.map(range => [range.from, range]));
    const byTo = new Map(ranges.map(range => [range.to, range]));
    return ({ from, to }: { from: number; to: number }, owner: RangeOwner): boolean =>
        isSameOwner(byFrom.get(to + 1)?.owner, owner) || isSameOwner(byTo.get(from - 1)?.owner, owner);
};

/**
 * Returns the split of the donor's ranges with the highest gain. A donor that is not highly loaded keeps at least one
 * range, since a target without keys would be given some again. A highly loaded donor may give away its last range, for
 * example a single busy key that a faster target can serve, but not to supply a target without keys: the two would
 * exchange the range for ever. `allKeysCost` is 0 if the cost of the move does not matter.
 */
const bestSplit = (
    donor: RangeTargetLoad,
    receivers: RangeTargetLoad[],
    input: RangePlanInput,
    allKeysCost: number,
    mayGiveLastRange = donor.load / donor.target.capacity > highUtilization,
): Split | undefined => {
    let best: Split | undefined;
    const isAdjacent = createAdjacencyCheck(input.ranges);
    const all = input.ranges.filter(range => isSameOwner(range.owner, donor.target.owner));
    const owned = all.filter(range => range.predecessors.length === 0 && input.isMovable(range));
    const isKept = ({ from, to }: { from: number; to: number }): boolean =>
        !mayGiveLastRange && all.length === 1 && all[0].from === from && all[0].to === to;
    const donorBefore = requestsAt(donor);
    const pieces = owned.flatMap(range => piecesOf(range, input.segments));
    for (const piece of pieces.filter(candidate => !isKept(candidate))) {
        const relief = donorBefore - requestsAt(donor, -piece.load);
        for (const receiver of receivers) {
            if (receiver === donor) {
                continue;
            }
            const cost = allKeysCost * fractionOfKeys(piece);
            const gain = relief - addedRequests(receiver, piece.load) - cost
                + (isAdjacent(piece, receiver.target.owner) ? adjacencyBonus : 0);
            if (best === undefined || gain > best.gain) {
                best = { ...piece, receiver, gain };
            }
        }
    }
    return best;
};

/** Moves keys of the targets with the most requests to targets that own no keys, whatever the load. */
export const planNewTargets = (input: RangePlanInput, targetLoads: RangeTargetLoad[]): RangeMove[] => {
    const owns = (ranges: OwnedRange[], targetLoad: RangeTargetLoad): boolean =>
        ranges.some(range => isSameOwner(range.owner, targetLoad.target.owner));
    const movable = input.ranges.filter(range => range.predecessors.length === 0);
    const donors = targetLoads.filter(targetLoad => owns(movable, targetLoad))
        .sort((left, right) => requestsAt(right) - requestsAt(left));
    const moves: RangeMove[] = [];
    for (const newTarget of targetLoads.filter(targetLoad => !owns(input.ranges, targetLoad))) {
        const donor = donors[moves.length];
        if (donor === undefined || moves.length >= input.maxSplits) {
            break;
        }
        const split = bestSplit(donor, [newTarget], { ...input, isMovable: () => true }, 0, false);
        if (split === undefined) {
            donors.splice(moves.length, 1);
            continue;
        }
        donor.load -= split.load;
        newTarget.load += split.load;
        moves.push({ from: split.from, to: split.to, owner: newTarget.target.owner });
    }
    return moves;
};

/**
 * Returns the best split at the targets with the highest marginal cost. Targets in `exhausted` have none; those that are
 * found to have none are added, so that a target with one busy key does not keep others from being relieved.
 */
const nextSplit = (
    input: RangePlanInput,
    targetLoads: RangeTargetLoad[],
    exhausted: Set<RangeTargetLoad>,
): { donor: RangeTargetLoad; split: Split } | undefined => {
    const byCost = targetLoads.map(targetLoad => ({ targetLoad, cost: marginalCost(targetLoad) }))
        .sort((left, right) => right.cost - left.cost)
        .map(({ targetLoad }) => targetLoad);
    const receivers = byCost.slice(-maxReceivers);
    const allKeysCost = usualAllKeysCost / input.knownShare ** uncertainCostExponent;
    for (const donor of byCost.filter(targetLoad => !exhausted.has(targetLoad))) {
        if (exhausted.size >= maxExhaustedDonors) {
            return undefined;
        }
        const split = bestSplit(donor, receivers, input, allKeysCost);
        if (split !== undefined && split.gain >= minGain) {
            return { donor, split };
        }
        exhausted.add(donor);
    }
    return undefined;
};

/** Returns the ranges after the moves. Moved pieces have predecessors, so they are not moved again in the same plan. */
export const rangesAfter = (ranges: OwnedRange[], moves: RangeMove[]): OwnedRange[] =>
    applyMoves({ term: 0, coordinator: "", nextFence: 1, ranges }, moves).ranges;

/**
 * Plans splits one after the other, each on the result of those before. So a few keys that draw much of the load are
 * spread over many targets by one plan, where a split of each target in turn would take longer than such a load lasts.
 */
export const planSplits = (input: RangePlanInput, targetLoads: RangeTargetLoad[], maxSplits: number): RangeMove[] => {
    const moves: RangeMove[] = [];
    const exhausted = new Set<RangeTargetLoad>();
    let ranges = input.ranges;
    while (moves.length < maxSplits) {
        const found = nextSplit({ ...input, ranges }, targetLoads, exhausted);
        if (found === undefined) {
            break;
        }
        const { donor, split } = found;
        donor.load -= split.load;
        split.receiver.load += split.load;
        const move = { from: split.from, to: split.to, owner: split.receiver.target.owner };
        moves.push(move);
        ranges = rangesAfter(ranges, [move]);
    }
    return moves;
};
