/**
 * Chooses the target to which a request is sent next: waits for the owner of its key, compares the usable targets, and
 * asks for a place within a limit that the target has named.
 */
import { expectedWaitMilliseconds, isWaitUseful } from "../../decisions/connectionwait.ts";
import {
    maxUsefulMilliseconds,
    type Placement,
    placeRequest,
    retryAfterMilliseconds,
} from "../../decisions/placement.ts";
import { createPoolRoom, type PoolRoomRefusal } from "../../decisions/poolroom.ts";
import { createRetryTimes } from "../../decisions/retrytimes.ts";
import type { CallerRefusal } from "../../links/callers.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import {
    type Candidate,
    type CandidateSelectorOptions,
    createCandidateSelector,
    type TargetsInUse,
} from "./candidateselector.ts";
import { placeOfPool, placeOfTarget } from "./connectionqueue.ts";
import { refuse, type RequestContext } from "./requestcontext.ts";
import type { TargetLimits } from "./targetlimits.ts";
import type { TargetNotices } from "./targetnotices.ts";
import type { TargetState } from "./targetstates.ts";

export type TargetChooserOptions = CandidateSelectorOptions & {
    notices: Pick<TargetNotices, "limitOf">;
    limits: Pick<TargetLimits, "take">;
    /** Returns the milliseconds until the request must have its answer. */
    remaining: (context: RequestContext) => number;
    log: Log;
    metrics: Metrics;
};

/** Rule that bounds the expected time of a request, and the longest time that it allows. */
type PlacementBound = { rule: "deadline" | "objective" | PoolRoomRefusal["rule"]; longestMilliseconds: number };

export type TargetChooser = {
    /** Resolves to the target that is chosen, or to a refusal. Asked again after each send that failed. */
    choose: (context: RequestContext) => Promise<Candidate | CallerRefusal>;
    /** Returns the median service time of the pool's targets. */
    typicalServiceMilliseconds: (pool: string) => number;
};

/**
 * Nothing is sent to a target for this time after it shed a request. The time until one of its slots is free is about
 * as long, but depends on the pool. This is also the delay, before a random spread, after which a caller is told to
 * retry when no target of a pool without key owners is usable.
 */
export const shedBlockMilliseconds = 60;
/** A target whose limit left no room is not asked for again for at least this time. */
const minLimitedMilliseconds = 20;
/** A request that waits for a connection finds out within this time that it waits in vain. */
const connectionCheckMilliseconds = 100;
/** Delay, before a random spread, after which a caller is told to retry when its key has no usable owner. */
const noOwnerRetryMilliseconds = 300;

/** What a refused caller is told of the rule. */
const boundDetails: Record<PlacementBound["rule"], (milliseconds: number) => string> = {
    deadline: milliseconds => `of ${milliseconds} ms left.`,
    objective: milliseconds => `of ${milliseconds} ms that the route's objective allows.`,
    priority: milliseconds => `of ${milliseconds} ms that more urgent routes leave.`,
    "key-share": milliseconds => `of ${milliseconds} ms for a key with most of its owner's requests.`,
};

