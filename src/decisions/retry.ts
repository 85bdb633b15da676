/**
 * Retries: an idempotent request is sent at most once more, within a budget that is a share of the recent requests. A
 * request that certainly did not run can also be held until its key has an owner.
 */
import { type Reason, type RetryReason, retryReasons } from "../contracts/outcome.ts";

export type RetryBudget = {
    /** Records a request that was sent for the first time. */
    recordRequest: (now: number) => void;
    /** Takes one retry from the budget; returns false when the budget is used up. */
    take: (now: number) => boolean;
};

const windowMilliseconds = 10_000;
const bucketCount = 10;
const bucketMilliseconds = windowMilliseconds / bucketCount;
/**
 * Retries that are allowed in each window without any requests, so that a host with little traffic can retry at all.
 */
const freeRetries = 3;

/**
 * Creates a budget: in each window of ten seconds at most `ratio` of the requests are retried, plus `free()` more.
 *
 * @example
 * const budget = createRetryBudget(0.1);
 * [1, 2, 3].map(() => budget.take(0)); // [true, true, true]
 * budget.take(0); // false
 */
export const createRetryBudget = (ratio: number, free = (): number => freeRetries): RetryBudget => {
    const requests = new Array<number>(bucketCount).fill(0);
    const retries = new Array<number>(bucketCount).fill(0);
    let newestBucket = 0;

    const bucketAt = (now: number): number => {
        const bucket = Math.floor(now / bucketMilliseconds);
        const passed = Math.min(bucketCount, Math.max(0, bucket - newestBucket));
        for (let step = 1; step <= passed; step += 1) {
            const index = (newestBucket + step) % bucketCount;
            requests[index] = 0;
            retries[index] = 0;
        }
        newestBucket = Math.max(bucket, newestBucket);
        return newestBucket % bucketCount;
    };

    const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0);

    return {
        recordRequest: now => {
            requests[bucketAt(now)] += 1;
        },
        take: now => {
            const index = bucketAt(now);
            if (sum(retries) + 1 > sum(requests) * ratio + free()) {
                return false;
            }
            retries[index] += 1;
            return true;
        },
    };
};

const reasonsToRetry: Partial<Record<Reason, RetryReason>> = {
    "connect-failed": retryReasons.connectFailed,
    "connection-lost": retryReasons.connectionLost,
    "target-shed": retryReasons.targetShed,
    "target-draining": retryReasons.targetDraining,
    "target-refused": retryReasons.targetRefused,
    "answer-cut-short": retryReasons.answerCutShort,
    "answer-malformed": retryReasons.answerMalformed,
    "answer-mismatched": retryReasons.answerMismatched,
};

/** Returns the retry reason for a failure after which a request may be sent a second time; undefined otherwise. */
export const retryReasonOf = (reason: Reason): RetryReason | undefined => reasonsToRetry[reason];

/**
 * Reasons that mean the request certainly did not run, and after which it waits for the key's owner and is sent again.
 */
const holdReasons = new Set<Reason>([
    "no-owner",
    "not-current",
    "fence-refused",
    "connect-failed",
    "target-draining",
]);

/**
 * Whether a request for an owned key waits for the owner after the failure. Sending it again does not count as a retry,
 * because it did not run.
 */
export const waitsForOwner = (reason: Reason): boolean => holdReasons.has(reason);

const firstHoldMilliseconds = 5;
const maxHoldMilliseconds = 40;

/** Returns how long a held request waits before its next attempt; a new assignment ends the wait early. */
export const holdDelay = (timesHeld: number): number =>
    Math.min(maxHoldMilliseconds, firstHoldMilliseconds * 2 ** Math.min(timesHeld, 8));
