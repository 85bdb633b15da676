/**
 * Serves callers' requests on a resident host: matches the route, chooses pool and target, sends and resends the
 * request, and returns the target's answer or a refusal. A refusal says that the request did not run only where that is
 * certain.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { Reason } from "../../contracts/outcome.ts";
import { routeKinds } from "../../contracts/pool.ts";
import type { ResidentRequest, TargetProtocol } from "../../contracts/resident.ts";
import { expectedMilliseconds, retryAfterMilliseconds } from "../../decisions/placement.ts";
import { decideResend } from "../../decisions/resend.ts";
import { createRetryBudget, type RetryBudget } from "../../decisions/retry.ts";
import { choosePool } from "../../decisions/routetable.ts";
import type { CallerAnswer } from "../../links/callers.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { type AttemptResult, sendOnce, type UnframedEnd, type WithdrawalReason, withdrawalReasons } from "./attempt.ts";
import type { OwnershipCache } from "./ownershipcache.ts";
import { measureOf } from "./ownmeasures.ts";
import { createRefusal, refuse, type RequestContext } from "./requestcontext.ts";
import type { RouteTableHolder } from "./routetableholder.ts";
import type { SharedMeasures } from "./sharedmeasures.ts";
import { askForLife } from "./signoflife.ts";
import type { Suspicions } from "./suspicions.ts";
import { type ChosenTarget, createTargetChooser, shedBlockMilliseconds } from "./targetchooser.ts";
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
    /** Shares what this host measures at targets; without it, only its own measurements count. */
    measures?: Pick<SharedMeasures, "figureOf" | "recordAnswer" | "recordFailure">;
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

/** A request waits at most this share of its latency objective for its key to get a usable owner. */
const holdShareOfObjective = 0.4;
/** Failures that the caller or this host causes; they are not recorded as failures of the target. */
const ownReasons = new Set<Reason>(["caller-gone", "cancelled", ...withdrawalReasons]);
/**
 * Delay after which a caller is told to retry when no route table was read yet, or when the route's pool is not in the
 * table.
 */
const startingRetryMilliseconds = 300;
/** Delay after which a caller is told to retry when this host stops: other hosts can serve it at once. */
const stoppingRetryMilliseconds = 40;

