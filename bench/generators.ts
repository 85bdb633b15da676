/**
 * The processes that generate the load, as many as keep each of them far from its own limit.
 */
import { decodeFromCompressedBase64, type Histogram } from "hdr-histogram-js";
import type { BenchCase } from "./case.ts";
import { type BenchWorker, startWorker } from "./children.ts";
import type { Programs } from "./fleet.ts";
import { createLatencyHistogram, type LoadOptions, type PoolLoad } from "./load.ts";
import type { LoadAnswer, LoadQuestion } from "./loadpart.ts";
import type { SendRecord } from "./verdict.ts";

export type LoadGenerator = {
    child: BenchWorker<LoadQuestion, LoadAnswer>;
    warmUp: (hosts: string[], pools: PoolLoad[]) => Promise<boolean>;
    kill: () => void;
};

/** What the generators got together. */
export type MergedLoadResult = {
    pools: Record<string, { records: SendRecord[]; histogram: Histogram; latestSendMilliseconds: number }>;
    cpuSeconds: number;
};

const requestsPerSecondOfGenerator = 500;
const maxGenerators = 4;
const seedStep = 100_000;

/** How many generators a case needs at its highest rate. */
export const generatorCount = (benchCase: BenchCase): number => {
    const factor = Math.max(1, ...benchCase.phases.map(phase => phase.factor));
    return Math.min(maxGenerators, Math.ceil(benchCase.perSecond * factor / requestsPerSecondOfGenerator));
};

/** Starts the generators. */
export const startGenerators = (programs: Programs, count: number): LoadGenerator[] =>
    [...Array(count).keys()].map(() => {
        const child = startWorker<LoadQuestion, LoadAnswer>(programs.load);
        return {
            child,
            warmUp: async (hosts, pools) => (await child.ask({ kind: "warm-up", hosts, pools })).warm,
            kill: () => child.signal("SIGKILL"),
        };
    });

const merge = (answers: LoadAnswer[]): MergedLoadResult => {
    const merged: MergedLoadResult = { pools: {}, cpuSeconds: 0 };
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
    generators: LoadGenerator[],
    options: Omit<LoadOptions, "onProgress">,
): Promise<MergedLoadResult> => {
    const pools = options.pools.map(load => ({ ...load, perSecond: load.perSecond / generators.length }));
    const answers = await Promise.all(
        generators.map(({ child }, index) =>
            child.ask({ kind: "load", options: { ...options, pools, seed: options.seed + index * seedStep } })
        ),
    );
    return merge(answers);
};
