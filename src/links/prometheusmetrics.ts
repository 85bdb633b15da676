/**
 * Metrics as text for a collector that fetches them: counters, gauges and latency histograms.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics, Tags } from "./metrics.ts";

export type PrometheusMetrics = { metrics: Metrics; text: () => string };

const prefix = "carobpier_";
/** Upper bounds in milliseconds: answers take between a few milliseconds and ten seconds. */
const latencyBuckets = [10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

const metricName = (name: string): string => prefix + name.replaceAll("-", "_");

/** Creates empty metrics. A series begins with its first value. */
export const createPrometheusMetrics = (): PrometheusMetrics => {
    const registry = new Registry();
    const counters = new Map<string, Counter>();
    const gauges = new Map<string, Gauge>();
    const histograms = new Map<string, Histogram>();
    const values = new Map<string, number>();
    let text = "";

    const found = <Kind>(known: Map<string, Kind>, name: string, create: () => Kind): Kind => {
        const held = known.get(name) ?? create();
        known.set(name, held);
        return held;
    };
    const shapeOf = (name: string, tags: Tags) => ({
        name: metricName(name),
        help: name,
        labelNames: Object.keys(tags),
        registers: [registry],
    });
    const remember = (name: string, tags: Tags, change: (before: number) => number): void => {
        const series = `${name}${JSON.stringify(tags)}`;
        values.set(series, change(values.get(series) ?? 0));
    };
    /** prom-client writes its text asynchronously; a fetch gets the text of the one before. */
    const refresh = (): void => {
        void registry.metrics().then(written => {
            text = written;
        });
    };

    return {
        metrics: {
            count: (name, tags = {}, amount = 1) => {
                found(counters, name, () => new Counter(shapeOf(name, tags))).inc(tags, amount);
                remember(name, tags, before => before + amount);
            },
            timing: (name, milliseconds, tags = {}) => {
                const create = () =>
                    new Histogram({ ...shapeOf(`${name}_milliseconds`, tags), buckets: latencyBuckets });
                found(histograms, name, create).observe(tags, milliseconds);
            },
            gauge: (name, value, tags = {}) => {
                found(gauges, name, () => new Gauge(shapeOf(name, tags))).set(tags, value);
                remember(name, tags, () => value);
            },
            snapshot: () => Object.fromEntries(values),
            close: () => Promise.resolve(),
        },
        text: () => {
            refresh();
            return text;
        },
    };
};
