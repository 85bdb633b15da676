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
    {
        title: "the health endpoint reports draining",
        steps: view => recordHealth(view, "draining", 0),
        state: "draining",
    },
    {
        title: "the health endpoint reports ready after draining",
        steps: view => {
            recordHealth(view, "draining", 0);
            recordHealth(view, "ready", 10);
        },
        state: "ready",
    },
    { title: "a refused request reports draining", steps: view => recordDraining(view, 0), state: "draining" },
    {
        title: "the health endpoint does not override a refusal of less than 5 s ago",
        steps: view => {
            recordDraining(view, 0);
            recordHealth(view, "ready", 4_999);
        },
        state: "draining",
    },
    {
        title: "the health endpoint overrides a refusal of 5 s ago",
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
