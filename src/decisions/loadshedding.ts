/**
 * Load shedding for a host whose event loop runs late. A late host answers late and renews grants late, so that it
 * loses keys and callers repeat their requests, which adds still more load. When the lateness persists, the host
 * refuses a growing share of new requests. A refusal costs little, so that renewals and moves stay in time and the
 * remaining requests are answered.
 */

export type LoadShedder = {
    /** Records by how much a periodic timer of the host fired late, and the time since it fired before. */
    recordTick: (lateMilliseconds: number, elapsedMilliseconds: number) => void;
    /**
     * Whether to refuse a new request, decided at random by the refused share. Deferrable requests are refused first.
     */
    refuses: (deferrable: boolean) => boolean;
    /** Share of requests refused now, from 0 to 1. Deferrable requests are all refused once it reaches one half. */
    refusedShare: () => number;
};

export type LoadShedderOptions = {
    /** Returns a random number from 0 up to, but not including, 1. */
    random: () => number;
    /**
     * Persistent lateness up to which no request is refused. A message and its reply, each late by this much, still
     * fit well within the time of a grant.
     */
    toleratedLatenessMilliseconds?: number;
};

const defaultToleratedLatenessMilliseconds = 40;
/** Number of ticks whose minimum lateness counts, since a single late tick is a pause and not a persistent queue. */
const ticksInWindow = 2;
/** Growth of the refused share per second while the lateness is twice the tolerated one. */
const growthPerSecond = 4;
/** Decline of the refused share per second without excess lateness: slow, so that the queue does not return at once. */
const declinePerSecond = 0.4;
/** Upper limit of the refused share: the requests that still go through show when there is capacity again. */
const maxRefusedShare = 0.97;
/** Factor on the refused share for deferrable requests. */
const deferrableFactor = 2;
const millisecondsPerSecond = 1_000;

/**
 * Creates the load shedder of a host; it refuses nothing at first.
 *
 * @example
 * const shedder = createLoadShedder({ random: Math.random });
 * shedder.recordTick(3, 23);
 * shedder.refuses(false); // false
 */
export const createLoadShedder = (
    { random, toleratedLatenessMilliseconds = defaultToleratedLatenessMilliseconds }: LoadShedderOptions,
): LoadShedder => {
    const window: number[] = [];
    let share = 0;

    return {
        recordTick: (lateMilliseconds, elapsedMilliseconds) => {
            window.push(lateMilliseconds);
            if (window.length > ticksInWindow) {
                window.shift();
            }
            const persistent = window.length < ticksInWindow ? 0 : Math.min(...window);
            const excess = persistent / toleratedLatenessMilliseconds - 1;
            const changePerSecond = excess > 0 ? growthPerSecond * excess : -declinePerSecond;
            share += changePerSecond * elapsedMilliseconds / millisecondsPerSecond;
            share = Math.min(maxRefusedShare, Math.max(0, share));
        },
        refuses: deferrable => random() < share * (deferrable ? deferrableFactor : 1),
        refusedShare: () => share,
    };
};
