import test from "ava";
import { describeDifference } from "../../src/decisions/difference.ts";
import { applyEdits, type Edit } from "../../src/decisions/edits.ts";

const value = { customer: "hallam", tokenHashes: ["a", "b"], uses: [{ pool: "orders", routes: ["place"] }] };

const cases: Array<{ title: string; edit: Edit; difference: string[]; expected?: string }> = [
    {
        title: "sets a field",
        edit: { action: "set", path: "customer", value: "other" },
        difference: ["~ customer: \"hallam\" -> \"other\""],
    },
    {
        title: "creates missing objects of the path",
        edit: { action: "set", path: "rate.perSecond", value: 5 },
        difference: ["+ rate: {\"perSecond\":5}"],
    },
    {
        title: "sets a field of a list entry",
        edit: { action: "set", path: "uses[0].pool", value: "archive" },
        difference: ["~ uses[0].pool: \"orders\" -> \"archive\""],
    },
    {
        title: "adds to a list",
        edit: { action: "add", path: "tokenHashes", value: "c" },
        difference: ["+ tokenHashes[2]: \"c\""],
    },
    {
        title: "does not add an entry that exists",
        edit: { action: "add", path: "tokenHashes", value: "b" },
        difference: [],
    },
    {
        title: "creates a missing list",
        edit: { action: "add", path: "uses[0].keyPrefixes", value: "k" },
        difference: ["+ uses[0].keyPrefixes: [\"k\"]"],
    },
    {
        title: "removes an entry of a list",
        edit: { action: "remove", path: "uses", value: { pool: "orders", routes: ["place"] } },
        difference: ["- uses[0]: {\"pool\":\"orders\",\"routes\":[\"place\"]}"],
    },
    {
        title: "removes an entry by its index",
        edit: { action: "remove", path: "tokenHashes[1]", value: undefined },
        difference: ["- tokenHashes[1]: \"b\""],
    },
    {
        title: "removes a field",
        edit: { action: "remove", path: "uses[0].routes", value: undefined },
        difference: ["- uses[0].routes: [\"place\"]"],
    },
    {
        title: "refuses to remove an entry that does not exist",
        edit: { action: "remove", path: "tokenHashes", value: "z" },
        difference: [],
        expected: "a list that holds \"z\"",
    },
    {
        title: "refuses to remove a field that does not exist",
        edit: { action: "remove", path: "rate", value: undefined },
        difference: [],
        expected: "a field that is there",
    },
    {
        title: "refuses to add to a value that is not a list",
        edit: { action: "add", path: "customer", value: "x" },
        difference: [],
        expected: "a list",
    },
    {
        title: "refuses a path through an entry that does not exist",
        edit: { action: "set", path: "uses[4].pool", value: "x" },
        difference: [],
        expected: "a path into the object",
    },
    {
        title: "refuses an invalid path",
        edit: { action: "set", path: "uses..pool", value: "x" },
        difference: [],
        expected: "a path such as uses[0].rate.perSecond",
    },
    {
        title: "refuses a path through __proto__",
        edit: { action: "set", path: "__proto__.polluted", value: true },
        difference: [],
        expected: "a path such as uses[0].rate.perSecond",
    },
    {
        title: "refuses a path through a constructor, and changes no prototype",
        edit: { action: "set", path: "constructor.prototype.polluted", value: true },
        difference: [],
        expected: "a path into the object",
    },
];

for (const { title, edit, difference, expected } of cases) {
    test(title, t => {
        const before = structuredClone(value);
        const result = applyEdits("plans/x", value, [edit]);
        t.deepEqual(describeDifference(value, result.value), difference);
        t.deepEqual(result.findings.map(finding => finding.expected), expected === undefined ? [] : [expected]);
        t.deepEqual(value, before);
        t.false("polluted" in {});
    });
}
