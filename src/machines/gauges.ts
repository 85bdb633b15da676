/**
 * Gauges of what this host has at each pool's targets: how many requests run and wait, and how evenly it sends them.
 */
import type { Clock } from "../contracts/clock.ts";
import { imbalanceOf } from "../decisions/balance.ts";
import type { Metrics } from "../links/metrics.ts";

/** One target's lane since the last reading. */
export type AdmissionReading = { pool: string; running: number; waiting: number; finished: number; speed: number };

export type GaugesOptions = {
    /** Reads all lanes and starts to count what finishes anew. */
    takeReadings: () => AdmissionReading[];
    metrics: Metrics;
    clock: Clock;
    signal: AbortSignal;
};

const roundMilliseconds = 5_000;

const sumOf = (values: number[]): number => values.reduce((sum, value) => sum + value, 0);

/** Sets the gauges `running`, `queue` and `imbalance` of each pool from one reading of its lanes. */
export const setGauges = (readings: AdmissionReading[], metrics: Pick<Metrics, "gauge">): void => {
    for (const pool of new Set(readings.map(reading => reading.pool))) {
        const own = readings.filter(reading => reading.pool === pool);
        metrics.gauge("running", sumOf(own.map(({ running }) => running)), { pool });
        metrics.gauge("queue", sumOf(own.map(({ waiting }) => waiting)), { pool });
        const loads = own.map(({ finished }) => finished);
        if (sumOf(loads) > 0) {
            const owners = [...own.keys()];
            metrics.gauge("imbalance", imbalanceOf({ owners, loads, weights: own.map(({ speed }) => speed) }), {
                pool,
            });
        }
    }
};

/** Starts to set the gauges until the signal aborts. */
export const startGauges = (options: GaugesOptions): void => {
    const { clock, signal } = options;
    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(roundMilliseconds, signal);
            setGauges(options.takeReadings(), options.metrics);
        }
    };
    void run();
};
