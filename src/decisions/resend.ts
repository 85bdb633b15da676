/**
 * Decides whether a request that failed at a target is sent again. The request must be allowed to run twice or
 * certainly not have run, there must be enough time left, and the budget of resends that all hosts share must not be
 * used up.
 */
import type { Reason } from "../contracts/outcome.ts";
import { type RouteKind, routeKinds } from "../contracts/pool.ts";

export type FailedSend = {
    reason: Reason;
    kind: RouteKind;
    /** Whether the target certainly did not run the failed send. */
    notRun: boolean;
    /** Whether the failed send reached a target. */
    reachedTarget: boolean;
    /** Number of sends that may have run, including the failed one. */
    runs: number;
    /** Number of all sends, including the failed one. */
    sends: number;
    /** Highest number of sends that may have run. */
    maxAttempts: number;
    remainingMilliseconds: number;
    /** Expected duration of another send. */
    expectedMilliseconds: number;
};

/**
 * Only `counted` resends use the shared budget. A resend after a failed connect is `free`, since it is the first send
 * that reaches a target.
 */
export type ResendVerdict = "no" | "free" | "counted";

/** Limits the sends of a request that reaches no target. */
const maxSends = 4;

/** Reasons after which the request is over and is not sent again. */
const finalReasons = new Set<Reason>(["timed-out", "caller-gone", "cancelled"]);

/**
 * Decides whether to send the request again. The caller still has to check the shared budget for a `counted` resend.
 */
export const decideResend = (failedSend: FailedSend): ResendVerdict => {
    const { reason, kind, notRun, reachedTarget, runs, sends, maxAttempts } = failedSend;
    if (finalReasons.has(reason) || sends >= maxSends || runs >= maxAttempts) {
        return "no";
    }
    if (!notRun && kind === routeKinds.once) {
        return "no";
    }
    if (failedSend.remainingMilliseconds < failedSend.expectedMilliseconds) {
        return "no";
    }
    return reachedTarget ? "counted" : "free";
};
