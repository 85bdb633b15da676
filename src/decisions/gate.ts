/**
 * The gate: which plan a caller has, and whether the plan's allowance lets the request through.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { Reason } from "../contracts/outcome.ts";
import type { Allowance, AllowedUse, Plan } from "../contracts/plan.ts";
import type { Pool, Route } from "../contracts/pool.ts";

export type NamedPlan = { name: string; plan: Plan };

const bearerPrefix = "Bearer ";

/** Finds the plan whose token the caller presents. Compares hashes in constant time. */
export const planOfCaller = (authorization: string | undefined, plans: Iterable<NamedPlan>): NamedPlan | undefined => {
    if (authorization?.startsWith(bearerPrefix) !== true) {
        return undefined;
    }
    const presented = createHash("sha256").update(authorization.slice(bearerPrefix.length)).digest();
    let found: NamedPlan | undefined;
    for (const candidate of plans) {
        for (const hash of candidate.plan.tokenHashes) {
            if (timingSafeEqual(Buffer.from(hash, "hex"), presented)) {
                found = candidate;
            }
        }
    }
    return found;
};

/** Finds the first route of the pool that matches. */
export const routeOf = (pool: Pool, method: string, path: string): Route | undefined =>
    pool.routes.find(route => (route.method === "*" || route.method === method) && path.startsWith(route.path));

const keyAllowed = (use: AllowedUse, key: string | undefined): boolean =>
    use.keyPrefixes === undefined || (key !== undefined && use.keyPrefixes.some(prefix => key.startsWith(prefix)));

/** Why the allowance excludes the request; undefined when it is allowed. */
export const allowanceRefusal = (
    allowance: Allowance | undefined,
    pool: string,
    route: string,
    key: string | undefined,
): Reason | undefined => {
    const uses = allowance?.uses.filter(use => use.pool === pool) ?? [];
    if (uses.length === 0) {
        return "pool-not-allowed";
    }
    const routed = uses.filter(use => use.routes === undefined || use.routes.includes(route));
    if (routed.length === 0) {
        return "route-not-allowed";
    }
    return routed.some(use => keyAllowed(use, key)) ? undefined : "key-not-allowed";
};
