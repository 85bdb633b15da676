/**
 * The way of one request through a resident host: route, pool, target, send, and the answer or refusal that is true.
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
import type { TargetState, TargetStates } from "./targetstates.ts";

export type GatewayOptions = {
    routeTable: RouteTableHolder;
    targetStates: TargetStates;
    ownerships: OwnershipCache;
    protocol: TargetProtocol;
    zone: string;
    /** Resends in a window of ten seconds: a part of this host's requests, and some that need none. */
    retryRatio: number;
    retrySlack: () => number;
    /** Told of each request for a key when it ends, and whether it was sent to the owner. */
    recordKey: (pool: string, key: number, wasSent: boolean) => void;
    /** Told of the time that a target worked on a request for a key. */
    recordWork: (pool: string, target: string, milliseconds: number) => void;
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

export type Gateway = { serve: (request: ResidentRequest) => Promise<CallerAnswer> };

/** Refusing targets get nothing for this time: about the time in which one of their slots comes free. */
const shedBlockMilliseconds = 60;
/** A request waits this part of its objective for the owner of its key to change hands. */
const holdShareOfObjective = 0.4;
/** Ends of a send that say nothing about its target. */
const endsWithCaller = new Set<Reason>(["caller-gone", "cancelled"]);
const noOwnerRetryMilliseconds = 300;
const startingRetryMilliseconds = 300;

