/**
 * Tracks until when a host may act on the revision of each pool's assignment. A confirmation counts from the sending of
 * the question, never from the arrival of the answer, so a pause between the two can only shorten the validity.
 *
 * A host that restarts has lost its acknowledgements. It may route by what other hosts tell it. It renews grants and
 * vouches only after a read of the platform that was sent after its start, by itself or by another host, because such a
 * read can not return a revision lower than one that the host acknowledged before.
 */
import { hasMajority } from "./majority.ts";

/** What one host knows of the revision of one pool. Times are in milliseconds on the host's monotonic clock. */
export type RevisionRecord = {
    /** Highest acknowledged revision; 0 when there is none. The host acts on no lower one. */
    readonly revision: number;
    /** Time at which the right to act on the revision ends. */
    readonly validUntil: number;
    /**
     * Lower bound of the time at which the newest read of the platform since the host's start was sent; undefined when
     * there was none.
     */
    readonly platformReadAt: number | undefined;
};

/** The record of a host that has just started. */
export const emptyRecord: RevisionRecord = { revision: 0, validUntil: 0, platformReadAt: undefined };

/** Returns the later of the times that are defined. */
const later = (left: number | undefined, right: number | undefined): number | undefined =>
    left === undefined || (right !== undefined && right > left) ? right : left;

/**
 * Records that a revision exists, without the right to act on it. A higher revision ends the right to act on the lower
 * one at once.
 */
export const acknowledgeRevision = (record: RevisionRecord, revision: number): RevisionRecord =>
    revision > record.revision ? { ...record, revision, validUntil: 0 } : record;

/** Acknowledges the revision and extends its validity. Ignores a revision below the acknowledged one. */
const extend = (record: RevisionRecord, revision: number, until: number): RevisionRecord => {
    const acknowledged = acknowledgeRevision(record, revision);
    return acknowledged.revision === revision && until > acknowledged.validUntil
        ? { ...acknowledged, validUntil: until }
        : acknowledged;
};

/** Records that the platform returned the revision as the newest, to a question sent at `sentAt`. */
export const confirmByPlatform = (
    record: RevisionRecord,
    revision: number,
    sentAt: number,
    freshnessMilliseconds: number,
): RevisionRecord => ({
    ...extend(record, revision, sentAt + freshnessMilliseconds),
    platformReadAt: later(record.platformReadAt, sentAt),
});

/** Another host's answer about the revision of a pool. */
export type HostAnswer = {
    revision: number;
    /** Time for which the answering host may still act on the revision; 0 when it may not. */
    remainingMilliseconds: number;
    /** Age of the newest read of the platform that the answering host knows of; undefined when it knows of none. */
    readAgeMilliseconds: number | undefined;
};

/**
 * Records another host's answer to a question sent at `sentAt`. It extends the validity by the time that the other host
 * has left. The other host's read of the platform counts as one of this host if it was sent after this host's start.
 *
 * @param startedAt start of this host.
 */
export const confirmByHost = (
    record: RevisionRecord,
    answer: HostAnswer,
    sentAt: number,
    startedAt: number,
): RevisionRecord => {
    const readAt = answer.readAgeMilliseconds === undefined ? undefined : sentAt - answer.readAgeMilliseconds;
    const extended = extend(record, answer.revision, sentAt + answer.remainingMilliseconds);
    return readAt !== undefined && readAt > startedAt
        ? { ...extended, platformReadAt: later(record.platformReadAt, readAt) }
        : extended;
};

/**
 * Records that hosts vouched for the revision, in answer to questions of which the first was sent at `sentAt`. The
 * record changes only if a majority of the witnesses is among them.
 */
export const confirmByWitnesses = (
    record: RevisionRecord,
    revision: number,
    vouchers: readonly string[],
    witnesses: readonly string[],
    sentAt: number,
    freshnessMilliseconds: number,
): RevisionRecord =>
    hasMajority(witnesses, host => vouchers.includes(host))
        ? extend(record, revision, sentAt + freshnessMilliseconds)
        : record;

/** Returns for how many milliseconds the host may still act on the revision; 0 when it may not. */
export const remainingOf = (record: RevisionRecord, revision: number, now: number): number =>
    record.revision === revision ? Math.max(0, record.validUntil - now) : 0;

/**
 * Returns whether the host may renew grants under the revision: it may act on the revision, and the platform has been
 * read since the host's start.
 */
export const mayRenew = (record: RevisionRecord, revision: number, now: number): boolean =>
    record.platformReadAt !== undefined && remainingOf(record, revision, now) > 0;

/**
 * Returns whether the host may route to targets that do not check grants. It must be allowed to act on the revision,
 * and it must have read the platform after its own status was written there at `announcedAt`. A coordinator that writes
 * a move and then lists the hosts therefore either finds this host, or can be certain that the host knows of the move.
 */
export const mayRouteUnchecked = (
    record: RevisionRecord,
    revision: number,
    now: number,
    announcedAt: number | undefined,
): boolean =>
    announcedAt !== undefined && record.platformReadAt !== undefined && record.platformReadAt > announcedAt
    && remainingOf(record, revision, now) > 0;

/** Builds the answer to another host that asks about the revision of the pool. */
export const answerOf = (record: RevisionRecord, now: number): HostAnswer => ({
    revision: record.revision,
    remainingMilliseconds: remainingOf(record, record.revision, now),
    readAgeMilliseconds: record.platformReadAt === undefined ? undefined : now - record.platformReadAt,
});

export type RevisionTracker = {
    /** Records that the platform returned the revision as the newest, to a question sent at `sentAt`. */
    confirm: (pool: string, revision: number, sentAt: number, forMilliseconds: number) => void;
    /** Replaces the record of a pool with the result of `change`, usually one of the functions of this module. */
    update: (pool: string, change: (record: RevisionRecord) => RevisionRecord) => void;
    /** Returns the record of the pool. */
    record: (pool: string) => RevisionRecord;
    /** Returns whether the host may route by the revision at `now`. */
    isCurrent: (pool: string, revision: number, now: number) => boolean;
    /** Returns whether the host may renew grants under the revision at `now`. */
    mayRenew: (pool: string, revision: number, now: number) => boolean;
    /** Returns for how many milliseconds the host may still act on the revision; 0 when it may not. */
    remaining: (pool: string, revision: number, now: number) => number;
};

/**
 * Creates the tracker of one host, with a record for each pool. Times are in milliseconds on a monotonic clock.
 *
 * @example
 * const revisions = createRevisionTracker();
 * revisions.confirm("orders", 7, 1_000, 500);
 * revisions.isCurrent("orders", 7, 1_499); // true
 * revisions.isCurrent("orders", 7, 1_500); // false
 */
export const createRevisionTracker = (): RevisionTracker => {
    const records = new Map<string, RevisionRecord>();
    const recordOf = (pool: string): RevisionRecord => records.get(pool) ?? emptyRecord;

    const update: RevisionTracker["update"] = (pool, change) => {
        records.set(pool, change(recordOf(pool)));
    };

    return {
        confirm: (pool, revision, sentAt, forMilliseconds) =>
            update(pool, record => confirmByPlatform(record, revision, sentAt, forMilliseconds)),
        update,
        record: recordOf,
        isCurrent: (pool, revision, now) => remainingOf(recordOf(pool), revision, now) > 0,
        mayRenew: (pool, revision, now) => mayRenew(recordOf(pool), revision, now),
        remaining: (pool, revision, now) => remainingOf(recordOf(pool), revision, now),
    };
};
