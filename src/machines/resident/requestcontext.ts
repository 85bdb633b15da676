/**
 * One caller's request on its way through a resident host, and the refusals that may end it.
 */
import { outcomes, type Reason, reasons } from "../../contracts/outcome.ts";
import type { ResidentRequest } from "../../contracts/resident.ts";
import type { TablePool, TableRoute } from "../../contracts/routing.ts";
import type { CallerRefusal } from "../../links/callers.ts";
import type { TargetState } from "./targetstates.ts";

/** One request on its way. */
export type RequestContext = {
    request: ResidentRequest;
    route: TableRoute;
    pool: TablePool;
    /** Monotonic time by which the caller has its answer. */
    endAt: number;
    /** Monotonic time up to which the request may be held for an owner. */
    holdUntil: number;
    /** Targets that failed the request. */
    failedTargets: Set<TargetState>;
    sends: number;
    runs: number;
    /** Set once a send may have run: from then on nothing says that it did not. */
    uncertainRefusal: CallerRefusal | undefined;
};

export const createRefusal = (reason: Reason, detail: string, retryAfter?: number): CallerRefusal => ({
    kind: "refusal",
    reason,
    detail,
    retryAfterMilliseconds: retryAfter,
});

/** The refusal; where a send may have run, what says so in place of a promise that it did not. */
export const refuse = (passage: RequestContext, reason: Reason, detail: string, retryAfter?: number): CallerRefusal => {
    const refusal = createRefusal(reason, detail, retryAfter);
    const isPromise = reasons[reason].outcome === outcomes.notRun;
    return isPromise ? passage.uncertainRefusal ?? refusal : refusal;
};
