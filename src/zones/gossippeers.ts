/**
 * Choice of the hosts that a host gossips with. A host keeps links to two hosts of its zone that rank before it; hosts
 * that find fewer are the zone's hubs and keep links to two hosts of each other zone. So all hosts are connected, by two
 * ways each, whichever of them are gone. The hosts that rank first have links to all others of their zone, so hosts rank by
 * the capacity of their links and processors.
 */
import type { SlotHash } from "../decisions/hash.ts";
import { rankByCapacity, type ReaderCandidate } from "./readers.ts";
import { rankHosts } from "./relays.ts";

/** Number of links that a host keeps to its zone, and a hub to each other zone. */
export const gossipLinks = 2;

export type GossipPeers = {
    /** Hosts of the zone that rank before this one, the most preferred first. */
    ownZone: ReaderCandidate[];
    /** All other hosts of the zone, or of all zones if it has none, the most preferred first. */
    nearest: ReaderCandidate[];
    /** Hosts of each other zone, the most preferred first. */
    otherZones: Map<string, ReaderCandidate[]>;
};

/** The hosts that rank before this one for a task, the most preferred first. `hosts` may contain the host itself. */
export const rankedBefore = (
    hash: SlotHash,
    task: string,
    self: ReaderCandidate,
    hosts: readonly ReaderCandidate[],
): ReaderCandidate[] => {
    const ranked = rankHosts(hash, task, [...hosts.filter(host => host.name !== self.name), self]);
    return ranked.slice(0, ranked.findIndex(host => host.name === self.name));
};

const hashRange = 2 ** 32;
/** Hosts with links of 7 to 10 Mbit/s exist: a link of this speed weighs as much as one core. */
const megabitsPerCore = 10;

/**
 * Rendezvous hashing in which the chance of a host to come first is proportional to its capacity. The order of two hosts
 * depends on these two alone, so that hosts that know different others agree on it.
 */
const capacityScore = (hash: SlotHash, task: string, { name, processor, linkMegabits }: ReaderCandidate): number => {
    const weight = Math.min(processor, (linkMegabits ?? Infinity) / megabitsPerCore);
    return -weight / Math.log((hash(`${task}/${name}`, hashRange) + 0.5) / hashRange);
};

/** As `rankedBefore`, but hosts with more capacity are preferred. */
export const rankedBeforeByCapacity = (
    hash: SlotHash,
    task: string,
    self: ReaderCandidate,
    hosts: readonly ReaderCandidate[],
): ReaderCandidate[] => {
    const own = capacityScore(hash, task, self);
    return hosts.filter(host => host.name !== self.name)
        .map(host => ({ host, score: capacityScore(hash, task, host) }))
        .filter(({ host, score }) => score > own || (score === own && host.name < self.name))
        .sort((left, right) => right.score - left.score || (left.host.name < right.host.name ? -1 : 1))
        .map(({ host }) => host);
};

/** Ranks the hosts that a host may link to. `hosts` may contain the host itself. */
export const rankGossipPeers = (
    hash: SlotHash,
    self: ReaderCandidate,
    hosts: readonly ReaderCandidate[],
): GossipPeers => {
    const others = hosts.filter(host => host.name !== self.name);
    const inZone = (zone: string): ReaderCandidate[] =>
        rankByCapacity(hash, zone, others.filter(host => host.zone === zone));
    const zones = [...new Set(others.map(host => host.zone))].filter(zone => zone !== self.zone).sort();
    const isNear = ({ zone }: ReaderCandidate): boolean => zone === self.zone;
    const beforeSelf = (ranked: ReaderCandidate[]): ReaderCandidate[] =>
        ranked.slice(0, ranked.findIndex(host => host.name === self.name));
    const neighbours = inZone(self.zone);
    return {
        ownZone: beforeSelf(rankByCapacity(hash, self.zone, [...others.filter(isNear), self])),
        nearest: neighbours.length > 0 ? neighbours : rankHosts(hash, self.zone, others),
        otherZones: new Map(zones.map(zone => [zone, inZone(zone)])),
    };
};
