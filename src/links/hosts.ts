/**
 * Links between hosts: one WebSocket for each pair, msgpack messages, questions with answers and plain messages. Both
 * ends prove that they hold a shared key before anything else is read. The host with the lower name dials; the other
 * one does when no link has come up.
 */
import type { AddressInfo } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import type { Clock } from "../contracts/clock.ts";
import type { Hello, Message, MessageKind, MessageOf } from "../contracts/messages.ts";
import { type CloseReason, closeReasons, type LinkRole, linkRoles, performHandshake } from "./handshake.ts";
import { createHostLink, type HostLink } from "./hostlink.ts";
import type { Log } from "./logs.ts";
import type { Metrics } from "./metrics.ts";

/** Another host, where its links are accepted, and its newest known incarnation. */
export type PeerAddress = { name: string; address: string; incarnation?: string };

export type MessageHandler<Kind extends MessageKind> = (
    from: string,
    message: MessageOf<Kind>,
) => Message | undefined | Promise<Message | undefined>;

/** Bytes of messages on the links of this host so far, and those that were sent by kind of message. */
export type HostTraffic = { sentBytes: number; receivedBytes: number; sentByKind: Record<string, number> };

export type HostLinks = {
    /** IP address and port at which links are accepted. */
    address: string;
    /** Sets the hosts to which links are kept; others that this host dialled are closed. */
    setPeers: (peers: PeerAddress[]) => void;
    /** Names of the hosts with an open link. */
    connected: () => string[];
    /** The incarnation at the other end of an open link. */
    incarnationOf: (host: string) => string | undefined;
    /** Sends without waiting; false when there is no link or its queue is full. */
    tell: (host: string, message: Message) => boolean;
    /** Sends and waits for the answer; undefined when none came in time. */
    ask: (host: string, message: Message, timeoutMilliseconds: number) => Promise<Message | undefined>;
    /** Sets the one handler of a kind. What it returns is sent back as the answer of a question. */
    handle: <Kind extends MessageKind>(kind: Kind, handler: MessageHandler<Kind>) => void;
    /** Calls back when a link opens or closes. */
    onChange: (listener: (host: string, open: boolean) => void) => void;
    /** Bytes sent and received on all links so far. */
    traffic: () => HostTraffic;
};

export type HostLinksOptions = {
    name: string;
    zone: string;
    incarnation: string;
    bindAddress: string;
    port: number;
    /** IP address from which links are dialled. */
    sourceAddress?: string;
    /** Shared keys: the first signs, all are accepted. */
    sharedKeys: Buffer[];
    maxFrameBytes: number;
    queueLength: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
    /** Random numbers from 0 up to 1, for jitter. */
    random?: () => number;
};

const firstRetryMilliseconds = 50;
const maxRetryMilliseconds = 2_000;
const secondDialMilliseconds = 3_000;
const connectMilliseconds = 1_000;
const averageMessageBytes = 512;
const formerIncarnationsKept = 8;

