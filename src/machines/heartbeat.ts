/**
 * Heartbeats between hosts. Each host tells the others that it runs and which hosts it hears, so that several hosts and
 * not one decide that a host is lost.
 */
import { isHostLost } from "../decisions/detect.ts";
import { keepRunning, type LongTaskOptions } from "./longtasks.ts";
import type { Peers } from "./peers.ts";

export type HeartbeatOptions = { host: string; peers: Peers } & LongTaskOptions;

export type Heartbeat = {
    /** Other hosts from which a heartbeat came recently and to which a link is open. */
    heardHosts: () => ReadonlySet<string>;
    /** Whether neither this host nor most of the hosts that it hears receive heartbeats of the host. */
    isLost: (host: string) => boolean;
    /** Whether this host hears no other host. It can then not tell a lost host from a fault of its own network. */
    hearsNoHost: () => boolean;
};

const beatIntervalMilliseconds = 200;
/** A host whose last heartbeat is older than this is not heard. */
const silenceMilliseconds = 700;
/** A round that comes later than this many intervals after the last one means that this process was paused. */
const pausedRoundFactor = 2;
/** Every so many heartbeats carry the list of heard hosts even if it did not change. */
const beatsPerList = 5;

/** Starts to send heartbeats until the signal aborts. */
export const createHeartbeat = (options: HeartbeatOptions): Heartbeat => {
    const { host, peers, clock, signal } = options;
    const beats = new Map<string, { at: number; heard: ReadonlySet<string> }>();

    const heardHosts = (): ReadonlySet<string> => {
        const now = clock.now();
        const names = new Set<string>();
        const linkedHosts = new Set(peers.connected());
        for (const [name, beat] of beats) {
            if (linkedHosts.has(name) && now - beat.at < silenceMilliseconds) {
                names.add(name);
            }
        }
        return names;
    };

    peers.handle("heartbeat", (from, message) => {
        const heardThere = message.heard === undefined ? beats.get(from)?.heard : new Set(message.heard);
        beats.set(from, { at: clock.now(), heard: heardThere ?? new Set() });
        return undefined;
    });

    /**
     * Discounts silence after a pause of this process: the other hosts sent heartbeats, but this one did not listen.
     */
    const discountSilence = (now: number): void => {
        for (const beat of beats.values()) {
            beat.at = Math.max(beat.at, now - beatIntervalMilliseconds);
        }
    };

    const run = async (): Promise<void> => {
        let lastRoundAt = clock.now();
        let lastNames = "";
        let lastLinked: readonly string[] = [];
        let round = 0;
        while (!signal.aborted) {
            const now = clock.now();
            if (now - lastRoundAt > beatIntervalMilliseconds * pausedRoundFactor) {
                discountSilence(now);
            }
            lastRoundAt = now;
            const names = [host, ...heardHosts()].sort();
            const isListDue = round % beatsPerList === 0 || names.join() !== lastNames;
            const linked = peers.connected();
            for (const peer of linked) {
                const needsList = isListDue || !lastLinked.includes(peer);
                peers.tell(peer, needsList ? { kind: "heartbeat", heard: names } : { kind: "heartbeat" });
            }
            lastLinked = linked;
            lastNames = names.join();
            round += 1;
            await clock.sleep(beatIntervalMilliseconds, signal);
        }
    };

    void keepRunning("heartbeat", run, options);
    return {
        heardHosts,
        hearsNoHost: () => heardHosts().size === 0,
        isLost: name => isHostLost(name, heardHosts(), new Map([...beats].map(([other, beat]) => [other, beat.heard]))),
    };
};
