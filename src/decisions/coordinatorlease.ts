/**
 * How long a host may act as coordinator of a pool: it may renew grants only for a limited time after the store last
 * confirmed it as coordinator. This lease is kept in memory and is not an object in the store. The elapsed time is the
 * longer one of two clocks, since the monotonic clock stops while a machine is suspended and the time of day may be set
 * back.
 */

export type ClockReading = {
    /** Monotonic milliseconds. */
    monotonic: number;
    /** Time of day in milliseconds. */
    wall: number;
};

export type CoordinatorLease = {
    /** The store confirmed the host as coordinator. `askedAt` was read before the request to the store was sent. */
    renew: (askedAt: ClockReading) => void;
    /** Ends the lease, because another host has taken over or may have done so. */
    revoke: () => void;
    /** Whether the host may act as coordinator now. */
    isValid: (now: ClockReading) => boolean;
    /** Whether the store confirmed the host as coordinator within this time. */
    wasConfirmedWithin: (milliseconds: number, now: ClockReading) => boolean;
};

/**
 * Creates the lease of a host that is not coordinator yet.
 *
 * @param validMilliseconds how long the lease is valid after a confirmation.
 */
export const createCoordinatorLease = (validMilliseconds: number): CoordinatorLease => {
    let confirmedAt: ClockReading | undefined;
    const wasConfirmedWithin: CoordinatorLease["wasConfirmedWithin"] = (milliseconds, now) =>
        confirmedAt !== undefined
        && Math.max(now.monotonic - confirmedAt.monotonic, now.wall - confirmedAt.wall) < milliseconds;
    return {
        renew: askedAt => {
            confirmedAt = askedAt;
        },
        revoke: () => {
            confirmedAt = undefined;
        },
        isValid: now => wasConfirmedWithin(validMilliseconds, now),
        wasConfirmedWithin,
    };
};

/** Longer than the hosts with the most processor cores take to notice a vacancy and to fill it. */
const maxTakeoverDelayMilliseconds = 1_500;

/**
 * How much longer than the host with the most processor cores a host waits before it takes over a vacant coordination.
 * Coordinating a pool of a hundred targets takes more processor than the smallest hosts have, and a coordinator that
 * runs late is replaced again.
 *
 * @param processor processor of this host, in cores.
 * @param mostProcessor highest number of cores of any host; undefined while it is not known.
 */
export const takeoverDelayMilliseconds = (processor: number, mostProcessor: number | undefined): number =>
    mostProcessor === undefined
        ? maxTakeoverDelayMilliseconds
        : maxTakeoverDelayMilliseconds * (1 - Math.min(1, processor / mostProcessor));

/** A target's clock may run slow by up to this share, so that the target holds its keys longer than was granted. */
const maxClockSlowShare = 0.02;
/** Allowance for the transit of a grant that was still on its way when its sender gave up on it. */
const transitAllowanceMilliseconds = 300;

/**
 * Returns the time at which an owner that does not answer has certainly stopped serving. The hold time is counted from
 * the latest time at which a grant may have reached the owner.
 *
 * @param lastArrivalAt latest time at which a grant of this coordinator may have arrived.
 * @param othersUntil time until which an earlier coordinator may have renewed grants.
 * @param holdMilliseconds how long an owner serves after a grant.
 */
export const lapsedAt = (lastArrivalAt: number, othersUntil: number, holdMilliseconds: number): number =>
    Math.max(lastArrivalAt, othersUntil) + holdMilliseconds * (1 + maxClockSlowShare) + transitAllowanceMilliseconds;
