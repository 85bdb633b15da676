/**
 * Checks ownership by the targets' own records: two targets never own the same slot or key at once, and every request
 * runs at the owner of its key. Also counts how often slots and keys changed their owner.
 */
import type { SlotHash } from "../src/decisions/hash.ts";
import type { OwnedSpan } from "../stand-ins/grants.ts";
import type { Execution } from "../stand-ins/work.ts";

/** A time span in which one target owned one slot or key. */
export type OwnershipInterval = { target: string; from: number; until: number };

/** Two targets that owned the same slot or key at the same time. */
export type Overlap = { slotOrKey: string; first: OwnershipInterval; second: OwnershipInterval };

/** What one target recorded during a run, with its relative speed. */
export type TargetRunRecords = { name: string; speed: number; spans: OwnedSpan[]; executions: Execution[] };

/** The records of one pool from which ownership is checked. */
export type OwnershipRecords = {
    pool: string;
    slotCount: number;
    slotHash: SlotHash;
    targets: TargetRunRecords[];
    /** Keys that callers sent requests for. */
    keys: string[];
};

export type OwnershipFindings = {
    overlaps: Overlap[];
    /** Runs that began while their target did not own the key. */
    runsWithoutOwnership: Execution[];
    slotsMoved: number;
    keysMoved: number;
    /** Longest time between two ownership intervals of a slot, in milliseconds. */
    longestUnownedMilliseconds: number;
};

const compareByStart = (left: OwnershipInterval, right: OwnershipInterval): number => left.from - right.from;

/** Finds the times at which different targets owned one slot or key. */
export const findOverlaps = (slotOrKey: string, intervals: OwnershipInterval[]): Overlap[] => {
    const sorted = [...intervals].sort(compareByStart);
    const overlaps: Overlap[] = [];
    for (let index = 0; index < sorted.length; index += 1) {
        for (let later = index + 1; later < sorted.length && sorted[later].from < sorted[index].until; later += 1) {
            if (sorted[later].target !== sorted[index].target) {
                overlaps.push({ slotOrKey, first: sorted[index], second: sorted[later] });
            }
        }
    }
    return overlaps;
};

const countOwnerChanges = (intervals: OwnershipInterval[]): number => {
    const sorted = [...intervals].sort(compareByStart);
    return sorted.filter((interval, index) => index > 0 && sorted[index - 1].target !== interval.target).length;
};

const findLongestGap = (intervals: OwnershipInterval[]): number => {
    let coveredUntil = Infinity;
    let longest = 0;
    for (const { from, until } of [...intervals].sort(compareByStart)) {
        longest = Math.max(longest, from - coveredUntil);
        coveredUntil = coveredUntil === Infinity ? until : Math.max(coveredUntil, until);
    }
    return longest;
};

const collectIntervalsBySlot = (records: OwnershipRecords): OwnershipInterval[][] => {
    const bySlot: OwnershipInterval[][] = Array.from({ length: records.slotCount }, () => []);
    for (const { name, spans } of records.targets) {
        for (const { pool, slots, from, until } of spans) {
            for (const slot of pool === records.pool ? slots : []) {
                bySlot[slot].push({ target: name, from, until });
            }
        }
    }
    return bySlot;
};

const coversKey = (span: OwnedSpan, slotsOfSpan: Set<number>, slot: number, key: string): boolean =>
    span.keys.includes(key) || (slotsOfSpan.has(slot) && !span.exceptKeys.includes(key));

/** Ownership intervals of each of the keys. */
const collectIntervalsByKey = (records: OwnershipRecords, keys: Iterable<string>): Map<string, OwnershipInterval[]> => {
    const byKey = new Map([...keys].map(key => [key, [] as OwnershipInterval[]]));
    for (const { name, spans } of records.targets) {
        for (const span of spans.filter(({ pool }) => pool === records.pool)) {
            const slots = new Set(span.slots);
            for (const [key, intervals] of byKey) {
                if (coversKey(span, slots, records.slotHash(key, records.slotCount), key)) {
                    intervals.push({ target: name, from: span.from, until: span.until });
                }
            }
        }
    }
    return byKey;
};

/** Keys that callers used, and keys that a span includes or excludes apart from its slots. */
const collectKeys = (records: OwnershipRecords): Set<string> => {
    const keysOfSpans = records.targets.flatMap(target =>
        target.spans.filter(({ pool }) => pool === records.pool).flatMap(span => [...span.keys, ...span.exceptKeys])
    );
    return new Set([...records.keys, ...keysOfSpans]);
};

const findRunsWithoutOwnership = (records: OwnershipRecords, byKey: Map<string, OwnershipInterval[]>): Execution[] =>
    records.targets.flatMap(({ name, executions }) =>
        executions.filter(({ pool, key, startedAt }) => {
            const intervals = byKey.get(key) ?? [];
            const isOwned = intervals.some(interval =>
                interval.target === name && interval.from <= startedAt && startedAt < interval.until
            );
            return pool === records.pool && !isOwned;
        })
    );

/** Checks the ownership in one pool whose requests are divided by key. */
export const checkOwnership = (records: OwnershipRecords): OwnershipFindings => {
    const bySlot = collectIntervalsBySlot(records);
    const byKey = collectIntervalsByKey(records, collectKeys(records));
    const keyOverlaps = [...byKey].flatMap(([key, intervals]) => findOverlaps(`key ${key}`, intervals));
    const slotOverlaps = bySlot.flatMap((intervals, slot) => findOverlaps(`slot ${slot}`, intervals));
    return {
        overlaps: [...slotOverlaps, ...keyOverlaps],
        runsWithoutOwnership: findRunsWithoutOwnership(records, byKey),
        slotsMoved: bySlot.reduce((sum, intervals) => sum + countOwnerChanges(intervals), 0),
        keysMoved: [...byKey].reduce((sum, [, intervals]) => sum + countOwnerChanges(intervals), 0),
        longestUnownedMilliseconds: bySlot.reduce(
            (longest, intervals) => Math.max(longest, findLongestGap(intervals)),
            0,
        ),
    };
};