/** Opens the listening socket and keeps links to the peers until the signal aborts. */
export const createHostLinks = async (options: HostLinksOptions): Promise<HostLinks> => {
    const { name, clock, log, metrics, signal } = options;
    const random = options.random ?? Math.random;
    const links = new Map<string, HostLink>();
    const handlers = new Map<MessageKind, MessageHandler<MessageKind>>();
    const listeners: Array<(host: string, open: boolean) => void> = [];
    const kept = new Set<string>();
    const formerIncarnations = new Map<string, string[]>();
    const sockets = new Set<WebSocket>();
    const traffic: HostTraffic = { sentBytes: 0, receivedBytes: 0, sentByKind: {} };
    let peers = new Map<string, PeerAddress>();

    const countClose = (host: string, reason: CloseReason): void => {
        metrics.count("peer-closed", { reason });
        log.warn("peer-link-closed", { peer: host, reason });
    };

    const notify = (host: string, open: boolean): void => listeners.forEach(listener => listener(host, open));

    const receive = async (host: string, message: Message): Promise<Message | undefined> =>
        handlers.get(message.kind)?.(host, message);

    /** Whether a new link gives way to the one that is open, so that both ends keep the same one of two. */
    const isSpare = (former: HostLink | undefined, hello: Hello, dialer: string): boolean => {
        const preferred = name < hello.host ? name : hello.host;
        return former !== undefined && former.incarnation === hello.incarnation
            && former.dialer === preferred && dialer !== preferred;
    };

    const adopt = (hello: Hello, socket: WebSocket, part: LinkRole): void => {
        const { host, incarnation } = hello;
        const dialer = part === linkRoles.dialer ? name : host;
        const former = links.get(host);
        const link = createHostLink({
            socket,
            host,
            incarnation,
            dialer,
            sendsHeartbeat: part === linkRoles.dialer,
            maxQueuedBytes: options.queueLength * averageMessageBytes,
            maxPendingQuestions: options.queueLength,
            clock,
            receive: message => receive(host, message),
            onSent: (kind, bytes) => {
                traffic.sentBytes += bytes;
                traffic.sentByKind[kind] = (traffic.sentByKind[kind] ?? 0) + bytes;
            },
            onReceived: bytes => {
                traffic.receivedBytes += bytes;
            },
            onQueueFull: () => metrics.count("peer-queue-full"),
            onClose: reason => {
                if (reason !== undefined) {
                    countClose(host, reason);
                }
                if (links.get(host) === link) {
                    links.delete(host);
                    notify(host, false);
                }
            },
            onError: error => log.error("peer-message-failed", { peer: host, error: String(error) }),
        });
        if (formerIncarnations.get(host)?.includes(incarnation)) {
            link.close(closeReasons.formerIncarnation);
            return;
        }
        if (isSpare(former, hello, dialer)) {
            link.close(closeReasons.spareLink);
            return;
        }
        links.set(host, link);
        former?.close();
        notify(host, true);
    };

    const establish = async (socket: WebSocket, part: LinkRole, expected?: string): Promise<void> => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        const self = { host: name, zone: options.zone, incarnation: options.incarnation };
        const onAgreed = (hello: Hello): void => adopt(hello, socket, part);
        const result = await performHandshake(socket, {
            self,
            role: part,
            expectedHost: expected,
            sharedKeys: options.sharedKeys,
            clock,
            onAuthenticated: onAgreed,
        });
        if (result === "agreed") {
            return;
        }
        if (result !== "closed") {
            countClose(expected ?? "unknown", result);
        }
        socket.terminate();
    };

    const dial = async (peer: PeerAddress): Promise<void> => {
        const socket = new WebSocket(`ws://${peer.address}`, {
            maxPayload: options.maxFrameBytes,
            handshakeTimeout: connectMilliseconds,
            localAddress: options.sourceAddress,
        });
        await establish(socket, linkRoles.dialer, peer.name);
    };

    /** Keeps a link open for as long as the peer is wanted. */
    const keep = async (peerName: string): Promise<void> => {
        let delay = firstRetryMilliseconds;
        const pause = (milliseconds: number): Promise<void> => clock.sleep(milliseconds * (0.5 + random()), signal);
        while (!signal.aborted && peers.has(peerName)) {
            const link = links.get(peerName);
            if (link !== undefined) {
                await link.closed;
                delay = firstRetryMilliseconds;
                await pause(delay);
                continue;
            }
            if (peerName < name) {
                await pause(secondDialMilliseconds);
            }
            const peer = peers.get(peerName);
            if (peer !== undefined && !links.has(peerName) && !signal.aborted) {
                await dial(peer);
                delay = Math.min(delay * 2, maxRetryMilliseconds);
            }
            if (!links.has(peerName)) {
                await pause(delay);
            }
        }
        kept.delete(peerName);
    };

    const noteFormerIncarnations = (next: Map<string, PeerAddress>): void => {
        for (const [peerName, { incarnation }] of next) {
            const known = peers.get(peerName)?.incarnation;
            if (known !== undefined && incarnation !== undefined && known !== incarnation) {
                const former = [...formerIncarnations.get(peerName) ?? [], known].filter(id => id !== incarnation);
                formerIncarnations.set(peerName, former.slice(-formerIncarnationsKept));
            }
        }
    };

    const server = new WebSocketServer({
        host: options.bindAddress,
        port: options.port,
        maxPayload: options.maxFrameBytes,
    });
    server.on("connection", socket => {
        void establish(socket, linkRoles.acceptor);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("listening", resolve);
        server.once("error", reject);
    });
    signal.addEventListener("abort", () => {
        sockets.forEach(socket => socket.terminate());
        server.close();
    }, { once: true });
    const { port } = server.address() as AddressInfo;

    return {
        address: `${options.bindAddress}:${port}`,
        setPeers: list => {
            const next = new Map(list.filter(peer => peer.name !== name).map(peer => [peer.name, peer]));
            noteFormerIncarnations(next);
            peers = next;
            for (const link of [...links.values()]) {
                if (formerIncarnations.get(link.host)?.includes(link.incarnation)) {
                    link.close(closeReasons.formerIncarnation);
                }
                else if (!peers.has(link.host) && link.dialer === name) {
                    link.close(closeReasons.notWanted);
                }
            }
            for (const peer of peers.values()) {
                if (!kept.has(peer.name)) {
                    kept.add(peer.name);
                    void keep(peer.name);
                }
            }
        },
        connected: () => [...links.keys()],
        incarnationOf: host => links.get(host)?.incarnation,
        tell: (host, message) => links.get(host)?.tell(message) ?? false,
        ask: (host, message, timeoutMilliseconds) =>
            links.get(host)?.ask(message, timeoutMilliseconds) ?? Promise.resolve(undefined),
        handle: (kind, handler) => {
            handlers.set(kind, handler as unknown as MessageHandler<MessageKind>);
        },
        onChange: listener => {
            listeners.push(listener);
        },
        traffic: () => ({ ...traffic, sentByKind: { ...traffic.sentByKind } }),
    };
};
