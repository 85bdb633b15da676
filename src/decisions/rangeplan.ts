/**
 * Plans which target owns which keys. Keys without a live owner come first, then targets without keys. After these, a
 * range goes to the owner of an adjacent one if there are too many ranges. Last, ranges are split where that lowers the
 * total number of running and waiting requests by more than the move costs. Under a light load such splits give fast
 * targets more than their proportional share of the load, since requests finish sooner there. The functions are pure:
 * the same input gives the same plan.
 */
import { isSameOwner, maxKey, type OwnedRange, type Ownership, type RangeOwner } from "../contracts/ownership.ts";
import type { KeySegment } from "./keyload.ts";
import { expectedRequestsAtTarget } from "./queueing.ts";

export type RangeTarget = {
    owner: RangeOwner;
    /** Requests per second that the target can serve with all of its slots. */
    capacity: number;
    slots: number;
};

/** A move of a range of keys, both ends included, to a target. */
export type RangeMove = { from: number; to: number; owner: RangeOwner };

export type RangePlanInput = {
    ranges: OwnedRange[];
    targets: RangeTarget[];
    /** All keys in ascending order, with their load in requests per second. */
    segments: KeySegment[];
    /** Number of requests on which the loads are based. */
    sampleCount: number;
    /**
     * How certain the loads are, from 0 to 1: that part of the time on which their estimate is to be based for which they
     * have been observed.
     */
    knownShare: number;
    /**
     * Number of pieces that may be split off ranges in this plan, to relieve targets or to supply new ones. A merge is
     * not counted, but 0 rules it out too. Keys without a live owner are moved in any case.
     */
    maxSplits: number;
    /** Whether the range may be moved now. A range that was moved recently stays where it is for a while. */
    isMovable: (range: OwnedRange) => boolean;
};

/**
 * Utilization above which a target counts as highly loaded: it takes over no adjacent ranges, so that its queue stays
 * short, and it may give away its last range.
 */
const highUtilization = 0.65;
/**
 * Gain, in requests, that a split needs, unless it supplies a target without keys. Less is within the noise of the
 * loads.
 */
const minGain = 0.2;
/**
 * Cost of moving all keys, in requests, since requests for moved keys are held up for a moment. Moving some of the keys
 * costs the same fraction of it.
 */
const usualAllKeysCost = 5;
/**
 * While loads are uncertain, so are the capacities that are learned with them, and many keys would be moved back and forth.
 * The cost then grows by this power of the certainty, so that narrow ranges of busy keys move first, and loads count as
 * lower by the other one, since the busiest targets are often those that look busier than they are.
 */
const uncertainCostExponent = 2;
const uncertainLoadExponent = 0.25;
/** A plan ends when this many of the targets with the highest marginal cost have no split that pays. */
const maxExhaustedDonors = 8;
/** Number of targets considered as receivers: those with the lowest marginal cost. */
const maxReceivers = 4;
/** Additional load in requests per second for which the marginal cost is computed. */
const marginalLoad = 1;
/** Loads are only balanced when they are based on this number of requests; fewer say too little about each target. */
const minSampleCount = 60;
/**
 * From this average number of ranges per target on, no range is split to relieve a target. More ranges would need too
 * many renewals of grants.
 */
const maxRangesPerTarget = 6;
/** From this average on, small ranges go to the owner of an adjacent range, so that ranges can still be split. */
const rangesPerTargetBeforeMerge = 4;
/**
 * The current receiver also gets the next segment if the load that it lacks is at least this fraction of the segment's
 * load. Otherwise runs would be cut for a small excess.
 */
const minMissingFraction = 0.5;
/** Bonus, in requests, for a piece adjacent to a range of the receiver, since the two can be merged. */
const adjacencyBonus = 0.05;

/** A target and the load of the keys that it owns, in requests per second. */
type RangeTargetLoad = { target: RangeTarget; load: number };

/** Prefix sums of the load by segment, from which the load of any range of keys is computed. */
const createLoadSums = (segments: KeySegment[]) => {
    const sums = [0];
    for (const segment of segments) {
        sums.push(sums[sums.length - 1] + segment.load);
    }
    /** Load of all keys below the one given; within a segment the load is taken to be evenly spread. */
    const below = (key: number): number => {
        let low = 0;
        let high = segments.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (segments[middle].to < key) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        const segment = segments[low];
        if (segment === undefined || key <= segment.from) {
            return sums[low];
        }
        return sums[low] + segment.load * (key - segment.from) / (segment.to - segment.from + 1);
    };
    return { between: (from: number, to: number): number => below(to + 1) - below(from) };
};

