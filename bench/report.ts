/**
 * Reports of runs as small text files.
 */
import { mkdir, writeFile } from "node:fs/promises";
import type { CaseResult } from "./runcase.ts";
import { sumLine, summaryTable } from "./summary.ts";
import { formatTable } from "./table.ts";

const resultsFolder = "bench/results";

const fixed = (value: number, digits: number): string => value.toFixed(digits);

const hostRows = (result: CaseResult): string[] =>
    formatTable(
        ["host", "cpu-%", "resident-MB", "peak-MB", "peer-KB/s", "ended"],
        result.hosts.map(host => [
            host.name,
            fixed(host.cpuShare * 100, 1),
            fixed(host.residentMegabytes, 0),
            fixed(host.peakMegabytes, 0),
            fixed(host.peerBytesPerSecond / 1_000, 2),
            host.ends.join(",") || "-",
        ]),
    );

const platformLine = ({ platform }: CaseResult): string => {
    const calls = Object.entries(platform.callsPerSecond).map(([name, count]) => `${name}=${fixed(count, 1)}`);
    const writes = Object.entries(platform.writes).map(([place, count]) => `${place}=${count}`);
    return `platform calls/s: ${calls.join(" ")} peak=${platform.peakCallsPerSecond} `
        + `KB/s=${fixed(platform.bytesPerSecond / 1_000, 1)} writes: ${writes.join(" ") || "none"}`;
};

const reasonLines = (result: CaseResult): string[] =>
    Object.entries(result.pools).filter(([, pool]) => Object.keys(pool.reasons).length > 0).map(([name, pool]) => {
        const counts = Object.entries(pool.reasons).map(([reason, count]) => `${reason}=${count}`);
        return `reasons ${name}: ${counts.join(" ")}`;
    });

/** The lines of one run. */
export const reportLines = (result: CaseResult): string[] => [
    `case=${result.name} seed=${result.seed} kept=${result.kept} warm=${result.warm} cut-off=${result.cutOff}`,
    ...result.events.map(({ at, text, failed }) => `event at ${at} s: ${text}${failed ? " (broken)" : ""}`),
    ...summaryTable(result.pools),
    ...reasonLines(result),
    ...Object.values(result.pools).flatMap(({ findings }) => findings.map(finding => `finding: ${finding}`)),
    sumLine(result.pools),
    ...hostRows(result),
    platformLine(result),
    `control at targets: calls/s=${fixed(result.targetControl.callsPerSecond, 0)} `
    + `KB/s=${fixed(result.targetControl.bytesPerSecond / 1_000, 1)}`,
    `load generators: ${result.load.processes}, cpu-% each=${fixed(result.load.cpuShare * 100, 1)} `
    + `latest send ${fixed(result.load.latestSendMilliseconds, 1)} ms after it was due`,
];

/** Writes lines to `bench/results/NAME`. */
export const saveResult = async (name: string, text: string): Promise<string> => {
    await mkdir(resultsFolder, { recursive: true });
    const file = `${resultsFolder}/${name}`;
    await writeFile(file, text.endsWith("\n") ? text : `${text}\n`);
    return file;
};
