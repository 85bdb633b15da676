/**
 * Places in the history of an object store. A store that comes back from an older copy begins a new era of its history, in
 * which it gives out revisions a second time. A place is an era and a revision, compared in that order, in one number. All
 * revisions and positions of the store are places; terms and fences, which must never repeat, start anew above those of
 * all earlier eras.
 *
 * Nothing else compares them. A store without eras is in era 0 for good, where a place equals its revision.
 */

/** Revisions of an era. Eras and revisions together stay within the whole numbers that are exact. */
const revisionsPerEra = 2 ** 40;
/** The highest revision of an era. */
export const maxRevision = revisionsPerEra - 1;
/** The highest era. */
export const maxEra = 2 ** 53 / revisionsPerEra - 1;

/** Returns the place of a revision of the era. Throws when either is out of bounds. */
export const placeOf = (era: number, revision: number): number => {
    if (!(Number.isInteger(era) && era >= 0 && era <= maxEra)) {
        throw new RangeError(`There is no era ${era}.`);
    }
    if (!(Number.isInteger(revision) && revision >= 0 && revision < revisionsPerEra)) {
        throw new RangeError(`There is no revision ${revision}.`);
    }
    return era * revisionsPerEra + revision;
};

/** Returns the era of a place, a term or a fence. */
export const eraOf = (place: number): number => Math.floor(place / revisionsPerEra);

/** Returns the revision that the store gave out in the place's era. */
export const revisionOf = (place: number): number => place % revisionsPerEra;

/** Returns the lowest place of the era, above all places, terms and fences of earlier eras. */
export const startOfEra = (era: number): number => placeOf(era, 0);

/** Whether the left place, term or fence comes after the right one. Everything comes after undefined. */
export const isLater = (left: number, right: number | undefined): boolean => right === undefined || left > right;

/** Returns the later one of two places, terms or fences. */
export const laterOf = (left: number, right: number): number => Math.max(left, right);
