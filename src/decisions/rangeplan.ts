/**
 * Planning who owns which keys: every key of a live target, loads in proportion to capacity, few moves. Pure: the same
 * inputs give the same plan.
 */
import { maxKey, type OwnedRange, type Ownership, type RangeOwner, sameOwner } from "../contracts/ownership.ts";

export type RangeTarget = {
    owner: RangeOwner;
    /** Requests that it can run at the same time, weighed by its speed. */
    capacity: number;
};

/** Keys, both ends included, that go to a target. */
export type RangeMove = { from: number; to: number; owner: RangeOwner };

/** Load by bucket of neighbouring keys, in requests of recent seconds. */
export type KeyLoad = { buckets: number[]; total: number };

export const bucketCount = 1_024;
export const keysPerBucket = (maxKey + 1) / bucketCount;

/** Part of all load that counts as spread evenly over the keys: keys without recent requests still cost a little. */
const evenShare = 0.25;
/** Load over the fair share from which a target gives keys away. */
const overloadedAt = 1.3;
/** Requests that must have been seen before loads are balanced: fewer say too little about each target. */
const minBalancedRequests = 120;
/** A target whose load is below this part of its fair share takes keys. */
const takesBelow = 0.85;
/** Ranges a target on average; more cost too many renewals. */
const maxRangesPerTarget = 5;

type Share = { target: RangeTarget; load: number; fair: number };

const bucketOf = (key: number): number => Math.floor(key / keysPerBucket);

/** Load of a bucket, with its part of the load that counts as even. */
const weightOf = (load: KeyLoad, bucket: number): number => {
    const even = Math.max(load.total, 1) / bucketCount;
    return (1 - evenShare) * load.buckets[bucket] + evenShare * even;
};

/** Load of the keys of a range, by the parts of the buckets that it covers. */
const loadBetween = (load: KeyLoad, from: number, to: number): number => {
    let sum = 0;
    for (let bucket = bucketOf(from); bucket <= bucketOf(to); bucket += 1) {
        const first = Math.max(from, bucket * keysPerBucket);
        const last = Math.min(to, (bucket + 1) * keysPerBucket - 1);
        sum += weightOf(load, bucket) * (last - first + 1) / keysPerBucket;
    }
    return sum;
};

const sharesOf = (ranges: OwnedRange[], targets: RangeTarget[], load: KeyLoad): Share[] => {
    const capacity = targets.reduce((sum, target) => sum + target.capacity, 0);
    const total = loadBetween(load, 0, maxKey);
    return targets.map(target => ({
        target,
        load: ranges.filter(range => sameOwner(range.owner, target.owner))
            .reduce((sum, range) => sum + loadBetween(load, range.from, range.to), 0),
        fair: total * target.capacity / capacity,
    }));
};

