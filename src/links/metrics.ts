/**
 * Metrics of a host: counters, gauges and timings. Counters and gauges are kept in memory for `status`; all are sent to
 * StatsD over UDP when the settings name a server.
 */
import { StatsD } from "hot-shots";
import type { Settings } from "../contracts/settings.ts";

export type Tags = Record<string, string>;

export type Metrics = {
    /** Adds to a counter. */
    count: (name: string, tags?: Tags, amount?: number) => void;
    /** Records a duration in milliseconds. */
    timing: (name: string, milliseconds: number, tags?: Tags) => void;
    /** Sets a gauge. */
    gauge: (name: string, value: number, tags?: Tags) => void;
    /** All counters and gauges by `name{tag=value,...}`, sorted by name. */
    snapshot: () => Record<string, number>;
    /** Closes the connection to the collector, if there is one. */
    close: () => Promise<void>;
};

const formatSeries = (name: string, tags: Tags | undefined): string => {
    if (tags === undefined) {
        return name;
    }
    const pairs = Object.entries(tags).map(([key, value]) => `${key}=${value}`);
    return `${name}{${pairs.join(",")}}`;
};

const openStatsd = (settings: Settings["metrics"]): StatsD | undefined =>
    settings === undefined
        ? undefined
        : new StatsD({
            host: settings.address,
            port: settings.port,
            prefix: settings.prefix,
            maxBufferSize: 1_400,
            bufferFlushInterval: 500,
            errorHandler: () => undefined,
        });

/** Creates the metrics of one host. Without settings, nothing is sent to StatsD. */
export const createMetrics = (settings?: Settings["metrics"]): Metrics => {
    const statsd = openStatsd(settings);
    const values = new Map<string, number>();
    return {
        count: (name, tags, amount = 1) => {
            const series = formatSeries(name, tags);
            values.set(series, (values.get(series) ?? 0) + amount);
            statsd?.increment(name, amount, tags);
        },
        timing: (name, milliseconds, tags) => statsd?.timing(name, milliseconds, tags),
        gauge: (name, value, tags) => {
            values.set(formatSeries(name, tags), value);
            statsd?.gauge(name, value, tags);
        },
        snapshot: () => Object.fromEntries([...values].sort(([left], [right]) => (left < right ? -1 : 1))),
        close: () => new Promise(resolve => statsd === undefined ? resolve() : statsd.close(() => resolve())),
    };
};
