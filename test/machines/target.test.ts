import test from "ava";
import { type Target, targetSchema } from "../../src/contracts/pool.ts";
import { createTargetViews, recordDraining, recordHealth, type TargetView } from "../../src/machines/target.ts";

const target: Target = targetSchema.parse({
    name: "a",
    address: "127.0.0.1:1",
    zone: "z",
    concurrency: 1,
    connections: 1,
});

const cases: Array<{ title: string; steps: (view: TargetView) => void; state: TargetView["state"] }> = [
    { title: "health alone says draining", steps: view => recordHealth(view, "draining", 0), state: "draining" },
    {
        title: "health takes draining back",
        steps: view => {
            recordHealth(view, "draining", 0);
            recordHealth(view, "ready", 10);
        },
        state: "ready",
    },
    { title: "a refused request says draining", steps: view => recordDraining(view, 0), state: "draining" },
    {
        title: "health that lags does not take a refusal back",
        steps: view => {
            recordDraining(view, 0);
            recordHealth(view, "ready", 4_999);
        },
        state: "draining",
    },
    {
        title: "later health does",
        steps: view => {
            recordDraining(view, 0);
            recordHealth(view, "ready", 5_000);
        },
        state: "ready",
    },
];

for (const { title, steps, state } of cases) {
    test(title, async t => {
        const views = createTargetViews(() => 1);
        const view = views.of("orders", target);
        steps(view);
        t.is(view.state, state);
        await views.close();
    });
}
