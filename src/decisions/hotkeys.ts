/**
 * Finds the most requested keys in bounded memory, and chooses the hot keys, which are placed independently of their
 * slots. The keys are counted by the space-saving algorithm: a new key replaces the key with the lowest count and takes
 * over its count, so a count is never too low, and too high by at most the lowest count.
 */

/** A key and the number of requests for it. */
export type KeyCount = { key: string; count: number };

export type KeySketch = {
    /** Counts one request of the key. */
    add: (key: string) => void;
    /**
     * Returns the most requested keys, highest first. Counts are lower bounds: the count that a key took over from the
     * key that it replaced is subtracted.
     */
    top: (count: number) => KeyCount[];
    /** Returns the number of keys held. */
    size: () => number;
    /** Removes all keys. */
    clear: () => void;
};

type Entry = { key: string; count: number; inherited: number };

/**
 * Creates a sketch of at most `capacity` keys. `add` searches for an entry to replace only when an unknown key arrives.
 */
export const createKeySketch = (capacity: number): KeySketch => {
    const entries = new Map<string, Entry>();
    let candidates: Entry[] = [];

    /**
     * Returns an entry with a low count. The list of candidates is refilled when it is empty, so that the cost of
     * sorting is spread over many calls.
     */
    const takeLowest = (): Entry => {
        while (true) {
            const entry = candidates.pop();
            if (entry === undefined) {
                const sorted = [...entries.values()].sort((left, right) => left.count - right.count);
                candidates = sorted.slice(0, Math.max(1, capacity >> 2)).reverse();
            }
            else if (entries.get(entry.key) === entry && entry.count <= (candidates[0]?.count ?? entry.count)) {
                return entry;
            }
        }
    };

    return {
        add: key => {
            const known = entries.get(key);
            if (known !== undefined) {
                known.count += 1;
                return;
            }
            if (entries.size < capacity) {
                entries.set(key, { key, count: 1, inherited: 0 });
                return;
            }
            const lowest = takeLowest();
            entries.delete(lowest.key);
            entries.set(key, { key, count: lowest.count + 1, inherited: lowest.count });
        },
        top: count =>
            [...entries.values()]
                .map(entry => ({ key: entry.key, count: entry.count - entry.inherited }))
                .sort((left, right) => right.count - left.count || (left.key < right.key ? -1 : 1))
                .slice(0, count),
        size: () => entries.size,
        clear: () => {
            entries.clear();
            candidates = [];
        },
    };
};

export type HotKeyOptions = {
    /** Fraction of a target's fair load from which a key becomes a hot key. */
    promoteShare: number;
    /** Fraction of a target's fair load below which a hot key returns to its slot. */
    demoteShare: number;
    /** Maximum number of hot keys of a pool. */
    maxKeys: number;
};

export const defaultHotKeyOptions: HotKeyOptions = { promoteShare: 0.1, demoteShare: 0.03, maxKeys: 128 };

/**
 * Chooses the hot keys of a pool, the most requested first. A hot key stays one until its rate is well below the
 * fraction of the fair load from which it became hot.
 *
 * @param current the present hot keys.
 * @param fairLoad load of a target at its fair share, in the unit of `rates`.
 */
export const chooseHotKeys = (
    current: readonly string[],
    rates: ReadonlyMap<string, number>,
    fairLoad: number,
    options: HotKeyOptions,
): string[] => {
    if (fairLoad <= 0) {
        return [...current];
    }
    const known = new Set(current);
    const share = (key: string): number => (rates.get(key) ?? 0) / fairLoad;
    const kept = current.filter(key => share(key) >= options.demoteShare);
    const added = [...rates.keys()].filter(key => !known.has(key) && share(key) >= options.promoteShare);
    const chosen = [...kept, ...added].sort((left, right) => share(right) - share(left) || (left < right ? -1 : 1));
    return chosen.slice(0, options.maxKeys);
};
