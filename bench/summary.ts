/**
 * The summary of a run: one row a pool, and the sums that tell at a glance whether the promises held.
 */
import type { Histogram } from "hdr-histogram-js";
import { formatTable } from "./table.ts";
import { keepsGuarantees, type PoolVerdict } from "./verdict.ts";

export type PoolSummary = PoolVerdict & { p50Milliseconds: number; p99Milliseconds: number };

const head = [
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

/** Adds the latencies to a verdict. */
export const summarize = (verdict: PoolVerdict, histogram: Histogram): PoolSummary => ({
    ...verdict,
    p50Milliseconds: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
    p99Milliseconds: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
});

const rowOf = (pool: string, summary: PoolSummary): string[] => [
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

/** The table of pools. */
export const summaryTable = (pools: Record<string, PoolSummary>): string[] =>
    formatTable(head, Object.entries(pools).map(([pool, summary]) => rowOf(pool, summary)));

const sumNames = [
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

/** One line of sums over all pools: `doubled=0 wrong=0 partial=0 answered=N ...`. */
export const sumLine = (pools: Record<string, PoolSummary>): string =>
    sumNames.map(([label, name]) => `${label}=${Object.values(pools).reduce((sum, summary) => sum + summary[name], 0)}`)
        .join(" ");

/** Whether all promises were kept in all pools, and requests were answered in each. */
export const allKeepGuarantees = (pools: Record<string, PoolSummary>): boolean =>
    Object.values(pools).every(summary => keepsGuarantees(summary) && summary.answered > 0);
