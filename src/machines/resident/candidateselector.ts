/**
 * The targets to which a request may go, with what speaks for and against each.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { TableRoute } from "../../contracts/routing.ts";
import type { PlacingCandidate } from "../../decisions/placing.ts";
import type { OwnershipCache } from "./ownershipcache.ts";
import type { RequestContext } from "./requestcontext.ts";
import type { TargetState, TargetStates } from "./targetstates.ts";

export type Candidate = PlacingCandidate & { targetState: TargetState };

export type CandidateSelectorOptions = {
    targetStates: TargetStates;
    ownerships: OwnershipCache;
    /** Zone of this host. */
    zone: string;
    clock: Clock;
};

export type CandidateSelector = {
    /** Targets of a pool of which any may serve; those that failed the request only when there is no other. */
    usableTargets: (passage: RequestContext) => Candidate[];
    /** The owner of the key; text tells why there is none to send to. */
    keyOwner: (passage: RequestContext) => Candidate | string;
    /** Work of a request at the pool's usual target. */
    typicalServiceMilliseconds: (pool: string) => number;
};

/** Assumed work of a request while no target of the pool has answered yet. */
const assumedServiceMilliseconds = 100;
/** What a target in another zone costs beside the way, as a part of the route's objective. */
const otherZoneShareOfObjective = 0.35;
/** Work at a target that has just started takes about this many times as long. */
const coldFactor = 2;
/** Measured work counts within this factor of the pool's usual: beyond it, it was waiting that was measured. */
const maxSlowness = 2;
/** Weight of a target's failures in its expected time. */
const failurePenalty = 4;

/** Creates the choice of one host. */
export const createCandidateSelector = (
    { targetStates: views, ownerships, zone, clock }: CandidateSelectorOptions,
): CandidateSelector => {
    const typicalService = (pool: string): number => {
        const known = views.ofPool(pool)
            .map(view => view.load.serviceMilliseconds())
            .filter(service => service !== undefined)
            .sort((left, right) => left - right);
        return known[known.length >> 1] ?? assumedServiceMilliseconds;
    };

    const candidateOf = (view: TargetState, route: TableRoute, typical: number): Candidate => {
        const now = clock.now();
        const measured = view.load.serviceMilliseconds() ?? typical;
        const service = Math.min(typical * maxSlowness, Math.max(typical / maxSlowness, measured));
        const isCold = now < view.warmupEndsAt;
        const isNear = view.target.zone === zone;
        return {
            targetState: view,
            name: view.target.name,
            aversionMilliseconds: (isNear ? 0 : route.objectiveMilliseconds * otherZoneShareOfObjective)
                + service * failurePenalty * view.failureShare,
            slots: view.target.slots,
            load: view.load.expected(now),
            serviceMilliseconds: service * (isCold ? coldFactor : 1),
        };
    };

    const isUsable = (view: TargetState): boolean =>
        !view.gone && !view.target.leaving && view.blockedUntil <= clock.now()
        && view.load.own() < view.link.connections;

    const any = (passage: RequestContext): Candidate[] => {
        const { route, pool, failedTargets: avoid } = passage;
        const usable = views.ofPool(pool.name).filter(isUsable);
        const fresh = usable.filter(view => !avoid.has(view));
        const typical = typicalService(pool.name);
        return (fresh.length > 0 ? fresh : usable).map(view => candidateOf(view, route, typical));
    };

    const owner = (passage: RequestContext): Candidate | string => {
        const { request, route, pool } = passage;
        const range = ownerships.findRange(pool.name, request.key ?? 0);
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
        if (passage.failedTargets.has(view) && passage.runs === 0) {
            return `the owner "${range.owner.target}" does not serve the key at fence ${range.fence}`;
        }
        return isUsable(view) ? candidateOf(view, route, typicalService(pool.name)) : "the owner is not reachable";
    };

    return { usableTargets: any, keyOwner: owner, typicalServiceMilliseconds: typicalService };
};
