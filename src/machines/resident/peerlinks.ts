/**
 * Links to the most preferred hosts that can be reached, and the links that other hosts open to this one. Both ends send
 * a beat at regular intervals: a link on which nothing is heard is closed, since a connection may go silent for good.
 */
import type { Clock } from "../../contracts/clock.ts";
import { encodeFrame } from "../../links/frames.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerConnection, PeerDialer, PeerListener, PeerService } from "../../links/peers.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";
import { forEachAlone, repeatTask } from "../longtasks.ts";

/** Hosts of which the first `count` that can be reached are linked. */
export type PeerGroup = { candidates: readonly ReaderCandidate[]; count: number };

export type PeerLinksOptions = {
    /** Path of the service that these links speak to. */
    path: string;
    dial: PeerDialer;
    /** Returns the groups to link to by name. Called often, since the known hosts change. */
    groups: () => ReadonlyMap<string, PeerGroup>;
    beatMilliseconds: number;
    /** Returns the frame that is sent as a beat. */
    beat: () => unknown;
    /** Called when a link is open, whichever end has opened it. */
    onOpen: (connection: PeerConnection) => void;
    /** Called with each frame; returns whether it had a known form. */
    onFrame: (connection: PeerConnection, value: unknown) => boolean;
    onClose: (connection: PeerConnection) => void;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type PeerLinks = {
    /** Accepts the links of other hosts. */
    service: PeerService;
    /** All open links. */
    open: () => PeerConnection[];
    /** The link to the most preferred host of a group that is reachable; `opening` while it is not known yet. */
    first: (group: string) => PeerConnection | "opening" | undefined;
    /** Whether the host is linked, or has not failed to be for a while. */
    isReachable: (host: ReaderCandidate) => boolean;
    /** Whether the link to the host is being opened for longer than a host takes that runs. */
    isSlow: (host: ReaderCandidate) => boolean;
    /** Looks at the groups now. */
    update: () => void;
};

const updateMilliseconds = 500;
/** A host that could not be reached is not tried again for this time. */
const unreachableMilliseconds = 4_000;
/** A link that takes longer to open does not keep the next ones from being tried. */
const slowOpenMilliseconds = 100;
/** Links of a group that are opened beside slow ones, at most. */
const maxBesideSlow = 32;
/** Beats that may be missing before a link is closed. */
const maxMissingBeats = 2.5;

type Dialed = { connection: PeerConnection; since: number; isOpen: boolean };

/** Starts to open links. */
export const createPeerLinks = (options: PeerLinksOptions): PeerLinks => {
    const { clock, signal } = options;
    const heardAt = new Map<PeerConnection, number>();
    const dialed = new Map<string, Dialed>();
    const unreachableUntil = new Map<string, number>();

    const listen = (connection: () => PeerConnection, onClose: () => void): PeerListener => ({
        onOpen: () => {
            heardAt.set(connection(), clock.now());
            options.onOpen(connection());
        },
        onFrame: value => {
            heardAt.set(connection(), clock.now());
            return options.onFrame(connection(), value);
        },
        onClose: () => {
            heardAt.delete(connection());
            onClose();
            options.onClose(connection());
        },
    });

    const open = (host: ReaderCandidate): void => {
        const listener = listen(() => link.connection, () => {
            if (dialed.get(host.name) === link) {
                dialed.delete(host.name);
                unreachableUntil.set(host.name, clock.now() + unreachableMilliseconds);
                update();
            }
        });
        const link: Dialed = {
            connection: options.dial(host.address, options.path, {
                ...listener,
                onOpen: () => {
                    link.isOpen = true;
                    unreachableUntil.delete(host.name);
                    listener.onOpen?.();
                },
            }),
            since: clock.now(),
            isOpen: false,
        };
        dialed.set(host.name, link);
    };

    const mayTry = (host: ReaderCandidate): boolean => (unreachableUntil.get(host.name) ?? -Infinity) <= clock.now();

    const isSlow = ({ name }: ReaderCandidate): boolean => {
        const link = dialed.get(name);
        return link !== undefined && !link.isOpen && clock.now() - link.since >= slowOpenMilliseconds;
    };

    /** With each slow host one more is tried, so that many of them are passed by in a few steps. */
    const wanted = ({ candidates, count }: PeerGroup): ReaderCandidate[] => {
        const possible = candidates.filter(mayTry);
        const slow = possible.filter(isSlow);
        const others = possible.filter(host => !slow.includes(host));
        return [...slow, ...others.slice(0, count + Math.min(slow.length, maxBesideSlow))];
    };

    const update = (): void => {
        if (signal.aborted) {
            return;
        }
        const hosts = [...options.groups().values()].flatMap(wanted);
        forEachAlone(`links ${options.path}`, hosts.filter(host => !dialed.has(host.name)), host => {
            try {
                open(host);
            }
            catch (error) {
                // An address that is none is passed by like one that does not answer.
                unreachableUntil.set(host.name, clock.now() + unreachableMilliseconds);
                throw error;
            }
        }, options);
        // Others are kept until all wanted hosts are linked, so that a host that comes back leaves no gap.
        if (hosts.every(host => dialed.get(host.name)?.isOpen === true)) {
            const names = new Set(hosts.map(host => host.name));
            for (const [name, { connection }] of dialed) {
                if (!names.has(name)) {
                    dialed.delete(name);
                    connection.close();
                }
            }
        }
    };

    const repeat = (name: string, milliseconds: number, task: () => void): void =>
        void repeatTask(`${name} ${options.path}`, () => milliseconds, task, options);
    repeat("links", updateMilliseconds, update);
    repeat("beats", options.beatMilliseconds, () => {
        const beat = encodeFrame(options.beat());
        forEachAlone(`beats ${options.path}`, [...heardAt], ([connection, heard]) => {
            if (clock.now() - heard > options.beatMilliseconds * maxMissingBeats) {
                connection.close();
            }
            connection.sendFrame(beat);
        }, options);
    });

    return {
        service: connection => {
            const listener = listen(() => connection, () => undefined);
            listener.onOpen?.();
            return listener;
        },
        open: () => [...heardAt.keys()].filter(connection => connection.isOpen()),
        first: group => {
            for (const host of options.groups().get(group)?.candidates ?? []) {
                const link = dialed.get(host.name);
                if (link?.isOpen === true) {
                    return link.connection;
                }
                // A host that failed before is tried beside the next one.
                if (!unreachableUntil.has(host.name)) {
                    update();
                    return "opening";
                }
            }
            return undefined;
        },
        isReachable: mayTry,
        isSlow,
        update,
    };
};
