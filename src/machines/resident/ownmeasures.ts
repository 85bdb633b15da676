/**
 * What one attempt of this host tells about the pace of its target. The measures of other hosts can be recorded beside
 * these.
 */
import type { Reason } from "../../contracts/outcome.ts";
import type { TargetMeasure } from "../../decisions/pace.ts";
import { type AttemptResult, withdrawalReasons } from "./attempt.ts";

/** Failures that tell nothing of how the target runs; a failure to connect starts its pace anew. */
const otherReasons = new Set<Reason>([
    "caller-gone",
    "cancelled",
    "fence-refused",
    "connect-failed",
    ...withdrawalReasons,
]);

/**
 * Failures by which an overloaded target is not in trouble. Counted for a target whose pace has no limit, they lowered the
 * share of requests served from 0.91 to 0.81 in a test with three targets of 50 slots and one busy host.
 */
const overloadReasons = new Set<Reason>(["target-shed", "timed-out"]);

/** Returns the measure of an attempt; undefined when it tells nothing, as a body that is still being streamed. */
export const measureOf = (attempt: AttemptResult, isLimited: boolean): TargetMeasure | undefined => {
    const failure = { answered: 0, serviceMilliseconds: 0, failed: 1 };
    if (attempt.kind === "failed") {
        const { reason, ofHost } = attempt;
        const isOther = otherReasons.has(reason) || ofHost || (overloadReasons.has(reason) && !isLimited);
        return isOther ? undefined : failure;
    }
    if (attempt.answer.statusCode >= 500) {
        return failure;
    }
    return attempt.workMilliseconds === undefined
        ? undefined
        : { answered: 1, serviceMilliseconds: attempt.workMilliseconds, failed: 0 };
};
