/**
 * Resolves the target to which a request is sent: the owner of its key by the assignment, or in pools that are not
 * divided by key the target from which the fastest answer is expected.
 */
import { noOwner } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import { divisions, type Pool } from "../contracts/pool.ts";
import { targetStates } from "../contracts/targetprotocol.ts";
import { chooseTarget, type TargetCandidate } from "../decisions/choosetarget.ts";
import type { SlotHash } from "../decisions/hash.ts";
import { mayRouteUnchecked, type RevisionTracker } from "../decisions/revisiontracker.ts";
import type { CallerRefusal } from "../links/callers.ts";
import type { Admission } from "./admission.ts";
import type { ObjectView } from "./objects.ts";
import { type Destination, refusal, type RoutingState } from "./routingstate.ts";
import type { TargetView, TargetViews } from "./target.ts";

export type DestinationResolverOptions = {
    objects: ObjectView;
    views: TargetViews;
    revisionTracker: RevisionTracker;
    /** When the platform was first known to have this host's announcement; undefined while it does not. */
    announcedAt: () => number | undefined;
    slotHash: SlotHash;
    admission: Admission;
    /** Network round trip to a zone, in milliseconds. */
    roundTripMillisecondsTo: (zone: string) => number;
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    /** Counts a request that is sent to the owner of the slot. */
    countLoad: (pool: string, slot: number, key: string) => void;
    clock: Clock;
};

export type DestinationResolver = {
    /** The destination of the request by what the host knows now, or the refusal when there is none. */
    resolve: (state: RoutingState) => Destination | CallerRefusal;
    /** Whether the request would still resolve to this destination, so that the host may send it there. */
    isStillValid: (state: RoutingState, destination: Destination) => boolean;
};

/** Without answers, the measured latency of a target halves in this time, so that a slow target is tried again. */
const latencyHalfLifeMilliseconds = 5_000;

/** Whether there is no destination. */
export const isRefusal = (value: Destination | CallerRefusal): value is CallerRefusal => "kind" in value;

/** Creates the resolver of one host. */
export const createDestinationResolver = (options: DestinationResolverOptions): DestinationResolver => {
    const { objects, views, revisionTracker, slotHash, admission, clock } = options;

    /**
     * Whether the host may send under the revision. Where targets do not check grants, the routers are the only
     * fence against two owners of a key, and a stricter rule applies.
     */
    const mayRoute = (poolName: string, pool: Pool, revision: number): boolean =>
        pool.checksGrants
            ? revisionTracker.isCurrent(poolName, revision, clock.now())
            : mayRouteUnchecked(revisionTracker.record(poolName), revision, clock.now(), options.announcedAt());

    /** The owner of the key, by the assignment that is in force. */
    const ownerOf = (state: RoutingState): Destination | CallerRefusal => {
        const { pool: poolName, key = "" } = state.request;
        const { pool } = state.authorized;
        const assignment = objects.get("assignments", poolName)?.value;
        if (assignment === undefined) {
            return refusal("no-owner", `Pool "${poolName}" has no assignment yet.`);
        }
        if (!mayRoute(poolName, pool, assignment.revision)) {
            return refusal("not-current", `Revision ${assignment.revision} of pool "${poolName}" is not confirmed.`);
        }
        const slot = slotHash(key, pool.slotCount);
        const owner = assignment.owners[slot] ?? noOwner;
        const hot = assignment.hotKeys.length === 0
            ? undefined
            : assignment.hotKeys.find(entry => entry.key === key);
        const name = hot?.target ?? assignment.targets[owner];
        const target = pool.targets.find(candidate => candidate.name === name);
        if (target === undefined) {
            return refusal("no-owner", `No target owns slot ${slot} of pool "${poolName}".`);
        }
        return { view: views.of(poolName, target), slot, revision: assignment.revision };
    };

    /** What the choice of a target considers about it. */
    const candidateOf = (view: TargetView, now: number): TargetCandidate => {
        const { target } = view;
        const targetAdmission = admission.of(view);
        return {
            outstanding: view.outstanding + targetAdmission.queue.waiting(),
            reportedLoad: targetAdmission.reportedLoad,
            reportAgeMilliseconds: now - targetAdmission.reportedAt,
            latencyMilliseconds: targetAdmission.limit.latency(now, latencyHalfLifeMilliseconds),
            concurrency: target.concurrency,
            speed: target.speed,
            rampShare: admission.rampShare(view),
            roundTripMilliseconds: options.roundTripMillisecondsTo(target.zone),
            usable: view.state !== targetStates.draining && targetAdmission.blockedUntil <= now,
        };
    };

    /** Chooses the target of the failed attempt, at index `failed` or -1, only when no other target is usable. */
    const chooseAvoiding = (candidates: TargetCandidate[], failed: number): number => {
        if (failed === -1 || !candidates[failed].usable) {
            return chooseTarget(candidates, options.random);
        }
        candidates[failed].usable = false;
        const other = chooseTarget(candidates, options.random);
        return other === -1 ? failed : other;
    };

    /** Any target of the pool, chosen by its expected time to an answer. */
    const chosenTarget = (state: RoutingState): Destination | CallerRefusal => {
        const { pool: poolName } = state.request;
        const { targets } = state.authorized.pool;
        const now = clock.now();
        const targetViews = targets.map(target => views.of(poolName, target));
        const candidates = targetViews.map(view => candidateOf(view, now));
        const index = chooseAvoiding(candidates, targets.findIndex(target => target.name === state.avoidedTarget));
        return index === -1
            ? refusal("no-target", `No target of pool "${poolName}" takes new work.`)
            : { view: targetViews[index], slot: 0, revision: 0 };
    };

    const resolve = (state: RoutingState): Destination | CallerRefusal => {
        if (state.authorized.pool.division !== divisions.byKey) {
            return chosenTarget(state);
        }
        const destination = ownerOf(state);
        if (!isRefusal(destination) && state.attempts === 0) {
            options.countLoad(state.request.pool, destination.slot, state.request.key ?? "");
        }
        return destination;
    };

    return {
        resolve,
        isStillValid: (state, destination) => {
            if (state.authorized.pool.division !== divisions.byKey) {
                return true;
            }
            const current = ownerOf(state);
            return !isRefusal(current) && current.view === destination.view
                && current.revision === destination.revision;
        },
    };
};
