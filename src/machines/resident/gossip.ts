/**
 * Gossip between resident hosts: small facts that must reach all hosts within a fraction of a second, also while the
 * store is out. Each change is sent on over all links but the one that it came from. Hosts compare digests with each
 * beat and send the latest changes again where they differ, so that nothing is missing for long.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import { createGossipState, type GossipEntry, maxGossipVersion } from "../../decisions/gossip.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerConnection, PeerDialer, PeerService } from "../../links/peers.ts";
import { gossipLinks, type GossipPeers } from "../../zones/gossippeers.ts";
import { createPeerLinks, type PeerGroup } from "./peerlinks.ts";

export type Gossip = {
    /** Accepts the links of other hosts. */
    service: PeerService;
    /** Tells all hosts the value of a fact, for as long as it lives. */
    put: (kind: string, name: string, value: unknown, lifetimeMilliseconds: number) => void;
    /** Adds a listener for the facts of a kind that other hosts tell. */
    onChange: (kind: string, listener: GossipListener) => void;
    /**
     * Resolves when the hosts that this one links to at its start have told it what they know, when none can be reached,
     * or after the given time. Called once the other hosts are known.
     */
    waitUntilTold: (limitMilliseconds: number) => Promise<void>;
};

export type GossipListener = (name: string, value: unknown, ageMilliseconds: number) => void;

export type GossipOptions = {
    /** Name of this host. */
    self: string;
    /** Form of the values of each kind. Entries of other kinds and forms are left out. */
    kinds: Readonly<Record<string, z.ZodType>>;
    /** Ranks the other hosts that are known now. */
    peers: () => GossipPeers;
    dial: PeerDialer;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Path at which hosts gossip. */
export const gossipPath = "/gossip";

const beatMilliseconds = 1_000;
/** Changes that come within this time are sent together. */
const flushMilliseconds = 15;
const maxEntries = 1_000;
/** Entries older than this are sent only when a link opens. */
const repairMilliseconds = 10_000;
/**
 * While more bytes wait to be sent to a host, it gets nothing more; the digests show later what it misses. Hosts behind
 * 10 Mbit/s take 1.25 MB a second, and need it for their callers.
 */
const maxQueuedBytes = 65_536;
/** Digests of parts that are taken from a beat. */
const maxParts = 256;
/** The ranking of the known hosts is used for this time. */
const rankingMilliseconds = 1_000;
const maxKeyLength = 300;
const ownZoneGroup = "own";
const startGroup = "start";
/**
 * A host that starts opens links to hosts of its zone whatever their rank, since those that are to open links to it do
 * not know it yet.
 */
const startMilliseconds = 5_000;
const toldCheckMilliseconds = 20;

const entrySchema = z.tuple([
    /** Key: kind and name. */
    z.string().max(maxKeyLength),
    /** Version. */
    z.int().min(1).max(maxGossipVersion),
    /** Origin. */
    z.string().max(maxKeyLength),
    /** Value. */
    z.unknown(),
    /** Age and lifetime in milliseconds. */
    z.number().min(0),
    z.number().min(0),
]);

const messageSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("entries"), entries: z.array(entrySchema) }),
    z.object({
        kind: z.literal("beat"),
        digest: z.int(),
        /** Digests of the parts; absent from a host of an earlier version. */
        parts: z.array(z.int()).max(maxParts).optional(),
    }),
]);
type GossipMessage = z.infer<typeof messageSchema>;

const keyOf = (kind: string, name: string): string => `${kind} ${name}`;

/** Splits a key into kind and name. */
const partsOf = (key: string): [string, string] => {
    const end = key.indexOf(" ");
    return [key.slice(0, end), key.slice(end + 1)];
};

const isRecent = ({ ageMilliseconds }: GossipEntry): boolean => ageMilliseconds < repairMilliseconds;

