import test from "ava";
import { type AdmissionReading, setGauges } from "../../src/machines/gauges.ts";

const readingOf = (pool: string, finished: number, speed = 1): AdmissionReading => ({
    pool,
    running: 1,
    waiting: 2,
    finished,
    speed,
});

const cases: Array<{ title: string; readings: AdmissionReading[]; gauges: Record<string, number> }> = [
    { title: "no lanes", readings: [], gauges: {} },
    {
        title: "an idle pool has no imbalance",
        readings: [readingOf("orders", 0), readingOf("orders", 0)],
        gauges: { "running orders": 2, "queue orders": 4 },
    },
    {
        title: "even load",
        readings: [readingOf("orders", 5), readingOf("orders", 5)],
        gauges: { "running orders": 2, "queue orders": 4, "imbalance orders": 1 },
    },
    {
        title: "uneven load of two pools",
        readings: [readingOf("orders", 30), readingOf("orders", 10), readingOf("stock", 4)],
        gauges: {
            "running orders": 2,
            "queue orders": 4,
            "imbalance orders": 1.5,
            "running stock": 1,
            "queue stock": 2,
            "imbalance stock": 1,
        },
    },
    {
        title: "a target of twice the speed has twice the load",
        readings: [readingOf("orders", 20, 2), readingOf("orders", 10)],
        gauges: { "running orders": 2, "queue orders": 4, "imbalance orders": 1 },
    },
];

for (const { title, readings, gauges } of cases) {
    test(title, t => {
        const found: Record<string, number> = {};
        setGauges(readings, {
            gauge: (name, value, tags) => {
                found[`${name} ${tags?.["pool"]}`] = value;
            },
        });
        t.deepEqual(found, gauges);
    });
}
