/**
 * The cache of the store's state: positions only increase, and what a follower missed is known as far back as promised.
 */
import test from "ava";
import type { StoreEvent } from "../../../src/contracts/objectstore.ts";
import { createStateCache, type StateCache } from "../../../src/machines/resident/statecache.ts";

const put = (name: string, revision: number): StoreEvent => ({
    object: { name, revision, value: revision },
    removed: false,
});
const removal = (name: string, revision: number): StoreEvent => ({
    object: { name, revision, value: undefined },
    removed: true,
});

const filled = (): StateCache => {
    const cache = createStateCache();
    cache.applyList("k", { objects: [put("a", 3).object, put("b", 5).object], position: 10 });
    return cache;
};

const revisionsOf = (cache: StateCache): Record<string, number> =>
    Object.fromEntries(cache.list("k")?.objects.map(object => [object.name, object.revision]) ?? []);

const cases = [
    {
        title: "changes advance the position",
        apply: (cache: StateCache) => cache.applyChanges("k", { events: [put("a", 12)], position: 12 }),
        expected: { position: 12, revisions: { a: 12, b: 5 } },
    },
    {
        title: "older changes are ignored",
        apply: (cache: StateCache) => cache.applyChanges("k", { events: [put("a", 2)], position: 9 }),
        expected: { position: 10, revisions: { a: 3, b: 5 } },
    },
    {
        title: "an older list is ignored",
        apply: (cache: StateCache) => cache.applyList("k", { objects: [], position: 10 }),
        expected: { position: 10, revisions: { a: 3, b: 5 } },
    },
    {
        title: "changes that overlap what is known lead no object back",
        apply: (cache: StateCache) => {
            cache.applyChanges("k", { events: [put("a", 12)], position: 12 });
            cache.applyChanges("k", { events: [put("a", 11), put("b", 13)], position: 13 });
        },
        expected: { position: 13, revisions: { a: 12, b: 13 } },
    },
    {
        title: "a removed object is gone, and may come again",
        apply: (cache: StateCache) => {
            cache.applyChanges("k", { events: [removal("a", 11)], position: 11 });
            cache.applyChanges("k", { events: [removal("b", 12), put("b", 13)], position: 13 });
        },
        expected: { position: 13, revisions: { b: 13 } },
    },
];

for (const { title, apply, expected } of cases) {
    test(title, t => {
        const cache = filled();
        apply(cache);
        t.deepEqual({ position: cache.position("k"), revisions: revisionsOf(cache) }, expected);
    });
}

test("changes after a position hold each object once, as it is now", t => {
    const cache = filled();
    cache.applyChanges("k", { events: [put("a", 11), put("c", 12)], position: 12 });
    cache.applyChanges("k", { events: [put("a", 13), removal("c", 14)], position: 14 });
    const changes = cache.changesAfter("k", 10);
    t.is(changes.result, "changes");
    if (changes.result === "changes") {
        t.is(changes.position, 14);
        t.deepEqual(changes.events.map(({ object, removed }) => [object.name, removed]), [["a", false], ["c", true]]);
    }
    t.deepEqual(cache.changesAfter("k", 14), { result: "changes", events: [], position: 14, bytes: 0 });
    t.deepEqual(cache.changesAfter("k", 20), { result: "changes", events: [], position: 20, bytes: 0 });
});

/** Guards against whole objects for followers that hold what was there before several versions came in one answer. */
test("the earlier object is the one before all changes that came together", t => {
    const cache = filled();
    cache.applyChanges("k", { events: [put("a", 11), put("a", 12), put("b", 13)], position: 13 });
    t.is(cache.get("k", "a")?.revision, 12);
    t.is(cache.previous("k", "a")?.revision, 3);
});

test("a position before the list, or before the changes that are kept, is lost history", t => {
    const cache = filled();
    t.is(cache.changesAfter("k", 9).result, "history-lost");
    t.is(cache.changesAfter("unknown", 9).result, "history-lost");
    for (let position = 11; position < 9_000; position += 1) {
        cache.applyChanges("k", { events: [put("a", position)], position });
    }
    t.is(cache.changesAfter("k", 11).result, "history-lost");
    t.is(cache.changesAfter("k", 8_000).result, "changes");
});
