/**
 * The router: authorizes and limits callers' requests, sends each to the target that owns its key, and reports whether
 * the request ran, did not run, or may have run.
 */
import type { Clock } from "../contracts/clock.ts";
import { outcomes, reasons } from "../contracts/outcome.ts";
import { divisions } from "../contracts/pool.ts";
import type { Settings } from "../contracts/settings.ts";
import {
    type AuthorizationContext,
    type AuthorizedRequest,
    authorizeRequest,
    createTokenIndex,
    isAuthorizationRefusal,
} from "../decisions/authorization.ts";
import { stopCauses } from "../decisions/failurereasons.ts";
import type { LoadShedder } from "../decisions/loadshedding.ts";
import { retryAfterMilliseconds } from "../decisions/placement.ts";
import { concurrencyShare, createRateLimiter } from "../decisions/ratelimit.ts";
import { createRetryBudget, retryReasonOf, waitsForOwner } from "../decisions/retry.ts";
import type { CallerAnswer, CallerRefusal, CallerRequest } from "../links/callers.ts";
import type { Metrics } from "../links/metrics.ts";
import type { Admission } from "./admission.ts";
import type { Claims } from "./claims.ts";
import { type DestinationResolver, isRefusal } from "./destinations.ts";
import type { ObjectView } from "./objects.ts";
import type { Quarantines } from "./quarantines.ts";
import { createRoutingState, type Destination, refusal, type RoutingState } from "./routingstate.ts";
import type { Attempt, FailedAttempt, Sender } from "./sender.ts";
import { recordDraining } from "./target.ts";
import { createWaitQueue } from "./waitqueue.ts";

export type RouterOptions = {
    objects: ObjectView;
    destinations: DestinationResolver;
    admission: Admission;
    sender: Sender;
    claims: Claims;
    quarantines: Quarantines;
    /** This host's share of each plan's rate and concurrency, from 0 to 1. */
    share: () => number;
    /** Refuses part of the requests while the host is overloaded. */
    loadShedder: Pick<LoadShedder, "refuses">;
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    settings: Settings["requests"];
    metrics: Metrics;
    clock: Clock;
    signal: AbortSignal;
};

export type Router = {
    /** Resolves with the target's answer or with a refusal. */
    serve: (request: CallerRequest) => Promise<CallerAnswer>;
    /** Number of requests for owned keys of the pool that were sent under an earlier revision and have not ended. */
    unfinishedBelow: (pool: string, revision: number) => number;
};

/** In a pool that is not divided by key, a target whose connection failed gets no new requests for this time. */
const failurePauseMilliseconds = 100;
const healthTimeoutMilliseconds = 250;
/** A request is taken back from a former owner of its key that has not answered anything for this time. */
const silentOwnerMilliseconds = 200;
/** Base of the `Retry-After` of an overloaded host, which works off its queue in about this time. */
const overloadRetryMilliseconds = 500;

const didNotRun = (failed: FailedAttempt): boolean => reasons[failed.reason].outcome === outcomes.notRun;

