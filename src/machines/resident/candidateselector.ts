/**
 * Selects the targets to which a request may be sent, each with the load and the penalties that placing compares.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { TableRoute } from "../../contracts/routing.ts";
import type { PlacementCandidate } from "../../decisions/placement.ts";
import type { OwnershipCache } from "./ownershipcache.ts";
import type { RequestContext } from "./requestcontext.ts";
import type { TargetState, TargetStates } from "./targetstates.ts";

/** A target to which a request may be sent. */
export type Candidate = PlacementCandidate & { targetState: TargetState };

export type CandidateSelectorOptions = {
    targetStates: TargetStates;
    ownerships: OwnershipCache;
    /** Zone of this host. */
    zone: string;
    clock: Clock;
};

export type CandidateSelector = {
    /**
     * Returns the usable targets of a pool without key owners. Targets that failed the request are included only when
     * no other is left.
     */
    usableTargets: (context: RequestContext) => Candidate[];
    /** Returns the owner of the request's key, or the reason why the request cannot be sent to it now. */
    keyOwner: (context: RequestContext) => Candidate | string;
    /** Returns the median service time of the pool's targets. */
    typicalServiceMilliseconds: (pool: string) => number;
};

/** Service time that is assumed until a target of the pool has answered. */
const defaultServiceMilliseconds = 100;
/** Penalty of a target in another zone besides its network latency, as a share of the route's latency objective. */
const otherZonePenaltyShare = 0.35;
/** Requests take about this many times as long at a target that has just started. */
const coldFactor = 2;
/** Measured service times are limited to this factor of the pool's median: larger ones include time spent waiting. */
const maxServiceFactor = 2;
/** Penalty in service times of a target that failed all recent requests; proportional to the share that failed. */
const failurePenaltyFactor = 4;

/** Creates the candidate selector of one host. */
export const createCandidateSelector = (
    { targetStates, ownerships, zone, clock }: CandidateSelectorOptions,
): CandidateSelector => {
    const typicalServiceMilliseconds = (pool: string): number => {
        const known = targetStates.ofPool(pool)
            .map(targetState => targetState.load.serviceMilliseconds())
            .filter(service => service !== undefined)
            .sort((left, right) => left - right);
        return known[known.length >> 1] ?? defaultServiceMilliseconds;
    };

    const candidateOf = (targetState: TargetState, route: TableRoute, typicalMilliseconds: number): Candidate => {
        const now = clock.now();
        const measured = targetState.load.serviceMilliseconds() ?? typicalMilliseconds;
        const service = Math.min(
            typicalMilliseconds * maxServiceFactor,
            Math.max(typicalMilliseconds / maxServiceFactor, measured),
        );
        const isCold = now < targetState.warmupEndsAt;
        const isSameZone = targetState.target.zone === zone;
        return {
            targetState,
            name: targetState.target.name,
            penaltyMilliseconds: (isSameZone ? 0 : route.objectiveMilliseconds * otherZonePenaltyShare)
                + service * failurePenaltyFactor * targetState.failureShare,
            slots: targetState.target.slots,
            load: targetState.load.expectedRequests(now),
            serviceMilliseconds: service * (isCold ? coldFactor : 1),
        };
    };

    const isUsable = (targetState: TargetState): boolean =>
        !targetState.gone && !targetState.target.leaving && targetState.blockedUntil <= clock.now()
        && targetState.load.ownRequests() < targetState.link.connections;

    const usableTargets = (context: RequestContext): Candidate[] => {
        const { route, pool, failedTargets } = context;
        const usable = targetStates.ofPool(pool.name).filter(isUsable);
        const untried = usable.filter(targetState => !failedTargets.has(targetState));
        const typicalMilliseconds = typicalServiceMilliseconds(pool.name);
        return (untried.length > 0 ? untried : usable).map(targetState =>
            candidateOf(targetState, route, typicalMilliseconds)
        );
    };

    const keyOwner = (context: RequestContext): Candidate | string => {
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
        if (context.failedTargets.has(targetState) && context.runs === 0) {
            return `the owner "${range.owner.target}" does not serve the key at fence ${range.fence}`;
        }
        return isUsable(targetState)
            ? candidateOf(targetState, route, typicalServiceMilliseconds(pool.name))
            : "the owner is not reachable";
    };

    return { usableTargets, keyOwner, typicalServiceMilliseconds };
};
