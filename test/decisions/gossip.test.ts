/**
 * Gossip entries must be the same on all hosts in the end, in whatever order and how often they arrive.
 */
import test from "ava";
import fc from "fast-check";
import { createGossipState, type GossipEntry, maxGossipVersion } from "../../src/decisions/gossip.ts";

const now = 1_000;

const entryOf = (
    key: string,
    version: number,
    origin: string,
    value: unknown = `${version}${origin}`,
): GossipEntry => ({
    key,
    version,
    origin,
    value,
    ageMilliseconds: 0,
    lifetimeMilliseconds: 10_000,
});

const valuesOf = (entries: GossipEntry[]): Record<string, unknown> =>
    Object.fromEntries(entries.map(({ key, value }) => [key, value]));

test("hosts that got the same entries in any order hold the same values, and their digests agree", t => {
    const entry = fc.record({
        key: fc.constantFrom("a", "b", "c"),
        version: fc.integer({ min: 1, max: 4 }),
        origin: fc.constantFrom("h1", "h2", "h3"),
    }).map(({ key, version, origin }) => entryOf(key, version, origin));
    const orders = fc.array(entry, { maxLength: 12 }).chain(entries =>
        fc.tuple(fc.constant(entries), fc.shuffledSubarray(entries, { minLength: entries.length }))
    );
    t.notThrows(() =>
        fc.assert(fc.property(orders, ([first, second]) => {
            const [left, right] = [createGossipState("x", 100), createGossipState("y", 100)];
            first.forEach(one => left.merge([one], now));
            right.merge(second, now);
            right.merge(second, now);
            t.deepEqual(valuesOf(left.list(now)), valuesOf(right.list(now)));
            t.is(left.digest(now), right.digest(now));
        }))
    );
});

test("a host that changes a key wins over what it had heard, and says the age of what it tells", t => {
    const state = createGossipState("h1", 100);
    state.merge([entryOf("a", 7, "h9")], now);
    const put = state.put("a", "mine", 10_000, now);
    t.is(put.version, 8);
    t.deepEqual(state.merge([entryOf("a", 7, "h9")], now), []);
    t.is(state.list(now + 300)[0].ageMilliseconds, 300);
    t.deepEqual(state.list(now + 10_000), []);
});

const refused: Array<[string, GossipEntry]> = [
    ["is older than its lifetime", { ...entryOf("a", 1, "h2"), ageMilliseconds: 10_001 }],
    ["has a version that no host can pass", entryOf("a", maxGossipVersion, "h2")],
];

for (const [title, entry] of refused) {
    test(`an entry that ${title} is left out`, t => {
        const state = createGossipState("h1", 100);
        t.deepEqual(state.merge([entry], now), []);
        t.deepEqual(state.list(now), []);
    });
}

test("beyond its bound a host drops the oldest entries", t => {
    const state = createGossipState("h1", 3);
    ["a", "b", "c", "a", "d"].forEach(key => state.put(key, key, 10_000, now));
    t.deepEqual(state.list(now).map(({ key }) => key), ["c", "a", "d"]);
});
