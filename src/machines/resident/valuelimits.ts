/** How much of the store's objects of the hosts' own kinds is kept. Only hosts write them, but nothing keeps others from it. */
import { storeKinds } from "./coordination.ts";
import { processKind } from "./processes.ts";

/** Bytes of texts that large values of a kind may have together; those of other kinds are not bounded here. */
export const largeValueBytes: Readonly<Record<string, number>> = {
    [processKind]: 262_144,
    [storeKinds.coordination]: 524_288,
    // One object as large as the store takes.
    [storeKinds.ownership]: 2_097_152,
};
