/**
 * Metrics in the text format of Prometheus: counters and histograms with their labels.
 */
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { createPrometheusMetrics } from "../../src/links/prometheusmetrics.ts";

test("counters and latencies are written with their labels", async t => {
    const { metrics, text } = createPrometheusMetrics();
    metrics.count("requests", { outcome: "answered", reason: "none" });
    metrics.count("requests", { outcome: "not-run", reason: "no-owner" }, 2);
    metrics.timing("work", 130, { pool: "stock" });
    text();
    await sleep(20);
    const written = text();
    t.regex(written, /carobpier_requests\{outcome="answered",reason="none"\} 1/);
    t.regex(written, /carobpier_requests\{outcome="not-run",reason="no-owner"\} 2/);
    t.regex(written, /carobpier_work_milliseconds_bucket\{le="200",pool="stock"\} 1/);
});

test("counting with a label that the counter was not created with throws", t => {
    const { metrics } = createPrometheusMetrics();
    metrics.count("requests", { outcome: "answered" });
    t.throws(() => metrics.count("requests", { outcome: "not-run", reason: "no-owner" }), { message: /label/ });
});
