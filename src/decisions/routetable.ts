/**
 * Finds the route of a request, and chooses one of the pools among which the route's requests are divided.
 */
import type { RouteTable, TableRoute } from "../contracts/routing.ts";
import { type PoolUse, poolUsesOf } from "./poolroom.ts";

export type RouteIndex = {
    version: number;
    /** Returns the host's route with the longest prefix that matches the path; undefined when none matches. */
    match: (host: string, path: string) => TableRoute | undefined;
    /** Returns how the route uses the pool beside other routes; undefined when no other route uses it. */
    poolUse: (pool: string, route: string) => PoolUse | undefined;
};

/**
 * Creates the index of a route table.
 *
 * @example
 * const routes = [
 *     { name: "all", host: "orders.example", prefix: "/", shares: [{ pool: "orders", weight: 1 }] },
 *     { name: "place", host: "orders.example", prefix: "/place/", shares: [{ pool: "orders", weight: 1 }] },
 * ];
 * const index = createRouteIndex({ version: 3, routes });
 * index.match("orders.example", "/place/7")?.name; // "place"
 * index.match("stock.example", "/place/7"); // undefined
 */
export const createRouteIndex = (table: RouteTable): RouteIndex => {
    const byHost = new Map<string, TableRoute[]>();
    for (const route of table.routes) {
        const routes = byHost.get(route.host) ?? [];
        routes.push(route);
        byHost.set(route.host, routes);
    }
    for (const routes of byHost.values()) {
        // The order of the routes in the table may differ between hosts.
        routes.sort((left, right) =>
            right.prefix.length - left.prefix.length || Number(left.name > right.name) - Number(left.name < right.name)
        );
    }
    const poolUses = poolUsesOf(table.routes);
    return {
        version: table.version,
        poolUse: (pool, route) => poolUses.get(pool)?.get(route),
        match: (host, path) => byHost.get(host)?.find(route => path.startsWith(route.prefix)),
    };
};

/**
 * Chooses the pool for one request of the route at random, in proportion to the weights.
 *
 * @param random returns a number from 0 up to, but not including, 1.
 */
export const choosePool = (route: TableRoute, random: () => number): string => {
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let remaining = random() * total;
    for (const share of route.shares) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.pool;
        }
    }
    return route.shares[route.shares.length - 1].pool;
};
