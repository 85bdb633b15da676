/**
 * Computes the next assignment of a pool. Slots move only away from targets that must not keep them or that carry more
 * than their share. Renewers and witnesses stay the same as long as their hosts live.
 */
import { isDeepStrictEqual } from "node:util";
import { type Assignment, type Move, noOwner } from "../contracts/assignment.ts";
import type { Pool } from "../contracts/pool.ts";
import { type BalanceOptions, placeUnownedItems, rebalance } from "./balance.ts";
import { type Candidate, nextRenewers, nextWitnesses } from "./hostselection.ts";
import { chooseKeepers } from "./keepers.ts";
import { hasMajority } from "./majority.ts";
import { formerRenewersAfter, movesAfter, renewersOf } from "./move.ts";
import { formerWitnessesAfter, mayChangeWitnesses } from "./witness.ts";

export type { Candidate } from "./hostselection.ts";

/** What the next assignment of a pool is computed from. */
export type AssignmentInput = {
    pool: Pool;
    current: Assignment;
    /** Hosts that may serve as renewers, witnesses and claim keepers. */
    hosts: Candidate[];
    /**
     * Fraction of its speed that each target may use now. A target without an entry may use all of it; 0 means that
     * the target must not own anything.
     */
    capacityShares: ReadonlyMap<string, number>;
    /** Targets that failure detection considers lost. */
    lost: ReadonlySet<string>;
    /** Number of slots and hot keys that one revision takes from a leaving target that still serves. */
    leavingBatch: number;
    /** Load of each slot, without the load of its hot keys. */
    slotLoads: readonly number[];
    /** Keys that are placed independently of their slots, with their load. */
    hotKeys: ReadonlyArray<{ key: string; load: number }>;
    slotOf: (key: string) => number;
    /** Whether the former owner is known to hold none of the slots and keys of the move any more. */
    isReleased: (move: Move) => boolean;
    /** Whether the host is known to have acknowledged the current revision. */
    hasAcknowledged: (host: string) => boolean;
    /** Whether the host is known to act on no revision below the current one, whether it acknowledged it or not. */
    hasStopped: (host: string) => boolean;
    /** Options for rebalancing between healthy targets. Without them, only what must leave its target moves. */
    balance?: BalanceOptions;
};

/** Creates the first assignment of a pool, with the slots distributed in proportion to the targets' speeds. */
export const firstAssignment = (pool: Pool, hosts: Candidate[]): Assignment => {
    const names = pool.targets.map(target => target.name);
    return {
        revision: 1,
        targets: names,
        owners: placeUnownedItems({
            owners: new Array<number>(pool.slotCount).fill(noOwner),
            loads: new Array<number>(pool.slotCount).fill(1),
            weights: pool.targets.map(target => target.leaving ? 0 : target.speed),
        }),
        hotKeys: [],
        moves: [],
        renewers: nextRenewers({}, names, hosts),
        witnesses: nextWitnesses([], hosts, true),
        keepers: chooseKeepers([], hosts, 1),
    };
};

/**
 * Lists the targets of the pool, the targets of unfinished moves, and targets that still own something. Targets that
 * the current assignment lists keep their order.
 */
const nextTargets = (input: AssignmentInput, moves: Move[]): string[] => {
    const needed = new Set(input.pool.targets.map(target => target.name));
    for (const move of moves) {
        needed.add(move.from).add(move.to);
    }
    const owning = new Set(input.current.owners);
    const kept = input.current.targets.filter((name, index) => needed.has(name) || owning.has(index));
    return [...new Set([...kept, ...needed])];
};

/** The hosts with a role in an assignment, apart from the claim keepers. */
type ChosenHosts = Pick<Assignment, "renewers" | "formerRenewers" | "witnesses" | "formerWitnesses">;

