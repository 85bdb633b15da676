/**
 * Monitors the delay of the host's event loop and the tasks that take its time. A host with a delayed event loop reads
 * requests, route tables and hang-ups long after they arrived.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { sampleIntervalMilliseconds, sampleLateness } from "../loadshedding.ts";
import { keepRunning } from "../longtasks.ts";

/** Tasks that can block the event loop on a small machine. */
export type HostTask = "plan" | "renew" | "ownership" | "table" | "targets" | "report";

export type EventLoopMonitor = {
    /** Runs a task and records the time that it took. */
    measure: <Result>(task: HostTask, run: () => Result) => Result;
    /** By how much the event loop was late at most in the last second or two, or is late now, in milliseconds. */
    lateness: () => number;
};

export type EventLoopMonitorOptions = {
    /** Returns the processor time that this process has used, in milliseconds. */
    processorMilliseconds: () => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Delay from which callers notice that answers come later. */
const minReportedDelayMilliseconds = 100;
/** Interval at which a host whose event loop stays delayed logs it. */
const reportMilliseconds = 1_000;

/** Monitors the event loop until the signal aborts. */
export const createEventLoopMonitor = (options: EventLoopMonitorOptions): EventLoopMonitor => {
    const { processorMilliseconds, clock, log, metrics, signal } = options;
    let taskTimes: Partial<Record<HostTask, number>> = {};
    let reportedAt = clock.now();
    let processorAtReport = processorMilliseconds();
    let longestDelay = 0;
    let longestDelayBefore = 0;
    let turnedAt = clock.now();

    const report = (now: number): void => {
        const passed = now - reportedAt;
        const processor = processorMilliseconds();
        const tasks = Object.entries(taskTimes).map(([task, time]) => `${task}:${Math.round(time)}`).join(",");
        log.warn("host-late", {
            lateMilliseconds: Math.round(longestDelay),
            passedMilliseconds: Math.round(passed),
            processorMilliseconds: Math.round(processor - processorAtReport),
            taskMilliseconds: tasks,
        });
        processorAtReport = processor;
    };

    const onTurn = (delay: number): void => {
        const now = clock.now();
        turnedAt = now;
        longestDelay = Math.max(longestDelay, delay);
        metrics.timing("lateness", delay);
        if (now - reportedAt < reportMilliseconds) {
            return;
        }
        if (longestDelay >= minReportedDelayMilliseconds) {
            report(now);
        }
        else {
            processorAtReport = processorMilliseconds();
        }
        taskTimes = {};
        longestDelayBefore = longestDelay;
        longestDelay = 0;
        reportedAt = now;
    };
    void keepRunning("lateness", () => sampleLateness({ onSample: onTurn, clock, signal }), options);

    return {
        measure: (task, run) => {
            const startedAt = clock.now();
            try {
                return run();
            }
            finally {
                taskTimes[task] = (taskTimes[task] ?? 0) + clock.now() - startedAt;
            }
        },
        lateness: () => Math.max(longestDelay, longestDelayBefore, clock.now() - turnedAt - sampleIntervalMilliseconds),
    };
};