/** Creates the router of one host. */
export const createRouter = (options: RouterOptions): Router => {
    const {
        objects,
        destinations,
        admission,
        sender,
        claims,
        quarantines,
        settings,
        metrics,
        clock,
        signal,
    } = options;
    const retryBudget = createRetryBudget(settings.retryBudgetRatio);
    const rateLimiter = createRateLimiter();
    const waitQueue = createWaitQueue({ length: settings.heldLength, clock, signal });
    const inFlightByPlan = new Map<string, number>();
    const sentRequests = new Set<RoutingState>();

    const authorizationContext: AuthorizationContext = {
        planOf: createTokenIndex([]),
        allowanceOf: plan => objects.get("allowances", plan)?.value,
        poolOf: name => objects.get("pools", name)?.value,
    };
    const indexTokens = (): void => {
        const plans = objects.list("plans").map(({ name, value }) => ({ name, plan: value }));
        authorizationContext.planOf = createTokenIndex(plans);
        rateLimiter.retainOnly(
            new Set(plans.flatMap(({ name }) => [name, ...objects.list("pools").map(pool => `${name}/${pool.name}`)])),
        );
    };
    indexTokens();
    objects.onChange("plans", indexTokens);

    const refuseByLimits = (request: CallerRequest, { caller, use }: AuthorizedRequest): CallerRefusal | undefined => {
        const { rate, concurrency } = caller.plan;
        const share = options.share();
        const now = clock.now();
        const inFlight = inFlightByPlan.get(caller.name) ?? 0;
        if (concurrency !== undefined && inFlight >= concurrencyShare(concurrency, share)) {
            return refusal("concurrency-exceeded", `Plan "${caller.name}" has ${inFlight} requests in flight here.`);
        }
        const waits = [
            rate === undefined ? undefined : rateLimiter.take(caller.name, rate, share, now),
            use.rate === undefined
                ? undefined
                : rateLimiter.take(`${caller.name}/${request.pool}`, use.rate, share, now),
        ];
        const wait = waits.find(milliseconds => milliseconds !== undefined);
        return wait === undefined
            ? undefined
            : refusal("rate-exceeded", `Plan "${caller.name}" has used up its rate.`, wait);
    };

    /** Waits until the key may have an owner again. False when the request ends with the refusal at hand. */
    const waitForOwner = async (state: RoutingState, reason: string): Promise<boolean> => {
        const { pool, deadlineAt, hangUp } = state.request;
        metrics.count("holds", { reason });
        const result = await waitQueue.wait(pool, state.ownerWaits, deadlineAt, hangUp);
        state.ownerWaits += 1;
        return result === "again";
    };

    /** Takes the one retry of the request out of the budget. False when the request may not be retried. */
    const takeRetry = (state: RoutingState, failed: FailedAttempt): boolean => {
        const retryReason = retryReasonOf(failed.reason);
        if (retryReason === undefined || state.retried || (state.once && !didNotRun(failed))) {
            return false;
        }
        if (quarantines.isQuarantined(state.request)) {
            return false;
        }
        if (!retryBudget.take(clock.now())) {
            metrics.count("retries-refused", { reason: "budget-spent" });
            return false;
        }
        state.retried = true;
        metrics.count("retries", { reason: retryReason });
        return true;
    };

    /** Whether the request is sent again after a failed attempt. Resolves when the next attempt is due. */
    const shouldSendAgain = async (
        state: RoutingState,
        destination: Destination,
        failed: FailedAttempt,
    ): Promise<boolean> => {
        const byKey = state.authorized.pool.division === divisions.byKey;
        if (failed.reason === "target-shed") {
            admission.recordShed(destination.view, failed.backOffMilliseconds);
        }
        if (failed.reason === "target-draining") {
            recordDraining(destination.view, clock.now());
        }
        if (!byKey && (failed.reason === "connect-failed" || failed.reason === "connection-lost")) {
            admission.block(destination.view, failurePauseMilliseconds);
        }
        if (byKey && waitsForOwner(failed.reason)) {
            return waitForOwner(state, failed.reason);
        }
        if (!takeRetry(state, failed)) {
            return false;
        }
        state.avoidedTarget = byKey ? undefined : destination.view.target.name;
        return true;
    };

    /** Sends the request once, and tells the quarantines whether it was answered or lost its connection. */
    const dispatch = async (state: RoutingState, destination: Destination): Promise<Attempt> => {
        const { request } = state;
        state.attempts += 1;
        const handle = sender.send({
            request,
            pool: request.pool,
            view: destination.view,
            slot: destination.slot,
            revision: destination.revision,
            attempt: state.attempts,
            mayStart: () => clock.now() < request.deadlineAt && destinations.isStillValid(state, destination),
            cancellable: !state.once,
        });
        state.destination = destination;
        state.stop = handle.stop;
        sentRequests.add(state);
        const attempt = await handle.result;
        sentRequests.delete(state);
        state.stop = undefined;
        if (attempt.kind === "answered") {
            quarantines.recordAnswered(request);
        }
        else if (attempt.reason === "connection-lost") {
            const { view: { link, target } } = destination;
            const incarnation = attempt.incarnation ?? "unknown";
            const isAlive = async (): Promise<boolean> =>
                (await link.health(healthTimeoutMilliseconds))?.incarnation === incarnation;
            quarantines.recordConnectionLost(request, { name: target.name, incarnation, isAlive });
        }
        return attempt;
    };

    /**
     * Routes a request until it ends. A refusal that says `not-run` is replaced when an earlier attempt may have run:
     * the caller must not conclude from the last attempt that the request can be sent again safely.
     */
    const routeRequest = async (state: RoutingState): Promise<CallerAnswer> => {
        const answer = await sendUntilDone(state);
        const isNotRun = answer.kind === "refusal" && outcomeOf(answer) === outcomes.notRun;
        return isNotRun ? state.uncertainRefusal ?? answer : answer;
    };

    /** Sends the request until it is answered or may not be sent again. */
    const sendUntilDone = async (state: RoutingState): Promise<CallerAnswer> => {
        const { request } = state;
        retryBudget.recordRequest(clock.now());
        for (;;) {
            if (request.hangUp.happened) {
                return refusal("cancelled", "The caller hung up before the request was sent.");
            }
            const destination = destinations.resolve(state);
            if (isRefusal(destination)) {
                if (await waitForOwner(state, destination.reason)) {
                    continue;
                }
                return destination;
            }
            const { priority } = state;
            const verdict = await admission.admit(
                destination.view,
                { priority, deadlineAt: request.deadlineAt },
                request.hangUp,
            );
            if (verdict === "dispersed") {
                continue;
            }
            if (verdict !== "admitted") {
                return refusal(verdict, `Target "${destination.view.target.name}" can not take the request in time.`);
            }
            const attempt = await dispatch(state, destination);
            if (attempt.kind === "answered") {
                return attempt.answer;
            }
            if (!didNotRun(attempt)) {
                state.uncertainRefusal = refusal(attempt.reason, attempt.detail);
            }
            if (!(await shouldSendAgain(state, destination, attempt))) {
                return refusal(attempt.reason, attempt.detail, attempt.backOffMilliseconds || undefined);
            }
        }
    };

    /** Routes a request that may run only once: claims its id first, then reports the outcome to the keepers. */
    const routeOnce = async (state: RoutingState): Promise<CallerAnswer> => {
        const claim = await claims.claim(state.request, state.authorized.caller.name);
        if ("reason" in claim) {
            return refusal(claim.reason, claim.detail);
        }
        const answer = await routeRequest(state);
        claim.settle(answer.kind === "answer" ? outcomes.answered : outcomeOf(answer));
        return answer;
    };

    const outcomeOf = (answer: CallerRefusal): "not-run" | "unknown" =>
        reasons[answer.reason].outcome === outcomes.notRun ? outcomes.notRun : outcomes.unknown;

    const serveAdmitted = async (request: CallerRequest, authorized: AuthorizedRequest): Promise<CallerAnswer> => {
        const plan = authorized.caller.name;
        const state = createRoutingState(request, authorized);
        inFlightByPlan.set(plan, (inFlightByPlan.get(plan) ?? 0) + 1);
        try {
            return await (state.once ? routeOnce(state) : routeRequest(state));
        }
        finally {
            inFlightByPlan.set(plan, (inFlightByPlan.get(plan) ?? 1) - 1);
        }
    };

    /**
     * Stops requests that wait for an answer of an owner that is silent and no longer owns their key, so that they can
     * be sent to the new owner. Requests that may run only once keep waiting,
     * since they must not be sent again.
     */
    const abandonSilentOwners = (pool: string): void => {
        const now = clock.now();
        for (const state of sentRequests) {
            const { destination, request } = state;
            const isSilent = destination !== undefined
                && now - (destination.view.lastAnswerAt ?? 0) > silentOwnerMilliseconds;
            if (request.pool !== pool || state.once || !isSilent) {
                continue;
            }
            const next = destinations.resolve(state);
            if (!isRefusal(next) && next.view !== destination.view) {
                state.stop?.(stopCauses.ownerChanged);
            }
        }
    };

    objects.onChange("assignments", pool => {
        admission.rerouteWaiting(pool);
        waitQueue.wake(pool);
        abandonSilentOwners(pool);
    });

    return {
        serve: async request => {
            const authorized = authorizeRequest({
                authorization: request.headers.authorization,
                poolName: request.pool,
                method: request.method,
                path: request.path,
                key: request.key,
                idempotencyKey: request.idempotencyKey,
            }, authorizationContext);
            if (isAuthorizationRefusal(authorized)) {
                return refusal(authorized.reason, authorized.detail);
            }
            if (options.loadShedder.refuses(authorized.route.deferrable)) {
                const wait = retryAfterMilliseconds(overloadRetryMilliseconds, options.random);
                return refusal("host-overloaded", "The host has more to do than it can.", wait);
            }
            if (quarantines.isQuarantined(request)) {
                return refusal("quarantined", "The request crashed targets and is refused until that has aged.");
            }
            return refuseByLimits(request, authorized) ?? serveAdmitted(request, authorized);
        },
        unfinishedBelow: (pool, revision) => {
            let count = 0;
            for (const state of sentRequests) {
                count += state.request.pool === pool && (state.destination?.revision ?? revision) < revision
                    ? 1
                    : 0;
            }
            return count;
        },
    };
};
