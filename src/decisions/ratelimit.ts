/**
 * Rates and concurrency of plans, shared among hosts. Each host admits its own share, so that nothing is asked of
 * another host for a request.
 *
 * Error bound: over any time the hosts together admit at most the rate and the burst while their lists of hosts agree,
 * and at least one request of burst each. While a host that has joined is not yet known to the others, they exceed the
 * rate by that host's share. A balancer that sends more to one host than its share has the surplus refused there.
 */
import type { Rate } from "../contracts/plan.ts";

export type RateLimiter = {
    /** Takes one request of the named rate. Gives the milliseconds until one is free when it is used up. */
    take: (name: string, rate: Rate, share: number, now: number) => number | undefined;
    /** Forgets names that are not listed, so that deleted plans do not pile up. */
    retainOnly: (names: Set<string>) => void;
};

/** Creates the token buckets of one host. */
export const createRateLimiter = (): RateLimiter => {
    const buckets = new Map<string, { tokens: number; at: number }>();
    return {
        take: (name, rate, share, now) => {
            const perMillisecond = (rate.perSecond * share) / 1_000;
            const capacity = Math.max(1, rate.burst * share);
            const bucket = buckets.get(name) ?? { tokens: capacity, at: now };
            buckets.set(name, bucket);
            bucket.tokens = Math.min(capacity, bucket.tokens + (now - bucket.at) * perMillisecond);
            bucket.at = now;
            if (bucket.tokens < 1) {
                return (1 - bucket.tokens) / perMillisecond;
            }
            bucket.tokens -= 1;
            return undefined;
        },
        retainOnly: names => {
            for (const name of buckets.keys()) {
                if (!names.has(name)) {
                    buckets.delete(name);
                }
            }
        },
    };
};

/** Requests of a plan that this host may have in flight. Over all hosts at most the plan's number, or one a host. */
export const concurrencyShare = (concurrency: number, share: number): number =>
    Math.max(1, Math.floor(concurrency * share));
