/**
 * Links between hosts: one WebSocket for each pair, msgpack messages, questions with answers and plain messages. Both
 * ends prove that they hold a shared key before anything else is read. The host with the lower name dials.
 */
import { pack, unpack } from "msgpackr";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { AddressInfo } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import type { Clock } from "../contracts/clock.ts";
import { PeerError } from "../contracts/errors.ts";
import {
    helloSchema,
    type Message,
    type MessageKind,
    type MessageOf,
    messageSchema,
    proofSchema,
    protocolVersion,
} from "../contracts/messages.ts";
import type { Log } from "./logs.ts";
import type { Metrics } from "./metrics.ts";

/** Another host and where its links are accepted. */
export type PeerAddress = { name: string; address: string };

export type MessageHandler<Kind extends MessageKind> = (
    from: string,
    message: MessageOf<Kind>,
) => Message | undefined | Promise<Message | undefined>;

export type HostLinks = {
    /** IP address and port at which links are accepted. */
    address: string;
    /** Sets the hosts to which links are kept; others are closed. */
    setPeers: (peers: PeerAddress[]) => void;
    /** Names of the hosts with an open link. */
    connected: () => string[];
    /** Sends without waiting; false when there is no link or its queue is full. */
    tell: (host: string, message: Message) => boolean;
    /** Sends and waits for the answer; undefined when none came in time. */
    ask: (host: string, message: Message, timeoutMilliseconds: number) => Promise<Message | undefined>;
    /** Sets the one handler of a kind. What it returns is sent back as the answer of a question. */
    handle: <Kind extends MessageKind>(kind: Kind, handler: MessageHandler<Kind>) => void;
    /** Calls back when a link opens or closes. */
    onChange: (listener: (host: string, open: boolean) => void) => void;
    /** Bytes sent and received on all links so far. */
    traffic: () => { sentBytes: number; receivedBytes: number };
};

