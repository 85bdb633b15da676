import test from "ava";
import type { StoredObject } from "../../src/contracts/objects.ts";
import { createObjectView } from "../../src/machines/objects.ts";

const plan = (version: number, customer: unknown, deleted = false): StoredObject => ({
    kind: "plans",
    name: "hallam",
    version,
    writeId: `write-${version}`,
    deleted,
    value: { customer, tokenHashes: [] },
});

const cases: Array<{ title: string; items: StoredObject[]; customer: string | undefined; findings: string[] }> = [
    { title: "the newest version is in force", items: [plan(1, "a"), plan(2, "b")], customer: "b", findings: [] },
    { title: "a lower version is ignored", items: [plan(2, "b"), plan(1, "a")], customer: "b", findings: [] },
    { title: "a deleted object is gone", items: [plan(1, "a"), plan(2, "a", true)], customer: undefined, findings: [] },
    {
        title: "an older version does not restore a deleted object",
        items: [plan(2, "a", true), plan(1, "a")],
        customer: undefined,
        findings: [],
    },
    {
        title: "the last valid version stays in force when the next does not match its schema",
        items: [plan(1, "a"), plan(2, 7)],
        customer: "a",
        findings: ["customer"],
    },
    { title: "a valid version clears the finding", items: [plan(1, 7), plan(2, "b")], customer: "b", findings: [] },
];

test("a listener that throws does not keep the others from hearing of a change", t => {
    const view = createObjectView();
    const heard: string[] = [];
    view.onChange("plans", () => {
        throw new Error("odd");
    });
    view.onChange("plans", name => heard.push(name));
    t.throws(() => view.accept(plan(1, "a")), { message: "odd" });
    t.deepEqual(heard, ["hallam"]);
    t.is(view.get("plans", "hallam")?.version, 1);
});

for (const { title, items, customer, findings } of cases) {
    test(title, t => {
        const view = createObjectView();
        items.forEach(item => view.accept(item));
        t.is(view.get("plans", "hallam")?.value.customer, customer);
        t.deepEqual(view.findings().map(finding => finding.path), findings);
    });
}
