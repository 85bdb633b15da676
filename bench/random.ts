/**
 * Seeded random numbers for loads and faults.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export type Random = {
    /** A number from 0 up to, not including, 1. */
    uniform: () => number;
    /** A whole number from 0 up to, not including, `end`. */
    integerBelow: (end: number) => number;
    /** An exponentially distributed number with the mean given. */
    exponential: (mean: number) => number;
};

/** Creates a generator. The same seed gives the same numbers. */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    const unit = (): number => uniformFloat64(generator);
    return {
        uniform: unit,
        integerBelow: end => Math.floor(unit() * end),
        exponential: mean => -Math.log(1 - unit()) * mean,
    };
};
