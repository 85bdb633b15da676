/**
 * Chooses the target to which a request is sent next: waits for the owner of its key, compares the usable targets, and
 * asks for a place within a limit that the target has named.
 */
import { permitMilliseconds } from "../../decisions/coldlimit.ts";
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
import { countedAs, type TargetLimits } from "./targetlimits.ts";
import type { TargetNotices } from "./targetnotices.ts";

export type TargetChooserOptions = CandidateSelectorOptions & {
    notices: Pick<TargetNotices, "limitOf">;
    limits: Pick<TargetLimits, "take">;
    /** Returns the milliseconds until the request must have its answer. */
    remaining: (context: RequestContext) => number;
    log: Log;
    metrics: Metrics;
};

/** A target to which a request may be sent; to a cold one only before the monotonic time. */
export type ChosenTarget = Candidate & { sendBefore?: number | undefined };

/** Rule that bounds the expected time of a request, and the longest time that it allows. */
type PlacementBound = { rule: "deadline" | "objective" | PoolRoomRefusal["rule"]; longestMilliseconds: number };

export type TargetChooser = {
    /** Resolves to the target that is chosen, or to a refusal. Asked again after each send that failed. */
    choose: (context: RequestContext) => Promise<ChosenTarget | CallerRefusal>;
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
/**
 * Delay, before a random spread, after which a caller is told to retry when all targets of the pool are in evacuated
 * zones. An evacuation lasts longer than most callers wait, and targets that join may serve them at any time.
 */
const evacuatedRetryMilliseconds = 1_000;

/** Returns the lower of a limit that a target has named and the limit that it has while it is cold. */
export const lowerLimit = (named: number | undefined, cold: number | undefined): number | undefined =>
    named === undefined || cold === undefined ? named ?? cold : Math.min(named, cold);

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
        const figure = options.measures?.figureOf(targetState.target);
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
            serviceWeight: Math.round((figure?.weight ?? 0) * 10) / 10,
            serviceAgeMilliseconds: figure === undefined ? undefined : Math.round(figure.ageMilliseconds),
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

    /** Returns a refusal if the pool has only targets in evacuated zones, so that waiting is of no use. */
    const refuseEvacuated = (context: RequestContext): CallerRefusal | undefined => {
        const { name } = context.pool;
        return candidateSelector.isEvacuated(name)
            ? refuse(
                context,
                "target-evacuated",
                `The zones of all targets of pool "${name}" are evacuated.`,
                retryAfterMilliseconds(evacuatedRetryMilliseconds, random),
            )
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
                const evacuated = refuseEvacuated(context);
                if (evacuated !== undefined) {
                    return evacuated;
                }
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
            const evacuated = refuseEvacuated(context);
            if (evacuated !== undefined) {
                return evacuated;
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
     * Asks for a place within the limit that the target has named, or has while it is cold. Returns a refusal for a
     * request whose key nobody else may serve; `elsewhere` for one that may go to another target.
     */
    const takeFromLimit = async (
        context: RequestContext,
        candidate: Candidate,
    ): Promise<CallerRefusal | "elsewhere" | ChosenTarget> => {
        const { targetState: state } = candidate;
        const { targetStates } = options;
        const named = options.notices.limitOf(state.target);
        const cold = targetStates.coldLimit(state);
        const perSecond = lowerLimit(named, cold?.perSecond);
        if (perSecond === undefined) {
            return candidate;
        }
        const { request, route, pool } = context;
        const question = countedAs(state.target, targetStates.limitsColdTargets(pool.name));
        const sendBefore = cold === undefined ? undefined : clock.now() + permitMilliseconds;
        const verdict = await options.limits.take({ ...question, perSecond, priority: route.priority, cold });
        if (verdict.allowed) {
            return { ...candidate, sendBefore };
        }
        // A limit that holds only while the target is cold ends with that.
        const longest = named === undefined && cold !== undefined ? cold.milliseconds : Infinity;
        const roomMilliseconds = Math.min(verdict.roomMilliseconds, longest);
        const retryAfterMilliseconds = Math.min(verdict.retryAfterMilliseconds, longest);
        const { name, incarnation } = state.target;
        log.info("limit-refused", {
            request: request.id,
            target: `${name}#${incarnation}`,
            cause: cold === undefined || perSecond === named ? "named" : "cold",
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

    const choose = async (context: RequestContext): Promise<ChosenTarget | CallerRefusal> => {
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
            const chosen = await takeFromLimit(context, placement.candidate);
            if (request.hangUp.happened) {
                return refuse(context, "cancelled", "The caller hung up before the request was sent.");
            }
            if (chosen !== "elsewhere") {
                return chosen;
            }
        }
    };

    return { choose, typicalServiceMilliseconds: candidateSelector.typicalServiceMilliseconds };
};
