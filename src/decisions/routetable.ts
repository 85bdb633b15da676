/**
 * Finding the route of a request, and the pool that its share of the route's requests goes to.
 */
import type { RouteTable, TableRoute } from "../contracts/routing.ts";

export type RouteIndex = {
    version: number;
    /** The host's route with the longest prefix of the path; undefined when none matches. */
    match: (host: string, path: string) => TableRoute | undefined;
};

/**
 * Creates the index of one table.
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
        routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
    return {
        version: table.version,
        match: (host, path) => byHost.get(host)?.find(route => path.startsWith(route.prefix)),
    };
};

/** The pool for one request of the route, drawn by weight. `unit` gives a number from 0 up to, not including, 1. */
export const choosePool = (route: TableRoute, unit: () => number): string => {
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let left = unit() * total;
    for (const share of route.shares) {
        left -= share.weight;
        if (left < 0) {
            return share.pool;
        }
    }
    return route.shares[route.shares.length - 1].pool;
};
