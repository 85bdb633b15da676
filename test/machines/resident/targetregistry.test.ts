/**
 * An outage of the store expires the entries of all targets. The registry must keep live targets until they register
 * again, but remove a target that has left at once.
 */
import test from "ava";
import type { StoreObject } from "../../../src/contracts/objectstore.ts";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import { placeOf } from "../../../src/contracts/storehistory.ts";
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
        registry.applyList(names.map(name => entry(name)), 1);
        registry.applyList(listed.map(name => entry(name, 2)), 2);
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
    registry.applyList(names.map(name => entry(name)), 1);
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

type ReturnStep =
    | { passes: number }
    | { event: Fields; removed?: boolean }
    /** The list at a place of the era. */
    | { list: Fields[]; era: number };
type Fields = { name: string; revision: number; incarnation?: string; leaving?: boolean };

const returnCases: Array<{ title: string; steps: ReturnStep[]; used: string[]; leaving: string[] }> = [
    {
        title: "an entry that is missing is kept",
        steps: [{ list: [{ name: "a", revision: 1 }], era: 2 }, { passes: 1_700 }],
        used: names,
        leaving: [],
    },
    {
        title: "an entry that is missing is gone after two seconds",
        steps: [{ list: names.slice(1).map(name => ({ name, revision: 1 })), era: 2 }, { passes: 2_000 }],
        used: names.slice(1),
        leaving: [],
    },
    {
        title: "an entry that is written again stays",
        steps: [
            { list: names.slice(1).map(name => ({ name, revision: 1 })), era: 2 },
            { passes: 1_000 },
            { event: { name: "a", revision: 8 } },
            { passes: 2_000 },
        ],
        used: names,
        leaving: [],
    },
    {
        title: "a target that was draining still leaves when the copy says that it is ready",
        steps: [
            { event: { name: "a", revision: 7, leaving: true } },
            { list: names.map(name => ({ name, revision: 1 })), era: 2 },
            { event: { name: "a", revision: 9 } },
            { passes: 20_000 },
        ],
        used: names.slice(1),
        leaving: ["a"],
    },
    {
        title: "a target that was draining is used when it has started again",
        steps: [
            { event: { name: "a", revision: 7, leaving: true } },
            { list: names.map(name => ({ name, revision: 1, incarnation: name === "a" ? "2" : "1" })), era: 2 },
        ],
        used: names,
        leaving: [],
    },
    {
        title: "a target that had left gets nothing when the copy brings its entry back",
        steps: [
            { event: { name: "a", revision: 7 }, removed: true },
            { list: names.map(name => ({ name, revision: 1 })), era: 2 },
            { list: names.map(name => ({ name, revision: 1 })), era: 2 },
            { passes: 5_000 },
        ],
        used: names.slice(1),
        leaving: ["a"],
    },
    {
        title: "a target that had left gets nothing after two returns",
        steps: [
            { event: { name: "a", revision: 7 }, removed: true },
            { list: names.map(name => ({ name, revision: 1 })), era: 2 },
            { passes: 1_000 },
            { list: names.map(name => ({ name, revision: 1 })), era: 3 },
            { passes: 5_000 },
        ],
        used: names.slice(1),
        leaving: ["a"],
    },
    {
        title: "a target whose entry the copy brings back is used when it writes the entry itself",
        steps: [
            { event: { name: "a", revision: 7 }, removed: true },
            { list: names.map(name => ({ name, revision: 1 })), era: 2 },
            { event: { name: "a", revision: 8 } },
        ],
        used: names,
        leaving: [],
    },
    {
        title: "a target whose entry the copy brings back is used when the store keeps the entry",
        steps: [
            { event: { name: "a", revision: 7 }, removed: true },
            { list: names.map(name => ({ name, revision: 1 })), era: 2 },
            { passes: 11_000 },
        ],
        used: names,
        leaving: [],
    },
];

for (const { title, steps, used, leaving } of returnCases) {
    test(`the store comes back from an older copy: ${title}`, async t => {
        const clock = createVirtualClock();
        const registry = createTargetRegistry({
            decode: object => object.value as RegisteredTarget,
            // A follower hears of the return from its reader.
            reachableSince: () => 0,
            clock,
            log: silentLog,
            signal: new AbortController().signal,
        });
        let era = 1;
        const placed = ({ name, revision, incarnation = "1", leaving: isLeaving = false }: Fields): StoreObject => {
            const object = entry(name, placeOf(era, revision), incarnation);
            return { ...object, value: { ...object.value as RegisteredTarget, leaving: isLeaving } };
        };
        await clock.advance(60_000);
        registry.applyList(names.map((name, index) => placed({ name, revision: index + 1 })), placeOf(1, 6));
        for (const step of steps) {
            if ("passes" in step) {
                await clock.advance(step.passes);
            }
            else if ("list" in step) {
                era = step.era;
                registry.applyList(step.list.map(placed), placeOf(era, 6));
            }
            else {
                registry.applyChanges([{ object: placed(step.event), removed: step.removed === true }]);
            }
        }
        const known = registry.ofPool("stock");
        t.deepEqual(known.filter(target => !target.leaving).map(({ name }) => name).sort(), used);
        t.deepEqual(known.filter(target => target.leaving).map(({ name }) => name), leaving);
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
    registry.applyList(["a", "b", "c"].map(name => entry(name)), 1);
    registry.applyChanges(["b", "d"].map(name => ({ object: entry(name, 2), removed: false })));
    t.deepEqual(registry.ofPool("stock").map(({ name }) => name), ["a", "c", "d"]);
});
