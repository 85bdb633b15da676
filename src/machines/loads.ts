/**
 * Loads: each host counts its requests by slot and finds its most requested keys, and tells the coordinators. The
 * coordinator of a pool adds up what all hosts tell.
 */
import type { Clock } from "../contracts/clock.ts";
import type { LoadReport } from "../contracts/ownershipmessages.ts";
import { createLoadEstimate } from "../decisions/balance.ts";
import { chooseHotKeys, createKeySketch, defaultHotKeyOptions, type KeySketch } from "../decisions/hotkeys.ts";
import type { Peers } from "./peers.ts";

export type LoadCounterOptions = {
    coordinatorOf: (pool: string) => string | undefined;
    peers: Peers;
    clock: Clock;
    signal: AbortSignal;
};

export type LoadCounter = {
    /** Counts a request that is sent to the owner of the slot. */
    count: (pool: string, slot: number, key: string) => void;
};

export const loadReportIntervalMilliseconds = 5_000;
const sketchCapacity = 1_024;
const reportedKeys = 128;
const minReportedCount = 3;

type Counts = { slots: Map<number, number>; keys: KeySketch };

/** Starts to count and to report until the signal aborts. */
export const createLoadCounter = (options: LoadCounterOptions): LoadCounter => {
    const { peers, clock, signal } = options;
    const pools = new Map<string, Counts>();

    const countsOf = (pool: string): Counts => {
        const known = pools.get(pool) ?? { slots: new Map<number, number>(), keys: createKeySketch(sketchCapacity) };
        pools.set(pool, known);
        return known;
    };

    const tell = (pool: string, counts: Counts): void => {
        const coordinator = options.coordinatorOf(pool);
        if (coordinator !== undefined && counts.slots.size > 0) {
            const top = counts.keys.top(reportedKeys).filter(entry => entry.count >= minReportedCount);
            peers.tell(coordinator, {
                kind: "load-report",
                pool,
                slots: [...counts.slots],
                keys: top.map(({ key, count }) => [key, count]),
            });
        }
        counts.slots.clear();
        counts.keys.clear();
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(loadReportIntervalMilliseconds, signal);
            for (const [pool, counts] of pools) {
                tell(pool, counts);
            }
        }
    };

    void run();
    return {
        count: (pool, slot, key) => {
            const { slots, keys } = countsOf(pool);
            slots.set(slot, (slots.get(slot) ?? 0) + 1);
            keys.add(key);
        },
    };
};

export type PoolLoads = {
    recordReport: (report: LoadReport) => void;
    /** Ends a round of reports. `targets` is the number of targets, `lifted` the keys that are lifted out now. */
    endRound: (targets: number, lifted: readonly string[]) => void;
    /** Load of each slot without its hot keys; empty while there is too little to judge by. */
    slotLoads: (slotOf: (key: string) => number) => number[];
    hotKeys: () => Array<{ key: string; load: number }>;
};

const keySmoothing = 0.3;
const minKeyRate = 0.05;
/** Every slot counts at least this share of the mean, so that idle slots are spread too. */
const idleShare = 0.1;
/** Requests in the smoothed window below which slots are balanced by their number alone. */
const minRate = 20;

/** Creates the loads of one pool with nothing counted. */
export const createPoolLoads = (slotCount: number): PoolLoads => {
    const estimate = createLoadEstimate(slotCount);
    const keyRates = new Map<string, number>();
    let added = new Map<string, number>();
    let hot: string[] = [];

    const smoothKeys = (): void => {
        for (const key of new Set([...keyRates.keys(), ...added.keys()])) {
            const rate = (added.get(key) ?? 0) * 1_000 / loadReportIntervalMilliseconds;
            const smoothed = (keyRates.get(key) ?? 0) * (1 - keySmoothing) + rate * keySmoothing;
            if (smoothed < minKeyRate) {
                keyRates.delete(key);
            }
            else {
                keyRates.set(key, smoothed);
            }
        }
        added = new Map();
    };

    const totalRate = (): number => estimate.rates().reduce((total, rate) => total + rate, 0);

    return {
        recordReport: report => {
            estimate.add(report.slots);
            for (const [key, count] of report.keys) {
                added.set(key, (added.get(key) ?? 0) + count);
            }
        },
        endRound: (targets, lifted) => {
            estimate.endRound(loadReportIntervalMilliseconds);
            smoothKeys();
            const total = totalRate();
            hot = total < minRate
                ? [...lifted]
                : chooseHotKeys(lifted, keyRates, total / targets, defaultHotKeyOptions);
        },
        slotLoads: slotOf => {
            const total = totalRate();
            if (total < minRate) {
                return [];
            }
            const loads = [...estimate.rates()];
            for (const key of hot) {
                loads[slotOf(key)] -= keyRates.get(key) ?? 0;
            }
            const least = total / slotCount * idleShare;
            return loads.map(load => Math.max(load, least));
        },
        hotKeys: () => hot.map(key => ({ key, load: keyRates.get(key) ?? 0 })),
    };
};
