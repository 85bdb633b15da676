/**
 * Connections between resident hosts: WebSockets that carry msgpack frames. Each service of a host has a path at the
 * same address. A frame that a service does not accept is counted and logged, and closes its connection; it never ends
 * the process.
 */
import type { Server } from "node:http";
import type { LookupFunction } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { descriptorParts } from "../decisions/descriptors.ts";
import type { Descriptors } from "./descriptors.ts";
import { decodeFrame, encodeFrame, maxFrameBytes } from "./frames.ts";
import { createUpgradeServer } from "./httpendpoint.ts";
import type { Log } from "./logs.ts";
import type { Metrics } from "./metrics.ts";
import { limitOpening } from "./openinglimit.ts";

export type PeerConnection = {
    /** Sends a value; dropped while the connection is not open. */
    send: (value: unknown) => void;
    /** Sends an encoded value; dropped while the connection is not open. */
    sendFrame: (frame: Buffer) => void;
    isOpen: () => boolean;
    /** Bytes that wait to be sent. */
    queuedBytes: () => number;
    /** Closes the connection at once. */
    close: () => void;
};

/** What one end does with its connection. */
export type PeerListener = {
    /** Called with each decoded frame; returns whether it had a known form. */
    onFrame: (value: unknown) => boolean;
    /** Called once when the connection is open. */
    onOpen?: () => void;
    /** Called once when the connection has closed or could not be opened. */
    onClose: () => void;
};

/** Accepts a connection of another host. */
export type PeerService = (connection: PeerConnection) => PeerListener;

export type PeerOptions = {
    /** Counts the connections. */
    descriptors?: Descriptors;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

const toConnection = (socket: WebSocket): PeerConnection => ({
    send: value => {
        if (socket.readyState === WebSocket.OPEN) {
            socket.send(encodeFrame(value));
        }
    },
    sendFrame: frame => {
        if (socket.readyState === WebSocket.OPEN) {
            socket.send(frame);
        }
    },
    isOpen: () => socket.readyState === WebSocket.OPEN,
    queuedBytes: () => socket.bufferedAmount,
    close: () => socket.terminate(),
});

/** Passes the events of a socket to the listener. An error of the listener closes the connection. */
const listenTo = (socket: WebSocket, path: string, listener: PeerListener, options: PeerOptions): void => {
    const { descriptors, log, metrics } = options;
    const accepts = (data: unknown): boolean => {
        try {
            return listener.onFrame(decodeFrame(data));
        }
        catch (error) {
            log.error("peer-frame-failed", { path, error: error instanceof Error ? error.stack : String(error) });
            return false;
        }
    };
    socket.on("open", () => listener.onOpen?.());
    socket.on("message", data => {
        if (socket.readyState === WebSocket.OPEN && !accepts(data)) {
            metrics.count("peer-frames-refused", { path });
            log.warn("peer-frame-refused", { path });
            socket.terminate();
        }
    });
    socket.on("error", error => {
        descriptors?.recordError(error);
        socket.terminate();
    });
    socket.on("close", () => listener.onClose());
};

/**
 * Listens for connections of other hosts. Resolves when it listens; rejects when the address is in use.
 *
 * @param services by path, such as `/state`.
 * @param limitConnections limits the connections of the server.
 */
export const openPeerEndpoint = (
    listen: string,
    services: Record<string, PeerService>,
    options: PeerOptions,
    limitConnections?: (server: Server) => void,
): Promise<void> =>
    new Promise((resolve, reject) => {
        const [host, port] = listen.split(":");
        const listener = createUpgradeServer(limitConnections);
        const server = new WebSocketServer({ server: listener, perMessageDeflate: false, maxPayload: maxFrameBytes });
        server.on("connection", (socket, request) => {
            const path = request.url ?? "";
            const service = Object.hasOwn(services, path) ? services[path] : undefined;
            if (service === undefined) {
                socket.on("error", () => undefined);
                socket.terminate();
                return;
            }
            listenTo(socket, path, service(toConnection(socket)), options);
        });
        const close = (): void => {
            server.clients.forEach(client => client.terminate());
            server.close();
            listener.close();
            listener.closeAllConnections();
        };
        server.once("listening", () => {
            // Not before, since the signal would keep each server that could not be opened.
            options.signal.addEventListener("abort", close, { once: true });
            if (options.signal.aborted) {
                close();
            }
            server.on("error", error => options.log.warn("peer-endpoint-failed", { listen, error: error.message }));
            resolve();
        });
        server.once("error", reject);
        listener.listen(Number(port), host);
    });

/** Opens connections to other hosts. */
export type PeerDialer = (address: string, path: string, listener: PeerListener) => PeerConnection;

/**
 * Addresses of hosts are IP addresses. A name in the store would be looked up, and the process does not end before a lookup
 * does.
 */
const refuseName: LookupFunction = (...[name, , callback]) => callback(new Error(`"${name}" is no IP address`), "");

/**
 * Creates the dialer of one host. Its connections close when the signal aborts.
 *
 * @param handshakeMilliseconds limit on the time in which a connection is opened.
 */
export const createPeerDialer = (handshakeMilliseconds: number, options: PeerOptions): PeerDialer => {
    const open = new Set<WebSocket>();
    options.signal.addEventListener("abort", () => open.forEach(socket => socket.terminate()), { once: true });
    return (address, path, listener) => {
        const socket = new WebSocket(`ws://${address}${path}`, {
            perMessageDeflate: false,
            maxPayload: maxFrameBytes,
            lookup: refuseName,
        });
        limitOpening(socket, handshakeMilliseconds);
        open.add(socket);
        const release = options.descriptors?.open(descriptorParts.hosts);
        const onClose = (): void => {
            open.delete(socket);
            release?.();
            listener.onClose();
        };
        listenTo(socket, path, { ...listener, onClose }, options);
        return toConnection(socket);
    };
};
