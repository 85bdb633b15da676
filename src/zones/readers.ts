/**
 * Choice of readers: the one or two hosts of a zone that read the platform's store for all hosts of the zone. Every host
 * ranks the hosts of its zone in the same order, follows hosts that rank before it, and reads the store itself when it can
 * follow none. One that the store does not serve also follows hosts that rank behind it. There is no election. Only hosts that
 * read the store are followed, so a circle, which has none, ends with the next word of either host.
 */
import type { SlotHash } from "../decisions/hash.ts";
import { rankHosts, type ZonedHost } from "./relays.ts";

/** What the choice of readers needs to know of a host. */
export type ReaderCandidate = ZonedHost & {
    /** `address:port` at which the host serves followers. */
    address: string;
    /** Processor of the host, in cores. */
    processor: number;
    /** Speed of the host's link in Mbit/s; undefined where it does not tell. */
    linkMegabits?: number | undefined;
};

export type ReaderChoice = {
    /** Whether the host is one of its zone's readers. */
    isReader: boolean;
    /**
     * Hosts that the host may follow, the most preferred first. All hosts of a zone prefer the same reader, so that they
     * also share through it what they hear of targets; a second reader stands by. A reader follows another one only while
     * the store does not serve it.
     */
    candidates: ReaderCandidate[];
    /** Hosts behind it that it may follow too while the store does not serve it: they read the store if it serves them. */
    refuges: ReaderCandidate[];
};

/** In a smaller zone, hosts without a reader read the store themselves until there is another. */
const minHostsForTwoReaders = 8;
/** Candidates beyond the readers: they are needed only when readers are gone. */
const spareCandidates = 3;
/** A reader has at least this share of the processor of the zone's largest host, and of the link of its fastest. */
const minShare = 0.5;

/**
 * Ranks hosts for a task that serves many others: those with enough of both processor and link first, then those with enough
 * of one of them, each group by rendezvous hashing. A host that does not tell the speed of its link counts as fast.
 */
export const rankByCapacity = (
    hash: SlotHash,
    task: string,
    hosts: readonly ReaderCandidate[],
): ReaderCandidate[] => {
    const ranked = rankHosts(hash, task, hosts);
    const largest = Math.max(0, ...ranked.map(({ processor }) => processor));
    const fastest = Math.max(0, ...ranked.map(({ linkMegabits = 0 }) => linkMegabits));
    const fitness = ({ processor, linkMegabits = fastest }: ReaderCandidate): number =>
        (processor >= largest * minShare ? 1 : 0) + (linkMegabits >= fastest * minShare ? 1 : 0);
    return [2, 1, 0].flatMap(level => ranked.filter(host => fitness(host) === level));
};

const rankReaders = (hash: SlotHash, zone: string, hosts: readonly ReaderCandidate[]): ReaderCandidate[] =>
    rankByCapacity(hash, zone, hosts.filter(host => host.zone === zone));

/**
 * Chooses what a host reads from.
 *
 * @param hosts all known hosts, with or without the host itself.
 */
export const chooseReaders = (
    hash: SlotHash,
    self: ReaderCandidate,
    hosts: readonly ReaderCandidate[],
): ReaderChoice => {
    const ranked = rankReaders(hash, self.zone, [...hosts.filter(host => host.name !== self.name), self]);
    const readerCount = ranked.length < minHostsForTwoReaders ? 1 : 2;
    const readers = ranked.slice(0, readerCount);
    const others = readers.filter(host => host.name !== self.name);
    const spare = ranked.slice(readerCount, readerCount + spareCandidates);
    if (others.length < readers.length) {
        return { isReader: true, candidates: others, refuges: spare };
    }
    const rank = ranked.findIndex(host => host.name === self.name) - readerCount;
    return {
        isReader: false,
        candidates: [...readers, ...spare.slice(0, rank)],
        refuges: spare.slice(rank).filter(host => host.name !== self.name),
    };
};

/**
 * The readers to which a reader tells the loads of its zone: for each other zone its readers in order, of which one is
 * enough. The standby of a zone tells its own load to the zone's first reader too.
 */
export const readersToTell = (
    hash: SlotHash,
    self: ReaderCandidate,
    hosts: readonly ReaderCandidate[],
): ReaderCandidate[][] => {
    const all = [...hosts.filter(host => host.name !== self.name), self];
    const zones = [...new Set(all.map(host => host.zone))].sort();
    return zones
        .map(zone => rankReaders(hash, zone, all).slice(0, 2))
        .map(readers => readers[0]?.name === self.name ? [] : readers.filter(reader => reader.name !== self.name))
        .filter(readers => readers.length > 0);
};
