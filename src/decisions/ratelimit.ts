/**
 * Rate and concurrency limits of plans, divided among the hosts. Each host admits its own share, so that no
 * request requires asking another host.
 *
 * Error bound: while their lists of hosts agree, the hosts together admit at most the rate and the burst over any
 * period, except that each host has a burst of at least one request. While a host that has joined is not yet known to
 * the others, the rate is exceeded by that host's share. If a load balancer sends more than its share to one host, the
 * surplus is refused there.
 */
import type { Rate } from "../contracts/plan.ts";

export type RateLimiter = {
    /**
     * Takes one token from the named bucket. Returns undefined on success, otherwise the milliseconds until a token is
     * available.
     *
     * @param share this host's share of the rate, from 0 to 1.
     */
    take: (name: string, rate: Rate, share: number, now: number) => number | undefined;
    /** Removes the buckets of names that are not listed, so that those of deleted plans do not accumulate. */
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

/**
 * Returns the number of a plan's requests that this host may have in flight. The hosts together stay within the plan's
 * concurrency, except that each host may have at least one.
 */
export const concurrencyShare = (concurrency: number, share: number): number =>
    Math.max(1, Math.floor(concurrency * share));
