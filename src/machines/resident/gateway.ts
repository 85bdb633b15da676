/**
 * The way of one request through a resident host: route, pool, target, send, and the answer or refusal that is true.
 */
import type { Clock } from "../../contracts/clock.ts";
import { outcomes, type Reason, reasons } from "../../contracts/outcome.ts";
import { routeKinds } from "../../contracts/pool.ts";
import type { ResidentRequest, TargetProtocol } from "../../contracts/resident.ts";
import type { TablePool, TableRoute } from "../../contracts/routing.ts";
import {
    expectedMilliseconds,
    placeRequest,
    type PlacingCandidate,
    type RefusedPlacement,
    retryAfterMilliseconds,
} from "../../decisions/placing.ts";
import { decideResend } from "../../decisions/resend.ts";
import { createRetryBudget, type RetryBudget } from "../../decisions/retry.ts";
import { drawPool } from "../../decisions/routetable.ts";
import type { CallerAnswer, CallerRefusal } from "../../links/callers.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { type ResidentAttempt, sendOnce } from "./attempt.ts";
import type { Ownerships } from "./ownerships.ts";
import type { Tables } from "./tables.ts";
import type { TargetView, Views } from "./views.ts";

export type GatewayOptions = {
    tables: Tables;
    views: Views;
    ownerships: Ownerships;
    protocol: TargetProtocol;
    zone: string;
    /** Resends in a window of ten seconds: a part of this host's requests, and some that need none. */
    retryRatio: number;
    retrySlack: number;
    /** Told of each request for a key when it ends, and whether it was sent to the owner. */
    noteKey: (pool: string, key: number, wasSent: boolean) => void;
    /** Told of the time that a target worked on a request for a key. */
    noteWork: (pool: string, target: string, milliseconds: number) => void;
    /** A number from 0 up to, not including, 1. */
    unit: () => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
};

export type Gateway = { serve: (request: ResidentRequest) => Promise<CallerAnswer> };

type Candidate = PlacingCandidate & { view: TargetView };

/** One request on its way. */
type Passage = {
    request: ResidentRequest;
    route: TableRoute;
    pool: TablePool;
    /** Monotonic time by which the caller has its answer. */
    endAt: number;
    /** Monotonic time up to which the request may be held for an owner. */
    holdUntil: number;
    avoid: Set<TargetView>;
    sends: number;
    runs: number;
    /** Set once a send may have run: from then on nothing says that it did not. */
    uncertain: CallerRefusal | undefined;
};

/** Assumed work of a request while no target of the pool has answered yet. */
const assumedServiceMilliseconds = 100;
/** What a target in another zone costs beside the way, as a part of the route's objective. */
const otherZoneShareOfObjective = 0.35;
/** Work at a target that has just started takes about this many times as long. */
const coldFactor = 2;
/** Measured work counts within this factor of the pool's usual: beyond it, it was waiting that was measured. */
const maxSlowness = 2;
/** Refusing targets get nothing for this time: about the time in which one of their slots comes free. */
const shedBlockMilliseconds = 60;
/** A request waits this part of its objective for the owner of its key to change hands. */
const holdShareOfObjective = 0.4;
/** Weight of a target's failures in its expected time. */
const failurePenalty = 4;
const noOwnerRetryMilliseconds = 300;
const startingRetryMilliseconds = 300;

const refusalOf = (reason: Reason, detail: string, retryAfter?: number): CallerRefusal => ({
    kind: "refusal",
    reason,
    detail,
    retryAfterMilliseconds: retryAfter,
});

