/**
 * Choice of relays and of the links between hosts. The relays of a zone are the one or two hosts that ask the platform
 * on behalf of all hosts of the zone. They are chosen by rendezvous hashing, so that the loss of a host moves only the
 * tasks of that host.
 */
import type { SlotHash } from "../decisions/hash.ts";

/** What the choice of relays and links needs to know of a host. */
export type ZonedHost = { name: string; zone: string };

const minHostsForTwoRelays = 4;
const hashRange = 2 ** 32;

/** In a fleet of up to this many members, every two hosts keep a link. */
export const maxFullMeshHosts = 64;

/** Orders hosts by rendezvous hashing for a key, the most preferred host first. */
export const rankHosts = <Host extends ZonedHost>(hash: SlotHash, key: string, hosts: readonly Host[]): Host[] =>
    hosts
        .map(host => ({ host, weight: hash(`${key}/${host.name}`, hashRange) }))
        .sort((left, right) => right.weight - left.weight || (left.host.name < right.host.name ? -1 : 1))
        .map(({ host }) => host);

/** The relays of one zone, chosen among its live hosts: two from four hosts on, else one. */
export const relaysOfZone = (hash: SlotHash, zone: string, live: readonly ZonedHost[]): ZonedHost[] => {
    const inZone = live.filter(host => host.zone === zone);
    return rankHosts(hash, zone, inZone).slice(0, inZone.length < minHostsForTwoRelays ? 1 : 2);
};

const zonesOf = (hosts: readonly ZonedHost[]): string[] => [...new Set(hosts.map(host => host.zone))].sort();

/** The relays of all zones, chosen among the live hosts. */
export const allRelays = (hash: SlotHash, live: readonly ZonedHost[]): ZonedHost[] =>
    zonesOf(live).flatMap(zone => relaysOfZone(hash, zone, live));

/**
 * The relays that a host asks, in order of preference: those of its own zone, then those of the other zones. The host
 * itself is never among them.
 */
export const relaysAskedBy = (hash: SlotHash, host: ZonedHost, live: readonly ZonedHost[]): ZonedHost[] => {
    const ownZoneRelays = relaysOfZone(hash, host.zone, live);
    const otherRelays = allRelays(hash, live.filter(other => other.zone !== host.zone));
    return [...rankHosts(hash, host.name, ownZoneRelays), ...rankHosts(hash, host.name, otherRelays)]
        .filter(relay => relay.name !== host.name);
};

/**
 * The hosts to which a relay pushes changes: those of its zone that prefer it and are not relays themselves. Empty
 * for a host that is not a relay.
 */
export const hostsServedBy = (hash: SlotHash, relay: ZonedHost, live: readonly ZonedHost[]): ZonedHost[] => {
    const zoneRelays = relaysOfZone(hash, relay.zone, live);
    if (!zoneRelays.some(host => host.name === relay.name)) {
        return [];
    }
    return live.filter(host => {
        const prefersRelay = host.zone === relay.zone && rankHosts(hash, host.name, zoneRelays)[0].name === relay.name;
        return prefersRelay && !zoneRelays.some(other => other.name === host.name);
    });
};

/**
 * The hosts of which a majority must answer while the platform is unreachable: all hosts of a small fleet, otherwise
 * two of each zone. The choice depends on the members alone, not on which of them are live.
 */
export const majorityHosts = (hash: SlotHash, members: readonly ZonedHost[]): ZonedHost[] =>
    members.length <= maxFullMeshHosts
        ? [...members]
        : zonesOf(members).flatMap(zone =>
            rankHosts(hash, zone, members.filter(member => member.zone === zone)).slice(0, 2)
        );

export type PeerSelectionInput = {
    self: ZonedHost;
    /** All members that are not known to have left, live or not. */
    members: readonly ZonedHost[];
    live: readonly ZonedHost[];
    /** Further hosts that the tasks of this host talk to, such as renewers and witnesses. */
    requiredPeers: ReadonlySet<string>;
};

/**
 * Names of the hosts to which a host keeps links. In a small fleet these are all others. In a larger one they are the
 * relays of its zone, the first three relays that it asks, and its required peers; a relay also links to all other
 * relays, to the hosts that it serves, and to the majority hosts.
 */
export const choosePeers = (
    hash: SlotHash,
    { self, members, live, requiredPeers: needed }: PeerSelectionInput,
): string[] => {
    const others = members.filter(member => member.name !== self.name);
    if (members.length <= maxFullMeshHosts) {
        return others.map(member => member.name);
    }
    const chosen = new Set(needed);
    const relays = allRelays(hash, live);
    const isRelay = relays.some(relay => relay.name === self.name);
    relays.filter(relay => isRelay || relay.zone === self.zone).forEach(relay => chosen.add(relay.name));
    relaysAskedBy(hash, self, live).slice(0, 3).forEach(relay => chosen.add(relay.name));
    if (isRelay) {
        hostsServedBy(hash, self, live).forEach(host => chosen.add(host.name));
        majorityHosts(hash, members).forEach(host => chosen.add(host.name));
    }
    const known = new Set(others.map(member => member.name));
    return [...chosen].filter(name => known.has(name)).sort();
};
