/**
 * Shares the queues of a pool's targets among the routes that use it. A target serves requests in the order of their
 * arrival, so a route that accepts a long queue causes the refusal of routes that accept a short one. When the expected
 * wait at a target grows, less urgent routes are refused first, and so is a key that alone causes most of the requests
 * there. The host decides from what it has seen itself. A pool whose routes all have
 * one priority is not limited: none of them needs room before another.
 */
import { LRUMap } from "mnemonist";
import type { TableRoute } from "../contracts/routing.ts";
import { maxQueueMilliseconds } from "./placement.ts";

/** How one route uses a pool beside other routes. Computed once for each route table. */
export type PoolUse = {
    pool: string;
    route: string;
    /** Routes of a more urgent priority that use the pool. */
    moreUrgent: Array<{ route: string; objectiveMilliseconds: number }>;
    /** Shortest latency objective of all routes that use the pool. */
    shortestObjectiveMilliseconds: number;
};

export type PoolRoomRequest = {
    use: PoolUse;
    /** Target with the shortest expected time. */
    target: string;
    /** Undefined in a pool without key owners. */
    key: number | undefined;
    serviceMilliseconds: number;
    /** Expected time to an answer from the target. */
    expectedMilliseconds: number;
    /** Whether the request is refused by its own objective or deadline in any case. */
    isRefused: boolean;
    /** Monotonic time. */
    now: number;
};

/** Rule that refuses a request, and the longest expected time that it allows. */
export type PoolRoomRefusal = { rule: "priority" | "key-share"; longestMilliseconds: number };

export type PoolRoom = {
    /** Records a request and returns which rule refuses it; undefined if none does. */
    decide: (request: PoolRoomRequest) => PoolRoomRefusal | undefined;
};

/**
 * Share of the shortest queue that a more urgent route accepts, for which a less urgent one is sent. With 0.85 the
 * urgent route is refused more often, and with 0.67 the other routes lose more than it gains; see
 * docs/decisions/room-by-priority.md.
 */
const lessUrgentShare = 0.75;
/** A more urgent route without requests on this host for this time limits no other. */
const routeValidMilliseconds = 10_000;
/** One of this many requests that only the priority refuses is sent, so that no route is starved. */
const refusalsPerPass = 10;
/** The same share for a key that causes most of the requests at its owner and is refused often. */
const busyKeyShare = 0.25;
/** Time in which the counts of the requests at a target shrink to a third. */
const countDecayMilliseconds = 10_000;
/** Requests that a target must have counted before one of its keys is considered busy. */
const minCounted = 3;
/** Share of a target's requests above which a key is busy, and the refused share of the key's requests. */
const busyShareOfRequests = 0.5;
const busyRefusedShare = 1 / 3;
/** A key with half of the requests is always among this many that were counted most. */
const maxKeysOfTarget = 8;
/** Bounds the memory for targets that are gone. */
const maxTargets = 1_024;

type KeyCount = { asked: number; refused: number };
type TargetCount = { asked: number; countedAt: number; keys: Map<number, KeyCount> };

/**
 * Returns the use of each pool by each route, by pool and name of the route. Pools whose
 * routes all have one priority are left out.
 */
export const poolUsesOf = (routes: readonly TableRoute[]): Map<string, Map<string, PoolUse>> => {
    const byPool = new Map<string, TableRoute[]>();
    for (const route of routes) {
        const pools = new Set(route.shares.filter(share => share.weight > 0).map(share => share.pool));
        pools.forEach(pool => byPool.set(pool, [...byPool.get(pool) ?? [], route]));
    }
    const uses = new Map<string, Map<string, PoolUse>>();
    for (const [pool, users] of byPool) {
        if (new Set(users.map(user => user.priority)).size > 1) {
            const shortestObjectiveMilliseconds = Math.min(...users.map(user => user.objectiveMilliseconds));
            uses.set(
                pool,
                new Map(users.map(({ name, priority }) => [name, {
                    pool,
                    route: name,
                    moreUrgent: users.filter(user => user.priority < priority).map(user => ({
                        route: user.name,
                        objectiveMilliseconds: user.objectiveMilliseconds,
                    })),
                    shortestObjectiveMilliseconds,
                }])),
            );
        }
    }
    return uses;
};

