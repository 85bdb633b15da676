/**
 * Selects the targets to which a request may be sent, each with the load and the penalties that placing compares.
 */
import type { Clock } from "../../contracts/clock.ts";
import { routeKinds } from "../../contracts/pool.ts";
import type { TableRoute } from "../../contracts/routing.ts";
import { fewRequests, limitedShare, ownerSlots, usableSlots } from "../../decisions/pace.ts";
import { expectedMilliseconds, maxUsefulMilliseconds, type PlacementCandidate } from "../../decisions/placement.ts";
import { estimateServiceMilliseconds, scaleServiceMilliseconds } from "../../decisions/targetmeasures.ts";
import type { OwnershipCache } from "./ownershipcache.ts";
import type { RequestContext } from "./requestcontext.ts";
import type { SharedMeasures } from "./sharedmeasures.ts";
import type { TargetState, TargetStates } from "./targetstates.ts";

/** A target to which a request may be sent. */
export type Candidate = PlacementCandidate & { targetState: TargetState };

export type CandidateSelectorOptions = {
    targetStates: TargetStates;
    ownerships: OwnershipCache;
    /** Returns the requests of all other hosts at a target; undefined while they are not known. */
    requestsOfOthers: (target: string) => number | undefined;
    /** What all hosts measured at targets; without it, only this host's own measurements count. */
    measures?: Pick<SharedMeasures, "figureOf">;
    /** Zone of this host. */
    zone: string;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    clock: Clock;
};

/** Targets to which this host has no connection free, and how many it may use at all of them. */
export type TargetsInUse = { candidates: Candidate[]; connections: number };

/**
 * Why a key's owner is not used: it may be usable soon, it wants no requests from this host for a time, or this host has
 * no connection free.
 */
export type UnusableOwner = string | { pausedMilliseconds: number } | { inUse: TargetsInUse };

export type CandidateSelector = {
    /**
     * Returns usable targets of a pool without key owners: in a large pool some drawn at random, of this zone and of the
     * others. Targets that failed the request are included only when no other is left.
     */
    usableTargets: (context: RequestContext) => Candidate[];
    /**
     * Returns targets that would be usable if this host had a connection free, drawn as usable ones are; undefined when
     * there is none.
     */
    targetsInUse: (context: RequestContext) => TargetsInUse | undefined;
    /** Returns the owner of the request's key, or why the request cannot be sent to it now. */
    keyOwner: (context: RequestContext) => Candidate | UnusableOwner;
    /**
     * Returns the time until the first of the pool's targets that said that they take no requests now takes some again,
     * and why it takes none; undefined when no target said so.
     */
    untilUsable: (pool: string) => { milliseconds: number; reason: "target-limited" | "target-paused" } | undefined;
    /** Whether the pool has targets that do not leave, all of them in evacuated zones. */
    isEvacuated: (pool: string) => boolean;
    /** Returns the median service time of the pool's targets. */
    typicalServiceMilliseconds: (pool: string) => number;
};

/** The median of a pool's service times changes slowly, and computing it for each request costs much processor time. */
const medianValidMilliseconds = 200;
/** The limited share of a pool is computed as seldom. */
const limitedValidMilliseconds = 100;
/** Service time that is assumed until a target of the pool has answered. */
const defaultServiceMilliseconds = 100;
/** Penalty of a target in another zone besides its network latency, as a share of the route's latency objective. */
const otherZonePenaltyShare = 0.35;
/**
 * A target that has joined counts as this part of the pool's median until somebody has measured it. As fast as the median,
 * it would get nothing while faster targets have free slots.
 */
const unmeasuredFactor = 1 / 3;
/** Penalty in service times of a target that failed all recent requests; proportional to the share that failed. */
const failurePenaltyFactor = 4;

/**
 * Number of targets of this zone, and of all others, that one request compares. Hosts that compare all choose the same
 * least loaded target before they learn of each other's choice, so that its queue grows while others are free.
 */
const maxCompared = 8;

/** Draws up to `count` of the items at random, without repetition. Returns them all in a shorter list. */
const sampleOf = <Item>(items: Item[], count: number, random: () => number): Item[] => {
    for (let index = 0; index < count && count < items.length; index += 1) {
        const other = index + Math.floor(random() * (items.length - index));
        [items[index], items[other]] = [items[other], items[index]];
    }
    return items.slice(0, count);
};

