/** The choice of a route: the longest prefix, whatever the order of the routes in the table. */
import test from "ava";
import type { RouteTable, TableRoute } from "../../src/contracts/routing.ts";
import { createRouteIndex } from "../../src/decisions/routetable.ts";

const route = (name: string, prefix: string): TableRoute => ({
    name,
    host: "stock.example",
    prefix,
    kind: "once",
    timeoutMilliseconds: 1,
    objectiveMilliseconds: 1,
    priority: 1,
    maxAttempts: 1,
    shares: [{ pool: "stock", weight: 1 }],
});

const tableOf = (routes: TableRoute[]): RouteTable => ({
    version: 1,
    routes,
    pools: new Map(),
    limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
});

const cases = [
    { title: "the longest prefix", routes: [route("all", "/"), route("place", "/place/")], expected: "place" },
    { title: "one of two with one prefix", routes: [route("b", "/place/"), route("a", "/place/")], expected: "a" },
    { title: "none with another prefix", routes: [route("a", "/take/")], expected: undefined },
];

for (const { title, routes, expected } of cases) {
    test(`all hosts choose ${title}, in whichever order they hold the routes`, t => {
        for (const held of [routes, routes.toReversed()]) {
            t.is(createRouteIndex(tableOf(held)).match("stock.example", "/place/7")?.name, expected);
        }
    });
}
