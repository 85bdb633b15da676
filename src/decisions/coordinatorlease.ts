/**
 * Whether a host may still renew grants as a pool's coordinator: only for a bounded time after the store last confirmed
 * it. Time is taken as the longer of two clocks' readings, since the monotonic one stands still while a machine is
 * suspended and the time of day may be set back.
 */

export type ClockReading = {
    /** Monotonic milliseconds. */
    monotonic: number;
    /** Milliseconds of the time of day. */
    wall: number;
};

export type CoordinatorLease = {
    /** The store confirmed the host; the reading was taken before the question was sent. */
    renew: (askedAt: ClockReading) => void;
    /** Another host has taken over, or may have. */
    revoke: () => void;
    isValid: (now: ClockReading) => boolean;
};

/** Creates the standing of a host that is no coordinator yet. */
export const createCoordinatorLease = (currencyMilliseconds: number): CoordinatorLease => {
    let confirmed: ClockReading | undefined;
    return {
        renew: askedAt => {
            confirmed = askedAt;
        },
        revoke: () => {
            confirmed = undefined;
        },
        isValid: now =>
            confirmed !== undefined
            && Math.max(now.monotonic - confirmed.monotonic, now.wall - confirmed.wall) < currencyMilliseconds,
    };
};

/** Longer than the hosts with the most processor take to notice that the duty is vacant and to take it. */
const maxReluctanceMilliseconds = 1_500;

/**
 * How much longer than others a host leaves a vacant duty alone: coordinating a pool of a hundred targets takes more
 * processor than the smallest hosts have, and a coordinator that runs late loses the duty again.
 *
 * @param processor that of the host, in cores.
 * @param mostProcessor the most that any host has; undefined while it is not known.
 */
export const takeoverDelayMilliseconds = (processor: number, mostProcessor: number | undefined): number =>
    mostProcessor === undefined
        ? maxReluctanceMilliseconds
        : maxReluctanceMilliseconds * (1 - Math.min(1, processor / mostProcessor));

/** A target's clock may run this much slow, so that its hold lasts longer than was granted. */
const slowClockShare = 0.02;
/** Allows for the way of a grant that was under way when it was given up. */
const lapseSlackMilliseconds = 300;

/**
 * When a silent owner has certainly stopped serving: its hold counted from the last moment at which a grant may have
 * arrived there.
 *
 * @param lastArrivalAt last moment at which a grant of this coordinator may have arrived.
 * @param othersUntil moment up to which an earlier coordinator may have renewed.
 */
export const lapsedAt = (lastArrivalAt: number, othersUntil: number, holdMilliseconds: number): number =>
    Math.max(lastArrivalAt, othersUntil) + holdMilliseconds * (1 + slowClockShare) + lapseSlackMilliseconds;
