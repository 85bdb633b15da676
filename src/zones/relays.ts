/**
 * Relays: the one or two hosts of a zone that ask the platform for all hosts of the zone. They are chosen by rendezvous
 * hashing, so that the loss of a host moves only what it did.
 */
import type { SlotHash } from "../decisions/hash.ts";

/** What the choice needs to know of a host. */
export type ZonedHost = { name: string; zone: string };

const hostsForTwoRelays = 4;
const hashRange = 2 ** 32;

/** Fleets up to this size keep a link between any two hosts. */
export const maxFullMeshHosts = 64;

/** Orders hosts by rendezvous hashing for a key, the first choice first. */
export const rankHosts = <Host extends ZonedHost>(hash: SlotHash, key: string, hosts: readonly Host[]): Host[] =>
    hosts
        .map(host => ({ host, weight: hash(`${key}/${host.name}`, hashRange) }))
        .sort((left, right) => right.weight - left.weight || (left.host.name < right.host.name ? -1 : 1))
        .map(({ host }) => host);

/** The relays of one zone among hosts that are live. */
export const relaysOfZone = (hash: SlotHash, zone: string, live: readonly ZonedHost[]): ZonedHost[] => {
    const inZone = live.filter(host => host.zone === zone);
    return rankHosts(hash, zone, inZone).slice(0, inZone.length < hostsForTwoRelays ? 1 : 2);
};

const zonesOf = (hosts: readonly ZonedHost[]): string[] => [...new Set(hosts.map(host => host.zone))].sort();

/** The relays of all zones. */
export const allRelays = (hash: SlotHash, live: readonly ZonedHost[]): ZonedHost[] =>
    zonesOf(live).flatMap(zone => relaysOfZone(hash, zone, live));

/** Relays that a host asks, the first choice first: those of its zone, then the others. Never the host itself. */
export const relaysAskedBy = (hash: SlotHash, host: ZonedHost, live: readonly ZonedHost[]): ZonedHost[] => {
    const near = relaysOfZone(hash, host.zone, live);
    const far = allRelays(hash, live.filter(other => other.zone !== host.zone));
    return [...rankHosts(hash, host.name, near), ...rankHosts(hash, host.name, far)]
        .filter(relay => relay.name !== host.name);
};

/** Hosts to which a relay pushes changes: those of its zone whose first choice it is. */
export const hostsServedBy = (hash: SlotHash, relay: ZonedHost, live: readonly ZonedHost[]): ZonedHost[] => {
    const near = relaysOfZone(hash, relay.zone, live);
    if (!near.some(host => host.name === relay.name)) {
        return [];
    }
    return live.filter(host => {
        const asksHere = host.zone === relay.zone && rankHosts(hash, host.name, near)[0].name === relay.name;
        return asksHere && !near.some(other => other.name === host.name);
    });
};

/**
 * Hosts of which a majority must be heard while the platform is out: all of a small fleet, otherwise two of each zone.
 * Depends on the members alone and not on which of them are live.
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
    /** Hosts that the tasks of this host talk to besides, such as renewers and witnesses. */
    requiredPeers: ReadonlySet<string>;
};

/** Names of the hosts to which a host keeps links: all in a small fleet, else the relays it needs and serves. */
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
