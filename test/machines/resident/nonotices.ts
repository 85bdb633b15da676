/**
 * Notices and limits of a host whose targets say nothing, for tests of other things.
 */
import type { TargetLimits } from "../../../src/machines/resident/targetlimits.ts";
import type { TargetNotices } from "../../../src/machines/resident/targetnotices.ts";

export const noNotices: TargetNotices = { record: () => undefined, limitOf: () => undefined };
export const noLimits: Pick<TargetLimits, "take"> = { take: () => Promise.resolve({ allowed: true }) };
