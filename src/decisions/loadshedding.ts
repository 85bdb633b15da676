/**
 * Refusing requests before the host itself is too busy. A host that runs late answers late, renews grants late, and so
 * loses keys and is asked again: more work still. From a standing lateness on it refuses a growing share of new
 * requests, which costs little, so that renewals and moves stay in time and the rest is answered.
 */

export type LoadShedder = {
    /** Notes by how much a regular turn of the host came late, and the time since the turn before. */
    recordTick: (lateMilliseconds: number, passedMilliseconds: number) => void;
    /** Whether a new request is refused. Those that may wait are refused first. */
    refuses: (deferrable: boolean) => boolean;
    /** Part of the requests that is refused now, from 0 to 1; deferrable ones reach 1 at half of it. */
    refusedShare: () => number;
};

export type LoadShedderOptions = {
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    /** Standing lateness that is borne: a question and its answer, each late by this, stay well within a grant. */
    toleratedLatenessMilliseconds?: number;
};

const defaultBoundMilliseconds = 40;
/** A single late turn is a pause, not a standing queue: the least lateness of this many turns counts. */
const turnsInWindow = 2;
/** Growth of the refused share in a second whose turns are twice as late as is borne. */
const growthPerSecond = 4;
/** Decline of the refused share in a second in time: slower than its growth, or the queue would come back at once. */
const declinePerSecond = 0.4;
/** Some requests always go through: they show when there is room again. */
const maxRefusedShare = 0.97;
const deferrableFactor = 2;
const millisecondsPerSecond = 1_000;

/**
 * Creates the judgement of a host that is not busy.
 *
 * @example
 * const shedder = createLoadShedder({ random: Math.random });
 * shedder.recordTick(3, 23);
 * shedder.refuses(false); // false
 */
export const createLoadShedder = (
    { random: unit, toleratedLatenessMilliseconds: boundMilliseconds = defaultBoundMilliseconds }: LoadShedderOptions,
): LoadShedder => {
    const window: number[] = [];
    let share = 0;

    return {
        recordTick: (lateMilliseconds, passedMilliseconds) => {
            window.push(lateMilliseconds);
            if (window.length > turnsInWindow) {
                window.shift();
            }
            const standing = window.length < turnsInWindow ? 0 : Math.min(...window);
            const excess = standing / boundMilliseconds - 1;
            const changePerSecond = excess > 0 ? growthPerSecond * excess : -declinePerSecond;
            share += changePerSecond * passedMilliseconds / millisecondsPerSecond;
            share = Math.min(maxRefusedShare, Math.max(0, share));
        },
        refuses: deferrable => unit() < share * (deferrable ? deferrableFactor : 1),
        refusedShare: () => share,
    };
};
