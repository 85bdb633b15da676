/**
 * Maps a key to a slot of its pool by a hash that is the same on every host and target.
 */
import xxhash from "xxhash-wasm";

/** Returns the slot of a key, from 0 to `slotCount` - 1. */
export type SlotHash = (key: string, slotCount: number) => number;

/** Loads the hash function. The slot is the 32-bit xxHash of the key's UTF-8 bytes modulo the slot count. */
export const createSlotHash = async (): Promise<SlotHash> => {
    const { h32 } = await xxhash();
    return (key, slotCount) => h32(key) % slotCount;
};
