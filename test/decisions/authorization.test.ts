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

const asked: AuthorizationInput = {
    authorization: "Bearer token",
    poolName: "stock",
    method: "POST",
    path: "/orders/7",
    key: "tray-7",
    idempotencyKey: "id-1",
};

const all: Allowance = { uses: [{ pool: "stock" }] };

const cases: Array<{ title: string; part: Partial<AuthorizationInput>; allowance?: Allowance; passes: string }> = [
    { title: "passes", part: {}, passes: "hallam place" },
    { title: "the second token of a rotation", part: { authorization: "Bearer next-token" }, passes: "hallam place" },
    { title: "no token", part: { authorization: undefined }, passes: "unknown-caller" },
    { title: "another scheme", part: { authorization: "Basic token" }, passes: "unknown-caller" },
    {
        title: "a wrong token before all else",
        part: { authorization: "Bearer x", poolName: "x" },
        passes: "unknown-caller",
    },
    { title: "an excluded pool, existing or not", part: { poolName: "x" }, passes: "pool-not-allowed" },
    {
        title: "an allowed pool that does not exist",
        part: { poolName: "x" },
        allowance: { uses: [{ pool: "x" }] },
        passes: "unknown-pool",
    },
    { title: "no route", part: { method: "PUT" }, passes: "unknown-route" },
    { title: "a prefix ends where a part of the path ends", part: { path: "/orders-old" }, passes: "unknown-route" },
    { title: "a query belongs to no part", part: { path: "/orders?x=1" }, passes: "hallam place" },
    {
        title: "an excluded route before a missing key",
        part: { key: undefined },
        allowance: { uses: [{ pool: "stock", routes: ["check"] }] },
        passes: "route-not-allowed",
    },
    {
        title: "a missing key before an excluded one",
        part: { key: undefined },
        allowance: { uses: [{ pool: "stock", keyPrefixes: ["depot-"] }] },
        passes: "missing-key",
    },
    {
        title: "an excluded key before a missing id",
        part: { idempotencyKey: undefined },
        allowance: { uses: [{ pool: "stock", keyPrefixes: ["depot-"] }] },
        passes: "key-not-allowed",
    },
    { title: "a missing id", part: { idempotencyKey: undefined }, passes: "missing-id" },
    { title: "no id is needed to check", part: { idempotencyKey: undefined, method: "GET" }, passes: "hallam check" },
    {
        title: "any use may allow",
        part: {},
        allowance: { uses: [{ pool: "stock", routes: ["check"] }, { pool: "stock", keyPrefixes: ["tray-"] }] },
        passes: "hallam place",
    },
];

for (const { title, part, allowance = all, passes } of cases) {
    test(`gate: ${title}`, t => {
        const view = {
            planOf,
            allowanceOf: (plan: string) => plan === "hallam" ? allowance : undefined,
            poolOf: (name: string) => name === "stock" ? pool : undefined,
        };
        const result = authorizeRequest({ ...asked, ...part }, view);
        t.is(isAuthorizationRefusal(result) ? result.reason : `${result.caller.name} ${result.route.name}`, passes);
    });
}
