/**
 * The platform's objects as they come, also odd ones: a clear finding, or the product's own value.
 */
import test from "ava";
import { platformObjects } from "../../platform/objects.ts";

const { decodeTable, decodeTarget } = platformObjects;

const entry = {
    service: "stock",
    address: "10.128.0.9:8080",
    zone: "leicester",
    version: "v1",
    slots: 3,
    state: "ready",
    warmupLeft: "1500ms",
    seq: 4,
    born: 1_782_799_640_005,
};

test("a server entry is a registered target", t => {
    t.deepEqual(decodeTarget({ name: "i-1", revision: 7, value: entry }), {
        name: "i-1",
        incarnation: "1782799640005",
        pool: "stock",
        address: "10.128.0.9:8080",
        zone: "leicester",
        slots: 3,
        leaving: false,
        warmupMilliseconds: 1_500,
    });
});

const oddEntries: Array<{ title: string; value: unknown; finding: RegExp }> = [
    { title: "no entry at all", value: "bytes", finding: /servers\/i-1/ },
    { title: "a missing service", value: { ...entry, service: undefined }, finding: /service/ },
    { title: "an unknown state", value: { ...entry, state: "asleep" }, finding: /state/ },
    { title: "slots of another type", value: { ...entry, slots: "3" }, finding: /slots/ },
    { title: "an address with a host name", value: { ...entry, address: "evil.example:80" }, finding: /address/ },
    { title: "a start that is no whole number", value: { ...entry, born: 1.5 }, finding: /born/ },
];

for (const { title, value, finding } of oddEntries) {
    test(`an entry with ${title} names no target`, t => {
        const decoded = decodeTarget({ name: "i-1", revision: 7, value });
        t.regex(typeof decoded === "string" ? decoded : "", finding);
    });
}

const route = {
    host: "Orders.example",
    pathPrefix: "/place/",
    kind: "unsafe",
    timeout: "1500ms",
    targetLatency: "0.5s",
    priority: 1,
    service: "orders",
    maxAttempts: 2,
};
const manifest = {
    version: "r12",
    routes: { one: route },
    services: { orders: { maxConnections: 120, sharded: true, warm: "2s" } },
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_024, headerTimeout: "3000ms", idleTimeout: "15000ms" },
};

test("a manifest is a route table", t => {
    const table = decodeTable({ name: "main", revision: 9, value: manifest });
    t.true(typeof table === "object");
    if (typeof table === "object") {
        t.is(table.version, 12);
        t.deepEqual(table.routes, [{
            name: "one",
            host: "orders.example",
            prefix: "/place/",
            kind: "once",
            timeoutMilliseconds: 1_500,
            objectiveMilliseconds: 500,
            priority: 1,
            maxAttempts: 2,
            shares: [{ pool: "orders", weight: 1 }],
        }]);
        t.true(table.pools.get("orders")?.isSharded);
    }
});

test("a kind that is not known runs once at most", t => {
    const table = decodeTable({
        name: "main",
        revision: 9,
        value: { ...manifest, routes: { one: { ...route, kind: "new" } } },
    });
    t.is(typeof table === "object" ? table.routes[0].kind : undefined, "once");
});

const oddManifests: Array<{ title: string; value: unknown; finding: RegExp }> = [
    { title: "cut short", value: { version: "r12" }, finding: /routes/ },
    { title: "no version number", value: { ...manifest, version: "12" }, finding: /version/ },
    {
        title: "no attempts",
        value: { ...manifest, routes: { one: { ...route, maxAttempts: 0 } } },
        finding: /maxAttempts/,
    },
    { title: "no timeout", value: { ...manifest, routes: { one: { ...route, timeout: "soon" } } }, finding: /timeout/ },
    {
        title: "neither a service nor a split",
        value: { ...manifest, routes: { one: { ...route, service: undefined } } },
        finding: /either a service or a split/,
    },
    {
        title: "a weight below zero",
        value: {
            ...manifest,
            routes: { one: { ...route, service: undefined, split: [{ service: "orders", weight: -1 }] } },
        },
        finding: /weight/,
    },
];

for (const { title, value, finding } of oddManifests) {
    test(`a manifest with ${title} is refused`, t => {
        const decoded = decodeTable({ name: "main", revision: 9, value });
        t.regex(typeof decoded === "string" ? decoded : "", finding);
    });
}
