/**
 * Places: which target a request goes to now, by the assignment for owned keys and by choice in all other pools.
 */
import { noOwner } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import { divisions, type Pool } from "../contracts/pool.ts";
import { targetStates } from "../contracts/targetprotocol.ts";
import { type Choosable, chooseTarget } from "../decisions/choose.ts";
import type { SlotHash } from "../decisions/hash.ts";
import { mayRouteUnchecked, type RevisionTracker } from "../decisions/revisiontracker.ts";
import type { CallerRefusal } from "../links/callers.ts";
import { type Journey, type Place, refusal } from "./journey.ts";
import type { Lanes } from "./lanes.ts";
import type { ObjectView } from "./objects.ts";
import type { TargetView, TargetViews } from "./target.ts";

export type PlacesOptions = {
    objects: ObjectView;
    views: TargetViews;
    currency: RevisionTracker;
    announcedAt: () => number | undefined;
    slotHash: SlotHash;
    lanes: Lanes;
    /** Way to a zone and back, in milliseconds. */
    distanceTo: (zone: string) => number;
    /** A number from 0 up to, not including, 1. */
    unit: () => number;
    /** Counts a request that goes to the owner of the slot. */
    countLoad: (pool: string, slot: number, key: string) => void;
    clock: Clock;
};

export type Places = {
    of: (journey: Journey) => Place | CallerRefusal;
    /** Whether the place still is the request's place, and this host may act on it. */
    isStillValid: (journey: Journey, place: Place) => boolean;
};

/** A target that was slow is tried again after a few of these. */
const latencyHalfLifeMilliseconds = 5_000;

/** Whether no place was found. */
export const isRefusal = (value: Place | CallerRefusal): value is CallerRefusal => "kind" in value;

/** Creates the places of one host. */
export const createPlaces = (options: PlacesOptions): Places => {
    const { objects, views, currency, slotHash, lanes, clock } = options;

    /** Whether the host may send by the revision. Where targets check no grants, the routers are the only fence. */
    const mayRoute = (poolName: string, pool: Pool, revision: number): boolean =>
        pool.checksGrants
            ? currency.isCurrent(poolName, revision, clock.now())
            : mayRouteUnchecked(currency.record(poolName), revision, clock.now(), options.announcedAt());

    const byKey = (journey: Journey): Place | CallerRefusal => {
        const { pool: poolName, key = "" } = journey.request;
        const { pool } = journey.passage;
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
            outstanding: view.outstanding + entry.lane.waiting(),
            reportedLoad: entry.reportedLoad,
            reportAgeMilliseconds: now - entry.reportedAt,
            latencyMilliseconds: entry.limit.latency(now, latencyHalfLifeMilliseconds),
            concurrency: target.concurrency,
            speed: target.speed,
            warmth: lanes.warmth(view),
            distanceMilliseconds: options.distanceTo(target.zone),
            usable: view.state !== targetStates.draining && entry.blockedUntil <= now,
        };
    };

    /** Takes the target that failed the request only where there is no other. */
    const chooseBesides = (choosable: Choosable[], failed: number): number => {
        if (failed === -1 || !choosable[failed].usable) {
            return chooseTarget(choosable, options.unit);
        }
        choosable[failed].usable = false;
        const other = chooseTarget(choosable, options.unit);
        return other === -1 ? failed : other;
    };

    const anywhere = (journey: Journey): Place | CallerRefusal => {
        const { pool: poolName } = journey.request;
        const { targets } = journey.passage.pool;
        const now = clock.now();
        const seen = targets.map(target => views.of(poolName, target));
        const choosable = seen.map(view => choosableOf(view, now));
        const index = chooseBesides(choosable, targets.findIndex(target => target.name === journey.avoid));
        return index === -1
            ? refusal("no-target", `No target of pool "${poolName}" takes new work.`)
            : { view: seen[index], slot: 0, revision: 0 };
    };

    const of = (journey: Journey): Place | CallerRefusal => {
        if (journey.passage.pool.division !== divisions.byKey) {
            return anywhere(journey);
        }
        const place = byKey(journey);
        if (!isRefusal(place) && journey.attempts === 0) {
            options.countLoad(journey.request.pool, place.slot, journey.request.key ?? "");
        }
        return place;
    };

    return {
        of,
        isStillValid: (journey, place) => {
            if (journey.passage.pool.division !== divisions.byKey) {
                return true;
            }
            const now = byKey(journey);
            return !isRefusal(now) && now.view === place.view && now.revision === place.revision;
        },
    };
};
