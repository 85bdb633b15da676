/**
 * A hash for the ranking of hosts that needs no start-up time.
 */
import { createHash } from "node:crypto";
import type { SlotHash } from "../decisions/hash.ts";

/** Returns the first 32 bits of the SHA-1 digest of the key, modulo the count. */
export const digestHash: SlotHash = (key, slotCount) =>
    createHash("sha1").update(key).digest().readUInt32BE(0) % slotCount;
