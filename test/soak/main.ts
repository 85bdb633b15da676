/**
 * Plays seeded disturbances against processes of the built program and prints what broke a rule.
 *
 *     npx tsx test/soak/main.ts --seed N --hosts H --seconds S [--site NAME] [--play NAME] [--share X] [--program PATH]
 *         [--logs FOLDER] [--verbose]
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { createPlan, plays, sites } from "./plan.ts";
import { play } from "./play.ts";
import { type Finding, heldSlack, judge, type Slack, type SoakRecords, usualSlack } from "./verdict.ts";

export type SoakOptions = {
    seed: number;
    site: string;
    play: string;
    hosts: number;
    seconds: number;
    share: number;
    path?: string | undefined;
    slack?: Slack;
    report: (line: string) => void;
};

export const soak = async (options: SoakOptions): Promise<{ records: SoakRecords; findings: Finding[] }> => {
    const site = sites[options.site];
    const name = plays.find(each => each === options.play);
    if (site === undefined || name === undefined) {
        throw new Error(`Sites: ${Object.keys(sites).join(", ")}. Plays: ${plays.join(", ")}.`);
    }
    const { seed, hosts, seconds, share, path, report } = options;
    const steps = createPlan({ seed, play: name, hosts, seconds, services: site.services.length });
    const isThin = name === "thin" || (name === "mixed" && seed % 3 === 0);
    const records = await play({ seed, site, hosts, seconds, share, isThin, steps, path, report });
    return { records, findings: judge(records, options.slack ?? (name === "held" ? heldSlack : usualSlack)) };
};

/** Whether a finding breaks a rule. */
export const isBreach = ({ rule }: Finding): boolean => !["EARLY", "CUT", "FAILED"].includes(rule);

export const describe = (finding: Finding): string =>
    [
        `${finding.rule} at ${Math.round(finding.at)} ms, ${finding.host} ${finding.request}: ${finding.text}`,
        ...finding.lines.map(line => `    ${line}`),
    ].join("\n");

const main = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            hosts: { type: "string", default: "4" },
            seconds: { type: "string", default: "25" },
            site: { type: "string", default: "hallam" },
            play: { type: "string", default: "mixed" },
            share: { type: "string", default: "" },
            program: { type: "string" },
            logs: { type: "string" },
            verbose: { type: "boolean", default: false },
        },
    });
    const hosts = Number(values.hosts);
    const { records, findings } = await soak({
        seed: Number(values.seed),
        site: values.site,
        play: values.play,
        hosts,
        seconds: Number(values.seconds),
        share: Number(values.share || hosts / (sites[values.site]?.hosts ?? hosts)),
        path: values.program,
        report: line => values.verbose && console.log(line),
    });
    const { logs } = values;
    if (logs !== undefined) {
        mkdirSync(logs, { recursive: true });
        records.lives.forEach(({ host, log }, index) => writeFileSync(join(logs, `${index}-${host}.log`), log));
    }
    findings.forEach(finding => console.log(describe(finding)));
    const statuses = new Map<string, number>();
    for (const { outcome, status } of records.requests) {
        const key = outcome === "answer" ? String(status) : outcome;
        statuses.set(key, (statuses.get(key) ?? 0) + 1);
    }
    const counts = new Map<string, number>();
    findings.forEach(({ rule }) => counts.set(rule, (counts.get(rule) ?? 0) + 1));
    const text = (of: Map<string, number>): string => [...of].sort().map(([key, count]) => `${key}=${count}`).join(" ");
    console.log(
        `${values.site} ${values.play} seed=${values.seed} hosts=${hosts}: ${records.lives.length} processes,`,
        `${records.requests.length} requests (${text(statuses)}), stall ${Math.round(records.stallMilliseconds)} ms,`,
        `findings: ${text(counts) || "none"}`,
    );
    process.exit(findings.some(isBreach) ? 1 : 0);
};

if (process.argv[1]?.endsWith("soak/main.ts")) {
    await main();
}