/** Chooses renewers and witnesses, and keeps the former ones while they may still act on an older revision. */
const chooseHosts = (input: AssignmentInput, targets: string[]): ChosenHosts => {
    const { current, hosts, hasAcknowledged, hasStopped } = input;
    const renewers = nextRenewers(current.renewers, targets, hosts);
    const formerRenewers = formerRenewersAfter(current, renewers, hasStopped);
    const remainingFormer = formerWitnessesAfter(current.formerWitnesses, hasAcknowledged);
    const witnesses = nextWitnesses(current.witnesses, hosts, mayChangeWitnesses(remainingFormer));
    const changed = !isDeepStrictEqual(witnesses, current.witnesses);
    const formerWitnesses = changed ? current.witnesses : remainingFormer;
    return {
        renewers,
        ...(Object.keys(formerRenewers).length === 0 ? {} : { formerRenewers }),
        witnesses,
        ...(formerWitnesses === undefined ? {} : { formerWitnesses }),
    };
};

/**
 * Returns whether moves away from the target can be released: the hosts whose acknowledgements release them are
 * present. A move that can't be released leaves its slots without an owner, and a forced one ends the renewal of its
 * former owner.
 */
const canBeLeft = (input: AssignmentInput, chosen: ChosenHosts, target: string): boolean => {
    const isPresent = (name: string): boolean => input.hosts.some(host => host.name === name);
    const witnessSets = [chosen.witnesses, ...chosen.formerWitnesses === undefined ? [] : [chosen.formerWitnesses]];
    // Routers that are gone are no longer waited for where targets don't check grants.
    return !input.pool.checksGrants || renewersOf(chosen, target).every(isPresent)
        || witnessSets.every(hosts => hasMajority(hosts, isPresent));
};

/** Returns the load that each target may carry, relative to the others; 0 for a target that must not own anything. */
const weightsOf = (input: AssignmentInput, targets: string[]): number[] =>
    targets.map(name => {
        const target = input.pool.targets.find(candidate => candidate.name === name);
        return target === undefined || target.leaving ? 0 : target.speed * (input.capacityShares.get(name) ?? 1);
    });

/** Slots followed by hot keys, with their loads and their owners as indexes into `targets`. */
type Items = { owners: number[]; loads: number[] };

/** Lists the targets that own something and must not, and that can't be left while so many hosts are gone. */
export const boundTargets = (input: AssignmentInput): string[] => {
    const { targets, owners, hotKeys } = input.current;
    const chosenHosts = chooseHosts(input, targets);
    const weights = weightsOf(input, targets);
    return targets.filter((name, index) =>
        weights[index] === 0 && !canBeLeft(input, chosenHosts, name)
        && (owners.includes(index) || hotKeys.some(hot => hot.target === name))
    );
};

/** Adds to the hot keys those that are no longer hot but can't return to their slot, since their target can't be left. */
const withBoundHotKeys = (input: AssignmentInput, leavable: ReadonlySet<string>): AssignmentInput => {
    const hot = new Set(input.hotKeys.map(({ key }) => key));
    const bound = input.current.hotKeys.filter(({ key, target }) => !hot.has(key) && !leavable.has(target));
    return { ...input, hotKeys: [...input.hotKeys, ...bound.map(({ key }) => ({ key, load: 0 }))] };
};

/** Collects the items of the pool with the owners that the current assignment gives them. */
const itemsOf = (input: AssignmentInput, targets: string[]): Items => {
    const { current, pool } = input;
    const indexes = current.targets.map(name => targets.indexOf(name));
    const owners: number[] = [];
    const loads: number[] = [];
    for (let slot = 0; slot < pool.slotCount; slot += 1) {
        owners.push(indexes[current.owners[slot] ?? noOwner] ?? noOwner);
        loads.push(input.slotLoads[slot] ?? 1);
    }
    for (const { key, load } of input.hotKeys) {
        const placed = current.hotKeys.find(known => known.key === key);
        owners.push(placed === undefined ? owners[input.slotOf(key)] : targets.indexOf(placed.target));
        loads.push(load);
    }
    return { owners, loads };
};

