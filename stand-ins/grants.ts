/**
 * The grants of one incarnation of a stand-in target, the requests that run under them, and the record of when the
 * target owned what, in milliseconds of the machine's monotonic clock. What it accepts are the pure rules of grants.
 */
import type { Grant, GrantAnswer } from "../src/contracts/grant.ts";
import type { TargetRefusal } from "../src/contracts/targetprotocol.ts";
import { type HeldGrant, ownsKey, releasingOf, requestRefusal, takeGrant } from "../src/decisions/grant.ts";
import type { SlotHash } from "../src/decisions/hash.ts";

/** A time during which the target would have served these slots, without `exceptKeys`, and these keys. */
export type OwnedSpan = {
    pool: string;
    revision: number;
    slots: number[];
    keys: string[];
    exceptKeys: string[];
    from: number;
    until: number;
};

/** A request that runs. `endsAt` is set when its right was taken away: until then the former grant covers it. */
export type RunningRequest = { pool: string; slot: number; key: string; revokedAt?: number; coveredUntil?: number };

export type GrantLedger = {
    take: (grant: Grant) => GrantAnswer;
    /** Why a request is not entitled to run now; undefined when it is. */
    refusal: (pool: string, revision: number, key: string) => TargetRefusal | undefined;
    /** Notes that a request begins. */
    begin: (pool: string, key: string) => RunningRequest;
    /** Notes that a request ends. True when the target was entitled to the key without a gap until now. */
    end: (work: RunningRequest) => boolean;
    /** Ends everything, as a crash does. */
    close: () => void;
};

export type GrantLedgerOptions = {
    incarnation: string;
    slotCount: number;
    slotHash: SlotHash;
    clock: () => number;
    /** Receives the spans; an open one grows in place. */
    spans: OwnedSpan[];
};

const coverSame = (left: HeldGrant, right: HeldGrant): boolean =>
    left.revision === right.revision && left.slots.size === right.slots.size && left.keys.size === right.keys.size
    && left.exceptKeys.size === right.exceptKeys.size;

/** Creates the ledger of an incarnation that has no grant yet. */
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
        if (open !== undefined && open.until >= now && former !== undefined && coverSame(former, held)) {
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

    /** Notes for the requests that run until when the former grant covers them, where it ends or lapsed. */
    const noteTaken = (former: HeldGrant, next: HeldGrant, pool: string, now: number): void => {
        const lapsed = former.validUntil <= now;
        for (const work of running) {
            const lost = lapsed || !ownsKey(next, work.slot, work.key, -Infinity);
            if (work.pool === pool && work.coveredUntil === undefined && lost) {
                work.revokedAt = now;
                work.coveredUntil = former.validUntil;
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
                noteTaken(former, held, pool, now);
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
            ...releasingOf(held, [...running].filter(work => work.pool === pool)),
        };
    };

    /** A request that outlives its grant's revision owns its key until it ends or the former grant does. */
    const recordRelease = (work: RunningRequest, now: number): void => {
        if (work.revokedAt !== undefined && work.coveredUntil !== undefined && work.coveredUntil > work.revokedAt) {
            const { pool, key, revokedAt: from, coveredUntil: endsAt } = work;
            const revision = grants.get(pool)?.revision ?? 0;
            const until = Math.min(now, endsAt);
            spans.push({ pool, revision, slots: [], keys: [key], exceptKeys: [], from, until });
        }
    };

    return {
        take,
        refusal: (pool, revision, key) =>
            requestRefusal(grants.get(pool), { revision, slot: slotHash(key, slotCount), key }, clock()),
        begin: (pool, key) => {
            const work: RunningRequest = { pool, slot: slotHash(key, slotCount), key };
            running.add(work);
            return work;
        },
        end: work => {
            const now = clock();
            running.delete(work);
            recordRelease(work, now);
            return now < (work.coveredUntil ?? grants.get(work.pool)?.validUntil ?? 0);
        },
        close: () => {
            const now = clock();
            for (const pool of [...openSpans.keys()]) {
                closeSpan(pool, now);
            }
        },
    };
};
