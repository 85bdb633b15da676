/**
 * The regular turn by which a host notices that it runs late, and so that it has more to do than it can.
 */
import type { Clock } from "../contracts/clock.ts";
import { createPressure, type Pressure } from "../decisions/pressure.ts";
import type { Metrics } from "../links/metrics.ts";

export type LoadSheddingOptions = {
    /** Standing lateness from which requests are refused. */
    latenessMilliseconds: number;
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    clock: Clock;
    metrics: Metrics;
    signal: AbortSignal;
};

export type SampleLatenessOptions = {
    /** Called with the lateness of each turn and the time since the one before, in milliseconds. */
    onSample: (lateMilliseconds: number, passedMilliseconds: number) => void;
    clock: Clock;
    signal: AbortSignal;
};

const turnMilliseconds = 50;

/** Takes a turn at a regular time until the signal aborts, and tells how late it came. */
export const sampleLateness = async ({ onSample: onTurn, clock, signal }: SampleLatenessOptions): Promise<void> => {
    let lastAt = clock.now();
    while (!signal.aborted) {
        await clock.sleep(turnMilliseconds, signal);
        const passed = clock.now() - lastAt;
        lastAt += passed;
        onTurn(Math.max(0, passed - turnMilliseconds), passed);
    }
};

/** Judges by its own turns, until the signal aborts, how many requests the host can take. */
export const startLoadShedding = (options: LoadSheddingOptions): Pick<Pressure, "refuses"> => {
    const { clock, metrics, signal } = options;
    const pressure = createPressure({ unit: options.random, boundMilliseconds: options.latenessMilliseconds });

    const onTurn = (lateMilliseconds: number, passedMilliseconds: number): void => {
        const before = pressure.refusedShare();
        pressure.noteTurn(lateMilliseconds, passedMilliseconds);
        if (before > 0 || pressure.refusedShare() > 0) {
            metrics.gauge("refused-share", pressure.refusedShare());
        }
    };

    void sampleLateness({ onSample: onTurn, clock, signal });
    return pressure;
};
