/**
 * How the kinds of the state are read from the store, and how old they may become. The manifest and the targets have to be in
 * force within about two seconds; the others may be older than lost and slow answers make them, since all followers of a
 * reader that is not current go elsewhere.
 */
import type { PlatformObjects } from "../../contracts/resident.ts";
import { storeKinds } from "./coordination.ts";
import { processKind } from "./processes.ts";
import type { ReadPace } from "./statereading.ts";
import { watchMilliseconds } from "./storewatchers.ts";

/** Returns the pace of each kind. */
export const createStatePaces = (
    { targetKind, tableKind }: Pick<PlatformObjects, "targetKind" | "tableKind">,
): Readonly<Record<string, ReadPace>> => ({
    [targetKind]: { pauseMilliseconds: 100, maxWaitMilliseconds: 1_000, maxAgeMilliseconds: 1_800 },
    [tableKind]: { pauseMilliseconds: 100, maxWaitMilliseconds: 600, maxAgeMilliseconds: 1_400 },
    [storeKinds.ownership]: { pauseMilliseconds: 20, maxWaitMilliseconds: 1_000, maxAgeMilliseconds: 2_500 },
    [storeKinds.coordination]: { pauseMilliseconds: 100, maxWaitMilliseconds: 1_000, maxAgeMilliseconds: 2_500 },
    [processKind]: { pauseMilliseconds: 500, maxWaitMilliseconds: watchMilliseconds, maxAgeMilliseconds: 6_000 },
});
