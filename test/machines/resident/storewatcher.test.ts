/**
 * Outages of the store: changes made meanwhile must be reported soon after it is reachable again.
 */
import test from "ava";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createStoreWatcher } from "../../../src/machines/resident/storewatcher.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeStore, type StoreFault } from "./fakestore.ts";

const setUp = () => {
    const clock = createVirtualClock();
    const fake = createFakeStore(clock);
    const current = new Map<string, unknown>();
    const reported: unknown[] = [];
    const lifetime = new AbortController();
    const watcher = createStoreWatcher({
        store: fake.store,
        kind: "config",
        waitMilliseconds: 3_000,
        maxPauseMilliseconds: 500,
        onList: objects => {
            current.clear();
            objects.forEach(object => current.set(object.name, object.value));
        },
        onChanges: events =>
            events.forEach(({ object, removed }) => {
                reported.push(object.value);
                return removed ? current.delete(object.name) : current.set(object.name, object.value);
            }),
        onRecovered: () => undefined,
        clock,
        log: silentLog,
        metrics: createMetrics(),
        signal: lifetime.signal,
    });
    return { clock, fake, current, reported, watcher, lifetime };
};

const faults: StoreFault[] = ["silent", "refusing"];

for (const fault of faults) {
    test(`a change made while the store is ${fault} is read within 1.5 s of its return`, async t => {
        const { clock, fake, current, watcher, lifetime } = setUp();
        fake.put("config", "main", "first");
        await clock.advance(1_000);
        t.is(current.get("main"), "first");
        fake.fault = fault;
        await clock.advance(7_900);
        t.is(watcher.reachableSince(), undefined);
        fake.put("config", "main", "second");
        fake.fault = "none";
        await clock.advance(1_500);
        t.is(current.get("main"), "second");
        t.not(watcher.reachableSince(), undefined);
        lifetime.abort();
    });
}

test("lost history leads to a new list, without the objects that were removed meanwhile", async t => {
    const { clock, fake, current, lifetime } = setUp();
    fake.put("config", "old", 1);
    fake.put("config", "main", "first");
    await clock.advance(100);
    fake.fault = "refusing";
    await clock.advance(4_000);
    fake.remove("config", "old");
    fake.put("config", "main", "second");
    fake.forgetHistory();
    fake.fault = "none";
    await clock.advance(1_500);
    t.deepEqual([...current], [["main", "second"]]);
    lifetime.abort();
});

test("only the newest of several versions in one answer is reported", async t => {
    const { clock, fake, reported, lifetime } = setUp();
    fake.put("config", "main", 0);
    await clock.advance(1_000);
    fake.fault = "refusing";
    await clock.advance(4_000);
    Array.from({ length: 25 }, (...[, index]) => fake.put("config", "main", index + 1));
    fake.fault = "none";
    await clock.advance(1_500);
    t.deepEqual(reported, [25]);
    lifetime.abort();
});

const largeTable = "x".repeat(180_000);
const slowConnectionBytesPerMillisecond = 875;
const maxReadMilliseconds = 2_500;

test("the last of many versions of a large table is read in time on a slow connection", async t => {
    const { clock, fake, current, lifetime } = setUp();
    fake.put("config", "main", 0);
    await clock.advance(1_000);
    fake.bytesPerMillisecond = slowConnectionBytesPerMillisecond;
    for (let version = 1; version <= 25; version += 1) {
        fake.put("config", "main", `${version}${largeTable}`);
        await clock.advance(80);
    }
    await clock.advance(maxReadMilliseconds - 80);
    t.is(String(current.get("main")).slice(0, 3), "25x");
    lifetime.abort();
});

const missedCases = [
    { title: "one object that changes all the time", objects: 1, changesPerSecond: 5, lists: 1 },
    { title: "one object that has not changed for long", objects: 1, changesPerSecond: 0, lists: 1 },
    { title: "many objects with few changes", objects: 300, changesPerSecond: 5, lists: 0 },
];
for (const { title, objects, changesPerSecond, lists } of missedCases) {
    test(`${title}: a host that the store refused for long reads no more than a list of it, in time`, async t => {
        const { clock, fake, current, lifetime } = setUp();
        const large = "x".repeat(40_000 / objects);
        let version = 0;
        const change = async (milliseconds: number, perSecond: number): Promise<void> => {
            for (let passed = 0; perSecond > 0 && passed < milliseconds; passed += 1_000 / perSecond) {
                version += 1;
                fake.put("config", `o${version % objects}`, `${version}${large}`);
                await clock.advance(1_000 / perSecond);
            }
        };
        for (let index = 0; index < objects; index += 1) {
            fake.put("config", `o${index}`, `${large}`);
        }
        let listed = 0;
        const { list } = fake.store;
        fake.store.list = (...given) => {
            listed += Number(fake.fault === "none");
            return list(...given);
        };
        fake.bytesPerMillisecond = slowConnectionBytesPerMillisecond;
        await clock.advance(1_000);
        await change(5_000, changesPerSecond);
        await clock.advance(changesPerSecond === 0 ? 60_000 : 0);
        fake.fault = "refusing";
        await change(40_000, 5);
        fake.fault = "none";
        await clock.advance(1_000);
        t.true(String(current.get(`o${version % objects}`)).startsWith(`${version}x`));
        t.is(listed, lists);
        lifetime.abort();
    });
}

test("a store that serves watches and refuses lists after an outage is followed by watches", async t => {
    const { clock, fake, current, watcher, lifetime } = setUp();
    fake.put("config", "main", "first");
    await clock.advance(1_000);
    fake.fault = "refusing";
    await clock.advance(30_000);
    fake.fault = "none";
    fake.store.list = () => Promise.reject(new Error("refused"));
    fake.put("config", "main", "second");
    await clock.advance(5_000);
    t.is(current.get("main"), "second");
    t.not(watcher.reachableSince(), undefined);
    lifetime.abort();
});

test("an exception of a listener is no failure of the store: the watch goes on with the next change", async t => {
    const clock = createVirtualClock();
    const fake = createFakeStore(clock);
    const seen: unknown[] = [];
    const listen = (value: unknown): void => {
        seen.push(value);
        if (value === "odd") {
            throw new Error("odd");
        }
    };
    const { signal } = new AbortController();
    const watcher = createStoreWatcher({
        store: fake.store,
        kind: "config",
        waitMilliseconds: 3_000,
        maxPauseMilliseconds: 500,
        onList: objects => objects.forEach(object => listen(object.value)),
        onChanges: events => events.forEach(({ object }) => listen(object.value)),
        onRecovered: () => undefined,
        clock,
        log: silentLog,
        metrics: createMetrics(),
        signal,
    });
    fake.put("config", "a", "odd");
    await clock.advance(100);
    await watcher.synced;
    const since = watcher.reachableSince();
    fake.put("config", "a", "odd");
    await clock.advance(100);
    fake.put("config", "a", "sound");
    await clock.advance(100);
    t.deepEqual(seen, ["odd", "odd", "sound"]);
    t.is(watcher.reachableSince(), since);
});
