/**
 * Tells how full the heap is. The process ends without a line when the heap reaches its limit, so the line must come before.
 */
import type { HeapSizes } from "../../links/heap.ts";
import type { Metrics } from "../../links/metrics.ts";
import { type LongTaskOptions, repeatTask } from "../longtasks.ts";

export type HeapMonitorOptions = LongTaskOptions & {
    readHeap: () => HeapSizes;
    metrics: Metrics;
};

/** A heap that is filled by what a few answers hold is full within seconds. */
const intervalMilliseconds = 250;
/** Interval at which a heap that stays nearly full is logged. */
const repeatMilliseconds = 30_000;
/** Share of the limit from which the heap is nearly full. */
const highShare = 0.8;

const bytesOfMegabyte = 1_048_576;

/** Monitors the heap until the signal aborts. */
export const monitorHeap = (options: HeapMonitorOptions): void => {
    const { readHeap, clock, log, metrics } = options;
    let loggedAt = -Infinity;

    const check = (): void => {
        const { used, limit, external } = readHeap();
        metrics.gauge("heap-used-bytes", used);
        metrics.gauge("heap-limit-bytes", limit);
        metrics.gauge("heap-external-bytes", external);
        if (used < highShare * limit || clock.now() - loggedAt < repeatMilliseconds) {
            return;
        }
        loggedAt = clock.now();
        log.warn("heap-nearly-full", {
            usedMegabytes: Math.round(used / bytesOfMegabyte),
            limitMegabytes: Math.round(limit / bytesOfMegabyte),
            externalMegabytes: Math.round(external / bytesOfMegabyte),
        });
    };
    void repeatTask("heap", () => intervalMilliseconds, check, options);
};
