/**
 * Serves callers' requests on a resident host: matches the route, chooses pool and target, sends and resends the
 * request, and returns the target's answer or a refusal. A refusal says that the request did not run only where that is
 * certain.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { Reason } from "../../contracts/outcome.ts";
import { routeKinds } from "../../contracts/pool.ts";
import type { ResidentRequest, TargetProtocol } from "../../contracts/resident.ts";
import {
    expectedMilliseconds,
    placeRequest,
    type RefusedPlacement,
    retryAfterMilliseconds,
} from "../../decisions/placement.ts";
import { decideResend } from "../../decisions/resend.ts";
import { createRetryBudget, type RetryBudget } from "../../decisions/retry.ts";
import { choosePool } from "../../decisions/routetable.ts";
import type { CallerAnswer, CallerRefusal } from "../../links/callers.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { type AttemptResult, sendOnce } from "./attempt.ts";
import { type Candidate, createCandidateSelector } from "./candidateselector.ts";
import type { OwnershipCache } from "./ownershipcache.ts";
import { createRefusal, refuse, type RequestContext } from "./requestcontext.ts";
import type { RouteTableHolder } from "./routetableholder.ts";
import type { Suspicions } from "./suspicions.ts";
import type { TargetLimits } from "./targetlimits.ts";
import type { TargetNotices } from "./targetnotices.ts";
import type { TargetState, TargetStates } from "./targetstates.ts";

export type GatewayOptions = {
    routeTable: RouteTableHolder;
    targetStates: TargetStates;
    ownerships: OwnershipCache;
    protocol: TargetProtocol;
    suspicions: Suspicions;
    notices: TargetNotices;
    limits: Pick<TargetLimits, "take">;
    zone: string;
    /**
     * Resends allowed within ten seconds, as a share of this host's requests to the pool in that time. Each pool has
     * its own budget on this host.
     */
    retryRatio: number;
    /** Returns the resends allowed to each pool within ten seconds in addition to that share, even without requests. */
    retrySlack: () => number;
    /** Called when a request for a key ends, with whether it was sent to a target. */
    recordKey: (pool: string, key: number, wasSent: boolean) => void;
    /** Called with the time that a target worked on a request for a key. */
    recordWork: (pool: string, target: string, milliseconds: number) => void;
    /** Returns the requests of all other hosts at a target; undefined while they are not known. */
    requestsOfOthers: (target: string) => number | undefined;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

export type GatewayStop = {
    /** Monotonic time at which every request must have its answer. */
    endsAt: number;
    /** Monotonic time from which on requests are refused that may last longer. */
    refusesFrom: number;
};

export type Gateway = {
    /** Ends all requests in time for a planned stop. */
    stop: (stop: GatewayStop) => void;
    /** Routes the request and returns the answer for its caller. */
    serve: (request: ResidentRequest) => Promise<CallerAnswer>;
};

/**
 * Nothing is sent to a target for this time after it shed a request. The time until one of its slots is free is about
 * as long, but depends on the pool. This is also the delay, before a random spread, after which a caller is told to
 * retry when no target of a pool without key owners is usable.
 */
const shedBlockMilliseconds = 60;
/** A target whose limit left no room is not asked for again for at least this time. */
const minLimitedMilliseconds = 20;
/** A request waits at most this share of its latency objective for its key to get a usable owner. */
const holdShareOfObjective = 0.4;
/** Failures that the caller causes; they are not recorded as failures of the target. */
const callerSideReasons = new Set<Reason>(["caller-gone", "cancelled"]);
/** Delay, before a random spread, after which a caller is told to retry when its key has no usable owner. */
const noOwnerRetryMilliseconds = 300;
/**
 * Delay after which a caller is told to retry when no route table was read yet, or when the route's pool is not in the
 * table.
 */
const startingRetryMilliseconds = 300;
/** Delay after which a caller is told to retry when this host stops: other hosts can serve it at once. */
const stoppingRetryMilliseconds = 40;

