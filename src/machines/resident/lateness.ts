/**
 * How late the host's event loop runs, and which of its tasks take the time. A host that runs late does everything
 * late: it reads requests, tables and hang-ups that came long ago.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { sampleLateness } from "../loadshedding.ts";

/** Tasks that can hold up the event loop on a small machine. */
export type HostTask = "plan" | "renew" | "ownership" | "table" | "targets" | "report";

export type Lateness = {
    /** Runs a task and counts the time that it took. */
    measure: <Result>(task: HostTask, run: () => Result) => Result;
};

export type LatenessOptions = {
    /** Processor time of this process so far, in milliseconds. */
    processorMilliseconds: () => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Callers notice answers that come later by this much. */
const lateMilliseconds = 100;
/** A host that stays late says so this often. */
const reportMilliseconds = 1_000;

/** Watches the event loop until the signal aborts. */
export const createLateness = (options: LatenessOptions): Lateness => {
    const { processorMilliseconds, clock, log, metrics, signal } = options;
    let taken: Partial<Record<HostTask, number>> = {};
    let reportedAt = clock.now();
    let processorAtReport = processorMilliseconds();
    let worst = 0;

    const report = (now: number): void => {
        const passed = now - reportedAt;
        const processor = processorMilliseconds();
        const tasks = Object.entries(taken).map(([task, time]) => `${task}:${Math.round(time)}`).join(",");
        log.warn("host-late", {
            lateMilliseconds: Math.round(worst),
            passedMilliseconds: Math.round(passed),
            processorMilliseconds: Math.round(processor - processorAtReport),
            taskMilliseconds: tasks,
        });
        processorAtReport = processor;
    };

    const onTurn = (late: number): void => {
        const now = clock.now();
        worst = Math.max(worst, late);
        metrics.timing("lateness", late);
        if (now - reportedAt < reportMilliseconds) {
            return;
        }
        if (worst >= lateMilliseconds) {
            report(now);
        }
        else {
            processorAtReport = processorMilliseconds();
        }
        taken = {};
        worst = 0;
        reportedAt = now;
    };
    void sampleLateness({ onSample: onTurn, clock, signal });

    return {
        measure: (task, run) => {
            const startedAt = clock.now();
            try {
                return run();
            }
            finally {
                taken[task] = (taken[task] ?? 0) + clock.now() - startedAt;
            }
        },
    };
};
