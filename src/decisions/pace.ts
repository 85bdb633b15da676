/**
 * The pace of one target: the concurrency limit of a target that has just started or recovered, from how it answers. It
 * doubles with each round of answers that take the pool's usual time, and then grows by one a round. It falls where the
 * target fails, sheds load or slows down. Without answers it doubles with time, since a host may get one answer of a
 * target in ten seconds.
 */
import type { TargetMeasure } from "./targetmeasures.ts";

export type PaceOptions = {
    /** Requests that the target runs at the same time. */
    slots: number;
    /** Limit right after a start. */
    lowest?: number;
    /** Time in which the limit doubles while nothing is measured. */
    doublingMilliseconds?: number;
    /** Returns the usual service time in the pool; undefined while it is not known. */
    typicalMilliseconds: () => number | undefined;
};

export type Pace = {
    record: (measure: TargetMeasure, now: number) => void;
    /** Requests of all hosts that the target should have at the same time; Infinity while there is no limit. */
    concurrency: (now: number) => number;
    /** Begins at the lowest limit, since the target has started or could not be reached. */
    start: (now: number) => void;
};

const lowestConcurrency = 1;
const defaultDoublingMilliseconds = 1_000;
/** Below this limit the target is used for requests that may be repeated, while others can take the rest. */
export const fewRequests = 4;
/** Answers up to this factor of the pool's usual time let the limit grow. */
const usualFactor = 1.5;
/** Answers beyond this factor of the pool's time, and beyond `usualFactor` of the target's own best, lower the limit. */
const slowFactor = 2;
const decreaseFactor = 0.5;
/** Requests that were sent before the limit fell must not lower it again. */
const settleMilliseconds = 300;
/** Weight of one result in the means, which are moving averages. */
const resultWeight = 0.15;
/** A target without a limit gets one when this share of its latest requests failed: three in a row. */
const failingShare = 0.35;
/** For this time after a limit was lifted, the target gets one again where it turns slow. */
const probationMilliseconds = 10_000;

/** Creates the pace of a target, which has no limit at first. */
export const createPace = (options: PaceOptions): Pace => {
    const { slots, lowest = lowestConcurrency, doublingMilliseconds = defaultDoublingMilliseconds } = options;
    let limit = Infinity;
    /** Monotonic time at which the limit was as `limit` says. */
    let limitedAt = -Infinity;
    /** Limit up to which it doubles: half of the one at which the target had difficulties last. */
    let threshold = Infinity;
    let loweredAt = -Infinity;
    let liftedAt = -Infinity;
    let service: number | undefined;
    let best = Infinity;
    let failing = 0;

    const concurrency = (now: number): number => {
        const grown = limit * 2 ** Math.floor(Math.max(0, now - limitedAt) / doublingMilliseconds);
        return grown > slots || (grown === slots && limit < slots) ? Infinity : grown;
    };

    const set = (next: number, now: number): void => {
        limit = next;
        limitedAt = now;
    };

    const lower = (next: number, now: number): void => {
        if (now - loweredAt >= settleMilliseconds) {
            const before = Math.min(slots, concurrency(now));
            threshold = Math.max(lowest, before * decreaseFactor);
            loweredAt = now;
            set(Math.max(lowest, next), now);
        }
    };

    /** Updates the means and returns whether the target is as fast as its pool, slow, or neither. */
    const speedAfter = ({ answered, serviceMilliseconds }: TargetMeasure): "usual" | "slow" | "unclear" => {
        const typical = options.typicalMilliseconds();
        if (answered > 0) {
            const mean = serviceMilliseconds / answered;
            service = service === undefined ? mean : service + (mean - service) * (1 - (1 - resultWeight) ** answered);
            best = Math.min(best, service);
        }
        if (service === undefined || typical === undefined || service <= typical * usualFactor) {
            return "usual";
        }
        return service > typical * slowFactor && service > best * usualFactor ? "slow" : "unclear";
    };

    const record = (measure: TargetMeasure, now: number): void => {
        const { answered, failed } = measure;
        const results = answered + failed;
        if (results === 0) {
            return;
        }
        failing += (failed / results - failing) * (1 - (1 - resultWeight) ** results);
        const speed = speedAfter(measure);
        const current = concurrency(now);
        if (current === Infinity) {
            liftedAt = limit === Infinity ? liftedAt : now;
            limit = Infinity;
            const isSlowAgain = speed === "slow" && now - liftedAt < probationMilliseconds;
            if (failing >= failingShare || isSlowAgain) {
                lower(slots * decreaseFactor, now);
            }
            return;
        }
        if (failed > 0) {
            lower(failed >= answered ? current * decreaseFactor : current * (1 - failed / results), now);
        }
        else if (speed === "slow") {
            lower(current * decreaseFactor, now);
        }
        else if (speed === "usual") {
            const next = current + answered * (current < threshold ? 1 : 1 / current);
            set(next, now);
            if (next > slots) {
                liftedAt = now;
                limit = Infinity;
            }
        }
    };

    return {
        record,
        concurrency,
        start: now => {
            set(lowest, now);
            threshold = Infinity;
            loweredAt = -Infinity;
            service = undefined;
            best = Infinity;
            failing = 0;
        },
    };
};

/** A target of a pool with its slots and the concurrency of its pace. */
export type PacedTarget = { slots: number; concurrency: number };

/** Returns the share of the pool's slots that are at targets with a limit, from 0 to 1. */
export const limitedShare = (targets: readonly PacedTarget[]): number => {
    const all = targets.reduce((sum, { slots }) => sum + slots, 0);
    const limited = targets.reduce((sum, { slots, concurrency }) => sum + (concurrency < slots ? slots : 0), 0);
    return all === 0 ? 0 : limited / all;
};

/**
 * Returns the slots of a target that are used. Where much of a pool comes back at once, the limits would starve it: the
 * square of the limited share is the least part of its slots that each target is used with. With it the usable slots of
 * a pool are never less than 0.61 of all, and all of them when all targets are limited.
 */
export const usableSlots = ({ slots, concurrency }: PacedTarget, limited: number): number =>
    Math.max(1, Math.min(slots, Math.max(concurrency, slots * limited ** 2)));

/** Requests take about this many times as long at a target that is warming up. */
const warmupFactor = 2;

/**
 * Returns the slots with which the owner of a key counts. No other target can take its requests, so a limit after a failure
 * would only have them refused; while it warms up it serves them more slowly.
 */
export const ownerSlots = (slots: number, usable: number, isWarmingUp: boolean): number =>
    isWarmingUp ? Math.min(slots, Math.max(usable, slots / warmupFactor)) : slots;
