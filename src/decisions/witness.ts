/**
 * Witnesses vouch for revisions while the platform can not be reached. They hold no log and elect nobody: only a write
 * at the platform decides, and a witness that restarts says nothing until it has read the platform again.
 */
import { hasMajority } from "./majority.ts";
import type { RevisionRecord } from "./revisiontracker.ts";

/**
 * Whether a witness vouches for the revision. It vouches for the highest that it has acknowledged and for no other, so
 * that after an acknowledgement it never vouches for less; and only if it has read the platform since its start, so
 * that a restart makes it forget no acknowledgement. A witness that reaches the platform passes on the platform's own
 * word instead.
 */
export const vouchesFor = (record: RevisionRecord, revision: number, platformReachable: boolean): boolean =>
    !platformReachable && record.platformReadAt !== undefined && record.revision === revision && revision > 0;

/**
 * The time from which a majority of the hosts is known to have acknowledged a revision; undefined before that.
 * `acknowledgedAt` gives the time of each host's first known acknowledgement of the revision or a higher one.
 */
export const majoritySince = (
    hosts: readonly string[],
    acknowledgedAt: (host: string) => number | undefined,
): number | undefined => {
    const times = hosts.map(acknowledgedAt).filter(time => time !== undefined).sort((left, right) => left - right);
    return 2 * times.length > hosts.length ? times[Math.floor(hosts.length / 2)] : undefined;
};

/**
 * Whether the set of witnesses may change now. The set may change to any other, but the former set counts in every
 * move until a majority of it has acknowledged the change, and until then it does not change again.
 */
export const mayChangeWitnesses = (formerWitnesses: readonly string[] | undefined): boolean =>
    formerWitnesses === undefined;

/** The former witnesses to write into the next assignment, if its own set of witnesses stays the same. */
export const formerWitnessesAfter = (
    formerWitnesses: readonly string[] | undefined,
    hasAcknowledgedCurrent: (host: string) => boolean,
): string[] | undefined =>
    formerWitnesses === undefined || hasMajority(formerWitnesses, hasAcknowledgedCurrent)
        ? undefined
        : [...formerWitnesses];
