/**
 * The journey of one admitted request: where it goes next, how often it was sent, and what it holds meanwhile.
 */
import type { Reason } from "../contracts/outcome.ts";
import { routeKinds } from "../contracts/pool.ts";
import { priorities, type Priority } from "../decisions/admission.ts";
import type { AuthorizedRequest } from "../decisions/authorization.ts";
import type { StopCause } from "../decisions/failurereasons.ts";
import type { CallerRefusal, CallerRequest } from "../links/callers.ts";
import type { Claim } from "./claims.ts";
import type { TargetView } from "./target.ts";

export type Place = { view: TargetView; slot: number; revision: number };

export type Journey = {
    readonly request: CallerRequest;
    readonly passage: AuthorizedRequest;
    readonly once: boolean;
    readonly priority: Priority;
    /** Held by a request that may run once. */
    claim: Claim | undefined;
    /** Attempts so far. */
    attempts: number;
    retried: boolean;
    /** Refusal of an attempt that may have run, although the request went on afterwards. */
    uncertain: CallerRefusal | undefined;
    timesHeld: number;
    /** Target that failed the request; another is taken where the pool allows. */
    avoid: string | undefined;
    /** Where the request is now; undefined while it waits. */
    place: Place | undefined;
    /** Gives up the exchange that runs now. */
    stop: ((cause: StopCause) => void) | undefined;
};

/** Begins the journey of a request that the gate let through. */
export const createJourney = (request: CallerRequest, passage: AuthorizedRequest): Journey => {
    const { route } = passage;
    const once = route.kind === routeKinds.once;
    const urgent = once ? priorities.once : priorities.interactive;
    return {
        request,
        passage,
        once,
        priority: route.deferrable ? priorities.deferrable : urgent,
        claim: undefined,
        attempts: 0,
        retried: false,
        uncertain: undefined,
        timesHeld: 0,
        avoid: undefined,
        place: undefined,
        stop: undefined,
    };
};

/** A refusal of the caller's request. */
export const refusal = (reason: Reason, detail: string, retryAfterMilliseconds?: number): CallerRefusal =>
    retryAfterMilliseconds === undefined
        ? { kind: "refusal", reason, detail }
        : { kind: "refusal", reason, detail, retryAfterMilliseconds };
