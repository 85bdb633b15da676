/**
 * Objects of odd content in the store, one at a time. Guards against a process that ends, is not ready or meets an exception
 * since somebody wrote what nobody expects.
 */
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn, type StoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    buildProgram,
    entry,
    firstRoutes,
    isReady,
    limits,
    type Program,
    requestOrder,
    requestStock,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

test.before(buildProgram);

const nested = (levels: number): unknown => {
    let value: unknown = [];
    for (let level = 0; level < levels; level += 1) {
        value = { a: value };
    }
    return value;
};

const values: Record<string, unknown> = {
    null: JSON.parse("null"),
    "a number": 1e308,
    "a negative number": -1,
    "a text": "x",
    "a long text": "x".repeat(1_000_000),
    "an empty list": [],
    "a list of nothing": [JSON.parse("null"), {}, [], 0, "", false],
    "an empty object": {},
    "a deep object": nested(500),
    "names of the prototype": JSON.parse(
        "{\"__proto__\":{\"term\":1},\"constructor\":1,\"toString\":2,\"hasOwnProperty\":3}",
    ),
    "an empty name": { "": { "": "" } },
};

const places: Array<[kind: string, name: string]> = [
    ["servers", "i-9"],
    ["servers", "__proto__"],
    ["config", "main"],
    ["config", "__proto__"],
    ["hosts", "h1"],
    ["hosts", "__proto__"],
    ["ownership", "stock"],
    ["ownership", "__proto__"],
    ["coordination", "stock"],
    ["coordination", "__proto__"],
];

const troubles = /event=(?:unexpected-exception|task-failed|store-listener-failed|request-exception|program-ended).*/;

const assertWell = async (t: ExecutionContext, program: Program): Promise<void> => {
    t.deepEqual([program.child.exitCode ?? undefined, program.child.signalCode ?? undefined], [undefined, undefined]);
    await waitUntil("the host is ready", () => isReady(program));
    t.is(program.log().match(troubles)?.[0], undefined);
    t.is((await requestOrder(program, "1")).statusCode, 200);
};

const manifest = { version: "r1", routes: firstRoutes, services, limits };

const start = async (t: ExecutionContext, prepare: (store: StoreStandIn) => void): Promise<[Program, StoreStandIn]> => {
    const store = await startStoreStandIn();
    t.teardown(store.close);
    const options = { slots: 4, queue: 4, workMilliseconds: 5 };
    const orders = await startBackendStandIn({ ...options, id: "i-1", isSharded: false });
    const stock = await startBackendStandIn({ ...options, id: "i-2", isSharded: true });
    t.teardown(orders.close);
    t.teardown(stock.close);
    store.put("config", "main", manifest);
    store.put("servers", "i-1", entry("orders", orders));
    store.put("servers", "i-2", entry("stock", stock));
    prepare(store);
    const program = await startProgram(store);
    t.teardown(() => program.child.kill("SIGKILL"));
    return [program, store];
};

for (const [kind, name] of places) {
    test.serial(`a running host does not end over what is written to ${kind}/${name}`, async t => {
        t.timeout(120_000);
        const [program, store] = await start(t, () => undefined);
        await waitUntil("the host is ready", () => isReady(program));
        await waitUntil("keys are served", async () => (await requestStock(program, "1", 7)).statusCode === 200);
        for (const value of Object.values(values)) {
            store.put(kind, name, value);
            await sleep(250);
            await assertWell(t, program);
        }
        store.put("config", "main", manifest);
        store.remove(kind, kind === "config" && name === "main" ? "other" : name);
        await waitUntil("keys are served again", async () => (await requestStock(program, "2", 7)).statusCode === 200);
        await assertWell(t, program);
    });
}

test.serial("a host starts beside objects of odd content", async t => {
    t.timeout(120_000);
    const [program] = await start(t, store => {
        Object.values(values).forEach((value, index) => {
            for (const kind of ["servers", "config", "hosts", "ownership", "coordination"]) {
                store.put(kind, `odd${index}`, value);
            }
        });
    });
    await waitUntil("the host is ready", () => isReady(program));
    await waitUntil("keys are served", async () => (await requestStock(program, "1", 7)).statusCode === 200);
    await assertWell(t, program);
});
