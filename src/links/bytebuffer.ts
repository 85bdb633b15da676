/**
 * Bytes that arrive in parts of any size. Parts are copied together, since each part that is kept costs some hundred bytes
 * beside its own, and a sender may choose parts of one byte.
 */
export type ByteBuffer = {
    /** Memory that is taken, in bytes: up to twice that of the content. */
    capacity: () => number;
    /** Length of the content. */
    size: () => number;
    /** The memory that is taken once the part is added. */
    capacityWith: (part: Buffer) => number;
    append: (part: Buffer) => void;
    /** Returns the content and lets go of it. */
    take: () => Buffer;
};

/** From the second part on. */
const minCapacity = 1_024;

/** Creates an empty buffer. A content of one part is not copied. */
export const createByteBuffer = (): ByteBuffer => {
    let held: Buffer = Buffer.alloc(0);
    let size = 0;

    const capacityWith = (part: Buffer): number => {
        const needed = size + part.length;
        if (needed <= held.length) {
            return held.length;
        }
        return size === 0 ? part.length : Math.max(minCapacity, needed, 2 * held.length);
    };

    return {
        capacity: () => held.length,
        size: () => size,
        capacityWith,
        append: part => {
            if (size === 0) {
                held = part;
            }
            else {
                const capacity = capacityWith(part);
                if (capacity > held.length) {
                    const larger = Buffer.allocUnsafeSlow(capacity);
                    held.copy(larger, 0, 0, size);
                    held = larger;
                }
                part.copy(held, size);
            }
            size += part.length;
        },
        take: () => {
            const content = held.subarray(0, size);
            held = Buffer.alloc(0);
            size = 0;
            return content;
        },
    };
};