/** Creates the gateway of one host. */
export const createGateway = (options: GatewayOptions): Gateway => {
    const { tables, views, ownerships, clock, log, metrics, unit } = options;
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

    const typicalService = (pool: string): number => {
        const known = views.ofPool(pool)
            .map(view => view.load.serviceMilliseconds())
            .filter(service => service !== undefined)
            .sort((left, right) => left - right);
        return known[known.length >> 1] ?? assumedServiceMilliseconds;
    };

    const candidateOf = (view: TargetView, route: TableRoute, typical: number): Candidate => {
        const now = clock.now();
        const measured = view.load.serviceMilliseconds() ?? typical;
        const service = Math.min(typical * maxSlowness, Math.max(typical / maxSlowness, measured));
        const isCold = now < view.warmAt;
        const isNear = view.target.zone === options.zone;
        return {
            view,
            name: view.target.name,
            aversionMilliseconds: (isNear ? 0 : route.objectiveMilliseconds * otherZoneShareOfObjective)
                + service * failurePenalty * view.failureShare,
            slots: view.target.slots,
            load: view.load.expected(now),
            serviceMilliseconds: service * (isCold ? coldFactor : 1),
        };
    };

    const isUsable = (view: TargetView): boolean =>
        !view.gone && !view.target.leaving && view.blockedUntil <= clock.now()
        && view.load.own() < view.link.connections;

    const anyTarget = (passage: Passage): Candidate[] => {
        const { route, pool, avoid } = passage;
        const usable = views.ofPool(pool.name).filter(isUsable);
        const fresh = usable.filter(view => !avoid.has(view));
        const typical = typicalService(pool.name);
        return (fresh.length > 0 ? fresh : usable).map(view => candidateOf(view, route, typical));
    };

    /** The owner of the key; text tells why there is none to send to. */
    const ownerOf = (passage: Passage): Candidate | string => {
        const { request, route, pool } = passage;
        const range = ownerships.find(pool.name, request.key ?? 0);
        if (range === undefined) {
            return "the key has no owner";
        }
        if (range.predecessors.length > 0) {
            return `the key moves to "${range.owner.target}" at fence ${range.fence}`;
        }
        const view = views.get(range.owner.target);
        if (view === undefined || view.target.incarnation !== range.owner.incarnation || view.gone) {
            return `the owner "${range.owner.target}" is gone`;
        }
        if (passage.avoid.has(view) && passage.runs === 0) {
            return `the owner "${range.owner.target}" does not serve the key at fence ${range.fence}`;
        }
        return isUsable(view) ? candidateOf(view, route, typicalService(pool.name)) : "the owner is not reachable";
    };

    const remaining = (passage: Passage): number => passage.endAt - clock.now();

    const refuse = (passage: Passage, reason: Reason, detail: string, retryAfter?: number): CallerRefusal => {
        const refusal = refusalOf(reason, detail, retryAfter);
        const isPromise = reasons[reason].outcome === outcomes.notRun;
        return isPromise ? passage.uncertain ?? refusal : refusal;
    };

    /** Candidates now, after a hold where the owner changes; a refusal when there are none in time. */
    const candidatesOf = async (passage: Passage): Promise<Candidate[] | CallerRefusal> => {
        const { pool, request } = passage;
        if (!pool.ownsKeys) {
            const candidates = anyTarget(passage);
            const detail = `No target of pool "${pool.name}" takes new work.`;
            const retryAfter = retryAfterMilliseconds(shedBlockMilliseconds, unit);
            return candidates.length > 0 ? candidates : refuse(passage, "no-target", detail, retryAfter);
        }
        if (request.key === undefined) {
            return refuse(passage, "missing-key", `Pool "${pool.name}" needs a key.`);
        }
        for (;;) {
            const owner = ownerOf(passage);
            if (typeof owner !== "string") {
                return [owner];
            }
            const left = passage.holdUntil - clock.now();
            if (left <= 0 || request.hangUp.happened) {
                const detail = `Key ${request.key} of pool "${pool.name}": ${owner}.`;
                return refuse(passage, "no-owner", detail, retryAfterMilliseconds(noOwnerRetryMilliseconds, unit));
            }
            metrics.count("holds", { pool: pool.name });
            await ownerships.changed(pool.name, left);
            passage.avoid.clear();
        }
    };

    const noteAttempt = (passage: Passage, view: TargetView, attempt: ResidentAttempt): void => {
        if (attempt.kind === "answered") {
            const failed = attempt.answer.statusCode >= 500;
            (failed ? views.noteFailure : views.noteSuccess)(view);
            return;
        }
        const { reason } = attempt;
        metrics.count("failed-sends", { reason });
        if (reason === "connect-failed") {
            views.noteUnreachable(view);
        }
        if (reason === "target-shed") {
            views.block(view, shedBlockMilliseconds);
        }
        if (reason !== "caller-gone" && reason !== "fence-refused") {
            views.noteFailure(view);
        }
        log.info("send-failed", {
            request: passage.request.id,
            target: view.target.name,
            reason,
            notRun: attempt.notRun,
            send: passage.sends,
            own: view.load.own(),
            toldAgeMilliseconds: Math.round(view.load.toldAge(clock.now())),
        });
    };

    const mayResend = (passage: Passage, reason: Reason, notRun: boolean, arrived: boolean): boolean => {
        const { route, pool } = passage;
        const verdict = decideResend({
            reason,
            kind: route.kind,
            notRun,
            arrived,
            runs: passage.runs,
            sends: passage.sends,
            maxAttempts: route.maxAttempts,
            remainingMilliseconds: remaining(passage),
            expectedMilliseconds: typicalService(pool.name),
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

    const send = async (passage: Passage, view: TargetView): Promise<ResidentAttempt> => {
        const { request, route, pool } = passage;
        passage.sends += 1;
        const attempt = await sendOnce({
            request,
            view,
            protocol: options.protocol,
            endAt: passage.endAt,
            mayStart: () => !view.gone && !view.target.leaving,
            droppable: route.kind === routeKinds.idempotent,
            clock,
        });
        if (attempt.kind === "answered" || !attempt.notRun) {
            passage.runs += 1;
        }
        noteAttempt(passage, view, attempt);
        if (attempt.kind === "answered" && attempt.workMilliseconds !== undefined) {
            metrics.timing("work", attempt.workMilliseconds, { pool: pool.name });
            if (pool.ownsKeys && attempt.answer.statusCode < 300) {
                options.noteWork(pool.name, view.target.name, attempt.workMilliseconds);
            }
        }
        return attempt;
    };

    /** A target's own failure is sent elsewhere once more where the request may run again. */
    const isWorthResending = (passage: Passage, attempt: ResidentAttempt & { kind: "answered" }): boolean =>
        attempt.answer.statusCode >= 500 && attempt.answer.statusCode !== 504
        && passage.route.kind === routeKinds.idempotent
        && mayResend(passage, "answer-malformed", false, true);

    const logRefusedPlacement = (passage: Passage, placement: RefusedPlacement<Candidate>): void => {
        const { view, serviceMilliseconds, load } = placement.candidate;
        log.info("placement-refused", {
            request: passage.request.id,
            pool: passage.pool.name,
            target: view.target.name,
            expectedMilliseconds: Math.round(placement.expectedMilliseconds),
            remainingMilliseconds: Math.round(remaining(passage)),
            serviceMilliseconds: Math.round(serviceMilliseconds),
            load: Math.round(load * 10) / 10,
            own: view.load.own(),
            toldAgeMilliseconds: Math.round(view.load.toldAge(clock.now())),
            retryAfterMilliseconds: Math.round(placement.retryAfterMilliseconds),
        });
    };

    const travel = async (passage: Passage): Promise<CallerAnswer> => {
        const { request, route } = passage;
        for (;;) {
            const candidates = await candidatesOf(passage);
            if (!Array.isArray(candidates)) {
                return candidates;
            }
            const limits = {
                objectiveMilliseconds: route.objectiveMilliseconds,
                remainingMilliseconds: remaining(passage),
            };
            const placement = placeRequest(candidates, limits, unit);
            if (placement.verdict === "refused") {
                logRefusedPlacement(passage, placement);
                const detail = `Expected ${Math.round(placement.expectedMilliseconds)} ms, `
                    + `of ${Math.round(limits.remainingMilliseconds)} ms left.`;
                return refuse(passage, "deadline-unreachable", detail, placement.retryAfterMilliseconds);
            }
            const { view } = placement.candidate;
            const attempt = await send(passage, view);
            if (attempt.kind === "answered") {
                if (isWorthResending(passage, attempt)) {
                    passage.avoid.add(view);
                    passage.uncertain ??= refusalOf("answer-malformed", "The target failed the request.");
                    continue;
                }
                return attempt.answer;
            }
            if (!attempt.notRun) {
                passage.uncertain ??= refusalOf(attempt.reason, attempt.detail);
            }
            const resend = !request.hangUp.happened
                && mayResend(passage, attempt.reason, attempt.notRun, attempt.arrived);
            if (!resend) {
                const wait = attempt.notRun
                    ? retryAfterMilliseconds(expectedMilliseconds(placement.candidate) / 2, unit)
                    : undefined;
                return refuse(passage, attempt.reason, attempt.detail, wait);
            }
            passage.avoid.add(view);
        }
    };

    return {
        serve: async request => {
            const inForce = tables.current();
            if (inForce === undefined) {
                return refusalOf("host-starting", "No route table was read yet.", startingRetryMilliseconds);
            }
            const route = inForce.index.match(request.host, request.path);
            if (route === undefined) {
                const detail = `Version ${inForce.table.version} has no route for ${request.host}${request.path}.`;
                return refusalOf("unknown-route", detail);
            }
            const poolName = drawPool(route, unit);
            const pool = inForce.table.pools.get(poolName);
            if (pool === undefined) {
                return refusalOf("no-target", `Pool "${poolName}" is not in the table.`, startingRetryMilliseconds);
            }
            budgetOf(pool.name).noteRequest(clock.now());
            const { receivedAt, deadlineAt } = request;
            const passage: Passage = {
                request,
                route,
                pool,
                endAt: Math.min(deadlineAt, receivedAt + route.timeoutMilliseconds),
                holdUntil: receivedAt + route.objectiveMilliseconds * holdShareOfObjective,
                avoid: new Set(),
                sends: 0,
                runs: 0,
                uncertain: undefined,
            };
            const answer = await travel(passage);
            if (pool.ownsKeys && request.key !== undefined) {
                options.noteKey(pool.name, request.key, passage.sends > 0);
            }
            return answer;
        },
    };
};