type LoadSums = ReturnType<typeof createLoadSums>;

const targetLoadsOf = (ranges: OwnedRange[], targets: RangeTarget[], sums: LoadSums): RangeTargetLoad[] => {
    const targetLoads = targets.map(target => ({ target, load: 0 }));
    const byName = new Map(targetLoads.map(targetLoad => [targetLoad.target.owner.target, targetLoad]));
    for (const range of ranges) {
        const targetLoad = byName.get(range.owner.target);
        if (targetLoad !== undefined && isSameOwner(targetLoad.target.owner, range.owner)) {
            targetLoad.load += sums.between(range.from, range.to);
        }
    }
    return targetLoads;
};

const requestsAt = ({ target, load }: RangeTargetLoad, change = 0): number =>
    expectedRequestsAtTarget(Math.max(0, load + change), target.capacity, target.slots);

/** Increase of the expected requests at the target when the load given is added. */
const addedRequests = (targetLoad: RangeTargetLoad, load: number): number =>
    requestsAt(targetLoad, load) - requestsAt(targetLoad);

const fractionOfKeys = ({ from, to }: { from: number; to: number }): number => (to - from + 1) / (maxKey + 1);

/** Increase of the expected requests at the target for a small additional load. */
const marginalCost = (targetLoad: RangeTargetLoad): number => addedRequests(targetLoad, marginalLoad);

/**
 * Segments that overlap the range, cut to it. A cut segment keeps the load of the whole one, so `piecesOf` may
 * overestimate the load of pieces that contain it; `distribute` computes the load of the cut segment instead.
 */
const segmentsBetween = (segments: KeySegment[], from: number, to: number): KeySegment[] =>
    segments.filter(segment => segment.to >= from && segment.from <= to)
        .map(segment => ({ ...segment, from: Math.max(segment.from, from), to: Math.min(segment.to, to) }));

/**
 * Distributes keys without a live owner over the targets, in long runs. Each target is due a part of the total load in
 * proportion to its capacity. The target that lacks the most load receives segments until it has about its part.
 */
const distribute = (
    from: number,
    to: number,
    targetLoads: RangeTargetLoad[],
    input: RangePlanInput,
    sums: LoadSums,
): RangeMove[] => {
    const moves: RangeMove[] = [];
    const capacity = targetLoads.reduce((sum, targetLoad) => sum + targetLoad.target.capacity, 0);
    const total = sums.between(0, maxKey);
    const missingLoad = (targetLoad: RangeTargetLoad): number =>
        total * targetLoad.target.capacity / capacity - targetLoad.load;
    let receiver: RangeTargetLoad | undefined;
    for (const segment of segmentsBetween(input.segments, from, to)) {
        const load = sums.between(segment.from, segment.to);
        if (receiver === undefined || missingLoad(receiver) < load * minMissingFraction) {
            receiver = targetLoads.reduce((best, targetLoad) =>
                missingLoad(targetLoad) > missingLoad(best) ? targetLoad : best
            );
        }
        receiver.load += load;
        const last = moves[moves.length - 1];
        if (last !== undefined && isSameOwner(last.owner, receiver.target.owner)) {
            last.to = segment.to;
        }
        else {
            moves.push({ from: segment.from, to: segment.to, owner: receiver.target.owner });
        }
    }
    return moves;
};

const gapsOf = (ranges: OwnedRange[]): Array<{ from: number; to: number }> => {
    const gaps: Array<{ from: number; to: number }> = [];
    let next = 0;
    for (const range of ranges) {
        if (range.from > next) {
            gaps.push({ from: next, to: range.from - 1 });
        }
        next = range.to + 1;
    }
    if (next <= maxKey) {
        gaps.push({ from: next, to: maxKey });
    }
    return gaps;
};

const orphansOf = (ranges: OwnedRange[], liveOwners: RangeOwner[]): Array<{ from: number; to: number }> => {
    const live = new Map(liveOwners.map(owner => [owner.target, owner]));
    const isLive = ({ owner }: OwnedRange): boolean => isSameOwner(live.get(owner.target), owner);
    return [...gapsOf(ranges), ...ranges.filter(range => !isLive(range))];
};