/** Creates the gateway of one host. */
export const createGateway = (options: GatewayOptions): Gateway => {
    const { routeTable, targetStates, ownerships, clock, log, metrics, random } = options;
    const candidateSelector = createCandidateSelector({
        targetStates,
        ownerships,
        requestsOfOthers: options.requestsOfOthers,
        zone: options.zone,
        random,
        clock,
    });
    const budgets = new Map<string, RetryBudget>();

    const budgetOf = (pool: string): RetryBudget => {
        const known = budgets.get(pool);
        if (known !== undefined) {
            return known;
        }
        const budget = createRetryBudget(options.retryRatio, options.retrySlack);
        budgets.set(pool, budget);
        return budget;
    };

    let stopping: GatewayStop | undefined;
    /** Ends the sends that are under way. */
    const runningSends = new Set<() => void>();

    const endOf = (context: RequestContext): number => Math.min(context.endAt, stopping?.endsAt ?? Infinity);

    const remaining = (context: RequestContext): number => endOf(context) - clock.now();

    /**
     * Returns the targets to which the request may go. In a pool that owns keys, waits for the key to get a usable
     * owner; returns a refusal when there is none in time.
     */
    const findCandidates = async (context: RequestContext): Promise<Candidate[] | CallerRefusal> => {
        const { pool, request } = context;
        if (!pool.isSharded) {
            const usable = candidateSelector.usableTargets(context);
            if (usable.length > 0) {
                return usable;
            }
            const wait = candidateSelector.untilUsable(pool.name);
            const detail = `No target of pool "${pool.name}" takes new work.`;
            const retryAfter = retryAfterMilliseconds(Math.max(shedBlockMilliseconds, wait?.milliseconds ?? 0), random);
            return refuse(context, wait?.reason ?? "no-target", detail, retryAfter);
        }
        if (request.key === undefined) {
            return refuse(context, "missing-key", `Pool "${pool.name}" needs a key.`);
        }
        for (;;) {
            const owner = candidateSelector.keyOwner(context);
            if (typeof owner !== "string" && "pausedMilliseconds" in owner) {
                const detail = `The owner of key ${request.key} of pool "${pool.name}" wants no requests for a while.`;
                return refuse(
                    context,
                    "target-paused",
                    detail,
                    retryAfterMilliseconds(owner.pausedMilliseconds, random),
                );
            }
            if (typeof owner !== "string") {
                return [owner];
            }
            const left = context.holdUntil - clock.now();
            if (left <= 0 || request.hangUp.happened) {
                const detail = `Key ${request.key} of pool "${pool.name}": ${owner}.`;
                return refuse(context, "no-owner", detail, retryAfterMilliseconds(noOwnerRetryMilliseconds, random));
            }
            // Counts each wait: a request may wait several times.
            metrics.count("holds", { pool: pool.name });
            await ownerships.waitForChange(pool.name, left);
            context.failedTargets.clear();
        }
    };

    const recordAttempt = (context: RequestContext, targetState: TargetState, attempt: AttemptResult): void => {
        if (attempt.kind === "answered") {
            const failed = attempt.answer.statusCode >= 500;
            options.suspicions.recordAnswered(context.request);
            (failed ? targetStates.recordFailure : targetStates.recordSuccess)(targetState);
            return;
        }
        const { reason } = attempt;
        metrics.count("failed-sends", { reason });
        if (reason === "connection-lost" || (reason === "timed-out" && targetState.gone)) {
            options.suspicions.recordConnectionLost(context.request, targetState);
        }
        if (reason === "connect-failed") {
            targetStates.recordConnectFailure(targetState);
        }
        if (reason === "target-shed") {
            targetStates.block(targetState, shedBlockMilliseconds);
        }
        // `fence-refused` is not recorded as a failure of the target either. `connect-failed` is recorded here too, in
        // addition to the failure to connect above.
        if (!callerSideReasons.has(reason) && reason !== "fence-refused") {
            targetStates.recordFailure(targetState);
        }
        log.info("send-failed", {
            request: context.request.id,
            target: targetState.target.name,
            reason,
            notRun: attempt.notRun,
            send: context.sends,
            afterMilliseconds: Math.round(clock.now() - context.request.receivedAt),
            own: targetState.load.ownRequests(),
            toldAgeMilliseconds: Math.round(targetState.load.reportAge(clock.now())),
        });
    };

    const mayResend = (
        context: RequestContext,
        reason: Reason,
        notRun: boolean,
        wereBytesWritten: boolean,
    ): boolean => {
        const { route, pool } = context;
        const verdict = decideResend({
            reason,
            kind: route.kind,
            notRun,
            reachedTarget: wereBytesWritten,
            runs: context.runs,
            sends: context.sends,
            maxAttempts: route.maxAttempts,
            remainingMilliseconds: remaining(context),
            expectedMilliseconds: candidateSelector.typicalServiceMilliseconds(pool.name),
        });
        if (verdict === "counted" && !budgetOf(pool.name).take(clock.now())) {
            metrics.count("resends-refused", { reason: "budget-spent" });
            return false;
        }
        if (verdict !== "no") {
            metrics.count("resends", { reason });
        }
        return verdict !== "no";
    };

    const send = async (context: RequestContext, targetState: TargetState): Promise<AttemptResult> => {
        const { request, route, pool } = context;
        context.sends += 1;
        const attempt = await sendOnce({
            request,
            targetState,
            protocol: options.protocol,
            endAt: endOf(context),
            registerStop: stopSend => {
                runningSends.add(stopSend);
                return () => runningSends.delete(stopSend);
            },
            mayStart: () => !targetState.gone && !targetState.target.leaving && targetState.pausedUntil <= clock.now(),
            abortOnHangUp: route.kind === routeKinds.idempotent,
            onNotice: (notice, sentAt) => options.notices.record(targetState, notice, sentAt),
            clock,
        });
        if (attempt.kind === "answered" || !attempt.notRun) {
            context.runs += 1;
        }
        recordAttempt(context, targetState, attempt);
        if (attempt.kind === "answered" && attempt.workMilliseconds !== undefined) {
            metrics.timing("work", attempt.workMilliseconds, { pool: pool.name });
            if (pool.isSharded && attempt.answer.statusCode < 300) {
                options.recordWork(pool.name, targetState.target.name, attempt.workMilliseconds);
            }
        }
        return attempt;
    };

    /**
     * Whether to resend a request that the target answered with a server error other than 504: only where the request
     * may run again. A server error has no reason of its own and is handled as `answer-malformed`.
     */
    const shouldResendAnswer = (context: RequestContext, attempt: AttemptResult & { kind: "answered" }): boolean =>
        attempt.answer.statusCode >= 500 && attempt.answer.statusCode !== 504
        && context.route.kind === routeKinds.idempotent
        && mayResend(context, "answer-malformed", false, true);

    /**
     * Asks for a place within the limit that the target has named. Returns a refusal for a request whose key nobody else
     * may serve; `elsewhere` for one that may go to another target.
     */
    const takeFromLimit = async (
        context: RequestContext,
        state: TargetState,
    ): Promise<CallerRefusal | "elsewhere" | undefined> => {
        const perSecond = options.notices.limitOf(state.target);
        if (perSecond === undefined) {
            return undefined;
        }
        const { request, route, pool } = context;
        const { name, incarnation } = state.target;
        const target = `${name}#${incarnation}`;
        const verdict = await options.limits.take({ pool: pool.name, target, perSecond, priority: route.priority });
        if (verdict.allowed) {
            return undefined;
        }
        const { roomMilliseconds, retryAfterMilliseconds } = verdict;
        log.info("limit-refused", {
            request: request.id,
            target,
            perSecond,
            roomMilliseconds: Math.round(roomMilliseconds),
            retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
        });
        if (pool.isSharded) {
            const detail = `Target "${name}" takes ${perSecond} requests a second.`;
            return refuse(context, "target-limited", detail, retryAfterMilliseconds);
        }
        state.limitedUntil = clock.now() + Math.max(minLimitedMilliseconds, roomMilliseconds);
        return "elsewhere";
    };

    const logRefusedPlacement = (context: RequestContext, placement: RefusedPlacement<Candidate>): void => {
        const { targetState, serviceMilliseconds, load } = placement.candidate;
        log.info("placement-refused", {
            request: context.request.id,
            pool: context.pool.name,
            target: targetState.target.name,
            expectedMilliseconds: Math.round(placement.expectedMilliseconds),
            remainingMilliseconds: Math.round(remaining(context)),
            serviceMilliseconds: Math.round(serviceMilliseconds),
            load: Math.round(load * 10) / 10,
            own: targetState.load.ownRequests(),
            toldAgeMilliseconds: Math.round(targetState.load.reportAge(clock.now())),
            retryAfterMilliseconds: Math.round(placement.retryAfterMilliseconds),
        });
    };

    const forward = async (context: RequestContext): Promise<CallerAnswer> => {
        const { request, route } = context;
        for (;;) {
            if (options.suspicions.isQuarantined(request)) {
                return refuse(context, "quarantined", "The request crashed targets and is refused for a while.");
            }
            const candidates = await findCandidates(context);
            if (request.hangUp.happened) {
                return refuse(context, "cancelled", "The caller hung up before the request was sent.");
            }
            if (!Array.isArray(candidates)) {
                return candidates;
            }
            const limits = {
                objectiveMilliseconds: route.objectiveMilliseconds,
                remainingMilliseconds: remaining(context),
            };
            const placement = placeRequest(candidates, limits, random);
            if (placement.verdict === "refused") {
                logRefusedPlacement(context, placement);
                const detail = `Expected ${Math.round(placement.expectedMilliseconds)} ms, `
                    + `of ${Math.round(limits.remainingMilliseconds)} ms left.`;
                return refuse(context, "deadline-unreachable", detail, placement.retryAfterMilliseconds);
            }
            const { targetState } = placement.candidate;
            const limited = await takeFromLimit(context, targetState);
            if (limited === "elsewhere") {
                continue;
            }
            if (limited !== undefined) {
                return limited;
            }
            if (request.hangUp.happened) {
                return refuse(context, "cancelled", "The caller hung up before the request was sent.");
            }
            const attempt = await send(context, targetState);
            if (attempt.kind === "answered") {
                if (shouldResendAnswer(context, attempt)) {
                    context.failedTargets.add(targetState);
                    context.uncertainRefusal ??= createRefusal("answer-malformed", "The target failed the request.");
                    continue;
                }
                return attempt.answer;
            }
            if (!attempt.notRun) {
                context.uncertainRefusal ??= createRefusal(attempt.reason, attempt.detail);
            }
            const resend = !request.hangUp.happened
                && mayResend(context, attempt.reason, attempt.notRun, attempt.arrived);
            if (!resend) {
                // The delay, before its random spread, is half the expected time to an answer from this target.
                const wait = attempt.notRun
                    ? retryAfterMilliseconds(expectedMilliseconds(placement.candidate) / 2, random)
                    : undefined;
                return refuse(context, attempt.reason, attempt.detail, wait);
            }
            context.failedTargets.add(targetState);
            if (route.kind === routeKinds.once && attempt.arrived) {
                context.refusedBy.add(targetState);
            }
        }
    };

    return {
        stop: stop => {
            stopping = stop;
            clock.after(stop.endsAt - clock.now(), () => runningSends.forEach(stopSend => stopSend()));
        },
        serve: async request => {
            const active = routeTable.current();
            if (active === undefined) {
                return createRefusal("host-starting", "No route table was read yet.", startingRetryMilliseconds);
            }
            const route = active.index.match(request.host, request.path);
            if (route === undefined) {
                const detail = `Version ${active.table.version} has no route for ${request.host}${request.path}.`;
                return createRefusal("unknown-route", detail);
            }
            const poolName = choosePool(route, random);
            const pool = active.table.pools.get(poolName);
            if (pool === undefined) {
                return createRefusal("no-target", `Pool "${poolName}" is not in the table.`, startingRetryMilliseconds);
            }
            const { receivedAt, deadlineAt } = request;
            const endAt = Math.min(deadlineAt, receivedAt + route.timeoutMilliseconds);
            if (stopping !== undefined && clock.now() >= stopping.refusesFrom && endAt > stopping.endsAt) {
                const detail = "The host stops before the request is sure to end.";
                return createRefusal("host-stopping", detail, stoppingRetryMilliseconds);
            }
            budgetOf(pool.name).recordRequest(clock.now());
            const context: RequestContext = {
                request,
                route,
                pool,
                endAt,
                holdUntil: receivedAt + route.objectiveMilliseconds * holdShareOfObjective,
                failedTargets: new Set(),
                refusedBy: new Set(),
                sends: 0,
                runs: 0,
                uncertainRefusal: undefined,
            };
            const answer = await forward(context);
            if (pool.isSharded && request.key !== undefined) {
                options.recordKey(pool.name, request.key, context.sends > 0);
            }
            return answer;
        },
    };
};
