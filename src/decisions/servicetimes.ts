/**
 * How long each target of a pool works on a request, from what all hosts measured: the capacity to plan with.
 */

export type ServiceTimes = {
    recordServiceTime: (target: string, milliseconds: number) => void;
    /** Requests a second that the target with so many slots works off. */
    capacity: (target: string, slots: number) => number;
    forget: (target: string) => void;
};

/** Weight of one measurement in a target's mean, and in the mean of its last few. */
const sampleWeight = 0.02;
const quickSampleWeight = 0.15;
/** The last few differ from the mean by up to this factor by chance; beyond it, the target has become slow or fast. */
const chanceFactor = 1.6;
/** Measurements that count for as much as the usual of the pool: a few slow requests do not make a slow target. */
const priorSamples = 6;
const assumedMilliseconds = 150;

/** Creates the estimate without any measurement. */
export const createServiceTimes = (): ServiceTimes => {
    const targets = new Map<string, { mean: number; quickMean: number; count: number }>();

    let knownUsual: number | undefined;

    const usual = (): number => {
        if (knownUsual === undefined) {
            const means = [...targets.values()].map(held => held.mean).sort((left, right) => left - right);
            knownUsual = means[means.length >> 1] ?? assumedMilliseconds;
        }
        return knownUsual;
    };

    return {
        recordServiceTime: (target, milliseconds) => {
            knownUsual = undefined;
            const held = targets.get(target) ?? { mean: milliseconds, quickMean: milliseconds, count: 0 };
            held.count += 1;
            held.mean += (milliseconds - held.mean) * Math.max(sampleWeight, 1 / held.count);
            held.quickMean += (milliseconds - held.quickMean) * Math.max(quickSampleWeight, 1 / held.count);
            held.mean = Math.min(held.quickMean * chanceFactor, Math.max(held.quickMean / chanceFactor, held.mean));
            targets.set(target, held);
        },
        capacity: (target, slots) => {
            const typical = usual();
            const held = targets.get(target);
            const weight = held === undefined ? 0 : held.count / (held.count + priorSamples);
            const milliseconds = weight * (held?.mean ?? typical) + (1 - weight) * typical;
            return slots * 1_000 / milliseconds;
        },
        forget: target => {
            knownUsual = undefined;
            targets.delete(target);
        },
    };
};
