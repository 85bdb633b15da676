/**
 * What a plan of key ranges is based on: the targets, the loads of their keys, and the requests that are expected at them.
 */
import { isSameOwner, maxKey, type OwnedRange, type RangeOwner } from "../contracts/ownership.ts";
import type { KeySegment } from "./keyload.ts";
import { expectedRequestsAtTarget } from "./queueing.ts";

export type RangeTarget = {
    owner: RangeOwner;
    /** Requests per second that the target can serve with all of its slots. */
    capacity: number;
    slots: number;
};

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
export const highUtilization = 0.65;
/**
 * Cost of moving all keys, in requests, since requests for moved keys are held up for a moment. Moving some of the keys
 * costs the same fraction of it.
 */
export const usualAllKeysCost = 5;
/** Additional load in requests per second for which the marginal cost is computed. */
const marginalLoad = 1;
/** A target and the load of the keys that it owns, in requests per second. */
export type RangeTargetLoad = { target: RangeTarget; load: number };

/** Prefix sums of the load by segment, from which the load of any range of keys is computed. */
export const createLoadSums = (segments: KeySegment[]) => {
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

export type LoadSums = ReturnType<typeof createLoadSums>;

export const targetLoadsOf = (ranges: OwnedRange[], targets: RangeTarget[], sums: LoadSums): RangeTargetLoad[] => {
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

export const requestsAt = ({ target, load }: RangeTargetLoad, change = 0): number =>
    expectedRequestsAtTarget(Math.max(0, load + change), target.capacity, target.slots);

/** Increase of the expected requests at the target when the load given is added. */
export const addedRequests = (targetLoad: RangeTargetLoad, load: number): number =>
    requestsAt(targetLoad, load) - requestsAt(targetLoad);

export const fractionOfKeys = ({ from, to }: { from: number; to: number }): number => (to - from + 1) / (maxKey + 1);

/** Increase of the expected requests at the target for a small additional load. */
export const marginalCost = (targetLoad: RangeTargetLoad): number => addedRequests(targetLoad, marginalLoad);

/**
 * Segments that overlap the range, cut to it. A cut segment keeps the load of the whole one, so `piecesOf` may
 * overestimate the load of pieces that contain it; `distribute` computes the load of the cut segment instead.
 */
export const segmentsBetween = (segments: KeySegment[], from: number, to: number): KeySegment[] =>
    segments.filter(segment => segment.to >= from && segment.from <= to)
        .map(segment => ({ ...segment, from: Math.max(segment.from, from), to: Math.min(segment.to, to) }));
