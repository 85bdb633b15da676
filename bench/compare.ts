/**
 * Compares two sets of settings or two source trees. Their runs alternate, so that other work of the machine affects both
 * alike. The result gives the ratio of each metric and its range.
 */
import { type BenchCase, caseSchema } from "./case.ts";
import { bundlePrograms, type Programs, removePrograms } from "./fleet.ts";
import { type CaseResult, runCase } from "./runcase.ts";
import { formatTable } from "./table.ts";

/**
 * One side of a comparison. Its label is `default`, or a list of `path=value` pairs separated by commas. The pair
 * `tree=FOLDER` names a source tree instead of a setting.
 */
export type Side = { label: string; settings: BenchCase["settings"]; programs: Programs };

type Metrics = Record<string, number>;

const parseValue = (text: string): number | boolean | string => {
    if (text === "true" || text === "false") {
        return text === "true";
    }
    return Number.isFinite(Number(text)) ? Number(text) : text;
};

/** Parses the label of one side and bundles its programs. */
export const prepareSide = async (label: string): Promise<Side> => {
    const pairs = label === "default" ? [] : label.split(",").map(pair => pair.split("=") as [string, string]);
    const tree = pairs.find(([path]) => path === "tree")?.[1];
    const settings = Object.fromEntries(
        pairs.filter(([path]) => path !== "tree").map(([path, text]) => [path, parseValue(text)]),
    );
    return { label, settings, programs: await bundlePrograms(tree) };
};

const collectMetrics = (result: CaseResult): Metrics => {
    const metrics: Metrics = {};
    for (const [pool, summary] of Object.entries(result.pools)) {
        metrics[`${pool} imbalance`] = summary.imbalance;
        metrics[`${pool} unserved-ms`] = summary.longestUnservedMilliseconds;
        metrics[`${pool} p99-ms`] = summary.p99Milliseconds;
        metrics[`${pool} keys-moved`] = summary.keysMoved;
        metrics[`${pool} answered`] = summary.answered;
    }
    metrics["host-cpu-%"] = result.hosts.reduce((sum, host) => sum + host.cpuShare * 100, 0) / result.hosts.length;
    return metrics;
};

const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const formatRange = (values: number[], digits: number): string =>
    `${Math.min(...values).toFixed(digits)}..${Math.max(...values).toFixed(digits)}`;

/** Creates the rows of a comparison: mean and range of both sides, and mean and range of the ratios within pairs. */
export const compareMetrics = (first: Metrics[], second: Metrics[]): string[][] =>
    Object.keys(first[0]).map(name => {
        const [left, right] = [first, second].map(runs => runs.map(metrics => metrics[name]));
        const ratios = right.map((value, index) =>
            left[index] === 0 ? (value === 0 ? 1 : Infinity) : value / left[index]
        );
        return [
            name,
            mean(left).toFixed(2),
            formatRange(left, 2),
            mean(right).toFixed(2),
            formatRange(right, 2),
            mean(ratios).toFixed(2),
            formatRange(ratios, 2),
        ];
    });

/** Runs both sides alternately, `runs` times each. Both runs of a pair use the same seed. */
export const runComparison = async (
    name: string,
    benchCase: BenchCase,
    labels: [string, string],
    runs: number,
    seed: number,
): Promise<{ lines: string[]; kept: boolean }> => {
    const sides = [await prepareSide(labels[0]), await prepareSide(labels[1])];
    const metrics: Metrics[][] = [[], []];
    let kept = true;
    for (let run = 0; run < runs; run += 1) {
        const order = run % 2 === 0 ? [0, 1] : [1, 0];
        for (const index of order) {
            const { settings, programs } = sides[index];
            const sideCase = caseSchema.parse({ ...benchCase, settings: { ...benchCase.settings, ...settings } });
            const result = await runCase({ name, benchCase: sideCase, seed: seed + run, programs });
            kept &&= result.kept;
            metrics[index].push(collectMetrics(result));
        }
    }
    await Promise.all(sides.map(({ programs }) => removePrograms(programs)));
    const header = ["figure", "A", "A-range", "B", "B-range", "B/A", "B/A-range"];
    const lines = [
        `compare case=${name} seed=${seed} runs=${runs} kept=${kept} A=${labels[0]} B=${labels[1]}`,
        ...formatTable(header, compareMetrics(metrics[0], metrics[1])),
    ];
    return { lines, kept };
};
