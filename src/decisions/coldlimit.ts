/**
 * The rate at which one group of hosts may send requests to a cold target. Hosts that are partitioned from one another
 * each count with their own token bucket, so that the bound on all of them is divided among the groups.
 */
import type { ColdTargets } from "../contracts/routing.ts";

/** By how much all hosts together may exceed the rate of a cold target within any second. */
export type ColdBound = { factor: number; slack: number };

/** The limit of a target that is cold now. */
export type ColdLimit = {
    perSecond: number;
    /** Time until the target is not cold any more. */
    milliseconds: number;
};

/** Groups of hosts that may be partitioned from one another, as the zones of a deployment are. */
export const partitionedGroups = 3;

/**
 * A request is written within this time after its host has asked for a token, or not at all. With a rate of 2.5 and a
 * bound of 11.75 a second, 200 ms or more would allow a fourth request of each group, 12 in all.
 */
export const permitMilliseconds = 150;

/** Keeps the product of rate and window below a whole number, in spite of rounding. */
const margin = 0.99;

/**
 * Returns the tokens per second of a bucket that holds one token, so that the writes of all groups stay within the bound.
 * A window of one second contains the writes for tokens of one second and the time in which a permit is valid: at most
 * `1 + rate * window`, rounded down. 0 where the bound is too small for one request of each group.
 */
export const coldRate = ({ requestsPerSecond }: ColdTargets, { factor, slack }: ColdBound): number => {
    const perGroup = Math.floor((requestsPerSecond * factor + slack) / partitionedGroups);
    const windowSeconds = 1 + permitMilliseconds / 1_000;
    return Math.min(requestsPerSecond, margin * perGroup / windowSeconds);
};