/** Gives the keys to the targets with the most room, in as few pieces as their room allows. */
const spread = (from: number, to: number, shares: Share[], load: KeyLoad): RangeMove[] => {
    const moves: RangeMove[] = [];
    let start = from;
    while (start <= to) {
        const receiver = shares.reduce((best, share) => share.fair - share.load > best.fair - best.load ? share : best);
        const room = receiver.fair - receiver.load;
        let end = start;
        let taken = 0;
        while (end <= to) {
            const last = Math.min(to, (bucketOf(end) + 1) * keysPerBucket - 1);
            const weight = loadBetween(load, end, last);
            if (taken > 0 && taken + weight > room) {
                break;
            }
            taken += weight;
            end = last + 1;
        }
        receiver.load += taken;
        moves.push({ from: start, to: end - 1, owner: receiver.target.owner });
        start = end;
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

/** Keys without an owner, and keys whose owner is not among the targets, go to targets with room. */
const planOrphans = (ranges: OwnedRange[], targets: RangeTarget[], load: KeyLoad): RangeMove[] => {
    const isLive = (range: OwnedRange): boolean => targets.some(target => sameOwner(target.owner, range.owner));
    const orphans = [...gapsOf(ranges), ...ranges.filter(range => !isLive(range))];
    if (orphans.length === 0) {
        return [];
    }
    const shares = sharesOf(ranges, targets, load);
    return orphans.flatMap(orphan => spread(orphan.from, orphan.to, shares, load));
};

/** The end of a range that holds about the wanted load; undefined when its buckets there are too heavy. */
const cutEnd = (
    range: OwnedRange,
    wanted: number,
    load: KeyLoad,
    fromLow: boolean,
): { from: number; to: number; load: number } | undefined => {
    const low = bucketOf(range.from);
    const high = bucketOf(range.to);
    let taken = 0;
    let count = 0;
    while (count <= high - low) {
        const bucket = fromLow ? low + count : high - count;
        const from = Math.max(range.from, bucket * keysPerBucket);
        const to = Math.min(range.to, (bucket + 1) * keysPerBucket - 1);
        const weight = loadBetween(load, from, to);
        if (taken + weight > wanted) {
            break;
        }
        taken += weight;
        count += 1;
    }
    if (count === 0) {
        return undefined;
    }
    return fromLow
        ? { from: range.from, to: Math.min(range.to, (low + count) * keysPerBucket - 1), load: taken }
        : { from: Math.max(range.from, (high - count + 1) * keysPerBucket), to: range.to, load: taken };
};

/** One cut from the most overloaded target to the one with the most room; undefined when that gains nothing. */
const planCut = (ranges: OwnedRange[], shares: Share[], load: KeyLoad): RangeMove | undefined => {
    const ratio = (share: Share): number => share.load / share.fair;
    const receiver = shares.reduce((least, share) => ratio(share) < ratio(least) ? share : least);
    const isNew = !ranges.some(range => sameOwner(range.owner, receiver.target.owner));
    const donor = shares.reduce((most, share) => ratio(share) > ratio(most) ? share : most);
    const isDue = isNew
        || (load.total >= minBalancedRequests && ratio(donor) >= overloadedAt && ratio(receiver) <= takesBelow);
    if (donor === receiver || !isDue) {
        return undefined;
    }
    const half = (donor.load - receiver.load * donor.fair / receiver.fair) / 2;
    const wanted = Math.min(receiver.fair - receiver.load, isNew ? Math.max(half, donor.load / 2) : half);
    const pieces = ranges
        .filter(range => sameOwner(range.owner, donor.target.owner) && range.predecessor === undefined)
        .flatMap(range => [cutEnd(range, wanted, load, true), cutEnd(range, wanted, load, false)])
        .filter(piece => piece !== undefined)
        .sort((left, right) => right.load - left.load);
    const piece = pieces[0];
    return piece === undefined ? undefined : { from: piece.from, to: piece.to, owner: receiver.target.owner };
};

/**
 * The moves that are due now. Orphaned keys come first; otherwise at most one piece moves from the most loaded target
 * to the one with the most room, or to a target that owns nothing yet.
 */
export const planRanges = (ranges: OwnedRange[], targets: RangeTarget[], load: KeyLoad): RangeMove[] => {
    if (targets.length === 0) {
        return [];
    }
    const orphans = planOrphans(ranges, targets, load);
    if (orphans.length > 0) {
        return orphans;
    }
    if (ranges.length >= targets.length * maxRangesPerTarget) {
        return [];
    }
    const cut = planCut(ranges, sharesOf(ranges, targets, load), load);
    return cut === undefined ? [] : [cut];
};

/** What is left of a range beside the keys of a move. */
const besides = (range: OwnedRange, move: RangeMove): OwnedRange[] => {
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
    const covered: Array<{ from: number; to: number; predecessor: RangeOwner | undefined }> = [];
    for (const range of ownership.ranges) {
        if (!overlaps(range, move)) {
            ranges.push(range);
            continue;
        }
        ranges.push(...besides(range, move));
        const predecessor = range.predecessor ?? range.owner;
        covered.push({ from: Math.max(range.from, move.from), to: Math.min(range.to, move.to), predecessor });
    }
    if (covered.length === 0) {
        covered.push({ from: move.from, to: move.to, predecessor: undefined });
    }
    for (const { from, to, predecessor } of covered) {
        const former = sameOwner(predecessor, move.owner) ? undefined : predecessor;
        ranges.push({ from, to, owner: move.owner, fence, ...(former === undefined ? {} : { predecessor: former }) });
        fence += 1;
    }
    return { ...ownership, nextFence: fence, ranges: ranges.sort((left, right) => left.from - right.from) };
};

/** The ownership after the moves, each moved piece under a fence of its own and with its owner before. */
export const applyMoves = (ownership: Ownership, moves: RangeMove[]): Ownership => moves.reduce(applyMove, ownership);
