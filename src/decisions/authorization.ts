/**
 * The gate: which plan a caller has, and whether the plan's allowance lets the request through. The checks run in one
 * order on every host, so that a request that fails several is refused for the same reason everywhere.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { callerHeaders, type Reason } from "../contracts/outcome.ts";
import type { Allowance, AllowedUse, Plan } from "../contracts/plan.ts";
import { divisions, type Pool, type Route, routeKinds } from "../contracts/pool.ts";

export type NamedPlan = { name: string; plan: Plan };

/** Finds the plan whose token an `Authorization` header presents. */
export type TokenIndex = (authorization: string | undefined) => NamedPlan | undefined;

export type AuthorizationRefusal = { reason: Reason; detail: string };

/** A request that is let through. */
export type AuthorizedRequest = { caller: NamedPlan; pool: Pool; route: Route; use: AllowedUse };

export type AuthorizationInput = {
    authorization: string | undefined;
    poolName: string;
    method: string;
    /** Path below the pool. */
    path: string;
    key: string | undefined;
    idempotencyKey: string | undefined;
};

/** What is in force on the host. */
export type AuthorizationContext = {
    planOf: TokenIndex;
    allowanceOf: (plan: string) => Allowance | undefined;
    poolOf: (name: string) => Pool | undefined;
};

const bearerPrefix = "Bearer ";

/**
 * Indexes plans by token hash. The time of a look-up depends on the hash of what was presented and not on the token,
 * and the hashes are compared in constant time. A token of two plans belongs to the one whose name is first.
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

/** Finds the first route of the pool that matches. A prefix ends where a part of the path ends. */
export const routeOf = (pool: Pool, method: string, path: string): Route | undefined =>
    pool.routes.find(route => (route.method === "*" || route.method === method) && pathMatches(path, route.path));

const keyAllowed = (use: AllowedUse, key: string | undefined): boolean =>
    use.keyPrefixes === undefined || (key !== undefined && use.keyPrefixes.some(prefix => key.startsWith(prefix)));

const refuse = (reason: Reason, detail: string): AuthorizationRefusal => ({ reason, detail });

/**
 * Lets a request through or says why not. Order: `unknown-caller`, `pool-not-allowed`, `unknown-pool`,
 * `unknown-route`, `route-not-allowed`, `missing-key`, `key-not-allowed`, `missing-id`. A caller learns of no pool that
 * its plan excludes, not even whether it exists.
 */
export const authorizeRequest = (
    question: AuthorizationInput,
    view: AuthorizationContext,
): AuthorizedRequest | AuthorizationRefusal => {
    const { poolName, method, key } = question;
    const caller = view.planOf(question.authorization);
    if (caller === undefined) {
        return refuse("unknown-caller", "The bearer token belongs to no plan.");
    }
    const allUses = view.allowanceOf(caller.name)?.uses ?? [];
    const uses = allUses.filter(use => use.pool === poolName);
    if (uses.length === 0) {
        return refuse("pool-not-allowed", `Plan "${caller.name}" does not allow pool "${poolName}".`);
    }
    const pool = view.poolOf(poolName);
    if (pool === undefined) {
        return refuse("unknown-pool", `Pool "${poolName}" does not exist.`);
    }
    const route = routeOf(pool, method, question.path);
    if (route === undefined) {
        return refuse("unknown-route", `No route of pool "${poolName}" matches ${method} and the path.`);
    }
    const routed = uses.filter(use => use.routes === undefined || use.routes.includes(route.name));
    if (routed.length === 0) {
        return refuse("route-not-allowed", `Plan "${caller.name}" does not allow route "${route.name}".`);
    }
    if (pool.division === divisions.byKey && key === undefined) {
        return refuse("missing-key", `Pool "${poolName}" is divided by key: send ${callerHeaders.key}.`);
    }
    const use = routed.find(candidate => keyAllowed(candidate, key));
    if (use === undefined) {
        return refuse("key-not-allowed", `Plan "${caller.name}" does not allow the key in pool "${poolName}".`);
    }
    if (route.kind === routeKinds.once && question.idempotencyKey === undefined) {
        return refuse("missing-id", `Route "${route.name}" runs once: send ${callerHeaders.idempotencyKey}.`);
    }
    return { caller, pool, route, use };
};

/** Whether the gate refused. */
export const isAuthorizationRefusal = (
    result: AuthorizedRequest | AuthorizationRefusal,
): result is AuthorizationRefusal => "reason" in result;
