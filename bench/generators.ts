/**
 * The processes that generate the load, as many as keep each of them far from its own limit.
 */
import { decodeFromCompressedBase64, type Histogram } from "hdr-histogram-js";
import type { BenchCase } from "./case.ts";
import { startPart, type TalkingChild } from "./children.ts";
import type { Programs } from "./fleet.ts";
import { createLatencyHistogram, type LoadOptions, type PoolLoad } from "./load.ts";
import type { LoadAnswer, LoadQuestion } from "./loadpart.ts";
import type { CallerRecord } from "./verdict.ts";

export type Generator = {
    child: TalkingChild<LoadQuestion, LoadAnswer>;
    warmUp: (hosts: string[], pools: PoolLoad[]) => Promise<boolean>;
    end: () => void;
};

/** What the generators got together. */
export type GeneratedLoad = {
    pools: Record<string, { records: CallerRecord[]; histogram: Histogram; latestSendMilliseconds: number }>;
    cpuSeconds: number;
};

const requestsPerSecondOfGenerator = 500;
const maxGenerators = 4;
const seedStep = 100_000;

/** How many generators a case needs at its highest rate. */
export const generatorCountOf = (benchCase: BenchCase): number => {
    const factor = Math.max(1, ...benchCase.phases.map(phase => phase.factor));
    return Math.min(maxGenerators, Math.ceil(benchCase.perSecond * factor / requestsPerSecondOfGenerator));
};

/** Starts the generators. */
export const startGenerators = (programs: Programs, count: number): Generator[] =>
    [...Array(count).keys()].map(() => {
        const child = startPart<LoadQuestion, LoadAnswer>(programs.load);
        return {
            child,
            warmUp: async (hosts, pools) => (await child.ask({ kind: "warm-up", hosts, pools })).warm,
            end: () => child.signal("SIGKILL"),
        };
    });

const merge = (answers: LoadAnswer[]): GeneratedLoad => {
    const merged: GeneratedLoad = { pools: {}, cpuSeconds: 0 };
    for (const { pools, cpuSeconds } of answers) {
        merged.cpuSeconds += cpuSeconds;
        for (const [pool, { records, encodedHistogram, latestSendMilliseconds }] of Object.entries(pools)) {
            const known = merged.pools[pool]
                ?? { records: [], histogram: createLatencyHistogram(), latestSendMilliseconds: 0 };
            merged.pools[pool] = known;
            known.records = known.records.concat(records);
            known.histogram.add(decodeFromCompressedBase64(encodedHistogram));
            known.latestSendMilliseconds = Math.max(known.latestSendMilliseconds, latestSendMilliseconds);
        }
    }
    return merged;
};

/** Shares the load among the generators and gives what they got together. */
export const generateLoad = async (
    generators: Generator[],
    options: Omit<LoadOptions, "onProgress">,
): Promise<GeneratedLoad> => {
    const pools = options.pools.map(load => ({ ...load, perSecond: load.perSecond / generators.length }));
    const answers = await Promise.all(
        generators.map(({ child }, index) =>
            child.ask({ kind: "load", options: { ...options, pools, seed: options.seed + index * seedStep } })
        ),
    );
    return merge(answers);
};