/** Creates the gateway of one host. */
export const createGateway = (options: GatewayOptions): Gateway => {
    const { routeTable: tables, targetStates: views, ownerships, clock, log, metrics, random: unit } = options;
    const candidates = createCandidateSelector({ targetStates: views, ownerships, zone: options.zone, clock });
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

    const remaining = (passage: RequestContext): number => passage.endAt - clock.now();

    /** Candidates now, after a hold where the owner changes; a refusal when there are none in time. */
    const candidatesOf = async (passage: RequestContext): Promise<Candidate[] | CallerRefusal> => {
        const { pool, request } = passage;
        if (!pool.isSharded) {
            const usable = candidates.usableTargets(passage);
            const detail = `No target of pool "${pool.name}" takes new work.`;
            const retryAfter = retryAfterMilliseconds(shedBlockMilliseconds, unit);
            return usable.length > 0 ? usable : refuse(passage, "no-target", detail, retryAfter);
        }
        if (request.key === undefined) {
            return refuse(passage, "missing-key", `Pool "${pool.name}" needs a key.`);
        }
        for (;;) {
            const owner = candidates.keyOwner(passage);
            if (typeof owner !== "string") {
                return [owner];
            }
            const left = passage.holdUntil - clock.now();
            if (left <= 0 || request.hangUp.happened) {
                const detail = `Key ${request.key} of pool "${pool.name}": ${owner}.`;
                return refuse(passage, "no-owner", detail, retryAfterMilliseconds(noOwnerRetryMilliseconds, unit));
            }
            metrics.count("holds", { pool: pool.name });
            await ownerships.waitForChange(pool.name, left);
            passage.failedTargets.clear();
        }
    };

    const noteAttempt = (passage: RequestContext, view: TargetState, attempt: AttemptResult): void => {
        if (attempt.kind === "answered") {
            const failed = attempt.answer.statusCode >= 500;
            (failed ? views.recordFailure : views.recordSuccess)(view);
            return;
        }
        const { reason } = attempt;
        metrics.count("failed-sends", { reason });
        if (reason === "connect-failed") {
            views.recordConnectFailure(view);
        }
        if (reason === "target-shed") {
            views.block(view, shedBlockMilliseconds);
        }
        if (!endsWithCaller.has(reason) && reason !== "fence-refused") {
            views.recordFailure(view);
        }
        log.info("send-failed", {
            request: passage.request.id,
            target: view.target.name,
            reason,
            notRun: attempt.notRun,
            send: passage.sends,
            afterMilliseconds: Math.round(clock.now() - passage.request.receivedAt),
            own: view.load.ownRequests(),
            toldAgeMilliseconds: Math.round(view.load.reportAge(clock.now())),
        });
    };

    const mayResend = (passage: RequestContext, reason: Reason, notRun: boolean, arrived: boolean): boolean => {
        const { route, pool } = passage;
        const verdict = decideResend({
            reason,
            kind: route.kind,
            notRun,
            reachedTarget: arrived,
            runs: passage.runs,
            sends: passage.sends,
            maxAttempts: route.maxAttempts,
            remainingMilliseconds: remaining(passage),
            expectedMilliseconds: candidates.typicalServiceMilliseconds(pool.name),
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

    const send = async (passage: RequestContext, view: TargetState): Promise<AttemptResult> => {
        const { request, route, pool } = passage;
        passage.sends += 1;
        const attempt = await sendOnce({
            request,
            targetState: view,
            protocol: options.protocol,
            endAt: passage.endAt,
            mayStart: () => !view.gone && !view.target.leaving,
            abortOnHangUp: route.kind === routeKinds.idempotent,
            clock,
        });
        if (attempt.kind === "answered" || !attempt.notRun) {
            passage.runs += 1;
        }
        noteAttempt(passage, view, attempt);
        if (attempt.kind === "answered" && attempt.workMilliseconds !== undefined) {
            metrics.timing("work", attempt.workMilliseconds, { pool: pool.name });
            if (pool.isSharded && attempt.answer.statusCode < 300) {
                options.recordWork(pool.name, view.target.name, attempt.workMilliseconds);
            }
        }
        return attempt;
    };

    /** A target's own failure is sent elsewhere once more where the request may run again. */
    const isWorthResending = (passage: RequestContext, attempt: AttemptResult & { kind: "answered" }): boolean =>
        attempt.answer.statusCode >= 500 && attempt.answer.statusCode !== 504
        && passage.route.kind === routeKinds.idempotent
        && mayResend(passage, "answer-malformed", false, true);

    const logRefusedPlacement = (passage: RequestContext, placement: RefusedPlacement<Candidate>): void => {
        const { targetState: view, serviceMilliseconds, load } = placement.candidate;
        log.info("placement-refused", {
            request: passage.request.id,
            pool: passage.pool.name,
            target: view.target.name,
            expectedMilliseconds: Math.round(placement.expectedMilliseconds),
            remainingMilliseconds: Math.round(remaining(passage)),
            serviceMilliseconds: Math.round(serviceMilliseconds),
            load: Math.round(load * 10) / 10,
            own: view.load.ownRequests(),
            toldAgeMilliseconds: Math.round(view.load.reportAge(clock.now())),
            retryAfterMilliseconds: Math.round(placement.retryAfterMilliseconds),
        });
    };

    const travel = async (passage: RequestContext): Promise<CallerAnswer> => {
        const { request, route } = passage;
        for (;;) {
            const found = await candidatesOf(passage);
            if (request.hangUp.happened) {
                return refuse(passage, "cancelled", "The caller hung up before the request was sent.");
            }
            if (!Array.isArray(found)) {
                return found;
            }
            const limits = {
                objectiveMilliseconds: route.objectiveMilliseconds,
                remainingMilliseconds: remaining(passage),
            };
            const placement = placeRequest(found, limits, unit);
            if (placement.verdict === "refused") {
                logRefusedPlacement(passage, placement);
                const detail = `Expected ${Math.round(placement.expectedMilliseconds)} ms, `
                    + `of ${Math.round(limits.remainingMilliseconds)} ms left.`;
                return refuse(passage, "deadline-unreachable", detail, placement.retryAfterMilliseconds);
            }
            const { targetState: view } = placement.candidate;
            const attempt = await send(passage, view);
            if (attempt.kind === "answered") {
                if (isWorthResending(passage, attempt)) {
                    passage.failedTargets.add(view);
                    passage.uncertainRefusal ??= createRefusal("answer-malformed", "The target failed the request.");
                    continue;
                }
                return attempt.answer;
            }
            if (!attempt.notRun) {
                passage.uncertainRefusal ??= createRefusal(attempt.reason, attempt.detail);
            }
            const resend = !request.hangUp.happened
                && mayResend(passage, attempt.reason, attempt.notRun, attempt.arrived);
            if (!resend) {
                const wait = attempt.notRun
                    ? retryAfterMilliseconds(expectedMilliseconds(placement.candidate) / 2, unit)
                    : undefined;
                return refuse(passage, attempt.reason, attempt.detail, wait);
            }
            passage.failedTargets.add(view);
        }
    };

    return {
        serve: async request => {
            const inForce = tables.current();
            if (inForce === undefined) {
                return createRefusal("host-starting", "No route table was read yet.", startingRetryMilliseconds);
            }
            const route = inForce.index.match(request.host, request.path);
            if (route === undefined) {
                const detail = `Version ${inForce.table.version} has no route for ${request.host}${request.path}.`;
                return createRefusal("unknown-route", detail);
            }
            const poolName = choosePool(route, unit);
            const pool = inForce.table.pools.get(poolName);
            if (pool === undefined) {
                return createRefusal("no-target", `Pool "${poolName}" is not in the table.`, startingRetryMilliseconds);
            }
            budgetOf(pool.name).recordRequest(clock.now());
            const { receivedAt, deadlineAt } = request;
            const passage: RequestContext = {
                request,
                route,
                pool,
                endAt: Math.min(deadlineAt, receivedAt + route.timeoutMilliseconds),
                holdUntil: receivedAt + route.objectiveMilliseconds * holdShareOfObjective,
                failedTargets: new Set(),
                sends: 0,
                runs: 0,
                uncertainRefusal: undefined,
            };
            const answer = await travel(passage);
            if (pool.isSharded && request.key !== undefined) {
                options.recordKey(pool.name, request.key, passage.sends > 0);
            }
            return answer;
        },
    };
};
