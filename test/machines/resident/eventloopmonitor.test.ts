/**
 * A host whose event loop is delayed must log the delay and the tasks that took the time.
 */
import test from "ava";
import type { Log, LogFields } from "../../../src/links/logs.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createEventLoopMonitor } from "../../../src/machines/resident/eventloopmonitor.ts";

type Line = { event: string; fields: LogFields };

/**
 * Runs a host whose event loop turns are delayed by the given times, all of it spent on planning. Returns its log, and the
 * lateness that the monitor told after each turn.
 */
const run = async (delays: number[]): Promise<{ lines: Line[]; told: number[] }> => {
    const told: number[] = [];
    const lines: Line[] = [];
    const lifetime = new AbortController();
    let now = 0;
    let turn = 0;
    const log: Log = { ...silentLog, warn: (event, fields = {}) => lines.push({ event, fields }) };
    const { measure, lateness } = createEventLoopMonitor({
        processorMilliseconds: () => now,
        clock: {
            now: () => now,
            after: () => () => undefined,
            sleep: async milliseconds => {
                await Promise.resolve();
                told.push(lateness());
                const late = delays[turn];
                turn += 1;
                if (late === undefined) {
                    lifetime.abort();
                    return;
                }
                now += milliseconds;
                measure("plan", () => now += late);
            },
        },
        log,
        metrics: createMetrics(),
        signal: lifetime.signal,
    });
    await new Promise(resolve => setImmediate(resolve));
    return { lines, told };
};

const turns = (count: number, late: number): number[] => Array.from({ length: count }, () => late);

const cases = [
    { title: "a host whose event loop is on time logs nothing", delays: turns(60, 5), expected: [] },
    { title: "one late turn is logged", delays: [...turns(10, 0), 700, ...turns(30, 0)], expected: [700] },
    { title: "a host that stays late logs it every second", delays: turns(10, 950), expected: turns(10, 950) },
];

for (const { title, delays, expected } of cases) {
    test(title, async t => {
        const { lines } = await run(delays);
        t.deepEqual(lines.map(({ event }) => event), expected.map(() => "host-late"));
        t.deepEqual(lines.map(({ fields }) => fields["lateMilliseconds"]), expected);
        t.true(lines.every(({ fields }) => String(fields["taskMilliseconds"]).startsWith("plan:")));
    });
}

test("a late turn is told for a second after it", async t => {
    const { told } = await run([...turns(10, 0), 700, ...turns(60, 0)]);
    t.deepEqual(told.slice(0, 11), turns(11, 0));
    t.deepEqual(told.slice(11, 31), turns(20, 700));
    t.is(told.at(-1), 0);
});
