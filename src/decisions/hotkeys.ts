/**
 * Hot keys: finds the most requested keys in bounded memory, and chooses which of them are lifted out of their slots.
 * The counting follows the space-saving algorithm: a new key takes the place of the least counted one and its count,
 * so that a count is never too low and too high by at most the least count.
 */

/** A key and how often it was requested. */
export type KeyCount = { key: string; count: number };

export type KeySketch = {
    /** Counts one request of the key. */
    add: (key: string) => void;
    /** The most requested keys, highest first. Each count is certain: what a former key may have left is taken off. */
    top: (count: number) => KeyCount[];
    /** Keys held. */
    size: () => number;
    clear: () => void;
};

type Entry = { key: string; count: number; surplus: number };

/** Creates a sketch of at most `capacity` keys. `add` scans for the least entry only when an unknown key comes in. */
export const createKeySketch = (capacity: number): KeySketch => {
    const entries = new Map<string, Entry>();
    let candidates: Entry[] = [];

    /** Gives an entry of a low count. The list is refilled when used up, which spreads the cost of sorting. */
    const takeLeast = (): Entry => {
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
                entries.set(key, { key, count: 1, surplus: 0 });
                return;
            }
            const least = takeLeast();
            entries.delete(least.key);
            entries.set(key, { key, count: least.count + 1, surplus: least.count });
        },
        top: count =>
            [...entries.values()]
                .map(entry => ({ key: entry.key, count: entry.count - entry.surplus }))
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
    /** Share of a target's fair load from which a key is lifted out. */
    promoteShare: number;
    /** Share of a target's fair load below which a lifted key goes back to its slot. */
    demoteShare: number;
    /** Keys of a pool that are lifted out at most. */
    maxKeys: number;
};

export const defaultHotKeyOptions: HotKeyOptions = { promoteShare: 0.1, demoteShare: 0.03, maxKeys: 128 };

/**
 * Chooses the keys that stand apart from their slots, hottest first. `fairLoad` is the load of a target at its fair
 * share, in the unit of `rates`. A key that is lifted stays so until it is well below the share that lifted it.
 */
export const chooseHotKeys = (
    lifted: readonly string[],
    rates: ReadonlyMap<string, number>,
    fairLoad: number,
    options: HotKeyOptions,
): string[] => {
    if (fairLoad <= 0) {
        return [...lifted];
    }
    const known = new Set(lifted);
    const share = (key: string): number => (rates.get(key) ?? 0) / fairLoad;
    const kept = lifted.filter(key => share(key) >= options.demoteShare);
    const fresh = [...rates.keys()].filter(key => !known.has(key) && share(key) >= options.promoteShare);
    const chosen = [...kept, ...fresh].sort((left, right) => share(right) - share(left) || (left < right ? -1 : 1));
    return chosen.slice(0, options.maxKeys);
};
