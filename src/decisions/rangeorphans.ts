/**
 * Keys without a live owner, and their distribution over the targets.
 */
import { isSameOwner, maxKey, type OwnedRange, type RangeOwner } from "../contracts/ownership.ts";
import {
    type LoadSums,
    type RangePlanInput,
    type RangeTargetLoad,
    segmentsBetween,
    targetLoadsOf,
} from "./rangeloads.ts";
import type { RangeMove } from "./rangemoves.ts";

/**
 * The current receiver also gets the next segment if the load that it lacks is at least this fraction of the segment's
 * load. Otherwise runs would be cut for a small excess.
 */
const minMissingFraction = 0.5;
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

export const planOrphans = (input: RangePlanInput, sums: LoadSums): RangeMove[] => {
    const { ranges, targets } = input;
    const orphans = orphansOf(ranges, targets.map(target => target.owner));
    if (orphans.length === 0) {
        return [];
    }
    const targetLoads = targetLoadsOf(ranges, targets, sums);
    return orphans.flatMap(orphan => distribute(orphan.from, orphan.to, targetLoads, input, sums));
};