/** Creates the decision of one host. */
export const createPoolRoom = (random: () => number): PoolRoom => {
    /** Time of the latest request of each route at each pool. */
    const seenAt = new Map<string, number>();
    /** Requests of a route that only the priority refused since the last one that was sent all the same. */
    const refusedByPriority = new Map<string, number>();
    const targets = new LRUMap<string, TargetCount>(maxTargets);

    const idOf = (pool: string, route: string): string => `${pool}/${route}`;

    const countOf = (target: string, now: number): TargetCount => {
        const count = targets.get(target) ?? { asked: 0, countedAt: now, keys: new Map<number, KeyCount>() };
        const left = Math.exp((count.countedAt - now) / countDecayMilliseconds);
        count.asked *= left;
        count.countedAt = now;
        count.keys.forEach(key => {
            key.asked *= left;
            key.refused *= left;
        });
        targets.set(target, count);
        return count;
    };

    const keyCountOf = ({ keys }: TargetCount, key: number): KeyCount => {
        const known = keys.get(key);
        if (known !== undefined) {
            return known;
        }
        if (keys.size >= maxKeysOfTarget) {
            const [least] = [...keys].reduce((left, right) => right[1].asked < left[1].asked ? right : left);
            keys.delete(least);
        }
        const added = { asked: 0, refused: 0 };
        keys.set(key, added);
        return added;
    };

    const isBusy = (target: TargetCount, key: KeyCount): boolean =>
        target.asked >= minCounted && key.asked > target.asked * busyShareOfRequests
        && key.refused >= key.asked * busyRefusedShare;

    /** Returns whether a request that only its priority refuses is sent all the same. */
    const takePass = (id: string): boolean => {
        // The hosts start at different counts, so that they do not send such requests at the same time.
        const refused = (refusedByPriority.get(id) ?? Math.floor(random() * refusalsPerPass)) + 1;
        refusedByPriority.set(id, refused % refusalsPerPass);
        return refused >= refusalsPerPass;
    };

    const refusalByPriority = (request: PoolRoomRequest): PoolRoomRefusal | undefined => {
        const { use, serviceMilliseconds, expectedMilliseconds, now } = request;
        const queues = use.moreUrgent
            .filter(({ route }) => now - (seenAt.get(idOf(use.pool, route)) ?? -Infinity) < routeValidMilliseconds)
            .map(({ objectiveMilliseconds }) => maxQueueMilliseconds(objectiveMilliseconds, serviceMilliseconds));
        const shortest = Math.min(...queues);
        const longestMilliseconds = serviceMilliseconds + shortest * lessUrgentShare;
        if (expectedMilliseconds <= longestMilliseconds) {
            return undefined;
        }
        const wouldBeSent = expectedMilliseconds <= serviceMilliseconds + shortest;
        return wouldBeSent && takePass(idOf(use.pool, use.route))
            ? undefined
            : { rule: "priority", longestMilliseconds };
    };

    const refusalByKey = (
        { use, serviceMilliseconds, expectedMilliseconds }: PoolRoomRequest,
    ): PoolRoomRefusal | undefined => {
        const queue = maxQueueMilliseconds(use.shortestObjectiveMilliseconds, serviceMilliseconds);
        const longestMilliseconds = serviceMilliseconds + queue * busyKeyShare;
        return expectedMilliseconds > longestMilliseconds ? { rule: "key-share", longestMilliseconds } : undefined;
    };

    return {
        decide: request => {
            const { use, target, key, isRefused, now } = request;
            seenAt.set(idOf(use.pool, use.route), now);
            const targetCount = key === undefined ? undefined : countOf(target, now);
            const keyCount = targetCount && key !== undefined ? keyCountOf(targetCount, key) : undefined;
            const isKeyBusy = targetCount !== undefined && keyCount !== undefined && isBusy(targetCount, keyCount);
            const refusal = isRefused
                ? undefined
                : (isKeyBusy ? refusalByKey(request) : undefined) ?? refusalByPriority(request);
            if (targetCount !== undefined && keyCount !== undefined) {
                targetCount.asked += 1;
                keyCount.asked += 1;
                keyCount.refused += Number(isRefused || refusal !== undefined);
            }
            return refusal;
        },
    };
};
