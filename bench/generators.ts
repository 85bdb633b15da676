/**
 * The processes that generate the load. The bench starts enough of them, up to a limit, that each stays far below the load
 * that it can generate.
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

/** The merged results of all generators. */
export type MergedLoadResult = {
    pools: Record<string, { records: SendRecord[]; histogram: Histogram; latestSendMilliseconds: number }>;
    cpuSeconds: number;
};

const requestsPerSecondPerGenerator = 500;
const maxGenerators = 4;
/** Distance between the seeds of two generators. */
const seedStep = 100_000;

/** Number of generators that a case needs at its highest rate. */
export const generatorCount = (benchCase: BenchCase): number => {
    const factor = Math.max(1, ...benchCase.phases.map(phase => phase.factor));
    return Math.min(maxGenerators, Math.ceil(benchCase.perSecond * factor / requestsPerSecondPerGenerator));
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
            const poolResult = merged.pools[pool]
                ?? { records: [], histogram: createLatencyHistogram(), latestSendMilliseconds: 0 };
            merged.pools[pool] = poolResult;
            poolResult.records = poolResult.records.concat(records);
            poolResult.histogram.add(decodeFromCompressedBase64(encodedHistogram));
            poolResult.latestSendMilliseconds = Math.max(poolResult.latestSendMilliseconds, latestSendMilliseconds);
        }
    }
    return merged;
};

/** Divides the load among the generators and returns their merged results. */
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
