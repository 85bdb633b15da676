/**
 * Links between hosts. Each host keeps a link to each of its peers. There is at most one link between two hosts: a
 * WebSocket that carries msgpack messages, some of them questions with an answer. Both ends prove that they hold a
 * shared key before any message is read. The host whose name sorts first dials; the other one dials when no link has
 * been opened after a delay.
 */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { Hello, Message, MessageKind, MessageOf } from "../contracts/messages.ts";
import { descriptorParts } from "../decisions/descriptors.ts";
import type { Descriptors } from "./descriptors.ts";
import { type CloseReason, closeReasons, type LinkRole, linkRoles, performHandshake } from "./handshake.ts";
import { createHostLink, type HostLink } from "./hostlink.ts";
import { createUpgradeServer } from "./httpendpoint.ts";
import type { Log } from "./logs.ts";
import type { Metrics } from "./metrics.ts";
import { limitOpening } from "./openinglimit.ts";

/**
 * The name of another host, the address on which it accepts links, and its newest known incarnation. An incarnation is
 * the id of one run of a host.
 */
export type PeerAddress = { name: string; address: string; incarnation?: string };

/** Handles a message of the host `from`; a result is sent back as the answer to a question. */
export type MessageHandler<Kind extends MessageKind> = (
    from: string,
    message: MessageOf<Kind>,
) => Message | undefined | Promise<Message | undefined>;

/**
 * Bytes of messages that were sent and received on the links of this host so far; the bytes sent also by kind of
 * message. Handshakes, pings and the framing of WebSocket are not counted.
 */
export type HostTraffic = { sentBytes: number; receivedBytes: number; sentByKind: Record<string, number> };

export type HostLinks = {
    /** IP address and port on which links are accepted. */
    address: string;
    /**
     * Sets the hosts to which links are kept open. Closes the links that this host dialled to hosts that are no longer
     * peers, and all links to former incarnations. Other links that another host dialled stay open.
     */
    setPeers: (peers: PeerAddress[]) => void;
    /** Names of the hosts with an open link. */
    connected: () => string[];
    /** The incarnation of the host at the other end of an open link. */
    incarnationOf: (host: string) => string | undefined;
    /** Sends a message that needs no answer; false when there is no open link or its queue is full. */
    tell: (host: string, message: Message) => boolean;
    /** Sends a question and waits for its answer; undefined when none came in time or there is no open link. */
    ask: (host: string, message: Message, timeoutMilliseconds: number) => Promise<Message | undefined>;
    /** Sets the handler of a kind of message; it replaces the one before. */
    handle: <Kind extends MessageKind>(kind: Kind, handler: MessageHandler<Kind>) => void;
    /**
     * Adds a listener that is called when a link opens or closes. When a link replaces another one, only its opening is
     * reported.
     */
    onChange: (listener: (host: string, open: boolean) => void) => void;
    traffic: () => HostTraffic;
};

export type HostLinksOptions = {
    name: string;
    zone: string;
    incarnation: string;
    /** IP address on which links are accepted. */
    bindAddress: string;
    port: number;
    /** Local IP address of the links that this host dials. */
    sourceAddress?: string;
    /** Limits the connections of the server on which links are accepted. */
    limitConnections?: (server: Server) => void;
    /** Counts the links that this host dials. */
    descriptors?: Descriptors;
    /** The first key signs own proofs; a proof by any of them is accepted. */
    sharedKeys: Buffer[];
    maxFrameBytes: number;
    /**
     * Limit for each link, on the questions that wait for an answer and on the messages that wait to be sent. The
     * latter is applied as a limit on bytes, `averageMessageBytes` per message.
     */
    queueLength: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
    /** Random numbers from 0 (inclusive) to 1 (exclusive), for jitter; `Math.random` by default. */
    random?: () => number;
};

const firstRetryDelayMilliseconds = 50;
const maxRetryDelayMilliseconds = 2_000;
/**
 * Of two hosts, the one whose name sorts last dials only after about this time, so that usually just one of them dials.
 */
const laterNameDialDelayMilliseconds = 3_000;
/** Limit on connecting and on the upgrade to a WebSocket. The handshake has its own limit. */
const connectTimeoutMilliseconds = 1_000;
/** This size is an assumption. It turns `queueLength` into a limit on bytes. */
const averageMessageBytes = 512;
const maxFormerIncarnations = 8;
/** Reasons for which this host closes a link while another one serves or none is needed. */
const harmlessReasons: readonly CloseReason[] = [closeReasons.spareLink, closeReasons.notWanted];

