/**
 * The summary of a run: a table with one row for each pool, and a line of sums that shows whether the guarantees hold.
 */
import type { Histogram } from "hdr-histogram-js";
import { formatTable } from "./table.ts";
import { keepsGuarantees, type PoolVerdict } from "./verdict.ts";

export type PoolSummary = PoolVerdict & { p50Milliseconds: number; p99Milliseconds: number };

const columns = [
    "pool",
    "requests",
    "answered",
    "not-run",
    "unknown",
    "doubled",
    "p50-ms",
    "p99-ms",
    "imbalance",
    "keys-moved",
    "unserved-ms",
];

const microsecondsPerMillisecond = 1_000;

/** Adds percentiles of the latency to a verdict. */
export const summarize = (verdict: PoolVerdict, histogram: Histogram): PoolSummary => ({
    ...verdict,
    p50Milliseconds: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
    p99Milliseconds: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
});

const formatRow = (pool: string, summary: PoolSummary): string[] => [
    pool,
    String(summary.requests),
    String(summary.answered),
    String(summary.notRun),
    String(summary.unknown),
    String(summary.doubled),
    summary.p50Milliseconds.toFixed(1),
    summary.p99Milliseconds.toFixed(1),
    summary.imbalance.toFixed(2),
    String(summary.keysMoved),
    summary.longestUnservedMilliseconds.toFixed(0),
];

/** Formats the table of pools. */
export const summaryTable = (pools: Record<string, PoolSummary>): string[] =>
    formatTable(columns, Object.entries(pools).map(([pool, summary]) => formatRow(pool, summary)));

const sumFields = [
    ["doubled", "doubled"],
    ["wrong", "wrong"],
    ["partial", "partial"],
    ["answered", "answered"],
    ["not-run", "notRun"],
    ["unknown", "unknown"],
    ["lost", "lost"],
    ["ran-after-not-run", "ranAfterNotRun"],
    ["owners-at-once", "ownersAtOnce"],
    ["outside-ownership", "outsideOwnership"],
] as const;

/** Formats the sums over all pools as one line: `doubled=0 wrong=0 partial=0 answered=N ...`. */
export const sumLine = (pools: Record<string, PoolSummary>): string =>
    sumFields.map(([label, name]) =>
        `${label}=${Object.values(pools).reduce((sum, summary) => sum + summary[name], 0)}`
    )
        .join(" ");

/** Whether all guarantees hold in all pools and at least one request was answered in each. */
export const allKeepGuarantees = (pools: Record<string, PoolSummary>): boolean =>
    Object.values(pools).every(summary => keepsGuarantees(summary) && summary.answered > 0);
