/**
 * Connections between hosts in memory, on a clock that the test advances. Hosts can be killed or made silent.
 */
import type { Clock } from "../../../src/contracts/clock.ts";
import { decodeFrame, encodeFrame } from "../../../src/links/frames.ts";
import type { PeerConnection, PeerDialer, PeerListener, PeerService } from "../../../src/links/peers.ts";

export type FakeNetwork = {
    listen: (address: string, services: Record<string, PeerService>) => void;
    /** Returns the dialer of the host at the address. */
    dialerOf: (address: string) => PeerDialer;
    /** Closes the host's connections and refuses new ones until it listens again. */
    kill: (address: string) => void;
    /** From now on nothing from or to the host arrives, and its connections stay open. */
    silence: (address: string) => void;
    /** From now on what the host sends arrives ever later: each second by half a second more, up to the given time. */
    slow: (address: string, upToMilliseconds: number) => void;
    /** From now on all that the host sends goes through one link of this speed, in the order in which it was sent. */
    thin: (address: string, bytesPerMillisecond: number) => void;
    /** From now on nothing passes between hosts of different groups, and their connections stay open. */
    partition: (groupOf: (address: string) => number) => void;
    /** Ends the silence; what was sent meanwhile is lost. */
    heal: (address: string) => void;
};

type End = { address: string; listener: PeerListener | undefined; connection: PeerConnection };

const latencyMilliseconds = 1;
const handshakeMilliseconds = 400;
/** What the system takes of the bytes that wait for a thin link, so that the process does not see them. */
const socketBufferBytes = 65_536;

/** Creates a network without hosts. */
export const createFakeNetwork = (clock: Clock): FakeNetwork => {
    const listening = new Map<string, Record<string, PeerService>>();
    const silent = new Set<string>();
    const slowed = new Map<string, { since: number; upTo: number }>();
    /** Speed of the links of hosts, and when they will have sent what they were given. */
    const links = new Map<string, { bytesPerMillisecond: number; freeAt: number }>();
    let groupOf: (address: string) => number = () => 0;
    const open = new Set<{ ends: [End, End]; close: () => void }>();

    const delayOf = (address: string): number => {
        const { since, upTo } = slowed.get(address) ?? { since: 0, upTo: 0 };
        return latencyMilliseconds + Math.min(upTo, (clock.now() - since) / 2);
    };

    /** Returns the time until the host's link has taken the frame. */
    const transmit = (address: string, bytes: number): number => {
        const link = links.get(address);
        if (link === undefined) {
            return 0;
        }
        link.freeAt = Math.max(clock.now(), link.freeAt) + bytes / link.bytesPerMillisecond;
        return link.freeAt - clock.now();
    };

    const connect = (from: string, to: string, path: string, listener: PeerListener): PeerConnection => {
        let isOpen = false;
        let isClosed = false;
        const isCut = (): boolean => silent.has(from) || silent.has(to) || groupOf(from) !== groupOf(to);

        const close = (): void => {
            if (!isClosed) {
                isClosed = true;
                isOpen = false;
                open.delete(link);
                // A closed end learns of it at once, the other one after the latency unless the link is cut.
                clock.after(latencyMilliseconds, () => link.ends.forEach(end => end.listener?.onClose()));
            }
        };

        const createEnd = (address: string, other: () => End): End => {
            let queuedBytes = 0;
            const sendFrame = (frame: Buffer): void => {
                if (isOpen) {
                    const taken = transmit(address, frame.length);
                    queuedBytes += frame.length;
                    clock.after(taken, () => {
                        queuedBytes -= frame.length;
                    });
                    clock.after(taken + delayOf(address), () => {
                        if (isOpen && !isCut() && other().listener?.onFrame(decodeFrame(frame)) === false) {
                            close();
                        }
                    });
                }
            };
            return {
                address,
                listener: undefined,
                connection: {
                    send: value => sendFrame(encodeFrame(value)),
                    sendFrame,
                    isOpen: () => isOpen,
                    queuedBytes: () => links.has(address) ? Math.max(0, queuedBytes - socketBufferBytes) : 0,
                    close,
                },
            };
        };
        const dialing: End = createEnd(from, () => accepting);
        const accepting: End = createEnd(to, () => dialing);
        dialing.listener = listener;
        const link = { ends: [dialing, accepting] as [End, End], close };
        open.add(link);
        clock.after(isCut() ? handshakeMilliseconds : latencyMilliseconds, () => {
            const service = listening.get(to)?.[path];
            if (service === undefined || isCut() || isClosed) {
                close();
                return;
            }
            isOpen = true;
            accepting.listener = service(accepting.connection);
            listener.onOpen?.();
        });
        return dialing.connection;
    };

    return {
        listen: (address, services) => listening.set(address, services),
        dialerOf: address => (to, path, listener) => connect(address, to, path, listener),
        kill: address => {
            listening.delete(address);
            [...open].filter(({ ends }) => ends.some(end => end.address === address)).forEach(link => link.close());
        },
        silence: address => silent.add(address),
        slow: (address, upTo) => slowed.set(address, { since: clock.now(), upTo }),
        thin: (address, bytesPerMillisecond) => {
            links.set(address, { bytesPerMillisecond, freeAt: clock.now() });
        },
        partition: next => {
            groupOf = next;
        },
        heal: address => silent.delete(address),
    };
};
