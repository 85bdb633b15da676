/**
 * Currency: until when a host may act on a revision. A confirmation counts from the sending of the question, never from
 * the answer, so that a pause between the two can only shorten it.
 */

export type Currency = {
    /** Notes that the revision was the newest at a question sent at `sentAt`, valid for the time given. */
    confirm: (pool: string, revision: number, sentAt: number, forMilliseconds: number) => void;
    /** Whether the host may act on the revision now. */
    isCurrent: (pool: string, revision: number, now: number) => boolean;
    /** What is left of the deadline at the newest confirmed revision; 0 when it has passed. */
    remaining: (pool: string, revision: number, now: number) => number;
};

/**
 * Creates the record of confirmations of one host. Times are monotonic milliseconds.
 *
 * @example
 * const currency = createCurrency();
 * currency.confirm("orders", 7, 1_000, 500);
 * currency.isCurrent("orders", 7, 1_499); // true
 * currency.isCurrent("orders", 7, 1_500); // false
 */
export const createCurrency = (): Currency => {
    const deadlines = new Map<string, { revision: number; until: number }>();

    const remaining = (pool: string, revision: number, now: number): number => {
        const held = deadlines.get(pool);
        return held === undefined || held.revision !== revision ? 0 : Math.max(0, held.until - now);
    };

    return {
        confirm: (pool, revision, sentAt, forMilliseconds) => {
            const held = deadlines.get(pool);
            if (held !== undefined && held.revision > revision) {
                return;
            }
            const until = sentAt + forMilliseconds;
            const known = held !== undefined && held.revision === revision ? held.until : 0;
            deadlines.set(pool, { revision, until: Math.max(known, until) });
        },
        isCurrent: (pool, revision, now) => remaining(pool, revision, now) > 0,
        remaining,
    };
};
