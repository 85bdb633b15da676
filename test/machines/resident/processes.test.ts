/**
 * Each host counts the hosts by the processes that registered in the store.
 */
import test from "ava";
import type { ObjectStore, StoreObject } from "../../../src/contracts/objectstore.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { type Processes, registerProcess } from "../../../src/machines/resident/processes.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeStore } from "./fakestore.ts";

const setUp = () => {
    const clock = createVirtualClock();
    const shared = createFakeStore(clock);
    const { signal } = new AbortController();
    const start = (self: string, processor = 1, linkMegabits?: number) => {
        const access = shared.access();
        const name = self.slice(0, self.indexOf("/"));
        const host = { name, zone: "z1", address: "10.0.0.1:1", processor, linkMegabits };
        return {
            access,
            processes: registerProcess({ store: access.store, self, host, clock, log: silentLog, signal }),
        };
    };
    return { clock, shared, start };
};

const takeIn = (processes: Processes, objects: Array<StoreObject | undefined>): void => {
    const known = objects.filter(object => object !== undefined);
    const position = Math.max(...known.map(({ revision }) => revision));
    processes.applyChanges(known.map(object => ({ object, removed: false })), position);
};

test("hosts that start together know each other soon, and keep what they know while the store is unreachable", async t => {
    const { clock, shared, start } = setUp();
    const first = start("h1/x");
    start("h2/x");
    t.is(first.processes.hostCount(), undefined);
    await clock.advance(1_000);
    t.is(first.processes.hostCount(), 2);
    t.is(first.processes.maxProcessor(), 1);
    start("h3/x", 2);
    await clock.advance(1_000);
    first.access.fault = "refusing";
    takeIn(first.processes, [shared.read("hosts", "h3")]);
    await clock.advance(1_000);
    t.is(first.processes.hostCount(), 3);
    t.is(first.processes.maxProcessor(), 2);
    t.deepEqual(first.processes.hosts().map(host => host.name).sort(), ["h1", "h2", "h3"]);
});

test("hosts learn of each other's links, also of one that does not tell its own", async t => {
    const { clock, shared, start } = setUp();
    const { processes } = start("h1/x", 1, 200);
    start("h2/x", 1, 10);
    await clock.advance(1_000);
    shared.put("hosts", "h3", { process: "h3/a", zone: "z1", address: "10.0.0.3:1", processor: 1 });
    takeIn(processes, [shared.read("hosts", "h2"), shared.read("hosts", "h3")]);
    const links = new Map(processes.hosts().map(({ name, linkMegabits }) => [name, linkMegabits]));
    t.deepEqual([links.get("h1"), links.get("h2"), links.get("h3")], [200, 10, undefined]);
});

test("an older record of a host does not replace a newer one", async t => {
    const { clock, shared, start } = setUp();
    const { processes } = start("h1/x");
    await clock.advance(1_000);
    shared.put("hosts", "h2", { process: "h2/a", zone: "z1", address: "10.0.0.2:1" });
    const older = shared.read("hosts", "h2");
    shared.put("hosts", "h2", { process: "h2/b", zone: "z1", address: "10.0.0.3:1" });
    const newer = shared.read("hosts", "h2");
    takeIn(processes, [newer, older]);
    const hosts = processes.hosts();
    t.is(hosts.find(host => host.name === "h2")?.address, "10.0.0.3:1");
    takeIn(processes, [newer, older]);
    t.is(processes.hosts(), hosts);
    shared.put("hosts", "h2", { process: "h2/c", zone: "z1", address: "10.0.0.4:1" });
    takeIn(processes, [shared.read("hosts", "h2")]);
    t.is(processes.hosts().find(host => host.name === "h2")?.address, "10.0.0.4:1");
});

test("the start of a host that was there before costs one cheap list and one write, and is known to end the process before", async t => {
    const { clock, shared, start } = setUp();
    start("h1/x");
    await clock.advance(2_000);
    const calls: string[] = [];
    const access = shared.access();
    const { store } = access;
    access.store = {
        ...store,
        staleList: (...given) => (calls.push("staleList"), store.staleList(...given)),
        create: (...given) => (calls.push("create"), store.create(...given)),
        replace: (...given) => (calls.push("replace"), store.replace(...given)),
    };
    const { signal } = new AbortController();
    const host = { name: "h1", zone: "z1", address: "10.0.0.1:1", processor: 1 };
    const processes = registerProcess({ store: access.store, self: "h1/y", host, clock, log: silentLog, signal });
    await clock.advance(2_000);
    t.deepEqual(calls, ["staleList", "replace"]);
    const ended = processes.hasEnded("h1/x");
    await clock.advance(100);
    t.true(await ended);
});

type Registration = { title: string; fail: (store: ObjectStore) => Partial<ObjectStore>; after: number };

const lost = (): Promise<never> => Promise.reject(new Error("no answer in time"));

const registrations: Registration[] = [
    { title: "the store refuses it for a while", fail: () => ({ create: lost, replace: lost }), after: 0 },
    {
        title: "the answer to it is lost",
        fail: store => ({ create: async (...given) => (await store.create(...given), lost()) }),
        after: 600,
    },
];

/** Guards against a coordinator that others take for ended, since its process was never in the record of its host. */
for (const { title, fail, after } of registrations) {
    test(`a process knows that it is registered only once that is confirmed: ${title}`, async t => {
        const { clock, shared } = setUp();
        const access = shared.access();
        const { store } = access;
        access.store = { ...store, ...fail(store) };
        const { signal } = new AbortController();
        const host = { name: "h1", zone: "z1", address: "10.0.0.1:1", processor: 1 };
        const processes = registerProcess({ store: access.store, self: "h1/x", host, clock, log: silentLog, signal });
        await clock.advance(400);
        t.false(processes.isRegistered());
        Object.assign(access.store, { create: store.create, replace: store.replace });
        await clock.advance(600 + after);
        t.true(processes.isRegistered());
        const record = shared.read("hosts", "h1")?.value as { process: string } | undefined;
        t.is(record?.process, "h1/x");
    });
}

/** Guards against hosts that leave a new one out of the gossip for 4 s, since it did not listen yet when they dialed. */
test("a process registers only once its host accepts links", async t => {
    const { clock, shared } = setUp();
    const { store } = shared.access();
    const { signal } = new AbortController();
    const host = { name: "h1", zone: "z1", address: "10.0.0.1:1", processor: 1 };
    const listening = clock.sleep(1_000);
    const processes = registerProcess({ store, self: "h1/x", host, clock, log: silentLog, signal, listening });
    await clock.advance(900);
    t.is(shared.read("hosts", "h1"), undefined);
    await clock.advance(1_000);
    t.true(processes.isRegistered());
});
