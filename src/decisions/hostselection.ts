/**
 * Selects the hosts that renew the grants of each target, and the witnesses that vouch for revisions while the platform
 * is unreachable. A selected host keeps its role as long as it lives, so that a change of hosts changes few roles.
 */

/** A host that may be given a role in an assignment. */
export type Candidate = { name: string; zone: string };

const renewersPerTarget = 3;
const maxWitnesses = 5;

/** Picks up to `count` hosts, starting at index `start` modulo the list's length, in different zones where possible. */
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

/**
 * Returns the best host to add to the selected ones: preferably one of a zone that is not represented yet, then the one
 * with the fewest roles, then the first by name.
 */
const bestAddition = (
    selected: readonly string[],
    hosts: readonly Candidate[],
    roleCounts: ReadonlyMap<string, number>,
): string | undefined => {
    const zones = new Set(hosts.filter(host => selected.includes(host.name)).map(host => host.zone));
    const ranked = hosts.filter(host => !selected.includes(host.name)).map(host => ({
        name: host.name,
        sameZone: zones.has(host.zone) ? 1 : 0,
        roleCount: roleCounts.get(host.name) ?? 0,
    }));
    ranked.sort((left, right) =>
        left.sameZone - right.sameZone || left.roleCount - right.roleCount || (left.name < right.name ? -1 : 1)
    );
    return ranked[0]?.name;
};

/**
 * Returns the renewers of each target. Live ones stay; missing ones are replaced by the hosts that renew the fewest
 * targets.
 */
export const nextRenewers = (
    current: Readonly<Record<string, readonly string[]>>,
    targets: readonly string[],
    hosts: readonly Candidate[],
): Record<string, string[]> => {
    const live = new Set(hosts.map(host => host.name));
    const roleCounts = new Map<string, number>();
    const next: Record<string, string[]> = {};
    for (const target of targets) {
        next[target] = (current[target] ?? []).filter(name => live.has(name));
        next[target].forEach(name => roleCounts.set(name, (roleCounts.get(name) ?? 0) + 1));
    }
    for (const target of targets) {
        const selected = next[target];
        while (selected.length < renewersPerTarget) {
            const added = bestAddition(selected, hosts, roleCounts);
            if (added === undefined) {
                break;
            }
            selected.push(added);
            roleCounts.set(added, (roleCounts.get(added) ?? 0) + 1);
        }
        // If no host is available, the former renewers stay, since they may be reported lost by mistake.
        next[target] = selected.length > 0 ? selected : [...current[target] ?? []];
    }
    return next;
};

/** Returns the largest odd number of witnesses that this number of hosts allows, up to the maximum. */
const witnessCount = (hosts: number): number => Math.min(maxWitnesses, hosts % 2 === 0 ? hosts - 1 : hosts);

/**
 * Returns the witnesses of the next revision. At most one host is added or removed, so that majorities of two
 * successive sets always share a host.
 *
 * @param mayChange whether a majority has acknowledged the current set.
 */
export const nextWitnesses = (
    current: readonly string[],
    hosts: readonly Candidate[],
    mayChange: boolean,
): string[] => {
    if (hosts.length === 0) {
        return [...current];
    }
    const wanted = Math.max(1, witnessCount(hosts.length));
    if (current.length === 0) {
        return pickHosts([...hosts], 0, wanted);
    }
    const live = new Set(hosts.map(host => host.name));
    const lost = current.find(name => !live.has(name));
    if (!mayChange) {
        return [...current];
    }
    if (lost !== undefined && current.length > 1) {
        return current.filter(name => name !== lost);
    }
    if (current.filter(name => live.has(name)).length < wanted) {
        const added = bestAddition(current, hosts, new Map());
        return added === undefined ? [...current] : [...current, added];
    }
    return [...current];
};
