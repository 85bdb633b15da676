/**
 * Load of slots and keys. Each host counts its requests by slot, finds its most requested keys and reports both to the
 * coordinator of the pool, which adds up the reports of all hosts.
 */
import type { LoadReport } from "../contracts/ownershipmessages.ts";
import { createLoadEstimate } from "../decisions/balance.ts";
import { chooseHotKeys, createKeySketch, defaultHotKeyOptions, type KeySketch } from "../decisions/hotkeys.ts";
import { forEachAlone, type LongTaskOptions, repeatTask } from "./longtasks.ts";
import type { Peers } from "./peers.ts";

export type LoadCounterOptions = {
    coordinatorOf: (pool: string) => string | undefined;
    peers: Peers;
} & LongTaskOptions;

export type LoadCounter = {
    /** Counts a request that is sent to the owner of the slot. */
    count: (pool: string, slot: number, key: string) => void;
};

export const loadReportIntervalMilliseconds = 5_000;
const keySketchCapacity = 1_024;
const maxReportedKeys = 128;
const minReportedCount = 3;

type Counts = { slots: Map<number, number>; keys: KeySketch };

/** Starts to count requests. Reports once in each interval until the signal aborts. */
export const createLoadCounter = (options: LoadCounterOptions): LoadCounter => {
    const { peers } = options;
    const pools = new Map<string, Counts>();

    const countsOf = (pool: string): Counts => {
        const counts = pools.get(pool)
            ?? { slots: new Map<number, number>(), keys: createKeySketch(keySketchCapacity) };
        pools.set(pool, counts);
        return counts;
    };

    /** Sends the counts to the coordinator of the pool, if it is known, and resets them. */
    const report = (pool: string, counts: Counts): void => {
        const coordinator = options.coordinatorOf(pool);
        if (coordinator !== undefined && counts.slots.size > 0) {
            const top = counts.keys.top(maxReportedKeys).filter(entry => entry.count >= minReportedCount);
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

    const reportAll = (): void =>
        forEachAlone("load-reports", pools, ([pool, counts]) => report(pool, counts), options);
    void repeatTask("load-reports", () => loadReportIntervalMilliseconds, reportAll, options);
    return {
        count: (pool, slot, key) => {
            const { slots, keys } = countsOf(pool);
            slots.set(slot, (slots.get(slot) ?? 0) + 1);
            keys.add(key);
        },
    };
};

export type PoolLoads = {
    /** Adds the report of one host. */
    recordReport: (report: LoadReport) => void;
    /**
     * Ends an interval of reports: updates the rates and chooses the hot keys.
     *
     * @param targets number of targets.
     * @param currentHotKeys keys that are hot keys of the assignment now.
     */
    endRound: (targets: number, currentHotKeys: readonly string[]) => void;
    /** Requests per second of each slot without its hot keys; empty while there are too few requests to tell. */
    slotLoads: (slotOf: (key: string) => number) => number[];
    /** The hot keys with their requests per second. */
    hotKeys: () => Array<{ key: string; load: number }>;
};

/** Weight of the newest interval in the smoothed rate of a key. */
const keySmoothing = 0.3;
/** Requests per second below which a key is forgotten. */
const minKeyRate = 0.05;
/** Each slot counts at least this part of the mean load, so that idle slots are distributed too. */
const minLoadShare = 0.1;
/** Smoothed requests per second of the pool below which slots are balanced by their number alone. */
const minTotalRate = 20;

/** Creates the loads of one pool, without any reports. */
export const createPoolLoads = (slotCount: number): PoolLoads => {
    const estimate = createLoadEstimate(slotCount);
    const keyRates = new Map<string, number>();
    let newCounts = new Map<string, number>();
    let chosenHotKeys: string[] = [];

    const smoothKeys = (): void => {
        for (const key of new Set([...keyRates.keys(), ...newCounts.keys()])) {
            const rate = (newCounts.get(key) ?? 0) * 1_000 / loadReportIntervalMilliseconds;
            const smoothed = (keyRates.get(key) ?? 0) * (1 - keySmoothing) + rate * keySmoothing;
            if (smoothed < minKeyRate) {
                keyRates.delete(key);
            }
            else {
                keyRates.set(key, smoothed);
            }
        }
        newCounts = new Map();
    };

    const totalRate = (): number => estimate.rates().reduce((total, rate) => total + rate, 0);

    return {
        recordReport: report => {
            estimate.add(report.slots);
            for (const [key, count] of report.keys) {
                newCounts.set(key, (newCounts.get(key) ?? 0) + count);
            }
        },
        endRound: (targets, currentHotKeys) => {
            estimate.endRound(loadReportIntervalMilliseconds);
            smoothKeys();
            const total = totalRate();
            chosenHotKeys = total < minTotalRate
                ? [...currentHotKeys]
                : chooseHotKeys(currentHotKeys, keyRates, total / targets, defaultHotKeyOptions);
        },
        slotLoads: slotOf => {
            const total = totalRate();
            if (total < minTotalRate) {
                return [];
            }
            const loads = [...estimate.rates()];
            for (const key of chosenHotKeys) {
                loads[slotOf(key)] -= keyRates.get(key) ?? 0;
            }
            const minLoad = total / slotCount * minLoadShare;
            return loads.map(load => Math.max(load, minLoad));
        },
        hotKeys: () => chosenHotKeys.map(key => ({ key, load: keyRates.get(key) ?? 0 })),
    };
};
