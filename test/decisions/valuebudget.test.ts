/**
 * Large values that are kept. Guards against a host that runs out of memory, and against one that drops what it needs.
 */
import test from "ava";
import { createValueBudget } from "../../src/decisions/valuebudget.ts";

type Step = [name: string, bytes: number] | [released: string];
type Case = { title: string; steps: Step[]; kept: string[] };

const cases: Case[] = [
    { title: "values within the budget are kept", steps: [["a", 50], ["b", 50]], kept: ["a", "b"] },
    { title: "a value that does not fit is not kept", steps: [["a", 50], ["b", 60]], kept: ["a"] },
    { title: "a smaller value displaces the largest", steps: [["a", 60], ["b", 30], ["c", 20]], kept: ["b", "c"] },
    { title: "a value beyond the budget displaces nothing", steps: [["a", 100], ["b", 101]], kept: ["a"] },
    { title: "a new version takes the place of the former", steps: [["a", 60], ["a", 80]], kept: ["a"] },
    { title: "a value that is gone makes room", steps: [["a", 60], ["a"], ["b", 90]], kept: ["b"] },
    {
        title: "two hundred large values keep no small one out",
        steps: [...Array.from({ length: 200 }, (...[, index]): Step => [`l${index}`, 95]), ["a", 5], ["b", 5], [
            "c",
            5,
        ]],
        kept: ["a", "b", "c"],
    },
];

for (const { title, steps, kept } of cases) {
    test(title, t => {
        const budget = createValueBudget(100);
        const values = new Set<string>();
        for (const [name, bytes] of steps) {
            if (bytes === undefined) {
                budget.release(name);
                values.delete(name);
            }
            else if (budget.admit(name, bytes, () => values.delete(name))) {
                values.add(name);
            }
            else {
                values.delete(name);
            }
        }
        t.deepEqual([...values], kept);
    });
}
