/**
 * Which hosts keep the claims of each group: two in different zones, with the least change from the keepers before.
 */
import type { KeeperGroup } from "../contracts/assignment.ts";
import type { Candidate } from "./hostselection.ts";

/** Groups of a pool. Never changed for a pool that exists, since an id's group is its hash modulo this number. */
export const keeperGroupCount = 64;

const keepersPerGroup = 2;
/** A host may keep this many groups more than the least one before a group moves for balance. */
const toleratedSurplus = 4;
/** Groups that one change may move for balance, so that most groups answer at any time. */
const maxBalancedPerChange = 4;

type Load = Map<string, number>;

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

/** The least loaded host in another zone than the one kept, or in any zone when there is no other. */
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

/** Replaces the keepers that are gone. One that lives is kept, since it holds the memory. */
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

/** A group whose keeper on a loaded host can go to a less loaded one without leaving its two zones to one. */
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
        for (const to of ascending.filter(other => loadOf(from) - loadOf(other.name) > toleratedSurplus)) {
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

/** Moves one keeper of a few groups from loaded to less loaded hosts. */
const balance = (groups: KeeperGroup[], candidates: Candidate[], load: Load, revision: number): KeeperGroup[] => {
    const balanced = [...groups];
    for (let moved = 0; moved < maxBalancedPerChange; moved += 1) {
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
 * The keepers of a pool at a revision. Gives the groups of `current` where nothing has to change. At most one keeper
 * of a group changes at a time while the other lives.
 *
 * @param current groups of the assignment in force; empty for a new pool.
 * @param candidates hosts that live and do not leave.
 * @param revision revision of the assignment that will carry the result.
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
