/**
 * Measures how late the event loop of the host runs, and sheds requests while the host is overloaded.
 */
import type { Clock } from "../contracts/clock.ts";
import { createLoadShedder, type LoadShedder } from "../decisions/loadshedding.ts";
import type { Metrics } from "../links/metrics.ts";
import { keepRunning, type LongTaskOptions } from "./longtasks.ts";

export type LoadSheddingOptions = {
    /** Sustained lateness of the event loop from which requests are refused. */
    latenessMilliseconds: number;
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    metrics: Metrics;
} & LongTaskOptions;

export type SampleLatenessOptions = {
    /** Called with the lateness of each sample and the time since the sample before. */
    onSample: (lateMilliseconds: number, passedMilliseconds: number) => void;
    clock: Clock;
    signal: AbortSignal;
};

export const sampleIntervalMilliseconds = 50;

/** Sleeps for a regular interval until the signal aborts, and reports by how much each sleep took longer. */
export const sampleLateness = async ({ onSample, clock, signal }: SampleLatenessOptions): Promise<void> => {
    let lastAt = clock.now();
    while (!signal.aborted) {
        await clock.sleep(sampleIntervalMilliseconds, signal);
        const passed = clock.now() - lastAt;
        lastAt += passed;
        onSample(Math.max(0, passed - sampleIntervalMilliseconds), passed);
    }
};

/** Starts to sample lateness until the signal aborts. The result decides for each new request whether it is refused. */
export const startLoadShedding = (options: LoadSheddingOptions): Pick<LoadShedder, "refuses"> => {
    const { clock, metrics, signal } = options;
    const loadShedder = createLoadShedder({
        random: options.random,
        toleratedLatenessMilliseconds: options.latenessMilliseconds,
    });

    const onSample = (lateMilliseconds: number, passedMilliseconds: number): void => {
        const before = loadShedder.refusedShare();
        loadShedder.recordTick(lateMilliseconds, passedMilliseconds);
        if (before > 0 || loadShedder.refusedShare() > 0) {
            metrics.gauge("refused-share", loadShedder.refusedShare());
        }
    };

    void keepRunning("lateness", () => sampleLateness({ onSample, clock, signal }), options);
    return loadShedder;
};
