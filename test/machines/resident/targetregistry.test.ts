/**
 * The registry of targets around outages of the store: one that left is gone at once, those whose entries all lapsed
 * are kept until they register again.
 */
import test from "ava";
import type { StoreObject } from "../../../src/contracts/objectstore.ts";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createTargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createVirtualClock } from "../fakes/clock.ts";

const entry = (name: string, revision = 1): StoreObject => ({
    name,
    revision,
    value: {
        name,
        incarnation: "1",
        pool: "stock",
        address: "127.0.0.1:1",
        zone: "z",
        slots: 3,
        leaving: false,
        warmupMilliseconds: 0,
    },
});

const names = ["a", "b", "c", "d", "e", "f"];

type Case = {
    title: string;
    /** Names that are listed when the store is back. */
    listed: string[];
    /** Milliseconds for which the store has been back. */
    backFor: number;
    /** Names known at once, and after two more seconds. */
    atOnce: string[];
    later: string[];
};

const cases: Case[] = [
    {
        title: "a target that left while this host was cut off is gone at once",
        listed: ["a", "b", "c", "d", "e"],
        backFor: 0,
        atOnce: ["a", "b", "c", "d", "e"],
        later: ["a", "b", "c", "d", "e"],
    },
    {
        title: "targets whose entries all lapsed are kept, and gone when they do not come back",
        listed: [],
        backFor: 0,
        atOnce: names,
        later: [],
    },
    {
        title: "most lapsed: the missing are kept for a while",
        listed: ["a", "b"],
        backFor: 0,
        atOnce: names,
        later: ["a", "b"],
    },
    {
        title: "nothing is kept long after the store's return",
        listed: ["a"],
        backFor: 5_000,
        atOnce: ["a"],
        later: ["a"],
    },
];

for (const { title, listed, backFor, atOnce, later } of cases) {
    test(title, async t => {
        const clock = createVirtualClock();
        const regainedAt = clock.now() - backFor;
        const registry = createTargetRegistry({
            decode: object => object.value as RegisteredTarget,
            reachableSince: () => regainedAt,
            clock,
            log: silentLog,
            signal: new AbortController().signal,
        });
        registry.applyList(names.map(name => entry(name)));
        registry.applyList(listed.map(name => entry(name, 2)));
        const known = (): string[] => registry.ofPool("stock").map(target => target.name).sort();
        t.deepEqual(known(), atOnce);
        await clock.advance(2_100);
        t.deepEqual(known(), later);
    });
}

test("an entry that comes back while it is kept stays", async t => {
    const clock = createVirtualClock();
    const registry = createTargetRegistry({
        decode: object => object.value as RegisteredTarget,
        reachableSince: () => 1_000,
        clock,
        log: silentLog,
        signal: new AbortController().signal,
    });
    registry.applyList(names.map(name => entry(name)));
    registry.applyChanges(names.map(name => ({ object: entry(name, 2), removed: true })));
    await clock.advance(1_000);
    registry.applyChanges([{ object: entry("a", 3), removed: false }]);
    await clock.advance(2_000);
    t.deepEqual(registry.ofPool("stock").map(target => target.name), ["a"]);
});
