/**
 * Judges ownership from the targets' own records: no slot or key at two targets at once, no run outside ownership, and
 * how often slots changed hands.
 */
import type { SlotHash } from "../src/decisions/hash.ts";
import type { OwnedSpan } from "../stand-ins/grants.ts";
import type { Execution } from "../stand-ins/work.ts";

/** A time during which one target owned one slot or key. */
export type OwnershipInterval = { target: string; from: number; until: number };

/** Two targets that owned the same slot or key at the same time. */
export type Overlap = { slotOrKey: string; first: OwnershipInterval; second: OwnershipInterval };

export type TargetRunRecords = { name: string; speed: number; spans: OwnedSpan[]; executions: Execution[] };

export type OwnershipRecords = {
    pool: string;
    slotCount: number;
    slotHash: SlotHash;
    targets: TargetRunRecords[];
    /** Keys that callers used. */
    keys: string[];
};

export type OwnershipFindings = {
    overlaps: Overlap[];
    /** Runs that began while their target did not own the key. */
    runsWithoutOwnership: Execution[];
    slotsMoved: number;
    keysMoved: number;
    /** Longest time between two owners of a slot, in milliseconds. */
    longestUnownedMilliseconds: number;
};

const byStart = (left: OwnershipInterval, right: OwnershipInterval): number => left.from - right.from;

/** Overlaps among the holdings of one slot or key by different targets. */
export const findOverlaps = (unit: string, holdings: OwnershipInterval[]): Overlap[] => {
    const sorted = [...holdings].sort(byStart);
    const overlaps: Overlap[] = [];
    for (let index = 0; index < sorted.length; index += 1) {
        for (let later = index + 1; later < sorted.length && sorted[later].from < sorted[index].until; later += 1) {
            if (sorted[later].target !== sorted[index].target) {
                overlaps.push({ slotOrKey: unit, first: sorted[index], second: sorted[later] });
            }
        }
    }
    return overlaps;
};

const changesOf = (holdings: OwnershipInterval[]): number => {
    const sorted = [...holdings].sort(byStart);
    return sorted.filter((holding, index) => index > 0 && sorted[index - 1].target !== holding.target).length;
};

const longestGapOf = (holdings: OwnershipInterval[]): number => {
    let coveredUntil = Infinity;
    let longest = 0;
    for (const { from, until } of [...holdings].sort(byStart)) {
        longest = Math.max(longest, from - coveredUntil);
        coveredUntil = coveredUntil === Infinity ? until : Math.max(coveredUntil, until);
    }
    return longest;
};

const holdingsBySlot = (evidence: OwnershipRecords): OwnershipInterval[][] => {
    const bySlot: OwnershipInterval[][] = Array.from({ length: evidence.slotCount }, () => []);
    for (const { name, spans } of evidence.targets) {
        for (const { pool, slots, from, until } of spans) {
            for (const slot of pool === evidence.pool ? slots : []) {
                bySlot[slot].push({ target: name, from, until });
            }
        }
    }
    return bySlot;
};

const coversKey = (span: OwnedSpan, slotsOfSpan: Set<number>, slot: number, key: string): boolean =>
    span.keys.includes(key) || (slotsOfSpan.has(slot) && !span.exceptKeys.includes(key));

/** Holdings of each key asked for. */
const holdingsByKey = (evidence: OwnershipRecords, keys: Iterable<string>): Map<string, OwnershipInterval[]> => {
    const byKey = new Map([...keys].map(key => [key, [] as OwnershipInterval[]]));
    for (const { name, spans } of evidence.targets) {
        for (const span of spans.filter(({ pool }) => pool === evidence.pool)) {
            const slots = new Set(span.slots);
            for (const [key, holdings] of byKey) {
                if (coversKey(span, slots, evidence.slotHash(key, evidence.slotCount), key)) {
                    holdings.push({ target: name, from: span.from, until: span.until });
                }
            }
        }
    }
    return byKey;
};

const keysOf = (evidence: OwnershipRecords): Set<string> => {
    const placed = evidence.targets.flatMap(target =>
        target.spans.filter(({ pool }) => pool === evidence.pool).flatMap(span => [...span.keys, ...span.exceptKeys])
    );
    return new Set([...evidence.keys, ...placed]);
};

const runsOutside = (evidence: OwnershipRecords, byKey: Map<string, OwnershipInterval[]>): Execution[] =>
    evidence.targets.flatMap(({ name, executions }) =>
        executions.filter(({ pool, key, startedAt }) => {
            const holdings = byKey.get(key) ?? [];
            const owned = holdings.some(holding =>
                holding.target === name && holding.from <= startedAt && startedAt < holding.until
            );
            return pool === evidence.pool && !owned;
        })
    );

/** Judges one pool that is divided by key. */
export const checkOwnership = (evidence: OwnershipRecords): OwnershipFindings => {
    const bySlot = holdingsBySlot(evidence);
    const byKey = holdingsByKey(evidence, keysOf(evidence));
    const keyOverlaps = [...byKey].flatMap(([key, holdings]) => findOverlaps(`key ${key}`, holdings));
    const slotOverlaps = bySlot.flatMap((holdings, slot) => findOverlaps(`slot ${slot}`, holdings));
    return {
        overlaps: [...slotOverlaps, ...keyOverlaps],
        runsWithoutOwnership: runsOutside(evidence, byKey),
        slotsMoved: bySlot.reduce((sum, holdings) => sum + changesOf(holdings), 0),
        keysMoved: [...byKey].reduce((sum, [, holdings]) => sum + changesOf(holdings), 0),
        longestUnownedMilliseconds: bySlot.reduce((longest, holdings) => Math.max(longest, longestGapOf(holdings)), 0),
    };
};
