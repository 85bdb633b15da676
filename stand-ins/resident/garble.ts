/**
 * Answers of a backend that are not written in the usual way: without a known end, cut by a reset, or followed by a second
 * copy.
 */
import type { Socket } from "node:net";

/**
 * `unframed` answers end with their connection. The `cut` ones break off after nine tenths of the body, by a reset right
 * behind their last bytes. `repeated` sends a second copy a moment later.
 */
export const garbles = ["unframed", "cut-unframed", "cut-identity", "cut-chunks", "cut-length", "repeated"] as const;
export type Garble = typeof garbles[number];

const cutShare = 0.9;
const partMilliseconds = 10;
const repeatMilliseconds = 30;

const framingOf = (garble: Garble, body: Buffer): string => {
    const lines: Record<Garble, string> = {
        unframed: "",
        "cut-unframed": "",
        "cut-identity": "transfer-encoding: identity\r\n",
        "cut-chunks": "transfer-encoding: chunked\r\n",
        "cut-length": `content-length: ${body.length}\r\n`,
        repeated: `content-length: ${body.length}\r\n`,
    };
    return lines[garble];
};

/**
 * Writes the answer to the socket, in the place of its server.
 *
 * @param head status line and headers, without those that tell where the body ends.
 * @param onRepeat called when a second copy is written.
 */
export const writeGarbled = (
    socket: Socket,
    garble: Garble,
    head: string,
    body: Buffer,
    onRepeat: () => void = () => undefined,
): void => {
    const start = `${head}${framingOf(garble, body)}\r\n`;
    if (garble === "unframed") {
        socket.write(start);
        socket.end(body);
        return;
    }
    if (garble === "repeated") {
        const answer = Buffer.concat([Buffer.from(start), body]);
        socket.write(answer);
        setTimeout(() => {
            if (socket.writable) {
                socket.write(answer);
                onRepeat();
            }
        }, repeatMilliseconds);
        return;
    }
    const split = Math.floor(body.length / 2);
    const end = Math.floor(body.length * cutShare);
    socket.write(start);
    socket.write(garble === "cut-chunks" ? `${body.length.toString(16)}\r\n` : "");
    socket.write(body.subarray(0, split), () =>
        setTimeout(() => {
            if (socket.writable) {
                socket.write(body.subarray(split, end));
            }
            socket.resetAndDestroy();
        }, partMilliseconds));
};
