/**
 * Chooses the claim keepers of each group of a pool: two hosts in different zones, with as few changes as possible.
 */
import type { KeeperGroup } from "../contracts/assignment.ts";
import type { Candidate } from "./hostselection.ts";

/**
 * Number of groups of a pool. It must not change while a pool exists, since the group of an id is its hash modulo this
 * number.
 */
export const keeperGroupCount = 64;

const keepersPerGroup = 2;
/** A group moves for balance only when one host keeps more than this many groups more than another. */
const toleratedGroupDifference = 4;
/** Maximum number of groups that one change moves for balance, so that most groups can answer at any time. */
const maxBalancingMovesPerChange = 4;

/** Number of groups that each host keeps. */
type Load = Map<string, number>;

/** Returns the candidate with the fewest groups; the search begins at `start`, so that ties go to different hosts. */
const leastLoaded = (candidates: Candidate[], load: Load, start: number): Candidate | undefined => {
    let best: Candidate | undefined;
    for (let step = 0; step < candidates.length; step += 1) {
        const candidate = candidates[(start + step) % candidates.length];
        if (best === undefined || (load.get(candidate.name) ?? 0) < (load.get(best.name) ?? 0)) {
            best = candidate;
        }
    }
    return best;
};

/** Returns the least loaded host in another zone than the kept one, or in any zone when there is no other zone. */
const partnerFor = (
    kept: Candidate | undefined,
    candidates: Candidate[],
    load: Load,
    start: number,
): Candidate | undefined => {
    const others = candidates.filter(candidate => candidate.name !== kept?.name);
    const elsewhere = others.filter(candidate => candidate.zone !== kept?.zone);
    return leastLoaded(elsewhere.length > 0 ? elsewhere : others, load, start);
};

const countLoad = (groups: readonly KeeperGroup[], candidates: Candidate[]): Load => {
    const load: Load = new Map(candidates.map(candidate => [candidate.name, 0]));
    for (const host of groups.flatMap(group => group.hosts)) {
        if (load.has(host)) {
            load.set(host, (load.get(host) ?? 0) + 1);
        }
    }
    return load;
};

const replaceHost = (group: KeeperGroup, hosts: string[], revision: number): KeeperGroup => ({
    hosts,
    since: revision,
    previous: group.hosts,
    previousSince: group.since,
});

const firstGroups = (candidates: Candidate[], revision: number): KeeperGroup[] => {
    const load = countLoad([], candidates);
    const groups: KeeperGroup[] = [];
    for (let index = 0; index < keeperGroupCount; index += 1) {
        const hosts: string[] = [];
        let kept: Candidate | undefined;
        while (hosts.length < Math.min(keepersPerGroup, candidates.length)) {
            const next = partnerFor(kept, candidates, load, index) as Candidate;
            load.set(next.name, (load.get(next.name) ?? 0) + 1);
            hosts.push(next.name);
            kept = next;
        }
        groups.push({ hosts, since: revision, previous: [] });
    }
    return groups;
};

/** Replaces the keepers of a group that are gone. A live keeper stays, since it holds the remembered claims. */
const repair = (group: KeeperGroup, candidates: Candidate[], load: Load, index: number, revision: number) => {
    const kept = group.hosts.filter(host => load.has(host));
    const wanted = Math.min(keepersPerGroup, candidates.length);
    if (kept.length === group.hosts.length && kept.length >= wanted) {
        return group;
    }
    const hosts = [...kept];
    while (hosts.length < wanted) {
        const first = candidates.find(candidate => candidate.name === hosts[0]);
        const next = partnerFor(first, candidates, load, index) as Candidate;
        load.set(next.name, (load.get(next.name) ?? 0) + 1);
        hosts.push(next.name);
    }
    return replaceHost(group, hosts, revision);
};

type Swap = { index: number; from: string; to: Candidate };

/** Finds a group of which one keeper can move to a less loaded host while its keepers stay in different zones. */
const findSwap = (
    groups: readonly KeeperGroup[],
    candidates: Candidate[],
    load: Load,
    revision: number,
): Swap | undefined => {
    const loadOf = (name: string): number => load.get(name) ?? 0;
    const zones = new Map(candidates.map(candidate => [candidate.name, candidate.zone]));
    const ascending = [...candidates].sort((left, right) => loadOf(left.name) - loadOf(right.name));
    for (const { name: from } of [...ascending].reverse()) {
        for (const to of ascending.filter(other => loadOf(from) - loadOf(other.name) > toleratedGroupDifference)) {
            const index = groups.findIndex(group =>
                group.since !== revision && group.hosts.includes(from) && !group.hosts.includes(to.name)
                && group.hosts.every(host => host === from || zones.get(host) !== to.zone)
            );
            if (index !== -1) {
                return { index, from, to };
            }
        }
    }
    return undefined;
};

/** Moves one keeper of each of a few groups from more to less loaded hosts. */
const balance = (groups: KeeperGroup[], candidates: Candidate[], load: Load, revision: number): KeeperGroup[] => {
    const balanced = [...groups];
    for (let moved = 0; moved < maxBalancingMovesPerChange; moved += 1) {
        const swap = findSwap(balanced, candidates, load, revision);
        if (swap === undefined) {
            return balanced;
        }
        const { index, from, to } = swap;
        const hosts = balanced[index].hosts.map(host => host === from ? to.name : host);
        balanced[index] = replaceHost(balanced[index], hosts, revision);
        load.set(from, (load.get(from) ?? 0) - 1);
        load.set(to.name, (load.get(to.name) ?? 0) + 1);
    }
    return balanced;
};

/**
 * Returns the claim keepers of a pool for a new revision. A group that does not have to change is returned as it is. At
 * most one keeper of a group changes at a time while the other one is live.
 *
 * @param current groups of the assignment in force; empty for a new pool.
 * @param candidates hosts that are live and are not leaving.
 * @param revision revision of the assignment that will contain the result.
 */
export const chooseKeepers = (
    current: readonly KeeperGroup[],
    candidates: Candidate[],
    revision: number,
): KeeperGroup[] => {
    const sorted = [...candidates].sort((left, right) => (left.name < right.name ? -1 : 1));
    if (sorted.length === 0) {
        return [...current];
    }
    if (current.length === 0) {
        return firstGroups(sorted, revision);
    }
    const load = countLoad(current, sorted);
    const repaired = current.map((group, index) => repair(group, sorted, load, index, revision));
    return balance(repaired, sorted, load, revision);
};
