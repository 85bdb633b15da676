/**
 * Beliefs about a target's load age: what was told long ago must not keep requests away for good.
 */
import test from "ava";
import { placeRequest } from "../../src/decisions/placement.ts";
import { createTargetLoad } from "../../src/decisions/targetload.ts";

const slots = 3;
const limits = { objectiveMilliseconds: 400, remainingMilliseconds: 1_200 };

type Told = { at: number; running: number; waiting: number };

/** Told every 50 ms for three seconds. */
const overloaded: Told[] = [...new Array(60).keys()].map(index => ({ at: index * 50, running: 3, waiting: 12 }));

const cases: Array<{ title: string; told: Told[]; now: number; verdict: "placed" | "refused" }> = [
    { title: "nothing told", told: [], now: 0, verdict: "placed" },
    { title: "a long queue just told", told: [{ at: 0, running: 3, waiting: 12 }], now: 20, verdict: "refused" },
    {
        title: "long queues told for long, the last 5 s ago",
        told: overloaded,
        now: 8_000,
        verdict: "placed",
    },
    {
        title: "long queues told for long, the last one just now",
        told: overloaded,
        now: 3_000,
        verdict: "refused",
    },
    { title: "free slots just told", told: [{ at: 0, running: 1, waiting: 0 }], now: 20, verdict: "placed" },
];

for (const { title, told, now, verdict } of cases) {
    test(`${title}: ${verdict}`, t => {
        const load = createTargetLoad(slots);
        told.forEach(({ at, running, waiting }) => load.recordReport(at, { running, waiting }));
        const candidate = {
            name: "a",
            penaltyMilliseconds: 0,
            slots,
            load: load.expectedRequests(now),
            serviceMilliseconds: 120,
        };
        t.is(placeRequest([candidate], limits, () => 0.5).verdict, verdict);
    });
}
