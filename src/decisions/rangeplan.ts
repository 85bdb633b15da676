/**
 * Plans which target owns which keys. Keys without a live owner come first, then targets without keys. After these, a
 * range goes to the owner of an adjacent one if there are too many ranges. Last, ranges are split where that lowers the
 * total number of running and waiting requests by more than the move costs. Under a light load such splits give fast
 * targets more than their proportional share of the load, since requests finish sooner there. The functions are pure:
 * the same input gives the same plan.
 */
import { isSameOwner } from "../contracts/ownership.ts";
import type { KeySegment } from "./keyload.ts";
import {
    addedRequests,
    createLoadSums,
    fractionOfKeys,
    highUtilization,
    type LoadSums,
    type RangePlanInput,
    type RangeTargetLoad,
    targetLoadsOf,
    usualAllKeysCost,
} from "./rangeloads.ts";
import type { RangeMove } from "./rangemoves.ts";
import { planOrphans } from "./rangeorphans.ts";
import { planNewTargets, planSplits, rangesAfter } from "./rangesplits.ts";

/**
 * While loads are uncertain, they count as lower by this power of the certainty, since the busiest targets are often those
 * that look busier than they are.
 */
const uncertainLoadExponent = 0.25;
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
