/**
 * Slopes: the growth of a metric with a size, as a least-squares line through at least three runs.
 */
import { type BenchCase, caseSchema } from "./case.ts";
import type { Programs } from "./fleet.ts";
import { type CaseResult, runCase } from "./runcase.ts";
import { formatTable } from "./table.ts";

/** A fitted line; `residual` is the root mean square of the deviations from it. */
export type LinearFit = { intercept: number; slope: number; residual: number };

export type SlopeMetrics = Record<string, number>;

/** Fits the least-squares line through points. */
export const fitLine = (points: Array<[x: number, y: number]>): LinearFit => {
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
    const spread = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const slope = spread === 0 ? 0 : points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / spread;
    const intercept = meanY - slope * meanX;
    const squares = points.reduce((sum, [x, y]) => sum + (y - intercept - slope * x) ** 2, 0);
    return { intercept, slope, residual: Math.sqrt(squares / points.length) };
};

const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Collects the metrics of a run for which slopes are fitted. Metrics of hosts are means over all hosts. */
export const collectMetrics = (result: CaseResult): SlopeMetrics => ({
    "host-cpu-%": mean(result.hosts.map(host => host.cpuShare * 100)),
    "host-peak-MB": mean(result.hosts.map(host => host.peakMegabytes)),
    "host-peer-KB/s": mean(result.hosts.map(host => host.peerBytesPerSecond / 1_000)),
    "host-target-control-KB/s": result.targetControl.bytesPerSecond / 1_000 / result.hosts.length,
    "platform-reads/s": (result.platform.callsPerSecond["list"] ?? 0) + (result.platform.callsPerSecond["get"] ?? 0)
        + (result.platform.callsPerSecond["watch"] ?? 0) + (result.platform.callsPerSecond["hosts"] ?? 0),
    "platform-writes/s": result.platform.callsPerSecond["put"] ?? 0,
    "platform-KB/s": result.platform.bytesPerSecond / 1_000,
});

/** Runs the case once for each size. Returns a table of the metrics and the lines fitted through them. */
export const runSlope = async (
    name: string,
    benchCase: BenchCase,
    seed: number,
    programs: Programs,
): Promise<{ lines: string[]; fits: Record<string, LinearFit>; kept: boolean }> => {
    const { slope, ...base } = benchCase;
    const over = slope?.over ?? "hosts";
    const rows: Array<{ size: number; metrics: SlopeMetrics; kept: boolean }> = [];
    for (const size of slope?.values ?? []) {
        const sizedCase = caseSchema.parse({ ...base, [over]: size });
        const result = await runCase({ name: `${name}-${size}`, benchCase: sizedCase, seed, programs });
        rows.push({ size, metrics: collectMetrics(result), kept: result.kept });
    }
    const metricNames = Object.keys(rows[0].metrics);
    const fits = Object.fromEntries(
        metricNames.map(metric => [metric, fitLine(rows.map(row => [row.size, row.metrics[metric]]))]),
    );
    const table = formatTable(
        [over, ...metricNames, "kept"],
        rows.map(row => [
            String(row.size),
            ...metricNames.map(metric => row.metrics[metric].toFixed(2)),
            String(row.kept),
        ]),
    );
    const fitRows = metricNames.map(metric => {
        const { intercept, slope: slopeOfFit, residual } = fits[metric];
        return [metric, intercept.toPrecision(4), slopeOfFit.toPrecision(4), residual.toPrecision(2)];
    });
    const lines = [...table, ...formatTable(["figure", "at-zero", `per-${over}`, "residual"], fitRows)];
    return { lines, fits, kept: rows.every(row => row.kept) };
};
