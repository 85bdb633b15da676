/**
 * The state of one authorized request while it is routed: its attempts, its claim and the target where it is now.
 */
import type { Reason } from "../contracts/outcome.ts";
import { routeKinds } from "../contracts/pool.ts";
import { priorities, type Priority } from "../decisions/admission.ts";
import type { AuthorizedRequest } from "../decisions/authorization.ts";
import type { StopCause } from "../decisions/failurereasons.ts";
import type { CallerRefusal, CallerRequest } from "../links/callers.ts";
import type { Claim } from "./claims.ts";
import type { TargetView } from "./target.ts";

/** Where a request is sent: the target, and for an owned key the slot and the revision of the assignment. */
export type Destination = { view: TargetView; slot: number; revision: number };

export type RoutingState = {
    readonly request: CallerRequest;
    readonly authorized: AuthorizedRequest;
    /** Whether the route allows the request to run only once. */
    readonly once: boolean;
    readonly priority: Priority;
    /** Claim on the id of a request that may run only once. */
    claim: Claim | undefined;
    /** Number of attempts so far. */
    attempts: number;
    /** Whether the one retry of the request is used up. */
    retried: boolean;
    /** Refusal of an earlier attempt that may have run, although the request was sent again afterwards. */
    uncertainRefusal: CallerRefusal | undefined;
    /** How often the request has waited for an owner of its key. */
    ownerWaits: number;
    /** Name of the target of the failed attempt; another one is chosen where the pool allows. */
    avoidedTarget: string | undefined;
    /** Destination of the newest attempt; undefined before the first. */
    destination: Destination | undefined;
    /** Stops the exchange that runs now. */
    stop: ((cause: StopCause) => void) | undefined;
};

/** Creates the state of an authorized request that has not been sent yet. */
export const createRoutingState = (request: CallerRequest, authorized: AuthorizedRequest): RoutingState => {
    const { route } = authorized;
    const once = route.kind === routeKinds.once;
    const urgentPriority = once ? priorities.once : priorities.interactive;
    return {
        request,
        authorized,
        once,
        priority: route.deferrable ? priorities.deferrable : urgentPriority,
        claim: undefined,
        attempts: 0,
        retried: false,
        uncertainRefusal: undefined,
        ownerWaits: 0,
        avoidedTarget: undefined,
        destination: undefined,
        stop: undefined,
    };
};

/** Creates a refusal. `detail` goes to the caller. */
export const refusal = (reason: Reason, detail: string, retryAfterMilliseconds?: number): CallerRefusal =>
    retryAfterMilliseconds === undefined
        ? { kind: "refusal", reason, detail }
        : { kind: "refusal", reason, detail, retryAfterMilliseconds };
