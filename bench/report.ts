/**
 * Formats reports of runs and saves them as text files.
 */
import { mkdir, writeFile } from "node:fs/promises";
import type { CaseResult } from "./runcase.ts";
import { sumLine, summaryTable } from "./summary.ts";
import { formatTable } from "./table.ts";

const resultsFolder = "bench/results";

const formatNumber = (value: number, digits: number): string => value.toFixed(digits);

const hostLines = (result: CaseResult): string[] =>
    formatTable(
        ["host", "cpu-%", "resident-MB", "peak-MB", "peer-KB/s", "ended"],
        result.hosts.map(host => [
            host.name,
            formatNumber(host.cpuShare * 100, 1),
            formatNumber(host.residentMegabytes, 0),
            formatNumber(host.peakMegabytes, 0),
            formatNumber(host.peerBytesPerSecond / 1_000, 2),
            host.ends.join(",") || "-",
        ]),
    );

const platformLine = ({ platform }: CaseResult): string => {
    const calls = Object.entries(platform.callsPerSecond).map(([name, count]) => `${name}=${formatNumber(count, 1)}`);
    const writes = Object.entries(platform.writes).map(([object, count]) => `${object}=${count}`);
    return `platform calls/s: ${calls.join(" ")} peak=${platform.peakCallsPerSecond} `
        + `KB/s=${formatNumber(platform.bytesPerSecond / 1_000, 1)} writes: ${writes.join(" ") || "none"}`;
};

const reasonLines = (result: CaseResult): string[] =>
    Object.entries(result.pools).filter(([, pool]) => Object.keys(pool.reasons).length > 0).map(([name, pool]) => {
        const counts = Object.entries(pool.reasons).map(([reason, count]) => `${reason}=${count}`);
        return `reasons ${name}: ${counts.join(" ")}`;
    });

/** Formats the report of one run as lines of text. */
export const reportLines = (result: CaseResult): string[] => [
    `case=${result.name} seed=${result.seed} kept=${result.kept} warm=${result.warm} cut-off=${result.cutOff}`,
    ...result.events.map(({ at, text, failed }) => `event at ${at} s: ${text}${failed ? " (broken)" : ""}`),
    ...summaryTable(result.pools),
    ...reasonLines(result),
    ...Object.values(result.pools).flatMap(({ findings }) => findings.map(finding => `finding: ${finding}`)),
    sumLine(result.pools),
    ...hostLines(result),
    platformLine(result),
    `control at targets: calls/s=${formatNumber(result.targetControl.callsPerSecond, 0)} `
    + `KB/s=${formatNumber(result.targetControl.bytesPerSecond / 1_000, 1)}`,
    `load generators: ${result.load.processes}, cpu-% each=${formatNumber(result.load.cpuShare * 100, 1)} `
    + `latest send ${formatNumber(result.load.latestSendMilliseconds, 1)} ms after it was due`,
];

/** Writes a text to `bench/results/NAME` and returns the path of the file. */
export const saveResult = async (name: string, text: string): Promise<string> => {
    await mkdir(resultsFolder, { recursive: true });
    const file = `${resultsFolder}/${name}`;
    await writeFile(file, text.endsWith("\n") ? text : `${text}\n`);
    return file;
};
