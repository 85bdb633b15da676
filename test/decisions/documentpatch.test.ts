/**
 * Differences of JSON objects: applied to the earlier value they give the later one, and damaged ones change nothing.
 */
import test from "ava";
import fc from "fast-check";
import { documentPatch } from "../../src/decisions/documentpatch.ts";

const name = fc.constantFrom("a", "b/c", "~d", "", "0", "1");
const leaf = fc.oneof(fc.integer(), fc.boolean(), fc.string());
const documentArbitrary = fc.dictionary(
    name,
    fc.oneof(leaf, fc.array(leaf, { maxLength: 4 }), fc.dictionary(name, leaf, { maxKeys: 4 })),
    { maxKeys: 5, noNullPrototype: true },
);

test("a difference applied to the earlier object gives the later one, and leaves the earlier one as it was", t => {
    fc.assert(fc.property(documentArbitrary, documentArbitrary, (before, after) => {
        const kept = structuredClone(before);
        const patch = documentPatch.between(before, after);
        if (patch !== undefined) {
            t.deepEqual(documentPatch.apply(before, patch), after);
        }
        t.deepEqual(before, kept);
    }));
});

const routes = (count: number) =>
    Object.fromEntries(Array.from({ length: count }, (...[, index]) => [`r${index}`, index]));

const cases = [
    { title: "one change among many", before: routes(200), after: { ...routes(200), r7: 1_000 }, isSent: true },
    { title: "an added route", before: routes(200), after: routes(201), isSent: true },
    { title: "all others", before: { a: 1 }, after: { b: 2 }, isSent: false },
    { title: "nothing before", before: undefined, after: routes(2), isSent: false },
    { title: "no object after", before: routes(2), after: "r2", isSent: false },
    { title: "a list after an object", before: {}, after: [1], isSent: false },
];

for (const { title, before, after, isSent } of cases) {
    test(`${title} is sent ${isSent ? "as a difference" : "whole"}`, t => {
        t.is(documentPatch.between(before, after) !== undefined, isSent);
    });
}

const unreadable = [
    { title: "no list", patch: { op: "add" } },
    { title: "an operation of another form", patch: [7] },
    { title: "an unknown operation", patch: [{ op: "double", path: "/r0" }] },
    { title: "a path that does not exist", patch: [{ op: "replace", path: "/x/y", value: 1 }] },
    { title: "a path to a prototype", patch: [{ op: "add", path: "/__proto__/polluted", value: 1 }] },
    { title: "a whole that is no object", patch: [{ op: "replace", path: "", value: 7 }] },
];

for (const { title, patch } of unreadable) {
    test(`a difference with ${title} fits nothing`, t => {
        const before = routes(2);
        t.is(documentPatch.apply(before, patch), undefined);
        t.deepEqual(before, routes(2));
        t.is(Reflect.get({}, "polluted"), undefined);
    });
}
