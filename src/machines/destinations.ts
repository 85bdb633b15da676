/**
 * Places: which target a request goes to now, by the assignment for owned keys and by choice in all other pools.
 */
import { noOwner } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import { divisions, type Pool } from "../contracts/pool.ts";
import { targetStates } from "../contracts/targetprotocol.ts";
import { type Choosable, chooseTarget } from "../decisions/choose.ts";
import { type Currency, mayRouteUnchecked } from "../decisions/currency.ts";
import type { SlotHash } from "../decisions/hash.ts";
import type { CallerRefusal } from "../links/callers.ts";
import type { Admission } from "./admission.ts";
import type { ObjectView } from "./objects.ts";
import { type Destination, refusal, type RoutingState } from "./routingstate.ts";
import type { TargetView, TargetViews } from "./target.ts";

export type DestinationResolverOptions = {
    objects: ObjectView;
    views: TargetViews;
    currency: Currency;
    announcedAt: () => number | undefined;
    slotHash: SlotHash;
    admission: Admission;
    /** Way to a zone and back, in milliseconds. */
    roundTripMillisecondsTo: (zone: string) => number;
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    /** Counts a request that goes to the owner of the slot. */
    countLoad: (pool: string, slot: number, key: string) => void;
    clock: Clock;
};

export type DestinationResolver = {
    resolve: (journey: RoutingState) => Destination | CallerRefusal;
    /** Whether the place still is the request's place, and this host may act on it. */
    isStillValid: (journey: RoutingState, place: Destination) => boolean;
};

/** A target that was slow is tried again after a few of these. */
const latencyHalfLifeMilliseconds = 5_000;

/** Whether no place was found. */
export const isRefusal = (value: Destination | CallerRefusal): value is CallerRefusal => "kind" in value;

/** Creates the places of one host. */
export const createDestinationResolver = (options: DestinationResolverOptions): DestinationResolver => {
    const { objects, views, currency, slotHash, admission: lanes, clock } = options;

    /** Whether the host may send by the revision. Where targets check no grants, the routers are the only fence. */
    const mayRoute = (poolName: string, pool: Pool, revision: number): boolean =>
        pool.checksGrants
            ? currency.isCurrent(poolName, revision, clock.now())
            : mayRouteUnchecked(currency.record(poolName), revision, clock.now(), options.announcedAt());

    const byKey = (journey: RoutingState): Destination | CallerRefusal => {
        const { pool: poolName, key = "" } = journey.request;
        const { pool } = journey.authorized;
        const assignment = objects.get("assignments", poolName)?.value;
        if (assignment === undefined) {
            return refusal("no-owner", `Pool "${poolName}" has no assignment yet.`);
        }
        if (!mayRoute(poolName, pool, assignment.revision)) {
            return refusal("not-current", `Revision ${assignment.revision} of pool "${poolName}" is not confirmed.`);
        }
        const slot = slotHash(key, pool.slotCount);
        const owner = assignment.owners[slot] ?? noOwner;
        const hot = assignment.hotKeys.length === 0 ? undefined : assignment.hotKeys.find(entry => entry.key === key);
        const name = hot?.target ?? assignment.targets[owner];
        const target = pool.targets.find(candidate => candidate.name === name);
        if (target === undefined) {
            return refusal("no-owner", `No target owns slot ${slot} of pool "${poolName}".`);
        }
        return { view: views.of(poolName, target), slot, revision: assignment.revision };
    };

    const choosableOf = (view: TargetView, now: number): Choosable => {
        const { target } = view;
        const entry = lanes.of(view);
        return {
            outstanding: view.outstanding + entry.queue.waiting(),
            reportedLoad: entry.reportedLoad,
            reportAgeMilliseconds: now - entry.reportedAt,
            latencyMilliseconds: entry.limit.latency(now, latencyHalfLifeMilliseconds),
            concurrency: target.concurrency,
            speed: target.speed,
            warmth: lanes.rampShare(view),
            distanceMilliseconds: options.roundTripMillisecondsTo(target.zone),
            usable: view.state !== targetStates.draining && entry.blockedUntil <= now,
        };
    };

    /** Takes the target that failed the request only where there is no other. */
    const chooseBesides = (choosable: Choosable[], failed: number): number => {
        if (failed === -1 || !choosable[failed].usable) {
            return chooseTarget(choosable, options.random);
        }
        choosable[failed].usable = false;
        const other = chooseTarget(choosable, options.random);
        return other === -1 ? failed : other;
    };

    const anywhere = (journey: RoutingState): Destination | CallerRefusal => {
        const { pool: poolName } = journey.request;
        const { targets } = journey.authorized.pool;
        const now = clock.now();
        const seen = targets.map(target => views.of(poolName, target));
        const choosable = seen.map(view => choosableOf(view, now));
        const index = chooseBesides(choosable, targets.findIndex(target => target.name === journey.avoidedTarget));
        return index === -1
            ? refusal("no-target", `No target of pool "${poolName}" takes new work.`)
            : { view: seen[index], slot: 0, revision: 0 };
    };

    const of = (journey: RoutingState): Destination | CallerRefusal => {
        if (journey.authorized.pool.division !== divisions.byKey) {
            return anywhere(journey);
        }
        const place = byKey(journey);
        if (!isRefusal(place) && journey.attempts === 0) {
            options.countLoad(journey.request.pool, place.slot, journey.request.key ?? "");
        }
        return place;
    };

    return {
        resolve: of,
        isStillValid: (journey, place) => {
            if (journey.authorized.pool.division !== divisions.byKey) {
                return true;
            }
            const now = byKey(journey);
            return !isRefusal(now) && now.view === place.view && now.revision === place.revision;
        },
    };
};
