/**
 * What the first coordinator of an era of the store does before it grants keys. The store may have forgotten moves of keys,
 * and whoever carried them out may still renew their grants. So every target releases all keys that it does not own by the
 * ownership from which the era starts. A release carries a fence above those of all earlier eras, so that the target takes
 * no grant of those keys from an earlier era any more; the keys that it owns may be renewed under their former fences
 * meanwhile.
 */
import { maxKey, type OwnedRange, type Ownership } from "../contracts/ownership.ts";
import { isLater, laterOf, startOfEra } from "../contracts/storehistory.ts";

/** Entries of live targets are in the store again within this time after it is back. */
const entriesMilliseconds = 2_000;

/** The fence of all releases before the first grants of an era: above all of earlier eras, below all others of this one. */
export const clearingFence = (era: number): number => startOfEra(era) + 1;

/** Returns the ownership that was written last, by term and by fence. */
export const newestOwnership = (left: Ownership | undefined, right: Ownership | undefined): Ownership | undefined => {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    if (left.term !== right.term) {
        return isLater(left.term, right.term) ? left : right;
    }
    return isLater(right.nextFence, left.nextFence) ? right : left;
};

/** Returns the ownership whose next fences are above all that the clearing and earlier eras have used. */
export const withFencesOfEra = (ownership: Ownership, era: number): Ownership => ({
    ...ownership,
    nextFence: laterOf(ownership.nextFence, era === 0 ? 1 : clearingFence(era) + 1),
});

type KeySpan = Pick<OwnedRange, "from" | "to">;

/** Returns the keys, in spans, that the target neither owns nor has owned by these ranges, which are sorted by key. */
export const spansWithout = (ranges: OwnedRange[], target: string): KeySpan[] => {
    const spans: KeySpan[] = [];
    let from = 0;
    for (const range of ranges) {
        if (![range.owner, ...range.predecessors].some(owner => owner.target === target)) {
            continue;
        }
        if (range.from > from) {
            spans.push({ from, to: range.from - 1 });
        }
        from = range.to + 1;
    }
    return from > maxKey ? spans : [...spans, { from, to: maxKey }];
};

export type ClearingView = {
    now: number;
    /** When this process learned of the era. */
    eraLearnedAt: number;
    /** When all holds that were granted in earlier eras have certainly expired. */
    lapsesAt: number;
    /** Number of known targets that have not released the keys of others yet. */
    pending: number;
    /** Whether this process knows targets and owners from an earlier era, or there was none. */
    remembersTargets: boolean;
};

/** Whether no target can hold keys but those that it owns. */
export const isClearingOver = (view: ClearingView): boolean =>
    view.now >= view.lapsesAt
    || view.remembersTargets && view.pending === 0 && view.now - view.eraLearnedAt >= entriesMilliseconds;
