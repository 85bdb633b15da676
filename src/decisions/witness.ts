/**
 * Decides when a witness vouches for a revision while the platform can not be reached, and when the set of witnesses
 * may change. Witnesses keep no log and elect no leader: only a write to the platform creates a revision. A witness
 * that has restarted vouches for nothing until it has read the platform again.
 */
import { hasMajority } from "./majority.ts";
import type { RevisionRecord } from "./revisiontracker.ts";

/**
 * Returns whether a witness vouches for the revision. A witness vouches only for the highest revision that it has
 * acknowledged, so it never vouches for one below an acknowledged one. It must have read the platform since its start,
 * so that a restart loses no acknowledgement. A witness that can reach the platform does not vouch; it passes on the
 * platform's answer instead.
 */
export const vouchesFor = (record: RevisionRecord, revision: number, platformReachable: boolean): boolean =>
    !platformReachable && record.platformReadAt !== undefined && record.revision === revision && revision > 0;

/**
 * Returns the time from which a majority of the hosts is known to have acknowledged a revision; undefined when no
 * majority has.
 *
 * @param acknowledgedAt gives the time of a host's first known acknowledgement of the revision or a higher one.
 */
export const majoritySince = (
    hosts: readonly string[],
    acknowledgedAt: (host: string) => number | undefined,
): number | undefined => {
    const times = hosts.map(acknowledgedAt).filter(time => time !== undefined).sort((left, right) => left - right);
    return 2 * times.length > hosts.length ? times[Math.floor(hosts.length / 2)] : undefined;
};

/**
 * Returns whether the set of witnesses may change now. The set may change to any other. The former set counts in every
 * move until a majority of it has acknowledged the change, and the set does not change again before that.
 */
export const mayChangeWitnesses = (formerWitnesses: readonly string[] | undefined): boolean =>
    formerWitnesses === undefined;

/**
 * Returns the former witnesses of the next assignment, provided that its witnesses stay the same. Undefined when there
 * are none or a majority of them has acknowledged the current assignment.
 */
export const formerWitnessesAfter = (
    formerWitnesses: readonly string[] | undefined,
    hasAcknowledgedCurrent: (host: string) => boolean,
): string[] | undefined =>
    formerWitnesses === undefined || hasMajority(formerWitnesses, hasAcknowledgedCurrent)
        ? undefined
        : [...formerWitnesses];
