/**
 * Command line of the bench: `npm run bench -- CASE [--seed N] [--runs N] [--seconds N] [--compare A B] [--save]
 * [--tree FOLDER]`. The case name `all` runs all cases.
 */
import { execFileSync } from "node:child_process";
import { parseArgs } from "node:util";
import { InputError, messageOf } from "../src/contracts/errors.ts";
import { type BenchCase, caseNames, readCase } from "./case.ts";
import { renderChart } from "./chart.ts";
import { killChildrenOnExit } from "./children.ts";
import { runComparison } from "./compare.ts";
import { bundlePrograms, removePrograms } from "./fleet.ts";
import { reportLines, saveResult } from "./report.ts";
import { runCase } from "./runcase.ts";
import { runSlope } from "./slope.ts";

type Arguments = {
    seed: number;
    runs: number;
    seconds: number | undefined;
    save: boolean;
    compare: boolean;
    tree: string;
};

const usage = "Usage: npm run bench -- CASE... [--seed N] [--runs N] [--seconds N] [--save] [--tree FOLDER]\n"
    + "       npm run bench -- CASE --compare A B [--runs N]\n"
    + "CASE is the name of a file in bench/cases, or all. A and B are default or path=value[,path=value].";

const writeLine = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const readArguments = (): { names: string[]; options: Arguments } => {
    const { values, positionals } = parseArgs({
        allowPositionals: true,
        options: {
            seed: { type: "string", default: "1" },
            runs: { type: "string", default: "1" },
            seconds: { type: "string" },
            save: { type: "boolean", default: false },
            compare: { type: "boolean", default: false },
            tree: { type: "string", default: "." },
        },
    });
    if (positionals.length === 0) {
        throw new InputError(usage);
    }
    const { save, compare, tree } = values;
    const seconds = values.seconds === undefined ? undefined : Number(values.seconds);
    return {
        names: positionals,
        options: { seed: Number(values.seed), runs: Number(values.runs), seconds, save, compare, tree },
    };
};

const describeSource = (): string =>
    execFileSync("git", ["describe", "--always", "--dirty"], { encoding: "utf8" }).trim();

const writeReport = async (name: string, lines: string[], save: boolean): Promise<void> => {
    lines.forEach(writeLine);
    if (save) {
        writeLine(`saved ${await saveResult(`${name}.txt`, [`source=${describeSource()}`, ...lines].join("\n"))}`);
    }
};

const runRepeatedly = async (name: string, benchCase: BenchCase, options: Arguments): Promise<boolean> => {
    const programs = await bundlePrograms(options.tree);
    try {
        if (benchCase.slope !== undefined) {
            const { lines, fits, kept } = await runSlope(name, benchCase, options.seed, programs);
            if (options.save) {
                await saveResult(`${name}.json`, JSON.stringify(fits, undefined, 4));
            }
            await writeReport(name, [`slope case=${name} seed=${options.seed}`, ...lines], options.save);
            return kept;
        }
        const lines: string[] = [];
        let kept = true;
        for (let run = 0; run < options.runs; run += 1) {
            const result = await runCase({ name, benchCase, seed: options.seed + run, programs });
            lines.push(...reportLines(result));
            kept &&= result.kept;
            if (options.save && run === 0) {
                await saveResult(`${name}.svg`, await renderChart(result));
            }
        }
        await writeReport(name, lines, options.save);
        return kept;
    }
    finally {
        await removePrograms(programs);
    }
};

const start = async (): Promise<void> => {
    const { names, options } = readArguments();
    const [first, left, right] = names;
    if (options.compare) {
        const benchCase = await readCase(first);
        const sizedCase = { ...benchCase, seconds: options.seconds ?? benchCase.seconds };
        const { lines, kept } = await runComparison(first, sizedCase, [left, right], options.runs, options.seed);
        await writeReport(`compare-${first}`, lines, options.save);
        process.exitCode = kept ? 0 : 1;
        return;
    }
    const chosen = first === "all" ? await caseNames() : names;
    for (const name of chosen) {
        const benchCase = await readCase(name);
        const kept = await runRepeatedly(
            name,
            { ...benchCase, seconds: options.seconds ?? benchCase.seconds },
            options,
        );
        process.exitCode = kept ? process.exitCode : 1;
    }
};

killChildrenOnExit();
start().catch((error: unknown) => {
    process.stderr.write(`${messageOf(error)}\n`);
    process.exitCode = 2;
});
