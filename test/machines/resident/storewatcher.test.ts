/**
 * Following the store through its outages.
 */
import test from "ava";
import { silentLog } from "../../../src/links/logs.ts";
import { createStoreWatcher } from "../../../src/machines/resident/storewatcher.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeStore, type StoreFault } from "./fakestore.ts";

const setUp = () => {
    const clock = createVirtualClock();
    const fake = createFakeStore(clock);
    const seen = new Map<string, unknown>();
    const told: unknown[] = [];
    const lifetime = new AbortController();
    const follower = createStoreWatcher({
        store: fake.store,
        kind: "config",
        waitMilliseconds: 3_000,
        onList: objects => {
            seen.clear();
            objects.forEach(object => seen.set(object.name, object.value));
        },
        onChanges: events =>
            events.forEach(({ object, removed }) => {
                told.push(object.value);
                return removed ? seen.delete(object.name) : seen.set(object.name, object.value);
            }),
        onRecovered: () => undefined,
        clock,
        log: silentLog,
        signal: lifetime.signal,
    });
    return { clock, fake, seen, told, follower, lifetime };
};

const faults: StoreFault[] = ["silent", "refusing"];

for (const fault of faults) {
    test(`a change made while the store is ${fault} is seen within 1.5 s of its return`, async t => {
        const { clock, fake, seen, follower, lifetime } = setUp();
        fake.put("config", "main", "first");
        await clock.advance(1_000);
        t.is(seen.get("main"), "first");
        fake.fault = fault;
        await clock.advance(7_900);
        t.is(follower.reachableSince(), undefined);
        fake.put("config", "main", "second");
        fake.fault = "none";
        await clock.advance(1_500);
        t.is(seen.get("main"), "second");
        t.not(follower.reachableSince(), undefined);
        lifetime.abort();
    });
}

test("forgotten history leads to a new list, and what is gone meanwhile is gone", async t => {
    const { clock, fake, seen, lifetime } = setUp();
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
    t.deepEqual([...seen], [["main", "second"]]);
    lifetime.abort();
});

test("of several versions in one answer only the newest is told", async t => {
    const { clock, fake, told, lifetime } = setUp();
    fake.put("config", "main", 0);
    await clock.advance(1_000);
    fake.fault = "refusing";
    await clock.advance(4_000);
    Array.from({ length: 25 }, (...[, index]) => fake.put("config", "main", index + 1));
    fake.fault = "none";
    await clock.advance(1_500);
    t.deepEqual(told, [25]);
    lifetime.abort();
});

const largeTable = "x".repeat(180_000);
const thinLinkBytesPerMillisecond = 875;
const inForceMilliseconds = 2_500;

test("the last of many versions of a large table is read in time on a thin link", async t => {
    const { clock, fake, seen, lifetime } = setUp();
    fake.put("config", "main", 0);
    await clock.advance(1_000);
    fake.bytesPerMillisecond = thinLinkBytesPerMillisecond;
    for (let version = 1; version <= 25; version += 1) {
        fake.put("config", "main", `${version}${largeTable}`);
        await clock.advance(80);
    }
    await clock.advance(inForceMilliseconds - 80);
    t.is(String(seen.get("main")).slice(0, 3), "25x");
    lifetime.abort();
});