/**
 * Removes the owner from items whose target must not own anything. A leaving target that still serves gives them up in
 * batches, the next one only when no move from it is unfinished; any other target gives up all items at once. A target
 * that is not `leavable` gives up none.
 */
const removeOwners = (
    input: AssignmentInput,
    targets: string[],
    owners: number[],
    weights: number[],
    moves: Move[],
    leavable: ReadonlySet<string>,
) => {
    const removable = targets.map(name => {
        if (!leavable.has(name)) {
            return 0;
        }
        const target = input.pool.targets.find(candidate => candidate.name === name);
        if (target?.leaving !== true || input.capacityShares.get(name) === 0) {
            return Infinity;
        }
        return moves.some(move => move.from === name) ? 0 : input.leavingBatch;
    });
    return owners.map(owner => {
        if (owner === noOwner || weights[owner] > 0 || removable[owner] === 0) {
            return owner;
        }
        removable[owner] -= 1;
        return noOwner;
    });
};

/**
 * Rebalances the items between targets. Does nothing without balance options, while any move is unfinished, or while
 * not all targets are `leavable`.
 */
const rebalanceIfSettled = (
    input: AssignmentInput,
    items: Items,
    owners: number[],
    weights: number[],
    moves: Move[],
    leavable: ReadonlySet<string>,
): number[] => {
    if (input.balance === undefined || moves.length > 0 || leavable.size < weights.length) {
        return owners;
    }
    return rebalance({ owners, loads: items.loads, weights }, input.balance);
};

/** Lists lost targets and targets that have left the pool. Moves away from them are forced. */
const forcedSourcesOf = (input: AssignmentInput, targets: string[]): Set<string> => {
    const inPool = new Set(input.pool.targets.map(target => target.name));
    return new Set(targets.filter(name => !inPool.has(name) || input.lost.has(name)));
};

/**
 * Computes the assignment that follows the current one. Returns undefined when nothing has to change. The removal of
 * released moves counts as a change.
 */
export const nextAssignment = (given: AssignmentInput): Assignment | undefined => {
    const { current, pool } = given;
    const revision = current.revision + 1;
    const unfinished = current.moves.filter(move => !given.isReleased(move));
    const targets = nextTargets(given, unfinished);
    const chosenHosts = chooseHosts(given, targets);
    const leavable = new Set(targets.filter(target => canBeLeft(given, chosenHosts, target)));
    const input = withBoundHotKeys(given, leavable);
    const weights = weightsOf(input, targets);
    const items = itemsOf(input, targets);
    const canPlace = weights.some(weight => weight > 0);
    const remainingOwners = canPlace
        ? removeOwners(input, targets, items.owners, weights, unfinished, leavable)
        : items.owners;
    const placed = placeUnownedItems({ owners: remainingOwners, loads: items.loads, weights });
    const after = rebalanceIfSettled(input, items, placed, weights, unfinished, leavable);
    const placement = {
        targets,
        owners: after.slice(0, pool.slotCount),
        hotKeys: input.hotKeys
            .map(({ key }, index) => ({ key, target: targets[after[pool.slotCount + index]] }))
            .filter(hot => hot.target !== undefined),
    };
    const { slotOf, isReleased } = input;
    const lost = forcedSourcesOf(input, targets);
    const next: Assignment = {
        revision,
        ...placement,
        moves: movesAfter(current, placement, { revision, slotOf, isReleased, lost }),
        ...chosenHosts,
        keepers: chooseKeepers(current.keepers, input.hosts, revision),
    };
    return isDeepStrictEqual({ ...next, revision: current.revision }, current) ? undefined : next;
};

/** Counts the slots whose owner differs between two assignments. Hot keys are not counted. */
export const countMoved = (before: Assignment, after: Assignment): number => {
    let moved = 0;
    after.owners.forEach((owner, slot) => {
        moved += after.targets[owner] === before.targets[before.owners[slot] ?? noOwner] ? 0 : 1;
    });
    return moved;
};
