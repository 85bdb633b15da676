/**
 * Bounds the bytes of large values that are kept together. Where they are more, the largest are dropped first, so that what
 * hosts need, which is small, is kept beside what a faulty writer has left.
 */

export type ValueBudget = {
    /**
     * Returns whether the value of the object is kept, in place of the one that it had before. Calls `drop` once it is not
     * kept any more.
     */
    admit: (name: string, bytes: number, drop: () => void) => boolean;
    /** The object has no large value any more. */
    release: (name: string) => void;
};

/** Creates a budget of which nothing is used. */
export const createValueBudget = (maxBytes: number): ValueBudget => {
    const held = new Map<string, { bytes: number; drop: () => void }>();
    let total = 0;

    const release = (name: string): void => {
        total -= held.get(name)?.bytes ?? 0;
        held.delete(name);
    };

    return {
        admit: (name, bytes, drop) => {
            release(name);
            const larger = [...held].filter(([, value]) => value.bytes > bytes)
                .sort(([, left], [, right]) => right.bytes - left.bytes);
            for (const [largest, value] of larger) {
                if (total + bytes <= maxBytes) {
                    break;
                }
                release(largest);
                value.drop();
            }
            if (total + bytes > maxBytes) {
                return false;
            }
            total += bytes;
            held.set(name, { bytes, drop });
            return true;
        },
        release,
    };
};
