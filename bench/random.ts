/**
 * Seeded pseudo-random numbers for loads and faults.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers. */
export type Random = {
    /** Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
    uniform: () => number;
    /** Returns a uniformly distributed integer from 0 (inclusive) to `end` (exclusive). */
    integerBelow: (end: number) => number;
    /** Returns an exponentially distributed number with the given mean. */
    exponential: (mean: number) => number;
};

/** Creates a source of random numbers. The same seed gives the same sequence. */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    const uniform = (): number => uniformFloat64(generator);
    return {
        uniform,
        integerBelow: end => Math.floor(uniform() * end),
        exponential: mean => -Math.log(1 - uniform()) * mean,
    };
};
