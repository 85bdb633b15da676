/**
 * Plays sites with a scoring bench and compares each score with the last one of the journal that was made in the same way:
 * `npm run regressions -- --bench PROGRAM [--size quick|small|full] [--noise N] [--day-noise N] [--jobs N] [--why TEXT]
 * SITE...`. Ends with 1 when something fell by more than noise. With `--recorded`, the last two scores of each site are compared, and
 * nothing is played.
 */
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import { parseArgs } from "node:util";
import { InputError, messageOf } from "../src/contracts/errors.ts";
import { compareScores, findEarlier, type ScoreEntry, scoreEntrySchema, type ScoreNoise } from "./scorechange.ts";
import { formatTable } from "./table.ts";

const journalFolder = "journal";
const sizes: Record<string, string[]> = { quick: ["--quick"], small: ["--small"], full: [] };
const usage = "Usage: npm run regressions -- (--bench PROGRAM | --recorded) [--size quick|small|full]\n"
    + "           [--noise N] [--day-noise N] [--jobs N] [--why TEXT] SITE...";

const writeLine = (line: string): void => void process.stdout.write(`${line}\n`);

/** Returns the scores in the journal. Entries of other plays have other fields and are left out. */
const readJournal = (): ScoreEntry[] =>
    readdirSync(journalFolder)
        .filter(name => name.endsWith(".json"))
        .map(name => scoreEntrySchema.safeParse(JSON.parse(readFileSync(join(journalFolder, name), "utf8"))))
        .flatMap(({ data }) => data?.cmd === "score" ? [data] : []);

const lastOf = (site: string, journal: readonly ScoreEntry[]): ScoreEntry | undefined =>
    journal
        .filter(entry => entry.site === site)
        .sort((left, right) => left.at[0] < right.at[0] ? -1 : 1)
        .at(-1);

/** Prints the comparison of a site's last score, and returns whether anything is worse. */
const reportSite = (site: string, known: ReadonlySet<string>, isNew: boolean, noise: ScoreNoise): boolean => {
    const journal = readJournal();
    const after = lastOf(site, journal);
    if (after === undefined || (isNew && known.has(after.id))) {
        writeLine(`${site}: no new score in the journal`);
        return true;
    }
    const before = findEarlier(after, journal);
    if (before === undefined) {
        writeLine(`${site}: ${after.score ?? "none"}, the first score of its kind`);
        return false;
    }
    const changes = compareScores(before, after, noise);
    const format = (value: number | undefined): string => value?.toFixed(3) ?? "none";
    writeLine(`${site}: ${before.id} (${before.head.slice(0, 8)}) to ${after.id} (${after.head.slice(0, 8)})`);
    const rows = changes.map(({ subject, before: from, after: to, worse }) => [
        subject,
        format(from),
        format(to),
        worse.join("; "),
    ]);
    formatTable(["", "before", "after", "worse"], rows).forEach(writeLine);
    return changes.some(({ worse }) => worse.length > 0);
};

const main = (): void => {
    const { values, positionals: sites } = parseArgs({
        allowPositionals: true,
        options: {
            bench: { type: "string" },
            recorded: { type: "boolean", default: false },
            size: { type: "string", default: "quick" },
            noise: { type: "string", default: "0.03" },
            "day-noise": { type: "string", default: "0.06" },
            jobs: { type: "string", default: "2" },
            why: { type: "string", default: "Regression run" },
        },
    });
    const noise: ScoreNoise = { score: Number(values.noise), day: Number(values["day-noise"]) };
    const sizeOptions = sizes[values.size];
    const { bench, recorded, jobs, why } = values;
    if (
        sites.length === 0 || sizeOptions === undefined || !(noise.score >= 0 && noise.day >= 0)
        || (bench === undefined) !== recorded
    ) {
        throw new InputError(usage);
    }
    const known = new Set(readJournal().map(({ id }) => id));
    const results = sites.map(site => {
        if (bench !== undefined) {
            const words = ["score", site, ...sizeOptions, "--no-cpu", "--jobs", jobs, "--why", why];
            spawnSync(bench, words, { stdio: "inherit" });
        }
        return reportSite(basename(site, ".toml"), known, bench !== undefined, noise);
    });
    process.exitCode = Number(results.some(Boolean));
};

try {
    main();
}
catch (error) {
    process.stderr.write(`${messageOf(error)}\n`);
    process.exitCode = 2;
}
