/**
 * Connections for tests that judge whether an answer was whole. A socket of Node may report the orderly end of a
 * connection that was reset; these report the reset.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { detectReset } from "../src/links/resets.ts";

/** Opens a connection on which a reset is always an error. */
export const connectStrictly = (port: number, host = "127.0.0.1", localAddress?: string): Socket =>
    detectReset(connect({ port, host, ...(localAddress === undefined ? {} : { localAddress }) }));

export type RawAnswerRead = {
    /** Status line and headers in lower case. */
    head: string;
    body: Buffer;
    /** Whether the last chunk of an answer in chunks has come. */
    hasLastChunk: boolean;
    end: "ended" | "reset";
};

const headEnd = "\r\n\r\n";
const lastChunk = "0\r\n\r\n";

/** Joins the chunks that came; the last one may be there in part. */
const joinChunks = (bytes: Buffer): { body: Buffer; hasLastChunk: boolean } => {
    const parts: Buffer[] = [];
    let at = 0;
    for (;;) {
        const lineEnd = bytes.indexOf("\r\n", at);
        const size = lineEnd === -1 ? NaN : Number.parseInt(bytes.toString("latin1", at, lineEnd), 16);
        if (!(size > 0)) {
            return { body: Buffer.concat(parts), hasLastChunk: bytes.toString("latin1", at) === lastChunk };
        }
        parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
        at = lineEnd + 2 + size + 2;
    }
};

/** Sends a request on a connection of its own, and reads until the connection ends or the answer says that it is over. */
export const readRawAnswer = (port: number, request: string): Promise<RawAnswerRead> =>
    new Promise(resolve => {
        const parts: Buffer[] = [];
        const socket = connectStrictly(port);
        const finish = (end: RawAnswerRead["end"]): void => {
            const received = Buffer.concat(parts);
            const split = Math.max(0, received.indexOf(headEnd));
            const head = received.toString("latin1", 0, split).toLowerCase();
            const body = received.subarray(split + headEnd.length);
            const isChunked = /transfer-encoding: .*chunked/.test(head);
            resolve({ head, end, ...(isChunked ? joinChunks(body) : { body, hasLastChunk: false }) });
            socket.destroy();
        };
        const isOver = (): boolean => {
            const received = Buffer.concat(parts);
            const split = received.indexOf(headEnd);
            const head = received.toString("latin1", 0, Math.max(0, split)).toLowerCase();
            const length = /content-length: (\d+)/.exec(head)?.[1];
            if (/transfer-encoding: .*chunked/.test(head)) {
                return received.toString("latin1", received.length - lastChunk.length) === lastChunk;
            }
            return length !== undefined && received.length >= split + headEnd.length + Number(length);
        };
        socket.on("data", (part: Buffer) => {
            parts.push(part);
            if (isOver()) {
                finish("ended");
            }
        });
        socket.on("end", () => finish("ended"));
        socket.on("error", () => finish("reset"));
        socket.write(request);
    });

/** Whether an HTTP client takes the answer for whole: by its length, its last chunk, or the orderly end. */
export const looksWhole = ({ head, body, hasLastChunk, end }: RawAnswerRead): boolean => {
    const length = /content-length: (\d+)/.exec(head)?.[1];
    if (/transfer-encoding: .*chunked/.test(head)) {
        return hasLastChunk;
    }
    return length === undefined ? head !== "" && end === "ended" : body.length === Number(length);
};

/** How a connection ends behind the last bytes of an answer that is cut. */
export const cutEndings: Array<{ title: string; end: (socket: Socket) => void }> = [
    { title: "ended", end: socket => void socket.end() },
    { title: "reset", end: socket => socket.resetAndDestroy() },
];

/** Starts a server that writes the same bytes to each request, whole or in part, and ends the connection. */
export const startCuttingServer = async (
    bytes: () => string,
    end: (socket: Socket) => void,
): Promise<{ address: string; close: () => void }> => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(bytes(), () => setTimeout(() => end(socket), 1)));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return { address: `127.0.0.1:${port}`, close: () => void server.close() };
};
