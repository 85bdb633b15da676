/**
 * An outage of the store expires the entries of all targets. The registry must keep live targets until they register
 * again, but remove a target that has left at once.
 */
import test from "ava";
import type { StoreObject } from "../../../src/contracts/objectstore.ts";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createTargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createVirtualClock } from "../fakes/clock.ts";

const entry = (name: string, revision = 1, incarnation = "1"): StoreObject => ({
    name,
    revision,
    value: {
        name,
        incarnation,
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
    /** Names of the entries in the first list after the outage. */
    listed: string[];
    /** Milliseconds for which the store has been reachable again. */
    reachableFor: number;
    /** Names that the registry has right after the list, and two seconds later. */
    atOnce: string[];
    later: string[];
};

const cases: Case[] = [
    {
        title: "a target that left while this host was cut off is removed at once",
        listed: ["a", "b", "c", "d", "e"],
        reachableFor: 0,
        atOnce: ["a", "b", "c", "d", "e"],
        later: ["a", "b", "c", "d", "e"],
    },
    {
        title: "targets whose entries all expired are kept, and removed when they do not register again",
        listed: [],
        reachableFor: 0,
        atOnce: names,
        later: [],
    },
    {
        title: "when most entries expired, the missing targets are kept for a while",
        listed: ["a", "b"],
        reachableFor: 0,
        atOnce: names,
        later: ["a", "b"],
    },
    {
        title: "missing targets are not kept when the store has been back for long",
        listed: ["a"],
        reachableFor: 5_000,
        atOnce: ["a"],
        later: ["a"],
    },
];

for (const { title, listed, reachableFor, atOnce, later } of cases) {
    test(title, async t => {
        const clock = createVirtualClock();
        const reachableSince = clock.now() - reachableFor;
        const registry = createTargetRegistry({
            decode: object => object.value as RegisteredTarget,
            reachableSince: () => reachableSince,
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

test("a target that registers again while it is kept stays", async t => {
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

type LeavingCase = {
    title: string;
    /** What happens to the registry, in order: `leaves` tells that incarnation 1 of the target leaves. */
    events: Array<"leaves" | "removed" | { incarnation: string }>;
    /** Whether the target leaves afterwards. */
    leaving: boolean;
};

const leavingCases: LeavingCase[] = [
    { title: "its entry is known", events: [{ incarnation: "1" }, "leaves"], leaving: true },
    { title: "its entry comes later", events: ["leaves", { incarnation: "1" }], leaving: true },
    {
        title: "its entry is written again as ready",
        events: [{ incarnation: "1" }, "leaves", { incarnation: "1" }],
        leaving: true,
    },
    {
        title: "its entry lapses and comes back",
        events: [{ incarnation: "1" }, "leaves", "removed", { incarnation: "1" }],
        leaving: true,
    },
    {
        title: "it starts again under its name",
        events: [{ incarnation: "1" }, "leaves", { incarnation: "2" }],
        leaving: false,
    },
    {
        title: "another start of it left before",
        events: ["leaves", "removed", { incarnation: "2" }],
        leaving: false,
    },
];

for (const { title, events, leaving } of leavingCases) {
    test(`a target says that it leaves, and ${title}: ${leaving ? "it gets nothing more" : "it is used"}`, t => {
        const registry = createTargetRegistry({
            decode: object => object.value as RegisteredTarget,
            reachableSince: () => 0,
            clock: createVirtualClock(),
            log: silentLog,
            signal: new AbortController().signal,
        });
        for (const [index, event] of events.entries()) {
            if (event === "leaves") {
                registry.markLeaving("a", "1");
            }
            else {
                const removed = event === "removed";
                const object = entry("a", index + 1, removed ? "1" : event.incarnation);
                registry.applyChanges([{ object, removed }]);
            }
        }
        t.is(registry.get("a")?.leaving, leaving);
    });
}

test("an entry that cannot be taken in costs that entry alone", t => {
    const registry = createTargetRegistry({
        decode: object => {
            if (object.name === "b") {
                throw new Error("odd");
            }
            return object.value as RegisteredTarget;
        },
        reachableSince: () => 0,
        clock: createVirtualClock(),
        log: silentLog,
        signal: new AbortController().signal,
    });
    registry.applyList(["a", "b", "c"].map(name => entry(name)));
    registry.applyChanges(["b", "d"].map(name => ({ object: entry(name, 2), removed: false })));
    t.deepEqual(registry.ofPool("stock").map(({ name }) => name), ["a", "c", "d"]);
});
