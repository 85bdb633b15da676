/**
 * Balance: how the load of a pool is spread over its targets, and which slots and hot keys move to even it out. Slots
 * and hot keys are alike here: both are items with a load and an owner.
 */

/** Items and their owners. An owner is an index into `weights`, or -1 for an item without one. */
export type ItemPlacement = {
    owners: number[];
    /** Load of each item, in any one unit. */
    loads: readonly number[];
    /** Share that each target can carry; 0 for one that must carry nothing. */
    weights: readonly number[];
};

export type BalanceOptions = {
    /** Deviation from the mean, as a ratio, that starts a correction. */
    startDeviation: number;
    /** Deviation from the mean at which a correction is complete. */
    endDeviation: number;
    /** Items that one correction may move at most. */
    maxMoves: number;
};

export const defaultBalanceOptions: BalanceOptions = { startDeviation: 0.1, endDeviation: 0.04, maxMoves: 128 };

const loadsByTarget = (placement: ItemPlacement): number[] => {
    const held = placement.weights.map(() => 0);
    placement.owners.forEach((owner, item) => {
        if (owner >= 0) {
            held[owner] += placement.loads[item];
        }
    });
    return held;
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Load of each target over its fair share. Targets of weight 0 are left out. */
const ratiosOf = (held: readonly number[], weights: readonly number[]): Map<number, number> => {
    const mean = sum(held) / sum(weights);
    const ratios = new Map<number, number>();
    weights.forEach((weight, target) => {
        if (weight > 0) {
            ratios.set(target, mean === 0 ? 1 : held[target] / weight / mean);
        }
    });
    return ratios;
};

/** Highest load over the mean, weighted by what each target can carry. 1 when nothing is loaded. */
export const imbalanceOf = (placement: ItemPlacement): number => {
    const ratios = ratiosOf(loadsByTarget(placement), placement.weights);
    return ratios.size === 0 ? 1 : Math.max(...ratios.values());
};

/** Gives each item without an owner, heaviest first, to the target that it loads least. Returns the new owners. */
export const placeUnownedItems = (placement: ItemPlacement): number[] => {
    const owners = [...placement.owners];
    const held = loadsByTarget(placement);
    const orphans = [...owners.keys()].filter(item => owners[item] < 0);
    orphans.sort((left, right) => placement.loads[right] - placement.loads[left] || left - right);
    for (const item of orphans) {
        let best = -1;
        let least = Infinity;
        placement.weights.forEach((weight, target) => {
            const load = (held[target] + placement.loads[item]) / weight;
            if (weight > 0 && load < least) {
                best = target;
                least = load;
            }
        });
        if (best >= 0) {
            owners[item] = best;
            held[best] += placement.loads[item];
        }
    }
    return owners;
};

type Step = { item: number; from: number; to: number };

const extremesOf = (held: readonly number[], weights: readonly number[]): { highest: number; lowest: number } => {
    let highest = -1;
    let lowest = -1;
    weights.forEach((weight, target) => {
        if (weight > 0) {
            const load = held[target] / weight;
            highest = highest < 0 || load > held[highest] / weights[highest] ? target : highest;
            lowest = lowest < 0 || load < held[lowest] / weights[lowest] ? target : lowest;
        }
    });
    return { highest, lowest };
};

/** The one item of the most loaded target whose move to the least loaded one evens out the two best. */
const bestStep = (placement: ItemPlacement, owners: readonly number[], held: readonly number[]): Step | undefined => {
    const { weights, loads } = placement;
    const { highest, lowest } = extremesOf(held, weights);
    if (highest === lowest) {
        return undefined;
    }
    let best: Step | undefined;
    let least = held[highest] / weights[highest];
    for (let item = 0; item < owners.length; item += 1) {
        if (owners[item] !== highest || loads[item] <= 0) {
            continue;
        }
        const after = Math.max(
            (held[highest] - loads[item]) / weights[highest],
            (held[lowest] + loads[item]) / weights[lowest],
        );
        if (after < least) {
            best = { item, from: highest, to: lowest };
            least = after;
        }
    }
    return best;
};

const deviates = (held: readonly number[], weights: readonly number[], limit: number): boolean => {
    for (const ratio of ratiosOf(held, weights).values()) {
        if (Math.abs(ratio - 1) > limit) {
            return true;
        }
    }
    return false;
};

/**
 * Moves items from the most to the least loaded target until all are near the mean. Nothing moves while every target is
 * within `startDeviation`, so that noise moves nothing. Returns the new owners.
 */
export const rebalance = (placement: ItemPlacement, options: BalanceOptions): number[] => {
    const owners = [...placement.owners];
    const held = loadsByTarget(placement);
    if (!deviates(held, placement.weights, options.startDeviation)) {
        return owners;
    }
    for (
        let moves = 0;
        moves < options.maxMoves && deviates(held, placement.weights, options.endDeviation);
        moves += 1
    ) {
        const step = bestStep(placement, owners, held);
        if (step === undefined) {
            break;
        }
        owners[step.item] = step.to;
        held[step.from] -= placement.loads[step.item];
        held[step.to] += placement.loads[step.item];
    }
    return owners;
};

/** Load of each slot, smoothed over the reports of all hosts. */
export type LoadEstimate = {
    /** Adds what one host counted by slot. */
    add: (counts: ReadonlyArray<readonly [slot: number, count: number]>) => void;
    /** Ends a round: folds what was added into the smoothed loads. */
    endRound: (roundMilliseconds: number) => void;
    /** Smoothed requests a second by slot. */
    rates: () => readonly number[];
    /** Requests seen in all rounds. */
    total: () => number;
};

const smoothingMilliseconds = 15_000;

/** Creates an estimate of the load by slot with nothing counted. */
export const createLoadEstimate = (slotCount: number): LoadEstimate => {
    const added = new Array<number>(slotCount).fill(0);
    const rates = new Array<number>(slotCount).fill(0);
    let total = 0;
    let rounds = 0;
    return {
        add: counts => {
            for (const [slot, count] of counts) {
                if (slot < slotCount) {
                    added[slot] += count;
                    total += count;
                }
            }
        },
        endRound: roundMilliseconds => {
            rounds += 1;
            const decay = Math.exp(-roundMilliseconds / smoothingMilliseconds);
            const share = rounds === 1 ? 1 : 1 - decay;
            for (let slot = 0; slot < slotCount; slot += 1) {
                const rate = added[slot] * 1_000 / roundMilliseconds;
                rates[slot] += (rate - rates[slot]) * share;
                added[slot] = 0;
            }
        },
        rates: () => rates,
        total: () => total,
    };
};

const noiseDeviations = 3;

/**
 * Widens the deviations by what chance alone makes of a low rate: counts of `n` requests stray by one part in the root
 * of `n`. `ratePerTarget` is the smoothed mean in requests a second; 0 when the loads were not counted.
 */
export const widenDeviationsByNoise = (options: BalanceOptions, ratePerTarget: number): BalanceOptions => {
    if (ratePerTarget === 0) {
        return options;
    }
    const counted = ratePerTarget * 2 * smoothingMilliseconds / 1_000;
    const noise = 1 / Math.sqrt(counted);
    return {
        ...options,
        startDeviation: Math.max(options.startDeviation, noiseDeviations * noise),
        endDeviation: Math.max(options.endDeviation, noise),
    };
};

const minWeightFactor = 0.5;

/**
 * Lowers the weight of targets whose queue, by their own lagging reports, is longer than the mean. `queues` gives
 * waiting requests over concurrency, smoothed; a target without a report keeps its weight.
 */
export const lowerWeightsByQueue = (
    weights: readonly number[],
    queues: ReadonlyArray<number | undefined>,
): number[] => {
    const known = queues.filter(queue => queue !== undefined);
    const mean = known.length === 0 ? 0 : sum(known) / known.length;
    return weights.map((weight, target) => {
        const excess = Math.max(0, (queues[target] ?? mean) - mean);
        return weight * Math.max(minWeightFactor, 1 / (1 + excess));
    });
};
