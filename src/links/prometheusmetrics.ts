/**
 * Metrics in the text format of Prometheus, for a collector that fetches them: counters, gauges and latency histograms.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics, Tags } from "./metrics.ts";

/** `text` returns all metrics as of the call before it. */
export type PrometheusMetrics = { metrics: Metrics; text: () => string };

const prefix = "carobpier_";
/**
 * Upper bounds of the histogram's buckets, in milliseconds. Answers take between a few milliseconds and ten seconds.
 */
const latencyBucketsMilliseconds = [10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

const metricName = (name: string): string => prefix + name.replaceAll("-", "_");

/** Creates empty metrics. A series exists from its first value on; its first tags set the labels of the metric. */
export const createPrometheusMetrics = (): PrometheusMetrics => {
    const registry = new Registry();
    const counters = new Map<string, Counter>();
    const gauges = new Map<string, Gauge>();
    const histograms = new Map<string, Histogram>();
    const values = new Map<string, number>();
    let text = "";
    let isWriting = false;

    const findOrCreate = <Kind>(known: Map<string, Kind>, name: string, create: () => Kind): Kind => {
        const metric = known.get(name) ?? create();
        known.set(name, metric);
        return metric;
    };
    const metricOptions = (name: string, tags: Tags) => ({
        name: metricName(name),
        help: name,
        labelNames: Object.keys(tags),
        registers: [registry],
    });
    const updateValue = (name: string, tags: Tags, change: (before: number) => number): void => {
        const series = `${name}${JSON.stringify(tags)}`;
        values.set(series, change(values.get(series) ?? 0));
    };
    /** prom-client formats its text asynchronously, so a fetch gets the text that the fetch before it requested. */
    const refresh = (): void => {
        // Texts that are written at the same time would be held all at once.
        if (!isWriting) {
            isWriting = true;
            void registry.metrics().then(written => {
                text = written;
            }).finally(() => {
                isWriting = false;
            });
        }
    };

    return {
        metrics: {
            count: (name, tags = {}, amount = 1) => {
                findOrCreate(counters, name, () => new Counter(metricOptions(name, tags))).inc(tags, amount);
                updateValue(name, tags, before => before + amount);
            },
            timing: (name, milliseconds, tags = {}) => {
                const create = () =>
                    new Histogram({
                        ...metricOptions(`${name}_milliseconds`, tags),
                        buckets: latencyBucketsMilliseconds,
                    });
                findOrCreate(histograms, name, create).observe(tags, milliseconds);
            },
            gauge: (name, value, tags = {}) => {
                findOrCreate(gauges, name, () => new Gauge(metricOptions(name, tags))).set(tags, value);
                updateValue(name, tags, () => value);
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