/** Creates the chooser of one host. */
export const createTargetChooser = (options: TargetChooserOptions): TargetChooser => {
    const { ownerships, remaining, clock, log, metrics, random } = options;
    const candidateSelector = createCandidateSelector(options);
    const poolRoom = createPoolRoom(random);
    const retryTimes = createRetryTimes(random);
    /** Requests that the pool's other routes left room for: they are not judged again after a wait for a connection. */
    const admitted = new WeakSet<RequestContext>();

    /**
     * Returns when the caller should retry: when its place has served the given excess, and after the callers that this
     * host has refused there before.
     */
    const retryAfter = (
        context: RequestContext,
        candidate: Candidate,
        excessMilliseconds: number,
        longestMilliseconds: number,
    ): number => {
        const { pool, route: { objectiveMilliseconds } } = context;
        const targets = pool.isSharded ? 1 : Math.max(1, options.targetStates.ofPool(pool.name).length);
        return retryTimes.next({
            pool: pool.name,
            place: pool.isSharded ? placeOfTarget(candidate.name) : placeOfPool(pool.name),
            excessMilliseconds,
            intervalMilliseconds: candidate.serviceMilliseconds / candidate.slots / targets,
            own: candidate.targetState.load.ownRequests(),
            load: candidate.load,
            spareMilliseconds: Math.max(0, Math.min(objectiveMilliseconds, remaining(context)) - longestMilliseconds),
            now: clock.now(),
        });
    };

    /** Refuses a request that a rule does not allow at the candidate. */
    const refusePlacement = (
        context: RequestContext,
        { candidate, expectedMilliseconds }: Placement<Candidate>,
        { rule, longestMilliseconds }: PlacementBound,
    ): CallerRefusal => {
        const { request, route, pool } = context;
        const { targetState, serviceMilliseconds, load } = candidate;
        const remainingMilliseconds = remaining(context);
        const excessMilliseconds = expectedMilliseconds - longestMilliseconds;
        const milliseconds = retryAfter(context, candidate, excessMilliseconds, longestMilliseconds);
        log.info("placement-refused", {
            request: request.id,
            route: route.name,
            pool: pool.name,
            target: targetState.target.name,
            rule,
            expectedMilliseconds: Math.round(expectedMilliseconds),
            longestMilliseconds: Math.round(longestMilliseconds),
            remainingMilliseconds: Math.round(remainingMilliseconds),
            serviceMilliseconds: Math.round(serviceMilliseconds),
            load: Math.round(load * 10) / 10,
            own: targetState.load.ownRequests(),
            toldAgeMilliseconds: Math.round(targetState.load.reportAge(clock.now())),
            retryAfterMilliseconds: Math.round(milliseconds),
        });
        if (rule === "priority" || rule === "key-share") {
            metrics.count("room-refusals", { pool: pool.name, route: route.name, reason: rule });
        }
        const bound = boundDetails[rule](Math.round(rule === "deadline" ? remainingMilliseconds : longestMilliseconds));
        const detail = `Expected ${Math.round(expectedMilliseconds)} ms, ${bound}`;
        return refuse(context, "deadline-unreachable", detail, milliseconds);
    };

    /** Returns the rule by which the other routes of the pool leave no room for the request, if there is one. */
    const findPoolBound = (
        { poolUse, request, pool }: RequestContext,
        { candidate, expectedMilliseconds, verdict }: Placement<Candidate>,
    ): PlacementBound | undefined =>
        poolUse && poolRoom.decide({
            use: poolUse,
            target: candidate.name,
            key: pool.isSharded ? request.key : undefined,
            serviceMilliseconds: candidate.serviceMilliseconds,
            expectedMilliseconds,
            isRefused: verdict === "refused",
            now: clock.now(),
        });

    /** Places the request on one of the candidates, or returns a refusal. */
    const place = (
        context: RequestContext,
        candidates: Candidate[],
    ): Extract<Placement<Candidate>, { verdict: "placed" }> | CallerRefusal => {
        const limits = {
            objectiveMilliseconds: context.route.objectiveMilliseconds,
            remainingMilliseconds: remaining(context),
        };
        const placement = placeRequest(candidates, limits, random);
        const poolBound = admitted.has(context) ? undefined : findPoolBound(context, placement);
        if (placement.verdict === "refused") {
            const { longestMilliseconds, candidate: { serviceMilliseconds } } = placement;
            const withoutObjective = { ...limits, objectiveMilliseconds: Infinity };
            const isDeadline = longestMilliseconds === maxUsefulMilliseconds(withoutObjective, serviceMilliseconds);
            return refusePlacement(context, placement, {
                rule: isDeadline ? "deadline" : "objective",
                longestMilliseconds,
            });
        }
        if (poolBound !== undefined) {
            return refusePlacement(context, placement, poolBound);
        }
        if (!admitted.has(context)) {
            admitted.add(context);
            retryTimes.recordSent(context.pool.name, clock.now());
        }
        return placement;
    };

    /** Waits until a connection may be free. Returns a refusal where that is not likely to bring an answer in time. */
    const waitForConnection = async (
        context: RequestContext,
        queuePlace: string,
        { candidates, connections }: TargetsInUse,
    ): Promise<CallerRefusal | undefined> => {
        const { request, route, pool } = context;
        const placement = place(context, candidates);
        if ("kind" in placement) {
            return placement;
        }
        const { connectionQueue } = options.targetStates;
        const waiter = { priority: route.priority, receivedAt: request.receivedAt };
        const wait = {
            connections,
            ahead: connectionQueue.ahead(queuePlace, waiter),
            serviceMilliseconds: placement.candidate.serviceMilliseconds,
            remainingMilliseconds: remaining(context),
        };
        if (!isWaitUseful(wait)) {
            const detail = `This host may use ${connections} connections, ${wait.ahead} requests wait for them.`;
            const expected = connections === 0 ? shedBlockMilliseconds : expectedWaitMilliseconds(wait);
            const milliseconds = Math.min(Math.max(shedBlockMilliseconds, expected), wait.remainingMilliseconds);
            const { candidate, expectedMilliseconds } = placement;
            const retryMilliseconds = retryAfter(context, candidate, milliseconds, milliseconds + expectedMilliseconds);
            return refuse(context, "connections-used", detail, retryMilliseconds);
        }
        metrics.count("connection-waits", { pool: pool.name });
        await connectionQueue.wait(queuePlace, waiter, connectionCheckMilliseconds);
        return request.hangUp.happened
            ? refuse(context, "cancelled", "The caller hung up before the request was sent.")
            : undefined;
    };

    /** Returns targets of a pool without key owners. Waits for a connection where that is useful. */
    const findUnowned = async (context: RequestContext): Promise<Candidate[] | CallerRefusal> => {
        const { name } = context.pool;
        for (;;) {
            const usable = candidateSelector.usableTargets(context);
            if (usable.length > 0) {
                return usable;
            }
            const inUse = candidateSelector.targetsInUse(context);
            if (inUse === undefined) {
                const wait = candidateSelector.untilUsable(name);
                const detail = `No target of pool "${name}" takes new work.`;
                const milliseconds = Math.max(shedBlockMilliseconds, wait?.milliseconds ?? 0);
                return refuse(
                    context,
                    wait?.reason ?? "no-target",
                    detail,
                    retryAfterMilliseconds(milliseconds, random),
                );
            }
            const refusal = await waitForConnection(context, placeOfPool(name), inUse);
            if (refusal !== undefined) {
                return refusal;
            }
        }
    };

    /**
     * Returns the targets to which the request may go. In a pool that owns keys, waits for the key to get a usable
     * owner; returns a refusal when there is none in time.
     */
    const findCandidates = async (context: RequestContext): Promise<Candidate[] | CallerRefusal> => {
        const { pool, request } = context;
        if (!pool.isSharded) {
            return findUnowned(context);
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
            if (typeof owner !== "string" && "inUse" in owner) {
                const [{ name }] = owner.inUse.candidates;
                const refusal = await waitForConnection(context, placeOfTarget(name), owner.inUse);
                if (refusal !== undefined) {
                    return refusal;
                }
                continue;
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

    const choose = async (context: RequestContext): Promise<Candidate | CallerRefusal> => {
        const { request } = context;
        for (;;) {
            const candidates = await findCandidates(context);
            if (request.hangUp.happened) {
                return refuse(context, "cancelled", "The caller hung up before the request was sent.");
            }
            if (!Array.isArray(candidates)) {
                return candidates;
            }
            const placement = place(context, candidates);
            if ("kind" in placement) {
                return placement;
            }
            const limited = await takeFromLimit(context, placement.candidate.targetState);
            if (request.hangUp.happened) {
                return refuse(context, "cancelled", "The caller hung up before the request was sent.");
            }
            if (limited !== "elsewhere") {
                return limited ?? placement.candidate;
            }
        }
    };

    return { choose, typicalServiceMilliseconds: candidateSelector.typicalServiceMilliseconds };
};
