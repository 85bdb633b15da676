/**
 * Tells the orderly end of a TCP connection from a reset. When a reset arrives right behind data, libuv reports the end
 * of the stream in its place, so that a stream that was cut looks whole.
 */
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/**
 * Makes a socket emit `error` in place of `end` when the other side has reset the connection, as long as its own half is
 * open. An empty write sends nothing, and the system refuses it on a connection that was reset. Call it before the socket
 * has read anything. Returns the socket.
 */
export const detectReset = (socket: Socket): Socket => {
    const push = socket.push.bind(socket);
    socket.push = (...pushed) => {
        const isEnd = !(pushed[0] instanceof Uint8Array);
        if (!isEnd || !socket.writable) {
            return push(...pushed);
        }
        // A failed write destroys the socket with its error.
        socket.write("", error => {
            if (!error) {
                push(...pushed);
                socket.read(0);
            }
        });
        return false;
    };
    return socket;
};

/** Error code of a connection that the other side reset; replaces `ECONNRESET`. */
const resetCode = "TARGET_RESET";

/**
 * Creates a connector for undici on whose connections a reset is always an error. When an answer ends with the close of
 * its connection, undici takes `ECONNRESET` for that end and would report a truncated body as whole.
 */
export const createResetDetectingConnector = (
    timeoutMilliseconds: number,
    localAddress?: string,
): buildConnector.connector => {
    const connect = buildConnector({ timeout: timeoutMilliseconds, localAddress });
    return (target, callback) =>
        connect(target, (...results) => {
            const [, socket] = results;
            if (socket) {
                detectReset(socket).prependListener("error", (error: NodeJS.ErrnoException) => {
                    error.code = error.code === "ECONNRESET" ? resetCode : error.code;
                });
            }
            callback(...results);
        });
};
