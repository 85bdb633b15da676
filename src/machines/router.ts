/**
 * The router admits callers' requests, finds the target entitled to the key, sends the request there and says with
 * certainty what became of it.
 */
import type { Clock } from "../contracts/clock.ts";
import { outcomes, reasons } from "../contracts/outcome.ts";
import { divisions } from "../contracts/pool.ts";
import type { Settings } from "../contracts/settings.ts";
import { stopCauses } from "../decisions/classify.ts";
import { createTokenIndex, type GateView, isGateRefusal, type Passage, passGate } from "../decisions/gate.ts";
import { retryAfterMilliseconds } from "../decisions/placing.ts";
import type { Pressure } from "../decisions/pressure.ts";
import { concurrencyShare, createRates } from "../decisions/rate.ts";
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
    /** This host's part of rates and concurrency, from 0 to 1. */
    share: () => number;
    /** Whether the host can take one more request. */
    loadShedder: Pick<Pressure, "refuses">;
    random: () => number;
    settings: Settings["requests"];
    metrics: Metrics;
    clock: Clock;
    signal: AbortSignal;
};

export type Router = {
    serve: (request: CallerRequest) => Promise<CallerAnswer>;
    /** Requests for owned keys of the pool that were sent under a revision below the one given and are not over. */
    unfinishedBelow: (pool: string, revision: number) => number;
};

/** A target of a pool not divided by key that failed is left alone for this time. */
const failurePauseMilliseconds = 100;
/** An owner that has said nothing for this time is given up once its key has another owner. */
const silentMilliseconds = 200;
/** A host that runs late has worked off its queue after about this time. */
const overloadMilliseconds = 500;

const didNotRun = (failed: FailedAttempt): boolean => reasons[failed.reason].outcome === outcomes.notRun;