/**
 * Whether any keys have no live owner but could get one: false when there are no live owners. Much cheaper than
 * `planRanges`, which computes loads.
 */
export const hasOrphanedKeys = (ranges: OwnedRange[], liveOwners: RangeOwner[]): boolean =>
    liveOwners.length > 0 && orphansOf(ranges, liveOwners).length > 0;

const planOrphans = (input: RangePlanInput, sums: LoadSums): RangeMove[] => {
    const { ranges, targets } = input;
    const orphans = orphansOf(ranges, targets.map(target => target.owner));
    if (orphans.length === 0) {
        return [];
    }
    const targetLoads = targetLoadsOf(ranges, targets, sums);
    return orphans.flatMap(orphan => distribute(orphan.from, orphan.to, targetLoads, input, sums));
};

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
const planNewTargets = (input: RangePlanInput, targetLoads: RangeTargetLoad[]): RangeMove[] => {
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
 * When there are many ranges, moves the range that costs least to the owner of an adjacent range, if that owner has
 * capacity for it.
 */
const planMerge = (input: RangePlanInput, targetLoads: RangeTargetLoad[], sums: LoadSums): RangeMove | undefined => {
    const { ranges, targets } = input;
    if (ranges.length < targets.length * rangesPerTargetBeforeMerge) {
        return undefined;
    }
    const candidates = ranges.flatMap((range, index) => {
        const load = sums.between(range.from, range.to);
        return [ranges[index - 1], ranges[index + 1]].map(neighbour => {
            const targetLoad = targetLoads.find(other => isSameOwner(other.target.owner, neighbour?.owner));
            const isFitting = targetLoad !== undefined && !isSameOwner(targetLoad.target.owner, range.owner)
                && range.predecessors.length === 0 && input.isMovable(range)
                && (targetLoad.load + load) / targetLoad.target.capacity < highUtilization;
            return isFitting
                ? {
                    from: range.from,
                    to: range.to,
                    owner: targetLoad.target.owner,
                    cost: addedRequests(targetLoad, load) + usualAllKeysCost * fractionOfKeys(range),
                }
                : undefined;
        });
    }).filter(candidate => candidate !== undefined);
    const cheapest = candidates.sort((left, right) => left.cost - right.cost)[0];
    return cheapest === undefined ? undefined : { from: cheapest.from, to: cheapest.to, owner: cheapest.owner };
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
const rangesAfter = (ranges: OwnedRange[], moves: RangeMove[]): OwnedRange[] =>
    applyMoves({ term: 0, coordinator: "", nextFence: 1, ranges }, moves).ranges;

/**
 * Plans splits one after the other, each on the result of those before. So a few keys that draw much of the load are
 * spread over many targets by one plan, where a split of each target in turn would take longer than such a load lasts.
 */
const planSplits = (input: RangePlanInput, targetLoads: RangeTargetLoad[], maxSplits: number): RangeMove[] => {
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

/** The segments with loads that are as high as is certain. */
const certainSegments = ({ segments, knownShare }: RangePlanInput): KeySegment[] => {
    const scale = knownShare ** uncertainLoadExponent;
    return segments.map(segment => ({ ...segment, load: segment.load * scale }));
};

/**
 * Plans the moves to make now. Keys without a live owner come first. If there are none, targets that own no keys get
 * some, a range is merged if there are too many, and ranges are split to relieve targets where requests wait or are
 * served slowly.
 */
export const planRanges = (given: RangePlanInput): RangeMove[] => {
    const { targets } = given;
    if (targets.length === 0) {
        return [];
    }
    const input = { ...given, segments: certainSegments(given) };
    const { ranges, segments } = input;
    const sums = createLoadSums(segments);
    const orphans = planOrphans(input, sums);
    if (orphans.length > 0) {
        return orphans;
    }
    const targetLoads = targetLoadsOf(ranges, targets, sums);
    if (input.maxSplits === 0) {
        return [];
    }
    const moves = planNewTargets(input, targetLoads);
    const merge = planMerge({ ...input, ranges: rangesAfter(ranges, moves) }, targetLoads, sums);
    if (merge !== undefined) {
        moves.push(merge);
    }
    if (input.sampleCount < minSampleCount || ranges.length >= targets.length * maxRangesPerTarget) {
        return moves;
    }
    const next = { ...input, ranges: rangesAfter(ranges, moves) };
    return [...moves, ...planSplits(next, targetLoads, input.maxSplits - moves.length)];
};

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
