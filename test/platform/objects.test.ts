/**
 * Decoding of the platform's objects: a valid object gives the product's value, an invalid one a finding that names the
 * wrong field.
 */
import test from "ava";
import { platformObjects } from "../../platform/objects.ts";

const { decodeTable, decodeTarget } = platformObjects;

/** A list within a list, and so on. */
const nested = (depth: number): unknown => {
    let value: unknown = [];
    for (let level = 0; level < depth; level += 1) {
        value = [value];
    }
    return value;
};

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

test("a server entry is decoded to a registered target", t => {
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

const invalidEntries: Array<{ title: string; value: unknown; finding: RegExp }> = [
    { title: "text instead of fields", value: "bytes", finding: /servers\/i-1/ },
    { title: "a missing service", value: { ...entry, service: undefined }, finding: /service/ },
    { title: "an unknown state", value: { ...entry, state: "asleep" }, finding: /state/ },
    { title: "slots of another type", value: { ...entry, slots: "3" }, finding: /slots/ },
    { title: "an address with a host name", value: { ...entry, address: "evil.example:80" }, finding: /address/ },
    { title: "a field nested 100,000 deep", value: { ...entry, zone: nested(100_000) }, finding: /zone/ },
    { title: "an address nested 100,000 deep", value: { ...entry, address: nested(100_000) }, finding: /address/ },
    { title: "a port out of range", value: { ...entry, address: "10.128.0.9:99999" }, finding: /address/ },
    { title: "port 0", value: { ...entry, address: "10.128.0.9:0" }, finding: /address/ },
    { title: "an IP address out of range", value: { ...entry, address: "999.0.0.1:80" }, finding: /address/ },
    { title: "more slots than any target has", value: { ...entry, slots: Number.MAX_SAFE_INTEGER }, finding: /slots/ },
    { title: "a number beyond all numbers", value: { ...entry, slots: Infinity }, finding: /slots/ },
    { title: "a warm-up without end", value: { ...entry, warmupLeft: `${"9".repeat(20)}ms` }, finding: /warmupLeft/ },
    { title: "a start time that is not a whole number", value: { ...entry, born: 1.5 }, finding: /born/ },
];

for (const { title, value, finding } of invalidEntries) {
    test(`a server entry with ${title} is rejected`, t => {
        const decoded = decodeTarget({ name: "i-1", revision: 7, value });
        t.regex(typeof decoded === "string" ? decoded : "", finding);
        t.true(typeof decoded === "string" && decoded.length < 500, "a log line");
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

test("a manifest is decoded to a route table", t => {
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

const coldTargets = [
    { title: "a time and a rate", service: { warmup: "3s", warmupPerS: 2.5 }, cold: [3_000, 2.5] },
    { title: "a time without a rate", service: { warmup: "3s" }, cold: undefined },
    { title: "a rate without a time", service: { warmupPerS: 2.5 }, cold: undefined },
];

for (const { title, service, cold } of coldTargets) {
    test(`cold targets of a service with ${title} are limited as it says`, t => {
        const services = { orders: { maxConnections: 9, ...service } };
        const table = decodeTable({ name: "main", revision: 9, value: { ...manifest, services } });
        const decoded = typeof table === "object" ? table.pools.get("orders")?.coldTargets : undefined;
        t.deepEqual(decoded && [decoded.milliseconds, decoded.requestsPerSecond], cold);
    });
}

test("requests of an unknown route kind run at most once", t => {
    const table = decodeTable({
        name: "main",
        revision: 9,
        value: { ...manifest, routes: { one: { ...route, kind: "new" } } },
    });
    t.is(typeof table === "object" ? table.routes[0].kind : undefined, "once");
});

const invalidManifests: Array<{ title: string; value: unknown; finding: RegExp }> = [
    { title: "most fields missing", value: { version: "r12" }, finding: /routes/ },
    { title: "an invalid version", value: { ...manifest, version: "12" }, finding: /version/ },
    {
        title: "zero attempts",
        value: { ...manifest, routes: { one: { ...route, maxAttempts: 0 } } },
        finding: /maxAttempts/,
    },
    {
        title: "an invalid timeout",
        value: { ...manifest, routes: { one: { ...route, timeout: "soon" } } },
        finding: /timeout/,
    },
    {
        title: "neither a service nor a split",
        value: { ...manifest, routes: { one: { ...route, service: undefined } } },
        finding: /either a service or a split/,
    },
    {
        title: "a negative weight",
        value: {
            ...manifest,
            routes: { one: { ...route, service: undefined, split: [{ service: "orders", weight: -1 }] } },
        },
        finding: /weight/,
    },
];

for (const { title, value, finding } of invalidManifests) {
    test(`a manifest with ${title} is rejected`, t => {
        const decoded = decodeTable({ name: "main", revision: 9, value });
        t.regex(typeof decoded === "string" ? decoded : "", finding);
    });
}
