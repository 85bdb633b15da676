/**
 * Clients that the operators do not control, for tests of the built program: they send ahead, stop in the middle or do not
 * read. Each connection sends a bounded number of bytes.
 */
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

export type Crowd = {
    /** Number of connections that the system has opened. */
    opened: () => number;
    close: () => void;
};

export type CrowdOptions = {
    port: number;
    connections: number;
    /** Sends on a connection once it is open. */
    send: (socket: Socket, index: number) => void;
};

/** Opens connections that read nothing. */
export const openCrowd = ({ port, connections, send }: CrowdOptions): Crowd => {
    let opened = 0;
    const sockets = [...Array.from({ length: connections }).keys()].map(index => {
        const socket = connect(port, "127.0.0.1");
        // Before the connection is open, since Node reads ahead otherwise.
        socket.pause();
        socket.on("error", () => undefined);
        socket.once("connect", () => {
            opened += 1;
            send(socket, index);
        });
        return socket;
    });
    return { opened: () => opened, close: () => sockets.forEach(socket => socket.destroy()) };
};

/** Sends a text again and again, up to a number of bytes. */
export const sendRepeated = (text: string, bytes: number) => (socket: Socket): void =>
    void socket.write(text.repeat(Math.ceil(bytes / text.length)));

/** Sends one byte of a text at a time, with pauses, and no end. */
export const sendSlowly = (text: string, pauseMilliseconds: number) => (socket: Socket): void => {
    let at = 0;
    const timer = setInterval(() => {
        socket.write(text.charAt(at % text.length));
        at += 1;
    }, pauseMilliseconds);
    socket.once("close", () => clearInterval(timer));
};

export type RawTarget = { address: string; close: () => void };

const listen = async (onConnection: (socket: Socket) => void): Promise<RawTarget> => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        onConnection(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        address: `127.0.0.1:${port}`,
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};

const blockBytes = 65_536;
/** Blocks of one answer, so that a target stops by itself. */
const maxBlocks = 4_000;

/** A target that answers with a body that does not end. */
export const startEndlessTarget = (): Promise<RawTarget> =>
    listen(socket => {
        const block = Buffer.alloc(blockBytes, "x");
        let blocks = 0;
        const writeMore = (): void => {
            while (!socket.destroyed && blocks < maxBlocks) {
                blocks += 1;
                if (!socket.write(block)) {
                    return;
                }
            }
        };
        socket.on("drain", writeMore);
        socket.once("data", (bytes: Buffer) => {
            const id = /request-id: (\S+)/i.exec(bytes.toString("latin1"))?.[1] ?? "";
            socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\n\r\n`);
            writeMore();
        });
    });

/** A target that accepts connections and reads nothing from them. */
export const startDeafTarget = (): Promise<RawTarget> => listen(socket => void socket.pause());
