/**
 * The grants of one incarnation of a stand-in target, the requests that run under them, and the record of when the
 * target owned what, in milliseconds of the machine's monotonic clock.
 */
import { type Grant, type GrantAnswer, grantRefusals } from "../src/contracts/grant.ts";
import { type TargetRefusal, targetRefusals } from "../src/contracts/targetprotocol.ts";
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

type HeldGrant = {
    revision: number;
    validUntil: number;
    slots: Set<number>;
    keys: Set<string>;
    exceptKeys: Set<string>;
};

/** A request that runs. `endsAt` is set when its slot was taken away: until then the former grant covers it. */
export type RunningWork = { pool: string; slot: number; key: string; takenAt?: number; endsAt?: number };

export type GrantLedger = {
    take: (grant: Grant) => GrantAnswer;
    /** Why a request is not entitled to run now; undefined when it is. */
    refusal: (pool: string, revision: number, key: string) => TargetRefusal | undefined;
    /** Notes that a request begins. */
    begin: (pool: string, key: string) => RunningWork;
    /** Notes that a request ends. True when the target was entitled to the key without a gap until now. */
    end: (work: RunningWork) => boolean;
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

const owns = (held: HeldGrant, slot: number, key: string): boolean =>
    held.keys.has(key) || (held.slots.has(slot) && !held.exceptKeys.has(key));

/** Creates the ledger of an incarnation that has no grant yet. */
export const createGrantLedger = (options: GrantLedgerOptions): GrantLedger => {
    const { incarnation, slotCount, slotHash, clock, spans } = options;
    const grants = new Map<string, HeldGrant>();
    const openSpans = new Map<string, OwnedSpan>();
    const running = new Set<RunningWork>();

    const closeSpan = (pool: string, at: number): void => {
        const span = openSpans.get(pool);
        if (span !== undefined) {
            span.until = Math.min(span.until, at);
            openSpans.delete(pool);
        }
    };

    const recordSpan = (pool: string, held: HeldGrant, now: number, sameSlots: boolean): void => {
        const open = openSpans.get(pool);
        if (sameSlots && open !== undefined && open.until >= now) {
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

    const takeAway = (former: HeldGrant, next: HeldGrant, pool: string, now: number): void => {
        const lapsed = former.validUntil <= now;
        for (const work of running) {
            const lost = lapsed || !owns(next, work.slot, work.key);
            if (work.pool === pool && work.endsAt === undefined && lost) {
                work.takenAt = now;
                work.endsAt = former.validUntil;
            }
        }
    };

    const releasing = (pool: string): number[] => {
        const held = grants.get(pool);
        const slots = new Set<number>();
        for (const work of running) {
            if (work.pool === pool && held !== undefined && !owns(held, work.slot, work.key)) {
                slots.add(work.slot);
            }
        }
        return [...slots];
    };

    const answer = (pool: string, refusal?: GrantAnswer["refusal"]): GrantAnswer => ({
        accepted: refusal === undefined,
        ...(refusal === undefined ? {} : { refusal }),
        clock: clock(),
        incarnation,
        revision: grants.get(pool)?.revision ?? 0,
        releasing: releasing(pool),
    });

    const extended = (held: HeldGrant, validUntil: number): HeldGrant => ({
        ...held,
        validUntil: Math.max(held.validUntil, validUntil),
    });

    const take = (grant: Grant): GrantAnswer => {
        const held = grants.get(grant.pool);
        if (grant.incarnation !== incarnation) {
            return answer(grant.pool, grantRefusals.otherIncarnation);
        }
        if (grant.revision < (held?.revision ?? 0)) {
            return answer(grant.pool, grantRefusals.staleRevision);
        }
        if (grant.slots === undefined && held?.revision !== grant.revision) {
            return answer(grant.pool, grantRefusals.slotsNeeded);
        }
        const now = clock();
        const sameRevision = held !== undefined && held.revision === grant.revision;
        const renewal = grant.slots === undefined && sameRevision;
        const next: HeldGrant = renewal ? extended(held, grant.validUntil) : {
            revision: grant.revision,
            validUntil: sameRevision ? Math.max(held.validUntil, grant.validUntil) : grant.validUntil,
            slots: new Set(grant.slots),
            keys: new Set(grant.keys),
            exceptKeys: new Set(grant.exceptKeys),
        };
        if (held !== undefined) {
            takeAway(held, next, grant.pool, now);
        }
        grants.set(grant.pool, next);
        recordSpan(grant.pool, next, now, renewal);
        return answer(grant.pool);
    };

    const recordRelease = (work: RunningWork, now: number): void => {
        if (work.takenAt !== undefined && work.endsAt !== undefined && work.endsAt > work.takenAt) {
            const { pool, key, takenAt: from, endsAt } = work;
            const revision = grants.get(pool)?.revision ?? 0;
            const until = Math.min(now, endsAt);
            spans.push({ pool, revision, slots: [], keys: [key], exceptKeys: [], from, until });
        }
    };

    return {
        take,
        refusal: (pool, revision, key) => {
            const held = grants.get(pool);
            if (revision < (held?.revision ?? 0)) {
                return targetRefusals.fence;
            }
            if (held === undefined || held.validUntil <= clock()) {
                return targetRefusals.noGrant;
            }
            return owns(held, slotHash(key, slotCount), key) ? undefined : targetRefusals.noGrant;
        },
        begin: (pool, key) => {
            const work: RunningWork = { pool, slot: slotHash(key, slotCount), key };
            running.add(work);
            return work;
        },
        end: work => {
            const now = clock();
            running.delete(work);
            recordRelease(work, now);
            return now < (work.endsAt ?? grants.get(work.pool)?.validUntil ?? 0);
        },
        close: () => {
            const now = clock();
            for (const pool of [...openSpans.keys()]) {
                closeSpan(pool, now);
            }
        },
    };
};
