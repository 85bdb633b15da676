/**
 * The term of a coordinator that the end of an era of the store has cut short. The coordinator writes nothing in it any more.
 * It renews the grants that it knows while the lease lasts that the store had confirmed in that era, as in an outage, until
 * the keys are granted in the new era.
 */
import type { Ownership } from "../../contracts/ownership.ts";
import type { ClockReading, CoordinatorLease } from "../../decisions/coordinatorlease.ts";
import type { Log } from "../../links/logs.ts";

export type OutlivedTermOptions = {
    readClocks: () => ClockReading;
    /** Whether another process grants the keys in the new era. */
    isSucceeded: () => boolean;
    /** Called when the term ends because its lease is over or it has a successor. */
    onEnd: () => void;
    log: Log;
};

export type OutlivedTerm = {
    /** Begins with the ownership of the era that has just ended, and the lease that the store had confirmed in it. */
    begin: (ownership: Ownership, lease: CoordinatorLease) => void;
    /** Returns the ownership whose grants may be renewed; undefined when there is none any more. */
    ownership: () => Ownership | undefined;
    /** Whether certainly nobody else has changed the ownership before the new era began. */
    isUndisputed: () => boolean;
    /** Takes in that one more era has passed, in which others may have changed it. */
    dispute: () => void;
    /** Stops the renewals. */
    revoke: () => void;
    /** Ends the term, since this process grants the keys in the new era. */
    end: () => void;
};

/**
 * Nobody has taken over from a coordinator that the store confirmed within this time: others wait longer for its heartbeat.
 */
const undisputedMilliseconds = 1_700;

/** Creates the part of a process that has outlived no era as coordinator. */
export const createOutlivedTerm = ({ readClocks, isSucceeded, onEnd, log }: OutlivedTermOptions): OutlivedTerm => {
    let current: { ownership: Ownership; lease: CoordinatorLease; isUndisputed: boolean } | undefined;
    return {
        begin: (ownership, lease) => {
            const isUndisputed = lease.wasConfirmedWithin(undisputedMilliseconds, readClocks());
            current = { ownership, lease, isUndisputed };
        },
        ownership: () => {
            if (current === undefined) {
                return undefined;
            }
            const { ownership, lease } = current;
            const isExpired = !lease.isValid(readClocks());
            if (!isExpired && !isSucceeded()) {
                return ownership;
            }
            current = undefined;
            const reason = isExpired ? "its lease is over" : "it has a successor";
            log.info("outlived-term-ended", { term: ownership.term, reason });
            onEnd();
            return undefined;
        },
        isUndisputed: () => current?.isUndisputed === true,
        dispute: () => {
            current = current && { ...current, isUndisputed: false };
        },
        revoke: () => current?.lease.revoke(),
        end: () => {
            current = undefined;
        },
    };
};