/** Creates the candidate selector of one host. */
export const createCandidateSelector = (
    { targetStates, ownerships, requestsOfOthers, measures, zone, random, clock }: CandidateSelectorOptions,
): CandidateSelector => {
    const medians = new Map<string, { milliseconds: number; until: number }>();

    const medianServiceMilliseconds = (pool: string): number => {
        const known = targetStates.ofPool(pool)
            .map(({ target, load }) => measures?.figureOf(target)?.milliseconds ?? load.serviceMilliseconds())
            .filter(service => service !== undefined)
            .sort((left, right) => left - right);
        return known[known.length >> 1] ?? defaultServiceMilliseconds;
    };

    const typicalServiceMilliseconds = (pool: string): number => {
        const now = clock.now();
        const known = medians.get(pool);
        if (known !== undefined && now < known.until) {
            return known.milliseconds;
        }
        const milliseconds = medianServiceMilliseconds(pool);
        medians.set(pool, { milliseconds, until: now + medianValidMilliseconds });
        return milliseconds;
    };

    const limitedShares = new Map<string, { share: number; until: number }>();

    /** Returns the share of the pool's slots at targets that have started or recovered lately. */
    const limitedShareOf = (pool: string): number => {
        const now = clock.now();
        const known = limitedShares.get(pool);
        if (known !== undefined && now < known.until) {
            return known.share;
        }
        const present = targetStates.ofPool(pool).filter(({ gone, target }) => !gone && !target.leaving);
        const share = limitedShare(
            present.map(({ target: { slots }, pace }) => ({ slots, concurrency: pace.concurrency(now) })),
        );
        limitedShares.set(pool, { share, until: now + limitedValidMilliseconds });
        return share;
    };

    /** Returns the slots with which the target counts. The owner of a request's key is the only one that can take it. */
    const slotsOf = ({ target: { pool, slots }, pace, warmupEndsAt }: TargetState, isOwner: boolean): number => {
        const now = clock.now();
        const concurrency = pace.concurrency(now);
        if (concurrency >= slots) {
            return slots;
        }
        const usable = usableSlots({ slots, concurrency }, limitedShareOf(pool));
        return isOwner ? ownerSlots(slots, usable, now < warmupEndsAt) : usable;
    };

    const candidateOf = (
        targetState: TargetState,
        route: TableRoute,
        typicalMilliseconds: number,
        isOwner = false,
    ): Candidate => {
        const now = clock.now();
        const { load, target } = targetState;
        const milliseconds = load.serviceMilliseconds();
        const own = milliseconds === undefined ? undefined : { milliseconds, answers: load.serviceAnswers() };
        const figure = measures?.figureOf(target);
        const hasJoined = targetState.restartSuspectedAt > -Infinity && targetState.connectFailures === 0;
        const isUnmeasured = hasJoined && figure === undefined && own === undefined;
        const estimate = isUnmeasured
            ? typicalMilliseconds * unmeasuredFactor
            : estimateServiceMilliseconds(figure, own, typicalMilliseconds);
        const service = scaleServiceMilliseconds(estimate, typicalMilliseconds, load.serviceScale(now));
        const others = requestsOfOthers(targetState.target.name);
        const isSameZone = targetState.target.zone === zone;
        return {
            targetState,
            name: targetState.target.name,
            penaltyMilliseconds: (isSameZone ? 0 : route.objectiveMilliseconds * otherZonePenaltyShare)
                + service * failurePenaltyFactor * targetState.failureShare,
            slots: slotsOf(targetState, isOwner),
            load: others === undefined
                ? targetState.load.expectedRequests(now)
                : targetState.load.ownRequests() + others,
            serviceMilliseconds: service,
        };
    };

    /** Whether the target is there and neither leaves nor is in an evacuated zone. */
    const takesRequests = ({ gone, target }: TargetState): boolean =>
        !gone && !target.leaving && target.evacuated !== true;

    const isOpen = (targetState: TargetState): boolean =>
        takesRequests(targetState) && targetState.blockedUntil <= clock.now();

    const hasConnection = (targetState: TargetState, endAt: number): boolean =>
        targetState.load.ownRequests() < targetStates.maxConnections(targetState, endAt);

    /** Time before which the target takes no request without a key, by its own word. */
    const notBefore = ({ pausedUntil, limitedUntil }: TargetState): number => Math.max(pausedUntil, limitedUntil);

    const openTargets = ({ pool, refusedBy }: RequestContext): TargetState[] =>
        targetStates.ofPool(pool.name).filter(targetState =>
            isOpen(targetState) && notBefore(targetState) <= clock.now() && !refusedBy.has(targetState)
        );

    /** Leaves out targets that have hardly answered since their start, while others can take a request that runs once. */
    const withoutUnproven = (candidates: Candidate[], { route, endAt }: RequestContext): Candidate[] => {
        const now = clock.now();
        const { objectiveMilliseconds } = route;
        const limits = { objectiveMilliseconds, remainingMilliseconds: endAt - now };
        const proven = candidates.filter(({ targetState: { pace, target } }) =>
            pace.concurrency(now) >= Math.min(fewRequests, target.slots + 1)
        );
        const canTake = proven.some(candidate =>
            expectedMilliseconds(candidate) <= maxUsefulMilliseconds(limits, candidate.serviceMilliseconds)
        );
        return canTake ? proven : candidates;
    };

    const candidatesAmong = (usable: TargetState[], context: RequestContext): Candidate[] => {
        const { route, pool, failedTargets } = context;
        const untried = usable.filter(targetState => !failedTargets.has(targetState));
        const typicalMilliseconds = typicalServiceMilliseconds(pool.name);
        const nearFirst = (untried.length > 0 ? untried : usable).sort((left, right) =>
            Number(right.target.zone === zone) - Number(left.target.zone === zone)
        );
        const nearCount = nearFirst.filter(({ target }) => target.zone === zone).length;
        const compared = [
            ...sampleOf(nearFirst.slice(0, nearCount), maxCompared, random),
            ...sampleOf(nearFirst.slice(nearCount), maxCompared, random),
        ];
        const candidates = compared.map(targetState => candidateOf(targetState, route, typicalMilliseconds));
        return route.kind === routeKinds.once ? withoutUnproven(candidates, context) : candidates;
    };

    const usableTargets = (context: RequestContext): Candidate[] =>
        candidatesAmong(openTargets(context).filter(state => hasConnection(state, context.endAt)), context);

    /** Returns the connections to the targets, and has some borrowed for the requests that wait for them. */
    const connectionsTo = (inUse: TargetState[], endAt: number): number => {
        inUse.forEach(targetStates.wantConnections);
        return inUse.reduce((sum, targetState) => sum + targetStates.maxConnections(targetState, endAt), 0);
    };

    const targetsInUse = (context: RequestContext): TargetsInUse | undefined => {
        const inUse = openTargets(context).filter(targetState => !hasConnection(targetState, context.endAt));
        return inUse.length === 0
            ? undefined
            : { connections: connectionsTo(inUse, context.endAt), candidates: candidatesAmong(inUse, context) };
    };

    const keyOwner = (context: RequestContext): Candidate | UnusableOwner => {
        const { request, route, pool } = context;
        const range = ownerships.findRange(pool.name, request.key ?? 0);
        if (range === undefined) {
            return "the key has no owner";
        }
        if (range.predecessors.length > 0) {
            return `the key moves to "${range.owner.target}" at fence ${range.fence}`;
        }
        const targetState = targetStates.get(range.owner.target);
        if (
            targetState === undefined || targetState.target.incarnation !== range.owner.incarnation || targetState.gone
        ) {
            return `the owner "${range.owner.target}" is gone`;
        }
        if (targetState.target.evacuated === true) {
            return `the zone of the owner "${range.owner.target}" is evacuated`;
        }
        if (context.failedTargets.has(targetState) && context.runs === 0) {
            return `the owner "${range.owner.target}" does not serve the key at fence ${range.fence}`;
        }
        if (context.refusedBy.has(targetState)) {
            return `the owner "${range.owner.target}" has refused the request`;
        }
        if (targetState.pausedUntil > clock.now()) {
            return { pausedMilliseconds: targetState.pausedUntil - clock.now() };
        }
        if (!isOpen(targetState)) {
            return "the owner is not reachable";
        }
        const candidate = candidateOf(targetState, route, typicalServiceMilliseconds(pool.name), true);
        return hasConnection(targetState, context.endAt)
            ? candidate
            : { inUse: { candidates: [candidate], connections: connectionsTo([targetState], context.endAt) } };
    };

    const untilUsable: CandidateSelector["untilUsable"] = pool => {
        const now = clock.now();
        const [first] = targetStates.ofPool(pool)
            .filter(state => takesRequests(state) && notBefore(state) > now)
            .sort((left, right) => notBefore(left) - notBefore(right));
        return first === undefined ? undefined : {
            milliseconds: notBefore(first) - now,
            reason: first.pausedUntil > now ? "target-paused" : "target-limited",
        };
    };

    const isEvacuated: CandidateSelector["isEvacuated"] = pool => {
        const staying = targetStates.ofPool(pool).filter(({ gone, target }) => !gone && !target.leaving);
        return staying.length > 0 && staying.every(({ target }) => target.evacuated === true);
    };

    return { usableTargets, targetsInUse, keyOwner, untilUsable, isEvacuated, typicalServiceMilliseconds };
};
