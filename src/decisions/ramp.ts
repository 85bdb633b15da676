/**
 * Slow start of targets: a target that joins or comes back is cold and at first gets only part of its share of the
 * load.
 */

/** Share of its speed at which a target is used, from the given time after it joined. */
const steps = [
    { afterMilliseconds: 0, share: 0.25 },
    { afterMilliseconds: 3_000, share: 0.5 },
    { afterMilliseconds: 6_000, share: 1 },
] as const;

export type Ramp = {
    /**
     * Returns the target's current share; 0 while it is out. Targets seen at the time of the first call count as warm.
     */
    share: (target: string, isOut: boolean, now: number) => number;
};

/** Creates the ramps of the targets of one pool. */
export const createRamp = (): Ramp => {
    const joinedAt = new Map<string, number>();
    let firstCallAt: number | undefined;
    return {
        share: (target, isOut, now) => {
            firstCallAt ??= now;
            if (isOut) {
                joinedAt.set(target, Infinity);
                return 0;
            }
            const known = joinedAt.get(target);
            if (known === undefined || known === Infinity) {
                joinedAt.set(target, known === undefined && now === firstCallAt ? -Infinity : now);
            }
            const age = now - (joinedAt.get(target) ?? now);
            return steps.findLast(step => age >= step.afterMilliseconds)?.share ?? 1;
        },
    };
};
