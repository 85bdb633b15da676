/**
 * The line on a caller's connection that left a request unanswered, dropped or unfinished: what it says, and how many are
 * written.
 */
import test from "ava";
import type { ConnectionEnd } from "../../../src/links/callerconnections.ts";
import { type Log, type LogFields, silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createCallerLog, type PlannedWork } from "../../../src/machines/resident/callerlog.ts";

const now = 5_000;

const createParts = (plannedWork: PlannedWork) => {
    const lines: LogFields[] = [];
    const log: Log = { ...silentLog, info: (...[, fields = {}]) => void lines.push(fields) };
    const metrics = createMetrics();
    const clock = { now: () => now, after: () => () => undefined, sleep: () => Promise.resolve() };
    const callerLog = createCallerLog({ log, metrics, clock, lateness: () => 412.4, plannedWork: () => plannedWork });
    return { lines, metrics, callerLog };
};

const unanswered: ConnectionEnd = {
    reason: "host-stopped",
    phase: "open",
    due: 2,
    requestIds: ["a", "b"],
    dropped: 0,
    unfinishedBytes: 0,
    unreadBytes: 37,
};
const dropped: ConnectionEnd = {
    reason: "host-closed",
    phase: "ended",
    due: 0,
    requestIds: [],
    dropped: 1,
    unfinishedBytes: 0,
    unreadBytes: undefined,
};
const calm: PlannedWork = { isStopping: false, reloadedAt: undefined, tableChangedAt: undefined };

const cases: Array<{ title: string; end: ConnectionEnd; work: PlannedWork; line: LogFields; lost: number }> = [
    {
        title: "answers that were due when the host stopped",
        end: unanswered,
        work: { isStopping: true, reloadedAt: 1_000, tableChangedAt: 4_749.6 },
        line: {
            reason: "host-stopped",
            by: "host",
            phase: "open",
            due: 2,
            dropped: 0,
            unfinishedBytes: 0,
            unreadBytes: 37,
            lateMilliseconds: 412,
            isStopping: true,
            sinceReloadMilliseconds: 4_000,
            sinceTableMilliseconds: 250,
            request: "a",
            requests: "a,b",
        },
        lost: 2,
    },
    {
        title: "a request that was dropped",
        end: dropped,
        work: calm,
        line: {
            reason: "host-closed",
            by: "host",
            phase: "ended",
            due: 0,
            dropped: 1,
            unfinishedBytes: 0,
            unreadBytes: undefined,
            lateMilliseconds: 412,
            isStopping: false,
            sinceReloadMilliseconds: undefined,
            sinceTableMilliseconds: undefined,
            request: undefined,
            requests: "",
        },
        lost: 0,
    },
];

for (const { title, end, work, line, lost } of cases) {
    test(`the end of a connection is logged with what may have caused it: ${title}`, t => {
        const { lines, metrics, callerLog } = createParts(work);
        callerLog.onConnectionEnd(end);
        t.deepEqual(lines, [line]);
        t.is(metrics.snapshot()[`answers-lost{reason=${end.reason},by=host}`] ?? 0, lost);
    });
}

test("of many ends of connections at once twenty are logged, and all answers are counted", t => {
    const { lines, metrics, callerLog } = createParts(calm);
    for (let count = 0; count < 100; count += 1) {
        callerLog.onConnectionEnd(unanswered);
    }
    t.is(lines.length, 20);
    t.is(metrics.snapshot()["answers-lost{reason=host-stopped,by=host}"], 200);
});
