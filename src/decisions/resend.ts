/**
 * Whether a request that failed at a target is sent once more: it must be allowed to run again or certainly not have
 * run, there must be time for the work, and the budget of resends that all hosts share must hold.
 */
import type { Reason } from "../contracts/outcome.ts";
import { type RouteKind, routeKinds } from "../contracts/pool.ts";

export type FailedSend = {
    reason: Reason;
    kind: RouteKind;
    /** Certain that the failed send did not run. */
    notRun: boolean;
    /** Whether the failed send reached a target. */
    reachedTarget: boolean;
    /** Sends that may have run, this one included. */
    runs: number;
    /** Sends of any kind, this one included. */
    sends: number;
    maxAttempts: number;
    remainingMilliseconds: number;
    /** Time that one more send is expected to take. */
    expectedMilliseconds: number;
};

/** Only `counted` resends draw on the shared budget: one after a failed connect is the first to arrive. */
export type ResendVerdict = "no" | "free" | "counted";

/** Bounds the sends of a request that nowhere arrives. */
const maxSends = 4;

const endsRequest = new Set<Reason>(["timed-out", "caller-gone", "cancelled"]);

/** Decides on one more send. */
export const decideResend = (question: FailedSend): ResendVerdict => {
    const { reason, kind, notRun, reachedTarget: arrived, runs, sends, maxAttempts } = question;
    if (endsRequest.has(reason) || sends >= maxSends || runs >= maxAttempts) {
        return "no";
    }
    if (!notRun && kind === routeKinds.once) {
        return "no";
    }
    if (question.remainingMilliseconds < question.expectedMilliseconds) {
        return "no";
    }
    return arrived ? "counted" : "free";
};
