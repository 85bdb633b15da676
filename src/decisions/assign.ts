/**
 * Assigning: which target owns each slot and which hosts renew its grant.
 */
import type { Assignment } from "../contracts/assignment.ts";
import type { Pool } from "../contracts/pool.ts";
import { chooseKeepers } from "./keepers.ts";

/** A host that may be named in an assignment. */
export type Candidate = { name: string; zone: string };

const renewersPerTarget = 3;

/** Picks up to `count` hosts beginning at a place of the list, in different zones where it can. */
export const pickHosts = (candidates: Candidate[], start: number, count: number): string[] => {
    const picked: Candidate[] = [];
    const rotated = [...candidates.slice(start % candidates.length), ...candidates.slice(0, start % candidates.length)];
    for (const candidate of rotated) {
        if (picked.length < count && !picked.some(other => other.zone === candidate.zone)) {
            picked.push(candidate);
        }
    }
    for (const candidate of rotated) {
        if (picked.length < count && !picked.includes(candidate)) {
            picked.push(candidate);
        }
    }
    return picked.map(candidate => candidate.name);
};

/** Shares out the slots by speed: each slot goes to the target that is furthest below its share. */
const shareOut = (pool: Pool): number[] => {
    const held = pool.targets.map(() => 0);
    const owners: number[] = [];
    for (let slot = 0; slot < pool.slotCount; slot += 1) {
        let best = 0;
        for (let index = 1; index < pool.targets.length; index += 1) {
            const load = (held[index] + 1) / pool.targets[index].speed;
            if (load < (held[best] + 1) / pool.targets[best].speed) {
                best = index;
            }
        }
        held[best] += 1;
        owners.push(best);
    }
    return owners;
};

/** The first assignment of a pool. */
export const firstAssignment = (pool: Pool, candidates: Candidate[]): Assignment => ({
    revision: 1,
    targets: pool.targets.map(target => target.name),
    owners: pool.targets.length === 0 ? [] : shareOut(pool),
    hotKeys: [],
    moves: [],
    renewers: Object.fromEntries(
        pool.targets.map((target, index) => [target.name, pickHosts(candidates, index, renewersPerTarget)]),
    ),
    witnesses: pickHosts(candidates, 0, 5),
    keepers: chooseKeepers([], candidates, 1),
});
