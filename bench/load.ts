/**
 * A seeded open-loop load: the times at which requests are due do not depend on answers, and the latency of a request
 * counts from the time at which it was due.
 */
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import type { Agent } from "undici";
import { outcomes } from "../src/contracts/outcome.ts";
import { monotonicMilliseconds } from "../stand-ins/target.ts";
import { type Balancer, createAgent, createBalancer, delay, sendWithRetries } from "./caller.ts";
import { createRandom, type Random } from "./random.ts";
import type { SendRecord } from "./verdict.ts";

/** A change of the load that lasts until the next phase. */
export type LoadPhase = {
    atSeconds: number;
    /** Factor on the rate of all pools. */
    factor: number;
    /** Share of the requests that go to the first key. */
    hotShare: number;
};

/** The load on one pool: requests a second, to a number of keys. */
export type PoolLoad = { pool: string; method: string; token: string; perSecond: number; keys: number };

export type LoadOptions = {
    /** Addresses at which the hosts serve callers. */
    hosts: string[];
    pools: PoolLoad[];
    seed: number;
    /** Start time, in milliseconds of the machine's monotonic clock. */
    startAt: number;
    seconds: number;
    phases: LoadPhase[];
    bodyBytes: number;
    /** Called once a second with the number of requests answered so far. */
    onProgress?: (second: number, answered: number) => void;
};

/** The sends and latencies of the load on one pool. */
export type LoadResult = {
    records: SendRecord[];
    /** Latencies of answered requests in microseconds. */
    histogram: Histogram;
    /** Longest delay from the time at which a request was due until the generator sent it, in milliseconds. */
    latestSendMilliseconds: number;
};

const maxLatencyMicroseconds = 120_000_000;
const defaultPhase: LoadPhase = { atSeconds: 0, factor: 1, hotShare: 0 };
const microsecondsPerMillisecond = 1_000;

/** Creates a histogram of latencies in microseconds. Histograms that it creates can be merged. */
export const createLatencyHistogram = (): Histogram =>
    buildHistogram({ highestTrackableValue: maxLatencyMicroseconds });

const phaseAt = (phases: LoadPhase[], seconds: number): LoadPhase =>
    phases.filter(phase => phase.atSeconds <= seconds).at(-1) ?? defaultPhase;

const chooseKey = (load: PoolLoad, phase: LoadPhase, random: Random): string =>
    phase.hotShare > 0 && random.uniform() < phase.hotShare ? "key-0" : `key-${random.integerBelow(load.keys)}`;

const runPool = async (
    options: LoadOptions,
    load: PoolLoad,
    seed: number,
    agent: Agent,
    balancer: Balancer,
    result: LoadResult,
): Promise<void> => {
    const random = createRandom(seed);
    const backOffRandom = createRandom(seed + 1);
    const pending: Array<Promise<void>> = [];
    let dueAt = options.startAt;
    let sequence = 0;

    const sendOne = async (due: number, key: string, id: string): Promise<void> => {
        const { pool, method, token } = load;
        const request = { pool, method, token, key, id, dueAt: due, bodyBytes: options.bodyBytes };
        const records = await sendWithRetries(agent, balancer, request, backOffRandom);
        result.records.push(...records);
        const last = records[records.length - 1];
        if (last.outcome === outcomes.answered) {
            result.histogram.recordValue(Math.max(1, Math.round((last.endedAt - due) * microsecondsPerMillisecond)));
        }
    };

    while (dueAt < options.startAt + options.seconds * 1_000) {
        const wait = dueAt - monotonicMilliseconds();
        if (wait > 0) {
            await delay(wait);
        }
        result.latestSendMilliseconds = Math.max(result.latestSendMilliseconds, monotonicMilliseconds() - dueAt);
        const phase = phaseAt(options.phases, (dueAt - options.startAt) / 1_000);
        pending.push(sendOne(dueAt, chooseKey(load, phase, random), `${load.pool}-${seed}-${sequence}`));
        sequence += 1;
        dueAt += random.exponential(1_000 / (load.perSecond * phase.factor));
    }
    await Promise.all(pending);
};

/** Generates the load on all pools and returns the result of each. */
export const runLoad = async (options: LoadOptions): Promise<Record<string, LoadResult>> => {
    const agent = createAgent();
    const balancerAbort = new AbortController();
    const balancer = createBalancer(options.hosts, agent, createRandom(options.seed - 1), balancerAbort.signal);
    const results: Record<string, LoadResult> = {};
    const countAnswered = (): number =>
        Object.values(results).reduce((sum, result) => sum + result.histogram.totalCount, 0);
    const progress = setInterval(() => {
        const second = Math.floor((monotonicMilliseconds() - options.startAt) / 1_000);
        if (second >= 1) {
            options.onProgress?.(second, countAnswered());
        }
    }, 1_000);
    await Promise.all(options.pools.map((load, index) => {
        const result = { records: [], histogram: createLatencyHistogram(), latestSendMilliseconds: 0 };
        results[load.pool] = result;
        return runPool(options, load, options.seed + index * 1_000, agent, balancer, result);
    }));
    clearInterval(progress);
    balancerAbort.abort();
    await agent.destroy();
    return results;
};
