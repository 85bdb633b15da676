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

const clamp = (value: number, least: number, most: number): number => Math.min(most, Math.max(least, value));

/** The kind that names evacuated zones, and the time within which an evacuation has to be in force. */
export type FollowedEvacuations = { kind: string; withinMilliseconds: number };

/** Largest share of that time for which one watch waits, and for which the store may leave the kind unconfirmed. */
const evacuationWaitShare = 0.4;
const evacuationAgeShare = 0.64;

/**
 * What is left of the time after the largest age is for the followers of a reader that is not current to find another
 * one, and for the pause between two changes.
 */
const evacuationPace = (withinMilliseconds: number): ReadPace => ({
    pauseMilliseconds: 100,
    maxWaitMilliseconds: clamp(withinMilliseconds * evacuationWaitShare, 1_000, watchMilliseconds),
    maxAgeMilliseconds: clamp(withinMilliseconds * evacuationAgeShare, 1_800, 6_000),
});

/** Returns the pace of each kind. The kind of evacuations is among them only if it is followed. */
export const createStatePaces = (
    { targetKind, tableKind }: Pick<PlatformObjects, "targetKind" | "tableKind">,
    evacuations?: FollowedEvacuations,
): Readonly<Record<string, ReadPace>> => ({
    [targetKind]: { pauseMilliseconds: 100, maxWaitMilliseconds: 1_000, maxAgeMilliseconds: 1_800 },
    [tableKind]: { pauseMilliseconds: 100, maxWaitMilliseconds: 600, maxAgeMilliseconds: 1_400 },
    [storeKinds.ownership]: { pauseMilliseconds: 20, maxWaitMilliseconds: 1_000, maxAgeMilliseconds: 2_500 },
    [storeKinds.coordination]: { pauseMilliseconds: 100, maxWaitMilliseconds: 1_000, maxAgeMilliseconds: 2_500 },
    [processKind]: { pauseMilliseconds: 500, maxWaitMilliseconds: watchMilliseconds, maxAgeMilliseconds: 6_000 },
    ...(evacuations === undefined ? {} : { [evacuations.kind]: evacuationPace(evacuations.withinMilliseconds) }),
});