/** Creates the gateway of one host. */
export const createGateway = (options: GatewayOptions): Gateway => {
    const { routeTable, targetStates, clock, log, metrics, random } = options;
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

    const chooser = createTargetChooser({ ...options, remaining });

    const recordAttempt = (context: RequestContext, targetState: TargetState, attempt: AttemptResult): void => {
        const measure = measureOf(attempt, targetState.pace.concurrency(clock.now()) !== Infinity);
        if (measure !== undefined) {
            targetStates.recordMeasure(targetState, measure);
        }
        if (attempt.kind === "answered") {
            const failed = attempt.answer.statusCode >= 500;
            // A target may fail a request before it runs what crashes others.
            if (!failed) {
                options.suspicions.recordAnswered(context.request);
            }
            (failed ? targetStates.recordFailure : targetStates.recordSuccess)(targetState);
            if (failed) {
                options.measures?.recordFailure(targetState.target);
            }
            else if (attempt.workMilliseconds !== undefined) {
                options.measures?.recordAnswer(targetState.target, attempt.workMilliseconds);
            }
            return;
        }
        const { reason } = attempt;
        metrics.count("failed-sends", { reason });
        if (reason === "connection-lost" || (reason === "timed-out" && targetState.gone)) {
            const { healthPath } = context.pool;
            const { protocol } = options;
            const check = healthPath === undefined
                ? undefined
                : () => askForLife({ targetState, protocol, healthPath, clock });
            options.suspicions.recordConnectionLost(context.request, targetState, check);
        }
        if (reason === "connect-failed" && !attempt.ofHost) {
            targetStates.recordConnectFailure(targetState);
        }
        if (reason === "target-shed") {
            targetStates.block(targetState, shedBlockMilliseconds);
        }
        // `fence-refused` is not recorded as a failure of the target either. `connect-failed` is recorded here too, in
        // addition to the failure to connect above.
        if (!ownReasons.has(reason) && reason !== "fence-refused" && !attempt.ofHost) {
            targetStates.recordFailure(targetState);
            options.measures?.recordFailure(targetState.target);
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
            expectedMilliseconds: chooser.typicalServiceMilliseconds(pool.name),
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

    /** Resolves to whether the target still runs after an answer that ended with its connection. */
    const confirmEnd = async (
        { request, pool }: RequestContext,
        targetState: TargetState,
        healthPath: string,
    ): Promise<boolean> => {
        const isConfirmed = await askForLife({ targetState, protocol: options.protocol, healthPath, clock });
        metrics.count("ends-checked", { pool: pool.name, result: isConfirmed ? "confirmed" : "doubtful" });
        if (!isConfirmed) {
            log.warn("end-doubtful", { request: request.id, pool: pool.name, target: targetState.target.name });
        }
        return isConfirmed;
    };

    const recordUnframedEnd = ({ request, pool }: RequestContext, { target }: TargetState, end: UnframedEnd): void => {
        metrics.count("unframed-answers", { pool: pool.name, confirmed: end.confirmedBy });
        log.info("unframed-answer-ended", {
            request: request.id,
            pool: pool.name,
            target: target.name,
            status: end.statusCode,
            bytes: end.bytes,
            coding: end.transferEncoding ?? "none",
            streamed: end.isStreamed,
            ending: end.ending,
            confirmedBy: end.confirmedBy,
        });
    };

    const withdrawalOf = ({ targetState, sendBefore = -Infinity }: ChosenTarget): WithdrawalReason | undefined => {
        const { gone, target, pausedUntil } = targetState;
        if (gone) {
            return "no-target";
        }
        if (target.leaving) {
            return "target-draining";
        }
        if (target.evacuated === true) {
            return "target-evacuated";
        }
        if (pausedUntil > clock.now()) {
            return "target-paused";
        }
        // The target may have become cold, or the permit may have expired, while the request waited for a connection.
        if (targetStates.coldLimit(targetState) !== undefined) {
            if (clock.now() > sendBefore) {
                return "target-limited";
            }
            metrics.count("cold-sends", { pool: target.pool });
        }
        return undefined;
    };

    const send = async (context: RequestContext, chosen: ChosenTarget): Promise<AttemptResult> => {
        const { targetState, load } = chosen;
        const { request, route, pool } = context;
        const { healthPath } = pool;
        context.sends += 1;
        const attempt = await sendOnce({
            request,
            targetState,
            protocol: options.protocol,
            expectedLoad: load,
            endAt: endOf(context),
            registerStop: stopSend => {
                runningSends.add(stopSend);
                return () => runningSends.delete(stopSend);
            },
            withdrawnFor: () => withdrawalOf(chosen),
            abortOnHangUp: route.kind === routeKinds.idempotent,
            onNotice: (notice, sentAt) => options.notices.record(targetState, notice, sentAt),
            confirmEnd: healthPath === undefined
                ? undefined
                : () => confirmEnd(context, targetState, healthPath),
            onUnframedEnd: end => recordUnframedEnd(context, targetState, end),
            onConnectionLost: () => targetStates.recordConnectionLost(targetState),
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

    const forward = async (context: RequestContext): Promise<CallerAnswer> => {
        const { request, route } = context;
        for (;;) {
            if (options.suspicions.isQuarantined(request)) {
                return refuse(context, "quarantined", "The request crashed targets and is refused for a while.");
            }
            const chosen = await chooser.choose(context);
            if ("kind" in chosen) {
                return chosen;
            }
            const { targetState } = chosen;
            const attempt = await send(context, chosen);
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
                    ? retryAfterMilliseconds(expectedMilliseconds(chosen) / 2, random)
                    : undefined;
                return refuse(context, attempt.reason, attempt.detail, wait);
            }
            // A target that became cold while the request waited may take it when it has a token.
            if (attempt.reason !== "target-limited") {
                context.failedTargets.add(targetState);
            }
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
                poolUse: active.index.poolUse(pool.name, route.name),
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
