/**
 * An end by the heap's limit leaves no line, so that a heap that is nearly full must be told before, in few lines.
 */
import test from "ava";
import { type Log, silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { monitorHeap } from "../../../src/machines/resident/heapmonitor.ts";

const megabyte = 1_048_576;

/** Monitors a heap of 100 MB that is as full as given at each check. Returns the seconds at which a line was logged. */
const run = async (shares: number[]) => {
    const lines: number[] = [];
    const lifetime = new AbortController();
    let now = 0;
    let check = 0;
    const log: Log = {
        ...silentLog,
        warn: (event, fields = {}) => {
            lines.push(event === "heap-nearly-full" && fields["limitMegabytes"] === 100 ? now / 1_000 : NaN);
        },
    };
    const metrics = createMetrics();
    monitorHeap({
        readHeap: () => ({
            used: (shares[check - 1] ?? 0) * 100 * megabyte,
            limit: 100 * megabyte,
            external: megabyte,
        }),
        clock: {
            now: () => now,
            after: () => () => undefined,
            sleep: async milliseconds => {
                await Promise.resolve();
                now += milliseconds;
                check += 1;
                if (check === shares.length) {
                    lifetime.abort();
                }
            },
        },
        log,
        metrics,
        signal: lifetime.signal,
    });
    await new Promise(resolve => setImmediate(resolve));
    return { lines, metrics: metrics.snapshot() };
};

const steady = (count: number, share: number): number[] => Array.from({ length: count }, () => share);

const cases = [
    { title: "a heap with room is not logged", shares: steady(40, 0.79), expected: [] },
    { title: "a heap that is nearly full is logged at once", shares: [0.5, 0.5, 0.8, 0.5], expected: [0.75] },
    {
        title: "a heap that stays nearly full is logged every 30 s",
        shares: steady(260, 0.9),
        expected: [0.25, 30.25, 60.25],
    },
    {
        title: "a heap that is nearly full at every other moment is logged every 30 s",
        shares: steady(260, 0).map((share, index) => index % 2 === 0 ? 0.9 : share),
        expected: [0.25, 30.25, 60.25],
    },
];

for (const { title, shares, expected } of cases) {
    test(title, async t => {
        const { lines, metrics } = await run(shares);
        t.deepEqual(lines, expected);
        t.is(metrics["heap-limit-bytes"], 100 * megabyte);
        t.is(metrics["heap-used-bytes"], (shares.at(-1) ?? 0) * 100 * megabyte);
        t.is(metrics["heap-external-bytes"], megabyte);
    });
}
