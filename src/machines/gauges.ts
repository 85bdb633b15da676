/**
 * Gauges of this host's requests to the targets of each pool: how many run, how many wait, and how evenly they are
 * spread.
 */
import { imbalanceOf } from "../decisions/balance.ts";
import type { Metrics } from "../links/metrics.ts";
import { type LongTaskOptions, repeatTask } from "./longtasks.ts";

/** Requests of this host to one target. `finished` counts those that ended since the last reading. */
export type AdmissionReading = { pool: string; running: number; waiting: number; finished: number; speed: number };

export type GaugesOptions = {
    /** Reads the counts of all targets and resets the count of finished requests. */
    takeReadings: () => AdmissionReading[];
    metrics: Metrics;
} & LongTaskOptions;

const gaugeIntervalMilliseconds = 5_000;

const sumOf = (values: number[]): number => values.reduce((sum, value) => sum + value, 0);

/** Sets the gauges `running`, `queue` and `imbalance` of each pool from the readings of its targets. */
export const setGauges = (readings: AdmissionReading[], metrics: Pick<Metrics, "gauge">): void => {
    for (const pool of new Set(readings.map(reading => reading.pool))) {
        const ofPool = readings.filter(reading => reading.pool === pool);
        metrics.gauge("running", sumOf(ofPool.map(({ running }) => running)), { pool });
        metrics.gauge("queue", sumOf(ofPool.map(({ waiting }) => waiting)), { pool });
        const loads = ofPool.map(({ finished }) => finished);
        if (sumOf(loads) > 0) {
            const owners = [...ofPool.keys()];
            metrics.gauge("imbalance", imbalanceOf({ owners, loads, weights: ofPool.map(({ speed }) => speed) }), {
                pool,
            });
        }
    }
};

/** Sets the gauges at a regular interval until the signal aborts. */
export const startGauges = (options: GaugesOptions): void => {
    const update = (): void => setGauges(options.takeReadings(), options.metrics);
    void repeatTask("gauges", () => gaugeIntervalMilliseconds, update, options);
};
