/**
 * Heartbeats between hosts. Each host tells the others that it runs and whom it hears, so that the loss of a host is
 * judged by several hosts and not by one.
 */
import type { Clock } from "../contracts/clock.ts";
import { isHostLost } from "../decisions/detect.ts";
import type { Peers } from "./peers.ts";

export type HeartbeatOptions = { host: string; peers: Peers; clock: Clock; signal: AbortSignal };

export type Heartbeat = {
    /** Hosts heard lately over a link that is open, without this one. */
    heardHosts: () => ReadonlySet<string>;
    /** Whether this host and most of those that it hears do not hear the host. */
    isLost: (host: string) => boolean;
    /** Whether this host hears no other, so that it can not tell a lost host from its own bad network. */
    hearsNoHost: () => boolean;
};

const beatMilliseconds = 200;
const silenceMilliseconds = 700;
const slowRoundFactor = 2;
/** The list goes with every so many heartbeats even when nothing changed. */
const beatsPerList = 5;

/** Starts to beat until the signal aborts. */
export const createHeartbeat = (options: HeartbeatOptions): Heartbeat => {
    const { host, peers, clock, signal } = options;
    const beats = new Map<string, { at: number; heard: ReadonlySet<string> }>();

    const heard = (): ReadonlySet<string> => {
        const now = clock.now();
        const names = new Set<string>();
        const linked = new Set(peers.connected());
        for (const [name, beat] of beats) {
            if (linked.has(name) && now - beat.at < silenceMilliseconds) {
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

    /** After a pause of this process the others have not been silent; this host has not listened. */
    const forgiveSilence = (now: number): void => {
        for (const beat of beats.values()) {
            beat.at = Math.max(beat.at, now - beatMilliseconds);
        }
    };

    const run = async (): Promise<void> => {
        let lastRoundAt = clock.now();
        let lastNames = "";
        let lastLinked: readonly string[] = [];
        let round = 0;
        while (!signal.aborted) {
            const now = clock.now();
            if (now - lastRoundAt > beatMilliseconds * slowRoundFactor) {
                forgiveSilence(now);
            }
            lastRoundAt = now;
            const names = [host, ...heard()].sort();
            const isDue = round % beatsPerList === 0 || names.join() !== lastNames;
            const linked = peers.connected();
            for (const peer of linked) {
                const needsList = isDue || !lastLinked.includes(peer);
                peers.tell(peer, needsList ? { kind: "heartbeat", heard: names } : { kind: "heartbeat" });
            }
            lastLinked = linked;
            lastNames = names.join();
            round += 1;
            await clock.sleep(beatMilliseconds, signal);
        }
    };

    void run();
    return {
        heardHosts: heard,
        hearsNoHost: () => heard().size === 0,
        isLost: name => isHostLost(name, heard(), new Map([...beats].map(([other, beat]) => [other, beat.heard]))),
    };
};
