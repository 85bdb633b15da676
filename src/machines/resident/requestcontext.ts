/**
 * The state of one caller's request while a resident host serves it, and the refusals with which it may end.
 */
import { outcomes, type Reason, reasons } from "../../contracts/outcome.ts";
import type { ResidentRequest } from "../../contracts/resident.ts";
import type { TablePool, TableRoute } from "../../contracts/routing.ts";
import type { PoolUse } from "../../decisions/poolroom.ts";
import type { CallerRefusal } from "../../links/callers.ts";
import type { TargetState } from "./targetstates.ts";

/** The state of a request between its arrival and its answer. */
export type RequestContext = {
    request: ResidentRequest;
    route: TableRoute;
    pool: TablePool;
    /** How the route uses the pool beside other routes; undefined when no other route uses it. */
    poolUse: PoolUse | undefined;
    /** Monotonic time by which the caller must have its answer. */
    endAt: number;
    /** Monotonic time until which the request may wait for its key to get an owner. */
    holdUntil: number;
    /** Targets at which a send of the request failed; cleared when the owner of its key changes. */
    failedTargets: Set<TargetState>;
    /**
     * Targets that refused the request, if it may run once only. It is not sent there again: a repetition of the refusal
     * on the same connection could not be told from an answer to the second send.
     */
    refusedBy: Set<TargetState>;
    /** Sends so far. */
    sends: number;
    /** Sends that ran or may have run. */
    runs: number;
    /** Set once a send may have run: it replaces every later refusal that says that the request did not run. */
    uncertainRefusal: CallerRefusal | undefined;
};

/** Creates a refusal; the retry delay is in milliseconds. */
export const createRefusal = (reason: Reason, detail: string, retryAfter?: number): CallerRefusal => ({
    kind: "refusal",
    reason,
    detail,
    retryAfterMilliseconds: retryAfter,
});

/**
 * Creates a refusal. Where an earlier send may have run, one that promises the opposite is replaced by
 * `uncertainRefusal`.
 */
export const refuse = (context: RequestContext, reason: Reason, detail: string, retryAfter?: number): CallerRefusal => {
    const refusal = createRefusal(reason, detail, retryAfter);
    const promisesNotRun = reasons[reason].outcome === outcomes.notRun;
    return promisesNotRun ? context.uncertainRefusal ?? refusal : refusal;
};
