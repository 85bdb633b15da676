/**
 * Balances the load of a pool over its targets: measures the imbalance and decides which slots and hot keys move. Slots
 * and hot keys are treated alike, as items with a load and an owner.
 */

/** Items and their owners. An owner is an index into `weights`, or -1 for an item without an owner. */
export type ItemPlacement = {
    owners: number[];
    /** Load of each item. The unit is arbitrary but the same for all items. */
    loads: readonly number[];
    /** Load that each target can carry, relative to the others; 0 for a target that must not own anything. */
    weights: readonly number[];
};

export type BalanceOptions = {
    /** Relative deviation from the mean above which a correction starts. */
    startDeviation: number;
    /** Relative deviation from the mean at which a correction is complete. */
    endDeviation: number;
    /** Maximum number of items that one correction moves. */
    maxMoves: number;
};

export const defaultBalanceOptions: BalanceOptions = { startDeviation: 0.1, endDeviation: 0.04, maxMoves: 128 };

const loadsByTarget = (placement: ItemPlacement): number[] => {
    const targetLoads = placement.weights.map(() => 0);
    placement.owners.forEach((owner, item) => {
        if (owner >= 0) {
            targetLoads[owner] += placement.loads[item];
        }
    });
    return targetLoads;
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Returns the load of each target divided by its fair share. Targets of weight 0 are left out. */
const ratiosOf = (targetLoads: readonly number[], weights: readonly number[]): Map<number, number> => {
    const mean = sum(targetLoads) / sum(weights);
    const ratios = new Map<number, number>();
    weights.forEach((weight, target) => {
        if (weight > 0) {
            ratios.set(target, mean === 0 ? 1 : targetLoads[target] / weight / mean);
        }
    });
    return ratios;
};

/** Returns the highest ratio of a target's load to its fair share; 1 when there is no load. */
export const imbalanceOf = (placement: ItemPlacement): number => {
    const ratios = ratiosOf(loadsByTarget(placement), placement.weights);
    return ratios.size === 0 ? 1 : Math.max(...ratios.values());
};

/**
 * Gives each item without an owner, heaviest first, to the target whose load by weight is then the lowest. Returns the
 * new owners.
 */
export const placeUnownedItems = (placement: ItemPlacement): number[] => {
    const owners = [...placement.owners];
    const targetLoads = loadsByTarget(placement);
    const unowned = [...owners.keys()].filter(item => owners[item] < 0);
    unowned.sort((left, right) => placement.loads[right] - placement.loads[left] || left - right);
    for (const item of unowned) {
        let best = -1;
        let least = Infinity;
        placement.weights.forEach((weight, target) => {
            const load = (targetLoads[target] + placement.loads[item]) / weight;
            if (weight > 0 && load < least) {
                best = target;
                least = load;
            }
        });
        if (best >= 0) {
            owners[item] = best;
            targetLoads[best] += placement.loads[item];
        }
    }
    return owners;
};

type Step = { item: number; from: number; to: number };

/** Returns the targets with the highest and the lowest load by weight; -1 when all weights are 0. */
const extremesOf = (
    targetLoads: readonly number[],
    weights: readonly number[],
): { highest: number; lowest: number } => {
    let highest = -1;
    let lowest = -1;
    weights.forEach((weight, target) => {
        if (weight > 0) {
            const load = targetLoads[target] / weight;
            highest = highest < 0 || load > targetLoads[highest] / weights[highest] ? target : highest;
            lowest = lowest < 0 || load < targetLoads[lowest] / weights[lowest] ? target : lowest;
        }
    });
    return { highest, lowest };
};

/** Finds the item of the most loaded target whose move to the least loaded one makes the two most alike. */
const bestStep = (
    placement: ItemPlacement,
    owners: readonly number[],
    targetLoads: readonly number[],
): Step | undefined => {
    const { weights, loads } = placement;
    const { highest, lowest } = extremesOf(targetLoads, weights);
    if (highest === lowest) {
        return undefined;
    }
    let best: Step | undefined;
    let least = targetLoads[highest] / weights[highest];
    for (let item = 0; item < owners.length; item += 1) {
        if (owners[item] !== highest || loads[item] <= 0) {
            continue;
        }
        const after = Math.max(
            (targetLoads[highest] - loads[item]) / weights[highest],
            (targetLoads[lowest] + loads[item]) / weights[lowest],
        );
        if (after < least) {
            best = { item, from: highest, to: lowest };
            least = after;
        }
    }
    return best;
};

const deviates = (targetLoads: readonly number[], weights: readonly number[], limit: number): boolean => {
    for (const ratio of ratiosOf(targetLoads, weights).values()) {
        if (Math.abs(ratio - 1) > limit) {
            return true;
        }
    }
    return false;
};

/**
 * Moves items from the most to the least loaded target until all targets are near the mean. Nothing moves while every
 * target is within `startDeviation`, so that random variation causes no moves. Returns the new owners.
 */
export const rebalance = (placement: ItemPlacement, options: BalanceOptions): number[] => {
    const owners = [...placement.owners];
    const targetLoads = loadsByTarget(placement);
    if (!deviates(targetLoads, placement.weights, options.startDeviation)) {
        return owners;
    }
    for (
        let moves = 0;
        moves < options.maxMoves && deviates(targetLoads, placement.weights, options.endDeviation);
        moves += 1
    ) {
        const step = bestStep(placement, owners, targetLoads);
        if (step === undefined) {
            break;
        }
        owners[step.item] = step.to;
        targetLoads[step.from] -= placement.loads[step.item];
        targetLoads[step.to] += placement.loads[step.item];
    }
    return owners;
};

/** Request rate of each slot, smoothed over time and summed over the reports of all hosts. */
export type LoadEstimate = {
    /** Adds the requests that one host counted for each slot. */
    add: (counts: ReadonlyArray<readonly [slot: number, count: number]>) => void;
    /** Ends a round: includes the counts that were added in the smoothed rates, and resets them. */
    endRound: (roundMilliseconds: number) => void;
    /** Returns the smoothed requests per second of each slot. */
    rates: () => readonly number[];
    /** Returns the number of requests counted in all rounds. */
    total: () => number;
};

const smoothingMilliseconds = 15_000;

/** Creates an estimate of the request rate of each slot, with no requests counted. */
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

/** Multiple of the expected random deviation at which rebalancing starts. */
const noiseDeviations = 3;

/**
 * Widens the deviations at which rebalancing starts and ends to allow for random variation at low request rates: a
 * count of `n` requests has a relative standard deviation of `1 / sqrt(n)`.
 *
 * @param ratePerTarget smoothed mean in requests per second; 0 when the loads were not counted.
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

/** Lowest factor by which a long queue reduces the weight of a target. */
const minWeightFactor = 0.5;

/**
 * Lowers the weight of targets whose queue is longer than the mean according to their own reports, which arrive with a
 * delay. A target without a report keeps its weight.
 *
 * @param queues smoothed number of waiting requests divided by concurrency, for each target.
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
