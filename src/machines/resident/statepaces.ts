/**
 * How the kinds of the state are read from the store. The wait of a kind's watch bounds the time for which a host may miss
 * its changes without notice, so what requests rest on has a short one.
 */
import type { PlatformObjects } from "../../contracts/resident.ts";
import { storeKinds } from "./coordination.ts";
import { processKind } from "./processes.ts";
import type { ReadPace } from "./statereading.ts";
import { watchMilliseconds } from "./storewatchers.ts";

const tableMilliseconds = 600;
const shortMilliseconds = 1_000;

/** Returns the pace of each kind. */
export const createStatePaces = (
    { targetKind, tableKind }: Pick<PlatformObjects, "targetKind" | "tableKind">,
): Readonly<Record<string, ReadPace>> => ({
    [targetKind]: { pauseMilliseconds: 100, maxWaitMilliseconds: shortMilliseconds },
    [tableKind]: { pauseMilliseconds: 100, maxWaitMilliseconds: tableMilliseconds },
    [storeKinds.ownership]: { pauseMilliseconds: 20, maxWaitMilliseconds: shortMilliseconds },
    [storeKinds.coordination]: { pauseMilliseconds: 100, maxWaitMilliseconds: shortMilliseconds },
    [processKind]: { pauseMilliseconds: 500, maxWaitMilliseconds: watchMilliseconds },
});
