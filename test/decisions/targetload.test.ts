/**
 * Reported load decays. Guards against a target that gets no more requests for ever because its last reports showed a
 * long queue.
 */
import test from "ava";
import { placeRequest } from "../../src/decisions/placement.ts";
import { createTargetLoad } from "../../src/decisions/targetload.ts";

const slots = 3;
const limits = { objectiveMilliseconds: 400, remainingMilliseconds: 1_200 };

type Report = { at: number; running: number; waiting: number };

/** Reports every 50 ms for three seconds. */
const overloaded: Report[] = [...new Array(60).keys()].map(index => ({ at: index * 50, running: 3, waiting: 12 }));

const cases: Array<{ title: string; reports: Report[]; now: number; verdict: "placed" | "refused" }> = [
    { title: "no report", reports: [], now: 0, verdict: "placed" },
    {
        title: "a long queue reported just now",
        reports: [{ at: 0, running: 3, waiting: 12 }],
        now: 20,
        verdict: "refused",
    },
    {
        title: "long queues reported for 3 s, the last one 5 s ago",
        reports: overloaded,
        now: 8_000,
        verdict: "placed",
    },
    {
        title: "long queues reported for 3 s, the last one just now",
        reports: overloaded,
        now: 3_000,
        verdict: "refused",
    },
    { title: "free slots reported just now", reports: [{ at: 0, running: 1, waiting: 0 }], now: 20, verdict: "placed" },
];

for (const { title, reports, now, verdict } of cases) {
    test(`${title}: ${verdict}`, t => {
        const load = createTargetLoad(slots);
        reports.forEach(({ at, running, waiting }) => load.recordReport(at, { running, waiting }));
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

test("the effect of a reported service time ends within a second, and is limited", t => {
    const load = createTargetLoad(slots);
    t.is(load.serviceScale(0), 1);
    load.recordReport(1_000, { running: 1, waiting: 0, serviceScale: 4 });
    t.is(load.serviceScale(1_000), 4);
    t.is(load.serviceScale(1_500), 2.5);
    t.is(load.serviceScale(2_000), 1);
    load.recordReport(3_000, { running: 1, waiting: 0, serviceScale: 1_000 });
    t.is(load.serviceScale(3_000), 8);
});