/** Opens the listening socket, and keeps links to the peers open until the signal aborts. */
export const createHostLinks = async (options: HostLinksOptions): Promise<HostLinks> => {
    const { name, clock, log, metrics, signal } = options;
    const random = options.random ?? Math.random;
    const links = new Map<string, HostLink>();
    const handlers = new Map<MessageKind, MessageHandler<MessageKind>>();
    const listeners: Array<(host: string, open: boolean) => void> = [];
    const maintained = new Set<string>();
    const formerIncarnations = new Map<string, string[]>();
    const sockets = new Set<WebSocket>();
    const traffic: HostTraffic = { sentBytes: 0, receivedBytes: 0, sentByKind: {} };
    let peers = new Map<string, PeerAddress>();

    /** Counts and logs that this host closed or refused a link. Not called for a close without a reason. */
    const recordClose = (host: string, reason: CloseReason): void => {
        metrics.count("peer-closed", { reason });
        const writeLine = harmlessReasons.includes(reason) ? log.info : log.warn;
        writeLine("peer-link-closed", { peer: host, reason });
    };

    const notify = (host: string, open: boolean): void => listeners.forEach(listener => listener(host, open));

    const receive = async (host: string, message: Message): Promise<Message | undefined> =>
        handlers.get(message.kind)?.(host, message);

    /**
     * Whether a new link is closed in favour of the one that is open. Both ends prefer the link that was dialled by the
     * host whose name sorts first, and so keep the same one of two. A link of another incarnation is never redundant.
     */
    const isRedundant = (current: HostLink | undefined, hello: Hello, dialer: string): boolean => {
        const preferred = name < hello.host ? name : hello.host;
        return current !== undefined && current.incarnation === hello.incarnation
            && current.dialer === preferred && dialer !== preferred;
    };

    const addLink = (hello: Hello, socket: WebSocket, role: LinkRole): void => {
        const { host, incarnation } = hello;
        const dialer = role === linkRoles.dialer ? name : host;
        const current = links.get(host);
        const link = createHostLink({
            socket,
            host,
            incarnation,
            dialer,
            sendsHeartbeat: role === linkRoles.dialer,
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
                    recordClose(host, reason);
                }
                if (links.get(host) === link) {
                    if (reason === undefined && !signal.aborted) {
                        log.info("peer-link-lost", { peer: host, incarnation });
                    }
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
        if (isRedundant(current, hello, dialer)) {
            link.close(closeReasons.spareLink);
            return;
        }
        links.set(host, link);
        current?.close();
        notify(host, true);
    };

    const authenticate = async (socket: WebSocket, role: LinkRole, expectedHost?: string): Promise<void> => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        const self = { host: name, zone: options.zone, incarnation: options.incarnation };
        const onAuthenticated = (hello: Hello): void => addLink(hello, socket, role);
        const result = await performHandshake(socket, {
            self,
            role,
            expectedHost,
            sharedKeys: options.sharedKeys,
            clock,
            onAuthenticated,
        });
        if (result === "authenticated") {
            return;
        }
        if (result !== "closed") {
            recordClose(expectedHost ?? "unknown", result);
        }
        socket.terminate();
    };

    /** Dials once and resolves when the attempt has ended. Never rejects; an announced address may be none. */
    const dial = async (peer: PeerAddress): Promise<void> => {
        try {
            const socket = new WebSocket(`ws://${peer.address}`, {
                maxPayload: options.maxFrameBytes,
                localAddress: options.sourceAddress,
            });
            limitOpening(socket, connectTimeoutMilliseconds);
            const release = options.descriptors?.open(descriptorParts.hosts);
            socket.once("close", () => release?.());
            socket.on("error", error => options.descriptors?.recordError(error));
            await authenticate(socket, linkRoles.dialer, peer.name);
        }
        catch (error) {
            log.warn("peer-dial-failed", { peer: peer.name, address: peer.address, error: messageOf(error) });
        }
    };

    /**
     * Keeps a link to a host open for as long as it is one of the peers. Dials with exponential backoff. When the name
     * of this host sorts last, it also waits `laterNameDialDelayMilliseconds` before each dial.
     */
    const maintainLink = async (peerName: string): Promise<void> => {
        let delay = firstRetryDelayMilliseconds;
        const pause = (milliseconds: number): Promise<void> => clock.sleep(milliseconds * (0.5 + random()), signal);
        while (!signal.aborted && peers.has(peerName)) {
            const link = links.get(peerName);
            if (link !== undefined) {
                await link.closed;
                delay = firstRetryDelayMilliseconds;
                await pause(delay);
                continue;
            }
            if (peerName < name) {
                await pause(laterNameDialDelayMilliseconds);
            }
            const peer = peers.get(peerName);
            if (peer !== undefined && !links.has(peerName) && !signal.aborted) {
                await dial(peer);
                delay = Math.min(delay * 2, maxRetryDelayMilliseconds);
            }
            if (!links.has(peerName)) {
                await pause(delay);
            }
        }
        maintained.delete(peerName);
    };

    const recordFormerIncarnations = (next: Map<string, PeerAddress>): void => {
        for (const [peerName, { incarnation }] of next) {
            const known = peers.get(peerName)?.incarnation;
            if (known !== undefined && incarnation !== undefined && known !== incarnation) {
                const former = [...formerIncarnations.get(peerName) ?? [], known].filter(id => id !== incarnation);
                formerIncarnations.set(peerName, former.slice(-maxFormerIncarnations));
            }
        }
    };

    const listener = createUpgradeServer(options.limitConnections);
    const server = new WebSocketServer({ server: listener, maxPayload: options.maxFrameBytes });
    server.on("connection", socket => {
        authenticate(socket, linkRoles.acceptor).catch((error: unknown) => {
            log.warn("peer-accept-failed", { error: messageOf(error) });
            socket.terminate();
        });
    });
    await new Promise<void>((resolve, reject) => {
        server.once("listening", resolve);
        server.once("error", reject);
        listener.listen(options.port, options.bindAddress);
    });
    server.on("error", error => log.warn("peer-endpoint-failed", { listen: options.port, error: error.message }));
    signal.addEventListener("abort", () => {
        sockets.forEach(socket => socket.terminate());
        server.close();
        listener.close();
        listener.closeAllConnections();
    }, { once: true });
    const { port } = server.address() as AddressInfo;

    return {
        address: `${options.bindAddress}:${port}`,
        setPeers: list => {
            const next = new Map(list.filter(peer => peer.name !== name).map(peer => [peer.name, peer]));
            recordFormerIncarnations(next);
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
                if (!maintained.has(peer.name)) {
                    maintained.add(peer.name);
                    void maintainLink(peer.name);
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
