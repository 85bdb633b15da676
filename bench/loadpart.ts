/**
 * Worker process of the bench that generates load.
 */
import { encodeIntoCompressedBase64 } from "hdr-histogram-js";
import { answerParentMessages } from "./children.ts";
import { type LoadOptions, type PoolLoad, runLoad } from "./load.ts";
import type { SendRecord } from "./verdict.ts";
import { warmUp } from "./warmup.ts";

export type LoadQuestion =
    | { kind: "warm-up"; hosts: string[]; pools: PoolLoad[] }
    | { kind: "load"; options: Omit<LoadOptions, "onProgress"> };

export type LoadAnswer = {
    /** Whether every pool was served through every host after the warm-up. */
    warm: boolean;
    pools: Record<string, { records: SendRecord[]; encodedHistogram: string; latestSendMilliseconds: number }>;
    /** Processor time that the generator used, in seconds. */
    cpuSeconds: number;
};

const microsecondsPerSecond = 1_000_000;

const load = async (options: LoadOptions): Promise<LoadAnswer> => {
    const before = process.cpuUsage();
    const results = await runLoad(options);
    const { user, system } = process.cpuUsage(before);
    const pools: LoadAnswer["pools"] = {};
    for (const [pool, { records, histogram, latestSendMilliseconds }] of Object.entries(results)) {
        pools[pool] = { records, encodedHistogram: encodeIntoCompressedBase64(histogram), latestSendMilliseconds };
    }
    return { warm: true, pools, cpuSeconds: (user + system) / microsecondsPerSecond };
};

answerParentMessages(async (question: LoadQuestion): Promise<LoadAnswer> =>
    question.kind === "load"
        ? load(question.options)
        : { warm: await warmUp(question.hosts, question.pools), pools: {}, cpuSeconds: 0 }
);