/** Creates the router of one host. */
export const createRouter = (options: RouterOptions): Router => {
    const {
        objects,
        destinations: places,
        admission: lanes,
        sender,
        claims,
        quarantines,
        settings,
        metrics,
        clock,
        signal,
    } = options;
    const budget = createRetryBudget(settings.retryBudgetRatio);
    const rates = createRates();
    const holds = createWaitQueue({ length: settings.heldLength, clock, signal });
    const inFlightByPlan = new Map<string, number>();
    const sent = new Set<RoutingState>();

    const gateView: GateView = {
        planOf: createTokenIndex([]),
        allowanceOf: plan => objects.get("allowances", plan)?.value,
        poolOf: name => objects.get("pools", name)?.value,
    };
    const indexTokens = (): void => {
        const plans = objects.list("plans").map(({ name, value }) => ({ name, plan: value }));
        gateView.planOf = createTokenIndex(plans);
        rates.keep(
            new Set(plans.flatMap(({ name }) => [name, ...objects.list("pools").map(pool => `${name}/${pool.name}`)])),
        );
    };
    indexTokens();
    objects.onChange("plans", indexTokens);

    const refusedByRate = (request: CallerRequest, { caller, use }: Passage): CallerRefusal | undefined => {
        const { rate, concurrency } = caller.plan;
        const share = options.share();
        const now = clock.now();
        const inFlight = inFlightByPlan.get(caller.name) ?? 0;
        if (concurrency !== undefined && inFlight >= concurrencyShare(concurrency, share)) {
            return refusal("concurrency-exceeded", `Plan "${caller.name}" has ${inFlight} requests in flight here.`);
        }
        const waits = [
            rate === undefined ? undefined : rates.take(caller.name, rate, share, now),
            use.rate === undefined ? undefined : rates.take(`${caller.name}/${request.pool}`, use.rate, share, now),
        ];
        const wait = waits.find(milliseconds => milliseconds !== undefined);
        return wait === undefined
            ? undefined
            : refusal("rate-exceeded", `Plan "${caller.name}" has used up its rate.`, wait);
    };

    /** Waits for the owner of the key. False when the request ends with the refusal that it has. */
    const hold = async (journey: RoutingState, reason: string): Promise<boolean> => {
        const { pool, deadlineAt, hangUp } = journey.request;
        metrics.count("holds", { reason });
        const result = await holds.wait(pool, journey.ownerWaits, deadlineAt, hangUp);
        journey.ownerWaits += 1;
        return result === "again";
    };

    const mayRetry = (journey: RoutingState, failed: FailedAttempt): boolean => {
        const retryReason = retryReasonOf(failed.reason);
        if (retryReason === undefined || journey.retried || (journey.once && !didNotRun(failed))) {
            return false;
        }
        if (quarantines.isQuarantined(journey.request)) {
            return false;
        }
        if (!budget.take(clock.now())) {
            metrics.count("retries-refused", { reason: "budget-spent" });
            return false;
        }
        journey.retried = true;
        metrics.count("retries", { reason: retryReason });
        return true;
    };

    /** Whether the request is sent again after a failure; resolves when that is due. */
    const goesOn = async (journey: RoutingState, place: Destination, failed: FailedAttempt): Promise<boolean> => {
        const byKey = journey.authorized.pool.division === divisions.byKey;
        if (failed.reason === "target-shed") {
            lanes.recordShed(place.view, failed.backOffMilliseconds);
        }
        if (failed.reason === "target-draining") {
            recordDraining(place.view, clock.now());
        }
        if (!byKey && (failed.reason === "connect-failed" || failed.reason === "connection-lost")) {
            lanes.block(place.view, failurePauseMilliseconds);
        }
        if (byKey && waitsForOwner(failed.reason)) {
            return hold(journey, failed.reason);
        }
        if (!mayRetry(journey, failed)) {
            return false;
        }
        journey.avoidedTarget = byKey ? undefined : place.view.target.name;
        return true;
    };

    const dispatch = async (journey: RoutingState, place: Destination): Promise<Attempt> => {
        const { request } = journey;
        journey.attempts += 1;
        const handle = sender.send({
            request,
            pool: request.pool,
            view: place.view,
            slot: place.slot,
            revision: place.revision,
            attempt: journey.attempts,
            mayStart: () => clock.now() < request.deadlineAt && places.isStillValid(journey, place),
            cancellable: !journey.once,
        });
        journey.destination = place;
        journey.stop = handle.stop;
        sent.add(journey);
        const attempt = await handle.result;
        sent.delete(journey);
        journey.stop = undefined;
        if (attempt.kind === "answered") {
            quarantines.recordAnswered(request);
        }
        else if (attempt.reason === "connection-lost") {
            quarantines.recordConnectionLost(request, place.view, attempt.incarnation);
        }
        return attempt;
    };

    /** A request of which an attempt may have run is never refused as `not-run` by what came later. */
    const deliver = async (journey: RoutingState): Promise<CallerAnswer> => {
        const answer = await travel(journey);
        const claimsNotRun = answer.kind === "refusal" && settledAs(answer) === outcomes.notRun;
        return claimsNotRun ? journey.uncertainRefusal ?? answer : answer;
    };

    const travel = async (journey: RoutingState): Promise<CallerAnswer> => {
        const { request } = journey;
        budget.noteRequest(clock.now());
        for (;;) {
            if (request.hangUp.happened) {
                return refusal("cancelled", "The caller hung up before the request was sent.");
            }
            const place = places.resolve(journey);
            if (isRefusal(place)) {
                if (await hold(journey, place.reason)) {
                    continue;
                }
                return place;
            }
            const { priority } = journey;
            const verdict = await lanes.admit(place.view, { priority, deadlineAt: request.deadlineAt }, request.hangUp);
            if (verdict === "dispersed") {
                continue;
            }
            if (verdict !== "admitted") {
                return refusal(verdict, `Target "${place.view.target.name}" can not take the request in time.`);
            }
            const attempt = await dispatch(journey, place);
            if (attempt.kind === "answered") {
                return attempt.answer;
            }
            if (!didNotRun(attempt)) {
                journey.uncertainRefusal = refusal(attempt.reason, attempt.detail);
            }
            if (!(await goesOn(journey, place, attempt))) {
                return refusal(attempt.reason, attempt.detail, attempt.backOffMilliseconds || undefined);
            }
        }
    };

    const deliverOnce = async (journey: RoutingState): Promise<CallerAnswer> => {
        const claim = await claims.claim(journey.request, journey.authorized.caller.name);
        if ("reason" in claim) {
            return refusal(claim.reason, claim.detail);
        }
        const answer = await deliver(journey);
        claim.settle(answer.kind === "answer" ? outcomes.answered : settledAs(answer));
        return answer;
    };

    const settledAs = (answer: CallerRefusal): "not-run" | "unknown" =>
        reasons[answer.reason].outcome === outcomes.notRun ? outcomes.notRun : outcomes.unknown;

    const serveAdmitted = async (request: CallerRequest, passage: Passage): Promise<CallerAnswer> => {
        const plan = passage.caller.name;
        const journey = createRoutingState(request, passage);
        inFlightByPlan.set(plan, (inFlightByPlan.get(plan) ?? 0) + 1);
        try {
            return await (journey.once ? deliverOnce(journey) : deliver(journey));
        }
        finally {
            inFlightByPlan.set(plan, (inFlightByPlan.get(plan) ?? 1) - 1);
        }
    };

    /** Requests that wait at an owner which is silent and has lost the key are given up, so that they can go on. */
    const leaveFormerOwners = (pool: string): void => {
        const now = clock.now();
        for (const journey of sent) {
            const { destination: place, request } = journey;
            const silent = place !== undefined && now - (place.view.lastAnswerAt ?? 0) > silentMilliseconds;
            if (request.pool !== pool || journey.once || !silent) {
                continue;
            }
            const next = places.resolve(journey);
            if (!isRefusal(next) && next.view !== place.view) {
                journey.stop?.(stopCauses.ownerChanged);
            }
        }
    };

    objects.onChange("assignments", pool => {
        lanes.rerouteWaiting(pool);
        holds.wake(pool);
        leaveFormerOwners(pool);
    });

    return {
        serve: async request => {
            const passed = passGate({
                authorization: request.headers.authorization,
                poolName: request.pool,
                method: request.method,
                path: request.path,
                key: request.key,
                idempotencyKey: request.idempotencyKey,
            }, gateView);
            if (isGateRefusal(passed)) {
                return refusal(passed.reason, passed.detail);
            }
            if (options.loadShedder.refuses(passed.route.deferrable)) {
                const wait = retryAfterMilliseconds(overloadMilliseconds, options.random);
                return refusal("host-overloaded", "The host has more to do than it can.", wait);
            }
            if (quarantines.isQuarantined(request)) {
                return refusal("quarantined", "The request crashed targets and is refused until that has aged.");
            }
            return refusedByRate(request, passed) ?? serveAdmitted(request, passed);
        },
        unfinishedBelow: (pool, revision) => {
            let count = 0;
            for (const journey of sent) {
                count += journey.request.pool === pool && (journey.destination?.revision ?? revision) < revision
                    ? 1
                    : 0;
            }
            return count;
        },
    };
};
