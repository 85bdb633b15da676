/**
 * The share of its speed at which each target of a pool with divided keys is used after it joined or came back. The
 * coordinator gets no service times of targets, so that the share follows the pace by time alone.
 */
import { createPace, type Pace } from "./pace.ts";

/** Share of a target that has just joined, and the time in which it doubles. */
const firstShare = 0.25;
const doublingMilliseconds = 3_000;

export type PaceShares = {
    /**
     * Returns the target's current share; 0 while it is out. Targets seen at the time of the first call count as warm.
     */
    share: (target: string, isOut: boolean, now: number) => number;
};

/** Creates the shares of the targets of one pool. */
export const createPaceShares = (): PaceShares => {
    const targets = new Map<string, { pace: Pace; isOut: boolean }>();
    let firstCallAt: number | undefined;
    const add = (target: string, isWarm: boolean): { pace: Pace; isOut: boolean } => {
        const options = { slots: 1, lowest: firstShare, doublingMilliseconds, typicalMilliseconds: () => undefined };
        const known = { pace: createPace(options), isOut: !isWarm };
        targets.set(target, known);
        return known;
    };
    return {
        share: (target, isOut, now) => {
            firstCallAt ??= now;
            const known = targets.get(target) ?? add(target, now === firstCallAt);
            if (known.isOut && !isOut) {
                known.pace.start(now);
            }
            known.isOut = isOut;
            return isOut ? 0 : Math.min(1, known.pace.concurrency(now));
        },
    };
};
