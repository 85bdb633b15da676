/**
 * Assigning: the next assignment of a pool. Slots move only from targets that must not keep them or that carry more
 * than their share; hosts that renew and witness stay as long as they live.
 */
import { isDeepStrictEqual } from "node:util";
import { type Assignment, type Move, noOwner } from "../contracts/assignment.ts";
import type { Pool } from "../contracts/pool.ts";
import { type BalanceOptions, placeUnownedItems, rebalance } from "./balance.ts";
import { type Candidate, nextRenewers, nextWitnesses } from "./hostselection.ts";
import { chooseKeepers } from "./keepers.ts";
import { formerRenewersAfter, movesAfter } from "./move.ts";
import { formerWitnessesAfter, mayChangeWitnesses } from "./witness.ts";

export type { Candidate } from "./hostselection.ts";

export type AssignmentInput = {
    pool: Pool;
    current: Assignment;
    /** Hosts that may be named. */
    hosts: Candidate[];
    /** Share of its speed that a target may carry now; 1 when left out, 0 for one that must carry nothing. */
    capacityShares: ReadonlyMap<string, number>;
    /** Targets taken for lost. */
    lost: ReadonlySet<string>;
    /** Slots that a leaving target, which still serves, gives away in one revision. */
    leavingBatch: number;
    /** Load of each slot without its hot keys. */
    slotLoads: readonly number[];
    /** Keys that stand apart from their slots, with their load. */
    hotKeys: ReadonlyArray<{ key: string; load: number }>;
    slotOf: (key: string) => number;
    /** Whether the former owner is known to hold nothing of the move any more. */
    isReleased: (move: Move) => boolean;
    /** Whether the host is known to have acknowledged the current revision. */
    hasAcknowledged: (host: string) => boolean;
    /** Whether the host is known to act on no revision below the current one, acknowledged or not. */
    hasStopped: (host: string) => boolean;
    /** How slots of healthy targets are evened out; left out to move only what must move. */
    balance?: BalanceOptions;
};

/** The first assignment of a pool: slots shared out by speed. */
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

/** Targets of the pool, and those of unfinished moves. The order of known ones stays. */
const nextTargets = (input: AssignmentInput, moves: Move[]): string[] => {
    const needed = new Set(input.pool.targets.map(target => target.name));
    for (const move of moves) {
        needed.add(move.from).add(move.to);
    }
    const owning = new Set(input.current.owners);
    const kept = input.current.targets.filter((name, index) => needed.has(name) || owning.has(index));
    return [...new Set([...kept, ...needed])];
};

type NamedHosts = Pick<Assignment, "renewers" | "formerRenewers" | "witnesses" | "formerWitnesses">;

/** Renewers and witnesses, with those before them as long as they may still act by an older revision. */
const namedHosts = (input: AssignmentInput, targets: string[]): NamedHosts => {
    const { current, hosts, hasAcknowledged, hasStopped } = input;
    const renewers = nextRenewers(current.renewers, targets, hosts);
    const formerRenewers = formerRenewersAfter(current, renewers, hasStopped);
    const settled = formerWitnessesAfter(current.formerWitnesses, hasAcknowledged);
    const witnesses = nextWitnesses(current.witnesses, hosts, mayChangeWitnesses(settled));
    const changed = !isDeepStrictEqual(witnesses, current.witnesses);
    const formerWitnesses = changed ? current.witnesses : settled;
    return {
        renewers,
        ...(Object.keys(formerRenewers).length === 0 ? {} : { formerRenewers }),
        witnesses,
        ...(formerWitnesses === undefined ? {} : { formerWitnesses }),
    };
};

const weightsOf = (input: AssignmentInput, targets: string[]): number[] =>
    targets.map(name => {
        const target = input.pool.targets.find(candidate => candidate.name === name);
        return target === undefined || target.leaving ? 0 : target.speed * (input.capacityShares.get(name) ?? 1);
    });

/** Slots and after them hot keys, with their owners by index into `targets`. */
type Items = { owners: number[]; loads: number[] };

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
        const lifted = current.hotKeys.find(known => known.key === key);
        owners.push(lifted === undefined ? owners[input.slotOf(key)] : targets.indexOf(lifted.target));
        loads.push(load);
    }
    return { owners, loads };
};

/** Takes items away from targets that may carry nothing: in batches while these still serve, else all at once. */
const takeAway = (input: AssignmentInput, targets: string[], owners: number[], weights: number[], moves: Move[]) => {
    const allowance = targets.map(name => {
        const target = input.pool.targets.find(candidate => candidate.name === name);
        if (target?.leaving !== true || input.capacityShares.get(name) === 0) {
            return Infinity;
        }
        return moves.some(move => move.from === name) ? 0 : input.leavingBatch;
    });
    return owners.map(owner => {
        if (owner === noOwner || weights[owner] > 0 || allowance[owner] === 0) {
            return owner;
        }
        allowance[owner] -= 1;
        return noOwner;
    });
};

/** Evens out what no unfinished move holds. Items held count as load of their owner but stay. */
const evenOutFree = (
    input: AssignmentInput,
    items: Items,
    owners: number[],
    weights: number[],
    moves: Move[],
): number[] => {
    if (input.balance === undefined || moves.length > 0) {
        return owners;
    }
    return rebalance({ owners, loads: items.loads, weights }, input.balance);
};

/** Targets that do not serve and must not keep anything: what leaves them moves by force. */
const lostOf = (input: AssignmentInput, targets: string[]): Set<string> => {
    const inPool = new Set(input.pool.targets.map(target => target.name));
    return new Set(targets.filter(name => !inPool.has(name) || input.lost.has(name)));
};

/** The next assignment; undefined when nothing has to change. Released moves alone are a change. */
export const nextAssignment = (input: AssignmentInput): Assignment | undefined => {
    const { current, pool } = input;
    const revision = current.revision + 1;
    const unfinished = current.moves.filter(move => !input.isReleased(move));
    const targets = nextTargets(input, unfinished);
    const weights = weightsOf(input, targets);
    const items = itemsOf(input, targets);
    const canPlace = weights.some(weight => weight > 0);
    const taken = canPlace ? takeAway(input, targets, items.owners, weights, unfinished) : items.owners;
    const placed = placeUnownedItems({ owners: taken, loads: items.loads, weights });
    const after = evenOutFree(input, items, placed, weights, unfinished);
    const placement = {
        targets,
        owners: after.slice(0, pool.slotCount),
        hotKeys: input.hotKeys
            .map(({ key }, index) => ({ key, target: targets[after[pool.slotCount + index]] }))
            .filter(hot => hot.target !== undefined),
    };
    const { slotOf, isReleased } = input;
    const lost = lostOf(input, targets);
    const next: Assignment = {
        revision,
        ...placement,
        moves: movesAfter(current, placement, { revision, slotOf, isReleased, lost }),
        ...namedHosts(input, targets),
        keepers: chooseKeepers(current.keepers, input.hosts, revision),
    };
    return isDeepStrictEqual({ ...next, revision: current.revision }, current) ? undefined : next;
};

/** Slots and hot keys that change their owner from one assignment to the next. */
export const countMoved = (before: Assignment, after: Assignment): number => {
    let moved = 0;
    after.owners.forEach((owner, slot) => {
        moved += after.targets[owner] === before.targets[before.owners[slot] ?? noOwner] ? 0 : 1;
    });
    return moved;
};
