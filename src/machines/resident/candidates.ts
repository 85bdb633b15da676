/**
 * The targets to which a request may go, with what speaks for and against each.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { TableRoute } from "../../contracts/routing.ts";
import type { PlacementCandidate } from "../../decisions/placement.ts";
import type { Ownerships } from "./ownerships.ts";
import type { Passage } from "./passage.ts";
import type { TargetView, Views } from "./views.ts";

export type Candidate = PlacementCandidate & { view: TargetView };

export type CandidatesOptions = {
    views: Views;
    ownerships: Ownerships;
    /** Zone of this host. */
    zone: string;
    clock: Clock;
};

export type Candidates = {
    /** Targets of a pool of which any may serve; those that failed the request only when there is no other. */
    any: (passage: Passage) => Candidate[];
    /** The owner of the key; text tells why there is none to send to. */
    owner: (passage: Passage) => Candidate | string;
    /** Work of a request at the pool's usual target. */
    typicalService: (pool: string) => number;
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
export const createCandidates = ({ views, ownerships, zone, clock }: CandidatesOptions): Candidates => {
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
        const isNear = view.target.zone === zone;
        return {
            view,
            name: view.target.name,
            penaltyMilliseconds: (isNear ? 0 : route.objectiveMilliseconds * otherZoneShareOfObjective)
                + service * failurePenalty * view.failureShare,
            slots: view.target.slots,
            load: view.load.expectedRequests(now),
            serviceMilliseconds: service * (isCold ? coldFactor : 1),
        };
    };

    const isUsable = (view: TargetView): boolean =>
        !view.gone && !view.target.leaving && view.blockedUntil <= clock.now()
        && view.load.ownRequests() < view.link.connections;

    const any = (passage: Passage): Candidate[] => {
        const { route, pool, avoid } = passage;
        const usable = views.ofPool(pool.name).filter(isUsable);
        const fresh = usable.filter(view => !avoid.has(view));
        const typical = typicalService(pool.name);
        return (fresh.length > 0 ? fresh : usable).map(view => candidateOf(view, route, typical));
    };

    const owner = (passage: Passage): Candidate | string => {
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

    return { any, owner, typicalService };
};
