/**
 * Compares two scores of one site from entries of the journal: which figures fell by more than noise, and which rules
 * are broken that held before.
 */
import { z } from "zod";

const optional = <Value>(schema: z.ZodType<Value>) => schema.nullable().transform(value => value ?? undefined);

const daySchema = z.object({
    name: z.string(),
    /** Worth of the day, 1 at most. */
    G: optional(z.number()),
    /** Number of cases by broken rule. */
    rules: z.record(z.string(), z.unknown()),
    /** Why the day was not played to its end. */
    fault: optional(z.string()),
});

/** An entry of the journal, as far as it is compared. */
export const scoreEntrySchema = z.object({
    id: z.string(),
    /** Start and end of the run, in ISO 8601. */
    at: z.tuple([z.string(), z.string()]),
    cmd: z.string(),
    argv: z.array(z.string()),
    head: z.string(),
    site: z.string(),
    ok: z.boolean(),
    /** Undefined for other plays than scores. */
    score: optional(z.number()),
    figures: z.record(z.string(), z.unknown()),
    days: z.array(daySchema),
});
export type ScoreEntry = z.infer<typeof scoreEntrySchema>;

/** Options that decide which days are played and what is charged. */
const comparedOptions = ["--quick", "--small", "--no-cpu"];

const optionsOf = ({ argv }: ScoreEntry): string => comparedOptions.filter(option => argv.includes(option)).join(" ");

/** Whether two entries are scores of the same days under the same conditions. */
const isComparable = (entry: ScoreEntry, other: ScoreEntry): boolean =>
    other.cmd === "score" && other.score !== undefined && other.site === entry.site
    && optionsOf(other) === optionsOf(entry);

/** Returns the last comparable entry before the given one. */
export const findEarlier = (entry: ScoreEntry, journal: readonly ScoreEntry[]): ScoreEntry | undefined =>
    journal
        .filter(other => other.at[0] < entry.at[0] && isComparable(entry, other))
        .sort((left, right) => left.at[0] < right.at[0] ? -1 : 1)
        .at(-1);

export type ScoreChange = {
    /** `score`, or the name of a day. */
    subject: string;
    before: number | undefined;
    after: number | undefined;
    /** What is worse; empty for a change that is none. */
    worse: string[];
};

const fellBy = (before = 0, after = 0): number => before - after;

/** Falls up to these are noise. */
export type ScoreNoise = { score: number; day: number };

/** Returns what changed from one score to another: the site first, then the days that both have, by name. */
export const compareScores = (before: ScoreEntry, after: ScoreEntry, noise: ScoreNoise): ScoreChange[] => {
    const describeFall = (subject: string, limit: number, from?: number, to?: number): string[] =>
        fellBy(from, to) > limit ? [`${subject} fell by ${fellBy(from, to).toFixed(3)}`] : [];
    const site: ScoreChange = {
        subject: "score",
        before: before.score,
        after: after.score,
        worse: [
            ...describeFall("the score", noise.score, before.score, after.score),
            ...(Number(before.figures["gate"] ?? 0) > Number(after.figures["gate"] ?? 0) ? ["the gate failed"] : []),
            ...(after.ok ? [] : ["the run was not completed"]),
        ],
    };
    const days = after.days.flatMap((day): ScoreChange[] => {
        const earlier = before.days.find(({ name }) => name === day.name);
        if (earlier === undefined) {
            return [];
        }
        const broken = Object.keys(day.rules).filter(rule => !(rule in earlier.rules));
        return [{
            subject: day.name,
            before: earlier.G,
            after: day.G,
            worse: [
                ...describeFall("worth", noise.day, earlier.G, day.G),
                ...(broken.length > 0 ? [`broken: ${broken.join(", ")}`] : []),
                ...(day.fault !== undefined && earlier.fault === undefined ? [`fault: ${day.fault}`] : []),
            ],
        }];
    });
    const missing = before.days
        .filter(({ name }) => after.days.every(day => day.name !== name) && !name.includes("--seed"))
        .map((day): ScoreChange => ({ subject: day.name, before: day.G, after: undefined, worse: ["not played"] }));
    return [site, ...days, ...missing];
};
