/**
 * Authorization of requests: finds the plan of the caller and checks the request against the plan's allowance. The
 * checks run in the same order on every host, so that a request that fails several of them is refused for the same
 * reason everywhere.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { callerHeaders, type Reason } from "../contracts/outcome.ts";
import type { Allowance, AllowedUse, Plan } from "../contracts/plan.ts";
import { divisions, type Pool, type Route, routeKinds } from "../contracts/pool.ts";

export type NamedPlan = { name: string; plan: Plan };

/** Finds the plan to which the bearer token of an `Authorization` header belongs; undefined when there is none. */
export type TokenIndex = (authorization: string | undefined) => NamedPlan | undefined;

export type AuthorizationRefusal = { reason: Reason; detail: string };

/** What an authorized request was matched to: the caller's plan, the pool, the route and the use that allows it. */
export type AuthorizedRequest = { caller: NamedPlan; pool: Pool; route: Route; use: AllowedUse };

export type AuthorizationInput = {
    authorization: string | undefined;
    poolName: string;
    method: string;
    /** Path without the part that names the pool. */
    path: string;
    key: string | undefined;
    idempotencyKey: string | undefined;
};

/** Plans, allowances and pools that are in force on the host. */
export type AuthorizationContext = {
    planOf: TokenIndex;
    allowanceOf: (plan: string) => Allowance | undefined;
    poolOf: (name: string) => Pool | undefined;
};

const bearerPrefix = "Bearer ";

/**
 * Indexes plans by the hashes of their tokens. The time of a lookup depends on the hash of the presented token and not
 * on the token itself, and the hashes are compared in constant time. A token that two plans share belongs to the plan
 * whose name sorts first.
 */
export const createTokenIndex = (plans: Iterable<NamedPlan>): TokenIndex => {
    const byHash = new Map<string, { hash: Buffer; owner: NamedPlan }>();
    const sorted = [...plans].sort((left, right) => (left.name < right.name ? -1 : 1));
    for (const owner of sorted) {
        for (const tokenHash of owner.plan.tokenHashes) {
            if (!byHash.has(tokenHash)) {
                byHash.set(tokenHash, { hash: Buffer.from(tokenHash, "hex"), owner });
            }
        }
    }
    return authorization => {
        if (authorization?.startsWith(bearerPrefix) !== true) {
            return undefined;
        }
        const presented = createHash("sha256").update(authorization.slice(bearerPrefix.length)).digest();
        const entry = byHash.get(presented.toString("hex"));
        return entry !== undefined && timingSafeEqual(entry.hash, presented) ? entry.owner : undefined;
    };
};

const pathMatches = (path: string, prefix: string): boolean => {
    if (!path.startsWith(prefix)) {
        return false;
    }
    const next = path[prefix.length];
    return prefix.endsWith("/") || next === undefined || next === "/" || next === "?";
};

/** Finds the first route of the pool that matches. A path prefix only matches whole path segments. */
export const routeOf = (pool: Pool, method: string, path: string): Route | undefined =>
    pool.routes.find(route => (route.method === "*" || route.method === method) && pathMatches(path, route.path));

const allowsKey = (use: AllowedUse, key: string | undefined): boolean =>
    use.keyPrefixes === undefined || (key !== undefined && use.keyPrefixes.some(prefix => key.startsWith(prefix)));

const refuse = (reason: Reason, detail: string): AuthorizationRefusal => ({ reason, detail });

/**
 * Authorizes a request, or returns the reason of the refusal. The checks run in this order: `unknown-caller`,
 * `pool-not-allowed`, `unknown-pool`, `unknown-route`, `route-not-allowed`, `missing-key`, `key-not-allowed`,
 * `missing-id`. A pool that the plan excludes is refused in the same way whether or not it exists, so that a caller
 * cannot find out which pools exist.
 */
export const authorizeRequest = (
    input: AuthorizationInput,
    context: AuthorizationContext,
): AuthorizedRequest | AuthorizationRefusal => {
    const { poolName, method, key } = input;
    const caller = context.planOf(input.authorization);
    if (caller === undefined) {
        return refuse("unknown-caller", "The bearer token belongs to no plan.");
    }
    const allUses = context.allowanceOf(caller.name)?.uses ?? [];
    const uses = allUses.filter(use => use.pool === poolName);
    if (uses.length === 0) {
        return refuse("pool-not-allowed", `Plan "${caller.name}" does not allow pool "${poolName}".`);
    }
    const pool = context.poolOf(poolName);
    if (pool === undefined) {
        return refuse("unknown-pool", `Pool "${poolName}" does not exist.`);
    }
    const route = routeOf(pool, method, input.path);
    if (route === undefined) {
        return refuse("unknown-route", `No route of pool "${poolName}" matches ${method} and the path.`);
    }
    const usesOfRoute = uses.filter(use => use.routes === undefined || use.routes.includes(route.name));
    if (usesOfRoute.length === 0) {
        return refuse("route-not-allowed", `Plan "${caller.name}" does not allow route "${route.name}".`);
    }
    if (pool.division === divisions.byKey && key === undefined) {
        return refuse("missing-key", `Pool "${poolName}" is divided by key: send ${callerHeaders.key}.`);
    }
    const use = usesOfRoute.find(candidate => allowsKey(candidate, key));
    if (use === undefined) {
        return refuse("key-not-allowed", `Plan "${caller.name}" does not allow the key in pool "${poolName}".`);
    }
    if (route.kind === routeKinds.once && input.idempotencyKey === undefined) {
        return refuse("missing-id", `Route "${route.name}" runs once: send ${callerHeaders.idempotencyKey}.`);
    }
    return { caller, pool, route, use };
};

/** Whether the request was refused. */
export const isAuthorizationRefusal = (
    result: AuthorizedRequest | AuthorizationRefusal,
): result is AuthorizationRefusal => "reason" in result;
