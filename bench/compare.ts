/**
 * Comparison of two settings or two states of the source: they alternate within one run, so that what else the machine
 * does falls on both, and the ratios of their figures are given with their spread.
 */
import { type BenchCase, caseSchema } from "./case.ts";
import { bundlePrograms, type Programs, removePrograms } from "./fleet.ts";
import { type CaseResult, runCase } from "./runcase.ts";
import { formatTable } from "./table.ts";

/** One side of a comparison: `default`, or `path=value` pairs parted by commas, of which `tree=FOLDER` is special. */
export type Side = { label: string; settings: BenchCase["settings"]; programs: Programs };

type Figures = Record<string, number>;

const valueOf = (text: string): number | boolean | string => {
    if (text === "true" || text === "false") {
        return text === "true";
    }
    return Number.isFinite(Number(text)) ? Number(text) : text;
};

/** Reads one side and bundles its programs. */
export const prepareSide = async (label: string): Promise<Side> => {
    const pairs = label === "default" ? [] : label.split(",").map(pair => pair.split("=") as [string, string]);
    const tree = pairs.find(([path]) => path === "tree")?.[1];
    const settings = Object.fromEntries(
        pairs.filter(([path]) => path !== "tree").map(([path, text]) => [path, valueOf(text)]),
    );
    return { label, settings, programs: await bundlePrograms(tree) };
};

const figuresOf = (result: CaseResult): Figures => {
    const figures: Figures = {};
    for (const [pool, summary] of Object.entries(result.pools)) {
        figures[`${pool} imbalance`] = summary.imbalance;
        figures[`${pool} unserved-ms`] = summary.longestUnservedMilliseconds;
        figures[`${pool} p99-ms`] = summary.p99Milliseconds;
        figures[`${pool} keys-moved`] = summary.keysMoved;
        figures[`${pool} answered`] = summary.answered;
    }
    figures["host-cpu-%"] = result.hosts.reduce((sum, host) => sum + host.cpuShare * 100, 0) / result.hosts.length;
    return figures;
};

const meanOf = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const rangeOf = (values: number[], digits: number): string =>
    `${Math.min(...values).toFixed(digits)}..${Math.max(...values).toFixed(digits)}`;

/** The rows of a comparison: means of both sides, the mean of the paired ratios and their range. */
export const compareMetrics = (first: Figures[], second: Figures[]): string[][] =>
    Object.keys(first[0]).map(name => {
        const [left, right] = [first, second].map(runs => runs.map(figures => figures[name]));
        const ratios = right.map((value, index) =>
            left[index] === 0 ? (value === 0 ? 1 : Infinity) : value / left[index]
        );
        return [
            name,
            meanOf(left).toFixed(2),
            rangeOf(left, 2),
            meanOf(right).toFixed(2),
            rangeOf(right, 2),
            meanOf(ratios).toFixed(2),
            rangeOf(ratios, 2),
        ];
    });

/** Runs both sides in turn, `runs` times each, the seed the same within a pair. */
export const runComparison = async (
    name: string,
    benchCase: BenchCase,
    labels: [string, string],
    runs: number,
    seed: number,
): Promise<{ lines: string[]; kept: boolean }> => {
    const sides = [await prepareSide(labels[0]), await prepareSide(labels[1])];
    const figures: Figures[][] = [[], []];
    let kept = true;
    for (let run = 0; run < runs; run += 1) {
        const order = run % 2 === 0 ? [0, 1] : [1, 0];
        for (const index of order) {
            const { settings, programs } = sides[index];
            const sized = caseSchema.parse({ ...benchCase, settings: { ...benchCase.settings, ...settings } });
            const result = await runCase({ name, benchCase: sized, seed: seed + run, programs });
            kept &&= result.kept;
            figures[index].push(figuresOf(result));
        }
    }
    await Promise.all(sides.map(({ programs }) => removePrograms(programs)));
    const head = ["figure", "A", "A-range", "B", "B-range", "B/A", "B/A-range"];
    const lines = [
        `compare case=${name} seed=${seed} runs=${runs} kept=${kept} A=${labels[0]} B=${labels[1]}`,
        ...formatTable(head, compareMetrics(figures[0], figures[1])),
    ];
    return { lines, kept };
};
