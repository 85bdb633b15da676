/**
 * Mean service time of each target of a pool, from the measurements of all hosts, and the capacity that follows from
 * it.
 */

export type ServiceTimes = {
    /** Records the service time of one request at the target. */
    recordServiceTime: (target: string, milliseconds: number) => void;
    /** Requests per second that the target can serve with the number of slots given. */
    capacity: (target: string, slots: number) => number;
    /** Drops the measurements of a target. */
    forget: (target: string) => void;
};

/** Weight of a new measurement in the long-term mean and in the short-term mean of a target. */
const sampleWeight = 0.02;
const shortTermSampleWeight = 0.15;
/**
 * The means may differ by up to this factor by chance. A greater difference means that the target has become slower or
 * faster, and the long-term mean is clamped to this distance from the short-term mean.
 */
const maxChanceFactor = 1.6;
/**
 * Number of measurements that weigh as much as the pool's median, so that a few slow requests do not mark a target
 * slow.
 */
const priorSamples = 6;
/** Service time assumed while the pool has no measurements. */
const assumedMilliseconds = 150;

/**
 * Creates an estimate without measurements.
 *
 * @param knownMilliseconds returns the service time of a target as known elsewhere. It takes the place of the pool's
 * median, so that a coordinator that has just taken over does not plan with the median alone.
 */
export const createServiceTimes = (
    knownMilliseconds: (target: string) => number | undefined = () => undefined,
): ServiceTimes => {
    const targets = new Map<string, { mean: number; shortTermMean: number; count: number }>();

    /** Median of the targets' means; undefined when it must be computed again. */
    let cachedMedian: number | undefined;

    const median = (): number => {
        if (cachedMedian === undefined) {
            const means = [...targets.values()].map(held => held.mean).sort((left, right) => left - right);
            cachedMedian = means[means.length >> 1] ?? assumedMilliseconds;
        }
        return cachedMedian;
    };

    return {
        recordServiceTime: (target, milliseconds) => {
            cachedMedian = undefined;
            const held = targets.get(target) ?? { mean: milliseconds, shortTermMean: milliseconds, count: 0 };
            held.count += 1;
            held.mean += (milliseconds - held.mean) * Math.max(sampleWeight, 1 / held.count);
            held.shortTermMean += (milliseconds - held.shortTermMean) * Math.max(shortTermSampleWeight, 1 / held.count);
            held.mean = Math.min(
                held.shortTermMean * maxChanceFactor,
                Math.max(held.shortTermMean / maxChanceFactor, held.mean),
            );
            targets.set(target, held);
        },
        capacity: (target, slots) => {
            const prior = knownMilliseconds(target) ?? median();
            const held = targets.get(target);
            const weight = held === undefined ? 0 : held.count / (held.count + priorSamples);
            const milliseconds = weight * (held?.mean ?? prior) + (1 - weight) * prior;
            return slots * 1_000 / milliseconds;
        },
        forget: target => {
            cachedMedian = undefined;
            targets.delete(target);
        },
    };
};