/** Starts to gossip. */
export const createGossip = (options: GossipOptions): Gossip => {
    const { kinds, clock, log, metrics, signal } = options;
    const state = createGossipState(options.self, maxEntries);
    const listeners = new Map<string, GossipListener[]>();
    /** Entries that wait to be sent, each with the link that it came from. */
    let pending: Array<{ entry: GossipEntry; from: PeerConnection | undefined; since: number }> = [];

    const isKnownForm = ({ key, value }: GossipEntry): boolean => {
        const [kind] = partsOf(key);
        return Object.hasOwn(kinds, kind) && kinds[kind].safeParse(value).success;
    };

    const sendMessage = (connection: PeerConnection, entries: readonly GossipEntry[]): void => {
        if (connection.queuedBytes() > maxQueuedBytes) {
            return;
        }
        const message: GossipMessage = {
            kind: "entries",
            entries: entries.map(entry => [
                entry.key,
                entry.version,
                entry.origin,
                entry.value,
                entry.ageMilliseconds,
                entry.lifetimeMilliseconds,
            ]),
        };
        connection.send(message);
    };

    const sendEntries = (connection: PeerConnection, entries: readonly GossipEntry[]): void => {
        if (entries.length > 0) {
            sendMessage(connection, entries);
        }
    };

    /** Sends all entries. A host that starts waits for them, also where there are none. */
    const sendAll = (connection: PeerConnection): void => sendMessage(connection, state.list(clock.now()));

    const flush = (): void => {
        const now = clock.now();
        const changes = pending.map(({ entry, from, since }) => ({
            entry: { ...entry, ageMilliseconds: entry.ageMilliseconds + now - since },
            from,
        }));
        pending = [];
        for (const connection of links.open()) {
            sendEntries(connection, changes.filter(({ from }) => from !== connection).map(({ entry }) => entry));
        }
    };

    const sendOn = (entries: readonly GossipEntry[], from: PeerConnection | undefined): void => {
        if (pending.length === 0 && entries.length > 0) {
            clock.after(flushMilliseconds, flush, signal);
        }
        const since = clock.now();
        pending.push(...entries.map(entry => ({ entry, from, since })));
    };

    const receive = (connection: PeerConnection, message: GossipMessage & { kind: "entries" }): void => {
        const entries = message.entries.map(([key, version, origin, value, ageMilliseconds, lifetimeMilliseconds]) => ({
            key,
            version,
            origin,
            value,
            ageMilliseconds,
            lifetimeMilliseconds,
        }));
        const news = state.merge(entries.filter(isKnownForm), clock.now());
        metrics.count("gossip-entries", { result: "news" }, news.length);
        metrics.count("gossip-entries", { result: "known" }, entries.length - news.length);
        sendOn(news, connection);
        for (const { key, value, ageMilliseconds } of news) {
            const [kind, name] = partsOf(key);
            listeners.get(kind)?.forEach(listener => listener(name, value, ageMilliseconds));
        }
    };

    /** Returns the entries that a host may miss that sent the beat. */
    const missingEntries = ({ digest, parts }: GossipMessage & { kind: "beat" }): GossipEntry[] => {
        const now = clock.now();
        if (parts !== undefined) {
            return state.repairs(parts, now);
        }
        return digest === state.digest(now) ? [] : state.list(now).filter(isRecent);
    };

    let peers: GossipPeers | undefined;
    let peersUntil = -Infinity;
    const startEndsAt = clock.now() + startMilliseconds;
    /** Links over which the other host has told what it knew. */
    const toldBy = new Set<PeerConnection>();

    const groups = (): Map<string, PeerGroup> => {
        if (peers === undefined || clock.now() >= peersUntil) {
            peers = options.peers();
            peersUntil = clock.now() + rankingMilliseconds;
        }
        const { ownZone, nearest, otherZones } = peers;
        const isHub = ownZone.filter(links.isReachable).length < gossipLinks;
        const otherGroups = [...otherZones].map(([zone, candidates]) =>
            [`zone ${zone}`, { candidates, count: gossipLinks }] as const
        );
        const isStarting = clock.now() < startEndsAt;
        return new Map([
            [ownZoneGroup, { candidates: ownZone, count: gossipLinks }],
            ...(isStarting ? [[startGroup, { candidates: nearest, count: gossipLinks }] as const] : []),
            ...(isHub ? otherGroups : []),
        ]);
    };

    const links = createPeerLinks({
        path: gossipPath,
        dial: options.dial,
        groups,
        beatMilliseconds,
        beat: () => ({ kind: "beat", digest: state.digest(clock.now()), parts: state.partDigests(clock.now()) }),
        onOpen: sendAll,
        onFrame: (connection, value) => {
            const parsed = messageSchema.safeParse(value);
            if (!parsed.success) {
                return false;
            }
            if (parsed.data.kind === "entries") {
                toldBy.add(connection);
                receive(connection, parsed.data);
            }
            else {
                sendEntries(connection, missingEntries(parsed.data));
            }
            return true;
        },
        onClose: connection => toldBy.delete(connection),
        clock,
        log,
        metrics,
        signal,
    });

    /** Links that a host which has just started waits for. Once one has told, hosts that seem silent are not waited for. */
    const expectedTellers = (): number => {
        const reachable = peers?.nearest.filter(links.isReachable) ?? [];
        const awaited = toldBy.size === 0 ? reachable : reachable.filter(host => !links.isSlow(host));
        return Math.min(gossipLinks, awaited.length);
    };

    const waitUntilTold = async (limitMilliseconds: number): Promise<void> => {
        const startedAt = clock.now();
        peersUntil = -Infinity;
        links.update();
        while (!signal.aborted && toldBy.size < expectedTellers() && clock.now() - startedAt < limitMilliseconds) {
            await clock.sleep(toldCheckMilliseconds, signal);
            links.update();
        }
        log.info("gossip-told", {
            links: toldBy.size,
            expected: expectedTellers(),
            entries: state.list(clock.now()).length,
            waitedMilliseconds: Math.round(clock.now() - startedAt),
        });
    };

    return {
        waitUntilTold,
        service: links.service,
        put: (kind, name, value, lifetimeMilliseconds) => {
            sendOn([state.put(keyOf(kind, name), value, lifetimeMilliseconds, clock.now())], undefined);
        },
        onChange: (kind, listener) => {
            listeners.set(kind, [...listeners.get(kind) ?? [], listener]);
        },
    };
};