export type HostLinksOptions = {
    name: string;
    zone: string;
    incarnation: string;
    host: string;
    port: number;
    /** IP address from which links are dialled. */
    sourceAddress?: string;
    /** Shared keys: the first signs, all are accepted. */
    keys: Buffer[];
    maxFrameBytes: number;
    queueLength: number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

type Envelope = { id: number; answers: boolean; message: unknown };

type Link = {
    host: string;
    socket: WebSocket;
    waiting: Map<number, (message: Message | undefined) => void>;
};

const handshakeMilliseconds = 2_000;
const firstRetryMilliseconds = 50;
const maxRetryMilliseconds = 2_000;
const averageMessageBytes = 512;

const proofOf = (key: Buffer, challenge: string, host: string): string =>
    createHmac("sha256", key).update(`${protocolVersion}\n${challenge}\n${host}`).digest("hex");

const proofMatches = (keys: Buffer[], challenge: string, host: string, proof: string): boolean =>
    keys.some(key => {
        const expected = Buffer.from(proofOf(key, challenge, host));
        const given = Buffer.from(proof);
        return expected.length === given.length && timingSafeEqual(expected, given);
    });

const isEnvelope = (value: unknown): value is Envelope => {
    const envelope = value as Partial<Envelope> | undefined;
    return typeof envelope?.id === "number" && typeof envelope.answers === "boolean";
};

const decode = (data: unknown): unknown => {
    try {
        return unpack(data as Buffer);
    }
    catch {
        return undefined;
    }
};

/** Opens the listening socket and keeps links to the peers until the signal aborts. */
export const createHostLinks = async (options: HostLinksOptions): Promise<HostLinks> => {
    const { name, clock, log, metrics, signal } = options;
    const links = new Map<string, Link>();
    const handlers = new Map<MessageKind, MessageHandler<MessageKind>>();
    const listeners: Array<(host: string, open: boolean) => void> = [];
    const dialing = new Set<string>();
    let peers = new Map<string, PeerAddress>();
    let nextId = 1;
    let sentBytes = 0;
    let receivedBytes = 0;

    const closeFor = (socket: WebSocket, reason: string, host = "unknown"): void => {
        metrics.count("peer-closed", { reason });
        log.warn("peer-link-closed", { peer: host, reason });
        socket.terminate();
    };

    const send = (socket: WebSocket, value: unknown): void => {
        const bytes = pack(value);
        sentBytes += bytes.length;
        socket.send(bytes);
    };

    const dispatch = async (link: Link, envelope: Envelope): Promise<void> => {
        const parsed = messageSchema.safeParse(envelope.message);
        if (!parsed.success) {
            closeFor(link.socket, "malformed-message", link.host);
            return;
        }
        if (envelope.answers) {
            const resolve = link.waiting.get(envelope.id);
            link.waiting.delete(envelope.id);
            resolve?.(parsed.data);
            return;
        }
        const handler = handlers.get(parsed.data.kind);
        const answer = await handler?.(link.host, parsed.data);
        if (answer !== undefined && envelope.id !== 0 && link.socket.readyState === WebSocket.OPEN) {
            send(link.socket, { id: envelope.id, answers: true, message: answer });
        }
    };

    const adopt = (host: string, socket: WebSocket): void => {
        const former = links.get(host);
        const link: Link = { host, socket, waiting: new Map() };
        links.set(host, link);
        former?.socket.terminate();
        socket.on("message", (data: Buffer) => {
            receivedBytes += data.length;
            const envelope = decode(data);
            if (!isEnvelope(envelope)) {
                closeFor(socket, "malformed-frame", host);
                return;
            }
            dispatch(link, envelope).catch((error: unknown) => {
                log.error("peer-message-failed", { peer: host, error: String(error) });
            });
        });
        socket.once("close", () => {
            for (const resolve of link.waiting.values()) {
                resolve(undefined);
            }
            link.waiting.clear();
            if (links.get(host) === link) {
                links.delete(host);
                listeners.forEach(listener => listener(host, false));
            }
        });
        listeners.forEach(listener => listener(host, true));
    };

    /** Both ends run the same handshake: hello, then the proof for the other's challenge. */
    const shakeHands = (socket: WebSocket): Promise<string> =>
        new Promise((resolve, reject) => {
            const challenge = randomBytes(16).toString("hex");
            let peer: string | undefined;
            const limit = setTimeout(() => {
                reject(new PeerError("The handshake took too long."));
                socket.terminate();
            }, handshakeMilliseconds);
            const fail = (reason: string): void => {
                clearTimeout(limit);
                closeFor(socket, reason, peer);
                reject(new PeerError(`The handshake with host "${peer ?? "unknown"}" failed: ${reason}.`));
            };
            socket.once("close", () => {
                clearTimeout(limit);
                reject(new PeerError("The link closed during the handshake."));
            });
            const onMessage = (data: Buffer): void => {
                const value = decode(data);
                if (peer === undefined) {
                    const hello = helloSchema.safeParse(value);
                    if (!hello.success) {
                        fail("malformed-hello");
                        return;
                    }
                    if (hello.data.protocolVersion !== protocolVersion) {
                        fail("other-protocol-version");
                        return;
                    }
                    peer = hello.data.host;
                    send(socket, { kind: "proof", proof: proofOf(options.keys[0], hello.data.challenge, name) });
                    return;
                }
                const proof = proofSchema.safeParse(value);
                if (!proof.success || !proofMatches(options.keys, challenge, peer, proof.data.proof)) {
                    fail("wrong-proof");
                    return;
                }
                clearTimeout(limit);
                socket.off("message", onMessage);
                resolve(peer);
            };
            socket.on("message", onMessage);
            const { zone, incarnation } = options;
            send(socket, { kind: "hello", protocolVersion, host: name, zone, incarnation, challenge });
        });

    const establish = async (socket: WebSocket): Promise<void> => {
        socket.on("error", () => undefined);
        try {
            adopt(await shakeHands(socket), socket);
        }
        catch (error) {
            log.debug("peer-handshake-failed", { error: String(error) });
        }
    };

    const dial = async (peer: PeerAddress): Promise<void> => {
        dialing.add(peer.name);
        let delay = firstRetryMilliseconds;
        while (!signal.aborted && peers.get(peer.name)?.address === peer.address) {
            if (!links.has(peer.name)) {
                const socket = new WebSocket(`ws://${peer.address}`, {
                    maxPayload: options.maxFrameBytes,
                    localAddress: options.sourceAddress,
                });
                await new Promise<void>(resolve => {
                    // The other end's hello may come together with the opening, so its reader is set in the same turn.
                    socket.once("open", () => void establish(socket).then(resolve));
                    socket.once("error", () => resolve());
                });
                delay = links.has(peer.name) ? firstRetryMilliseconds : Math.min(delay * 2, maxRetryMilliseconds);
            }
            await clock.sleep(delay * (0.5 + Math.random()), signal);
        }
        dialing.delete(peer.name);
    };

    const server = new WebSocketServer({ host: options.host, port: options.port, maxPayload: options.maxFrameBytes });
    server.on("connection", socket => {
        void establish(socket);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("listening", resolve);
        server.once("error", reject);
    });
    signal.addEventListener("abort", () => {
        for (const link of links.values()) {
            link.socket.terminate();
        }
        server.close();
    }, { once: true });
    const { port } = server.address() as AddressInfo;

    const openLink = (host: string): Link | undefined => {
        const link = links.get(host);
        const full = link !== undefined
            && link.socket.bufferedAmount > options.queueLength * averageMessageBytes;
        if (full) {
            metrics.count("peer-queue-full");
            return undefined;
        }
        return link?.socket.readyState === WebSocket.OPEN ? link : undefined;
    };

    return {
        address: `${options.host}:${port}`,
        setPeers: list => {
            peers = new Map(list.filter(peer => peer.name !== name).map(peer => [peer.name, peer]));
            for (const link of links.values()) {
                if (!peers.has(link.host)) {
                    link.socket.terminate();
                }
            }
            for (const peer of peers.values()) {
                if (name < peer.name && !dialing.has(peer.name)) {
                    void dial(peer);
                }
            }
        },
        connected: () => [...links.keys()],
        tell: (host, message) => {
            const link = openLink(host);
            if (link !== undefined) {
                send(link.socket, { id: 0, answers: false, message });
            }
            return link !== undefined;
        },
        ask: (host, message, timeoutMilliseconds) => {
            const link = openLink(host);
            if (link === undefined) {
                return Promise.resolve(undefined);
            }
            const id = nextId;
            nextId += 1;
            return new Promise(resolve => {
                const cancel = clock.after(timeoutMilliseconds, () => {
                    link.waiting.delete(id);
                    resolve(undefined);
                });
                link.waiting.set(id, answer => {
                    cancel();
                    resolve(answer);
                });
                send(link.socket, { id, answers: false, message });
            });
        },
        handle: (kind, handler) => {
            handlers.set(kind, handler as unknown as MessageHandler<MessageKind>);
        },
        onChange: listener => {
            listeners.push(listener);
        },
        traffic: () => ({ sentBytes, receivedBytes }),
    };
};
