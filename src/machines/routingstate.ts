/**
 * The journey of one admitted request: where it goes next, how often it was sent, and what it holds meanwhile.
 */
import type { Reason } from "../contracts/outcome.ts";
import { routeKinds } from "../contracts/pool.ts";
import { priorities, type Priority } from "../decisions/admit.ts";
import type { StopCause } from "../decisions/classify.ts";
import type { Passage } from "../decisions/gate.ts";
import type { CallerRefusal, CallerRequest } from "../links/callers.ts";
import type { Claim } from "./claims.ts";
import type { TargetView } from "./target.ts";

export type Destination = { view: TargetView; slot: number; revision: number };

export type RoutingState = {
    readonly request: CallerRequest;
    readonly authorized: Passage;
    readonly once: boolean;
    readonly priority: Priority;
    /** Held by a request that may run once. */
    claim: Claim | undefined;
    /** Attempts so far. */
    attempts: number;
    retried: boolean;
    /** Refusal of an attempt that may have run, although the request went on afterwards. */
    uncertainRefusal: CallerRefusal | undefined;
    ownerWaits: number;
    /** Target that failed the request; another is taken where the pool allows. */
    avoidedTarget: string | undefined;
    /** Where the request is now; undefined while it waits. */
    destination: Destination | undefined;
    /** Gives up the exchange that runs now. */
    stop: ((cause: StopCause) => void) | undefined;
};

/** Begins the journey of a request that the gate let through. */
export const createRoutingState = (request: CallerRequest, passage: Passage): RoutingState => {
    const { route } = passage;
    const once = route.kind === routeKinds.once;
    const urgent = once ? priorities.once : priorities.interactive;
    return {
        request,
        authorized: passage,
        once,
        priority: route.deferrable ? priorities.deferrable : urgent,
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

/** A refusal of the caller's request. */
export const refusal = (reason: Reason, detail: string, retryAfterMilliseconds?: number): CallerRefusal =>
    retryAfterMilliseconds === undefined
        ? { kind: "refusal", reason, detail }
        : { kind: "refusal", reason, detail, retryAfterMilliseconds };
