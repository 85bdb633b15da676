/**
 * Currency: until when a host may act on a revision. A confirmation counts from the sending of the question, never from
 * the answer, so that a pause between the two can only shorten it.
 *
 * A host that restarts has forgotten what it acknowledged. It may route by what others tell it, but it renews grants
 * and vouches only after a read of the platform that was sent since its start, its own or a relayed one: such a read
 * can not return less than what the host acknowledged before.
 */
import { hasMajority } from "./majority.ts";

/** What one host knows of one pool's revision. Times are the host's monotonic milliseconds. */
export type RevisionRecord = {
    /** Highest revision acknowledged; 0 when none. The host acts on no lower one. */
    readonly revision: number;
    /** When the right to act on the revision ends. */
    readonly validUntil: number;
    /** Lower bound of the sending time of the newest read of the platform since the start; undefined when none. */
    readonly platformReadAt: number | undefined;
};

/** The record of a host that has just started. */
export const emptyRecord: RevisionRecord = { revision: 0, validUntil: 0, platformReadAt: undefined };

const later = (left: number | undefined, right: number | undefined): number | undefined =>
    left === undefined || (right !== undefined && right > left) ? right : left;

/** Takes a revision that exists, without the right to act on it. A higher one ends the lower one at once. */
export const acknowledgeRevision = (record: RevisionRecord, revision: number): RevisionRecord =>
    revision > record.revision ? { ...record, revision, validUntil: 0 } : record;

const extend = (record: RevisionRecord, revision: number, until: number): RevisionRecord => {
    const acknowledged = acknowledgeRevision(record, revision);
    return acknowledged.revision === revision && until > acknowledged.validUntil
        ? { ...acknowledged, validUntil: until }
        : acknowledged;
};

/** The platform itself named the revision as the newest, to a question sent at `sentAt`. */
export const confirmByPlatform = (
    record: RevisionRecord,
    revision: number,
    sentAt: number,
    freshnessMilliseconds: number,
): RevisionRecord => ({
    ...extend(record, revision, sentAt + freshnessMilliseconds),
    platformReadAt: later(record.platformReadAt, sentAt),
});

/** What another host answered about a pool. */
export type HostAnswer = {
    revision: number;
    /** What was left of the answering host's own deadline at the revision; 0 when it was not current. */
    remainingMilliseconds: number;
    /** Age of the newest read of the platform that the answering host knows of; undefined when it knows of none. */
    readAgeMilliseconds: number | undefined;
};

/**
 * A current host named the revision, to a question sent at `sentAt`: counts for what was left of its own deadline. Its
 * read of the platform counts as one of this host when it was sent after `startedAt`, the start of this host.
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

/** Witnesses vouched for the revision, to questions of which the first was sent at `sentAt`. Needs a majority. */
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

/** What is left of the right to act on the revision, in milliseconds; 0 when it has passed. */
export const remainingOf = (record: RevisionRecord, revision: number, now: number): number =>
    record.revision === revision ? Math.max(0, record.validUntil - now) : 0;

/** Whether the host may renew grants under the revision: it is current, and has read the platform since its start. */
export const mayRenew = (record: RevisionRecord, revision: number, now: number): boolean =>
    record.platformReadAt !== undefined && remainingOf(record, revision, now) > 0;

/**
 * Whether the host may route to targets that do not check grants. Besides being current it must have read the platform
 * after its own status was written there at `announcedAt`: then a coordinator that writes a move and afterwards lists
 * the hosts either finds this host or is certain that it knows of the move.
 */
export const mayRouteUnchecked = (
    record: RevisionRecord,
    revision: number,
    now: number,
    announcedAt: number | undefined,
): boolean =>
    announcedAt !== undefined && record.platformReadAt !== undefined && record.platformReadAt > announcedAt
    && remainingOf(record, revision, now) > 0;

/** What a host answers to another that asks about the pool. */
export const answerOf = (record: RevisionRecord, now: number): HostAnswer => ({
    revision: record.revision,
    remainingMilliseconds: remainingOf(record, record.revision, now),
    readAgeMilliseconds: record.platformReadAt === undefined ? undefined : now - record.platformReadAt,
});

export type RevisionTracker = {
    /** Notes that the platform named the revision as the newest at a question sent at `sentAt`. */
    confirm: (pool: string, revision: number, sentAt: number, forMilliseconds: number) => void;
    /** Replaces the record of a pool by what one of the functions of this module makes of it. */
    update: (pool: string, change: (record: RevisionRecord) => RevisionRecord) => void;
    /** The record of the pool. */
    record: (pool: string) => RevisionRecord;
    /** Whether the host may route by the revision now. */
    isCurrent: (pool: string, revision: number, now: number) => boolean;
    /** Whether the host may renew grants under the revision now. */
    mayRenew: (pool: string, revision: number, now: number) => boolean;
    /** What is left of the deadline at the newest confirmed revision; 0 when it has passed. */
    remaining: (pool: string, revision: number, now: number) => number;
};

/**
 * Creates the records of one host, by pool. Times are monotonic milliseconds.
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
