/**
 * The grants that one incarnation of a stand-in target holds, the requests that run under them, and the record of when
 * the target owned which slots and keys. The rules of src/decisions/grant.ts decide which grants it accepts. Times are
 * milliseconds of the machine's monotonic clock.
 */
import type { Grant, GrantAnswer } from "../src/contracts/grant.ts";
import type { TargetRefusal } from "../src/contracts/targetprotocol.ts";
import { type HeldGrant, ownsKey, releasingOf, requestRefusal, takeGrant } from "../src/decisions/grant.ts";
import type { SlotHash } from "../src/decisions/hash.ts";

/** A period in which the target would have served these slots, except for `exceptKeys`, and these keys. */
export type OwnedSpan = {
    pool: string;
    revision: number;
    slots: number[];
    keys: string[];
    exceptKeys: string[];
    from: number;
    until: number;
};

/**
 * A request that is running. When a later grant takes its key away, or replaces a grant that has lapsed, `revokedAt` is
 * the time at which that grant arrived and `coveredUntil` the end of the former grant, which covers the request until
 * then.
 */
export type RunningRequest = { pool: string; slot: number; key: string; revokedAt?: number; coveredUntil?: number };

export type GrantLedger = {
    /** Accepts or refuses a grant and returns the target's answer. */
    take: (grant: Grant) => GrantAnswer;
    /** Returns why a request may not run now; undefined when it may. */
    refusal: (pool: string, revision: number, key: string) => TargetRefusal | undefined;
    /** Records that a request starts to run. */
    begin: (pool: string, key: string) => RunningRequest;
    /** Records that a request has ended. True when a grant covered its key without a gap until now. */
    end: (request: RunningRequest) => boolean;
    /** Ends all open spans, as a crash of the target does. */
    close: () => void;
};

export type GrantLedgerOptions = {
    incarnation: string;
    slotCount: number;
    slotHash: SlotHash;
    clock: () => number;
    /** Receives the spans. The end of an open span is moved in place when its grant is renewed. */
    spans: OwnedSpan[];
};

/** Whether two grants have the same revision and as many slots, keys and excepted keys. */
const isSameCoverage = (left: HeldGrant, right: HeldGrant): boolean =>
    left.revision === right.revision && left.slots.size === right.slots.size && left.keys.size === right.keys.size
    && left.exceptKeys.size === right.exceptKeys.size;

/** Creates the ledger of an incarnation, which holds no grant yet. */
export const createGrantLedger = (options: GrantLedgerOptions): GrantLedger => {
    const { incarnation, slotCount, slotHash, clock, spans } = options;
    const grants = new Map<string, HeldGrant>();
    const openSpans = new Map<string, OwnedSpan>();
    const running = new Set<RunningRequest>();

    const closeSpan = (pool: string, at: number): void => {
        const span = openSpans.get(pool);
        if (span !== undefined) {
            span.until = Math.min(span.until, at);
            openSpans.delete(pool);
        }
    };

    const recordSpan = (pool: string, former: HeldGrant | undefined, held: HeldGrant, now: number): void => {
        const open = openSpans.get(pool);
        if (open !== undefined && open.until >= now && former !== undefined && isSameCoverage(former, held)) {
            open.until = held.validUntil;
            return;
        }
        closeSpan(pool, now);
        if (held.validUntil <= now) {
            return;
        }
        const { revision, validUntil } = held;
        const [slots, keys, exceptKeys] = [[...held.slots], [...held.keys], [...held.exceptKeys]];
        const span = { pool, revision, slots, keys, exceptKeys, from: now, until: validUntil };
        spans.push(span);
        openSpans.set(pool, span);
    };

    /** Marks the running requests of the pool that the next grant doesn't cover, or whose former grant has lapsed. */
    const markRevoked = (former: HeldGrant, next: HeldGrant, pool: string, now: number): void => {
        const lapsed = former.validUntil <= now;
        for (const request of running) {
            const isRevoked = lapsed || !ownsKey(next, request.slot, request.key, -Infinity);
            if (request.pool === pool && request.coveredUntil === undefined && isRevoked) {
                request.revokedAt = now;
                request.coveredUntil = former.validUntil;
            }
        }
    };

    const take = (grant: Grant): GrantAnswer => {
        const now = clock();
        const { pool } = grant;
        const former = grants.get(pool);
        const { held, refusal } = takeGrant(former, grant, incarnation);
        if (held !== undefined && refusal === undefined) {
            if (former !== undefined) {
                markRevoked(former, held, pool, now);
            }
            grants.set(pool, held);
            recordSpan(pool, former, held, now);
        }
        return {
            accepted: refusal === undefined,
            ...(refusal === undefined ? {} : { refusal }),
            clock: clock(),
            incarnation,
            revision: held?.revision ?? 0,
            ...releasingOf(held, [...running].filter(request => request.pool === pool)),
        };
    };

    /**
     * Records a span for a request whose key was taken away while it ran. The request owns its key until it ends or the
     * former grant does.
     */
    const recordRevokedSpan = (request: RunningRequest, now: number): void => {
        if (
            request.revokedAt !== undefined && request.coveredUntil !== undefined
            && request.coveredUntil > request.revokedAt
        ) {
            const { pool, key, revokedAt: from, coveredUntil } = request;
            const revision = grants.get(pool)?.revision ?? 0;
            const until = Math.min(now, coveredUntil);
            spans.push({ pool, revision, slots: [], keys: [key], exceptKeys: [], from, until });
        }
    };

    return {
        take,
        refusal: (pool, revision, key) =>
            requestRefusal(grants.get(pool), { revision, slot: slotHash(key, slotCount), key }, clock()),
        begin: (pool, key) => {
            const request: RunningRequest = { pool, slot: slotHash(key, slotCount), key };
            running.add(request);
            return request;
        },
        end: request => {
            const now = clock();
            running.delete(request);
            recordRevokedSpan(request, now);
            return now < (request.coveredUntil ?? grants.get(request.pool)?.validUntil ?? 0);
        },
        close: () => {
            const now = clock();
            for (const pool of [...openSpans.keys()]) {
                closeSpan(pool, now);
            }
        },
    };
};
