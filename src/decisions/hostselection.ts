/**
 * Naming: which hosts renew the grants of each target and which vouch while the platform is out. A host that is named
 * stays named as long as it lives, so that a change of hosts changes little.
 */

/** A host that may be named in an assignment. */
export type Candidate = { name: string; zone: string };

const renewersPerTarget = 3;
const maxWitnesses = 5;

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

/** The host that is best to add: of a zone that is not there yet, then the one that has the least to do. */
const bestAddition = (
    named: readonly string[],
    hosts: readonly Candidate[],
    duties: ReadonlyMap<string, number>,
): string | undefined => {
    const zones = new Set(hosts.filter(host => named.includes(host.name)).map(host => host.zone));
    const ranked = hosts.filter(host => !named.includes(host.name)).map(host => ({
        name: host.name,
        sameZone: zones.has(host.zone) ? 1 : 0,
        duties: duties.get(host.name) ?? 0,
    }));
    ranked.sort((left, right) =>
        left.sameZone - right.sameZone || left.duties - right.duties || (left.name < right.name ? -1 : 1)
    );
    return ranked[0]?.name;
};

/** Renewers of each target: those that live stay, missing ones are filled up with the hosts that renew the least. */
export const nextRenewers = (
    current: Readonly<Record<string, readonly string[]>>,
    targets: readonly string[],
    hosts: readonly Candidate[],
): Record<string, string[]> => {
    const live = new Set(hosts.map(host => host.name));
    const duties = new Map<string, number>();
    const next: Record<string, string[]> = {};
    for (const target of targets) {
        next[target] = (current[target] ?? []).filter(name => live.has(name));
        next[target].forEach(name => duties.set(name, (duties.get(name) ?? 0) + 1));
    }
    for (const target of targets) {
        const named = next[target];
        while (named.length < renewersPerTarget) {
            const added = bestAddition(named, hosts, duties);
            if (added === undefined) {
                break;
            }
            named.push(added);
            duties.set(added, (duties.get(added) ?? 0) + 1);
        }
        // With no host left to name, the former ones stay: they may only seem lost.
        next[target] = named.length > 0 ? named : [...current[target] ?? []];
    }
    return next;
};

/** Largest odd number of witnesses that the hosts allow. */
const witnessCount = (hosts: number): number => Math.min(maxWitnesses, hosts % 2 === 0 ? hosts - 1 : hosts);

/**
 * Witnesses of the next revision. The set changes by one host at most, either added or taken away, so that majorities
 * of two sets in a row always share a host. `mayChange` says that a majority knows the present set.
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
