import test from "ava";
import { createHash } from "node:crypto";
import type { Allowance } from "../../src/contracts/plan.ts";
import { poolSchema } from "../../src/contracts/pool.ts";
import {
    type AuthorizationInput,
    authorizeRequest,
    createTokenIndex,
    isAuthorizationRefusal,
} from "../../src/decisions/authorization.ts";

const hashOf = (token: string): string => createHash("sha256").update(token).digest("hex");

const pool = poolSchema.parse({
    customer: "hallam",
    division: "by-key",
    checksGrants: true,
    targets: [],
    routes: [
        { name: "place", method: "POST", path: "/orders", kind: "once" },
        { name: "check", method: "GET", path: "/orders", kind: "idempotent" },
    ],
});

const planOf = createTokenIndex([
    { name: "hallam", plan: { customer: "hallam", tokenHashes: [hashOf("token"), hashOf("next-token")] } },
    { name: "zeta", plan: { customer: "zeta", tokenHashes: [hashOf("token")] } },
]);

const request: AuthorizationInput = {
    authorization: "Bearer token",
    poolName: "stock",
    method: "POST",
    path: "/orders/7",
    key: "tray-7",
    idempotencyKey: "id-1",
};

const allOfStock: Allowance = { uses: [{ pool: "stock" }] };

const cases: Array<{ title: string; part: Partial<AuthorizationInput>; allowance?: Allowance; expected: string }> = [
    { title: "a request that its plan allows", part: {}, expected: "hallam place" },
    { title: "the second token of a rotation", part: { authorization: "Bearer next-token" }, expected: "hallam place" },
    { title: "no token", part: { authorization: undefined }, expected: "unknown-caller" },
    { title: "another scheme", part: { authorization: "Basic token" }, expected: "unknown-caller" },
    {
        title: "a wrong token is reported before any other fault",
        part: { authorization: "Bearer x", poolName: "x" },
        expected: "unknown-caller",
    },
    {
        title: "a pool that the plan excludes, whether or not it exists",
        part: { poolName: "x" },
        expected: "pool-not-allowed",
    },
    {
        title: "an allowed pool that does not exist",
        part: { poolName: "x" },
        allowance: { uses: [{ pool: "x" }] },
        expected: "unknown-pool",
    },
    { title: "no route matches", part: { method: "PUT" }, expected: "unknown-route" },
    {
        title: "a route prefix matches whole path segments only",
        part: { path: "/orders-old" },
        expected: "unknown-route",
    },
    { title: "a query does not belong to a path segment", part: { path: "/orders?x=1" }, expected: "hallam place" },
    {
        title: "an excluded route is reported before a missing key",
        part: { key: undefined },
        allowance: { uses: [{ pool: "stock", routes: ["check"] }] },
        expected: "route-not-allowed",
    },
    {
        title: "a missing key is reported before a key that is not allowed",
        part: { key: undefined },
        allowance: { uses: [{ pool: "stock", keyPrefixes: ["depot-"] }] },
        expected: "missing-key",
    },
    {
        title: "a key that is not allowed is reported before a missing id",
        part: { idempotencyKey: undefined },
        allowance: { uses: [{ pool: "stock", keyPrefixes: ["depot-"] }] },
        expected: "key-not-allowed",
    },
    { title: "a missing id", part: { idempotencyKey: undefined }, expected: "missing-id" },
    {
        title: "an idempotent route needs no id",
        part: { idempotencyKey: undefined, method: "GET" },
        expected: "hallam check",
    },
    {
        title: "one use of the allowance that allows the request is enough",
        part: {},
        allowance: { uses: [{ pool: "stock", routes: ["check"] }, { pool: "stock", keyPrefixes: ["tray-"] }] },
        expected: "hallam place",
    },
];

for (const { title, part, allowance = allOfStock, expected } of cases) {
    test(`authorization: ${title}`, t => {
        const context = {
            planOf,
            allowanceOf: (plan: string) => plan === "hallam" ? allowance : undefined,
            poolOf: (name: string) => name === "stock" ? pool : undefined,
        };
        const result = authorizeRequest({ ...request, ...part }, context);
        t.is(isAuthorizationRefusal(result) ? result.reason : `${result.caller.name} ${result.route.name}`, expected);
    });
}
