/**
 * Places of keys: a key hashes to a slot of its pool, the same on every host and target.
 */
import xxhash from "xxhash-wasm";

/** Gives the slot of a key among `slotCount` slots. */
export type SlotHash = (key: string, slotCount: number) => number;

/** Loads the hash. The slot is the 32-bit xxHash of the key's UTF-8 bytes modulo the slot count. */
export const createSlotHash = async (): Promise<SlotHash> => {
    const { h32 } = await xxhash();
    return (key, slotCount) => h32(key) % slotCount;
};
