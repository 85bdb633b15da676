/**
 * Answers that a target cuts. Guards against a part of an answer that looks whole to the caller because the target's
 * reset, right behind its last bytes, was taken for the end of an answer that only the close of the connection ends.
 */
import test from "ava";
import type { Socket } from "node:net";
import { looksWhole, readRawAnswer } from "../../connections.ts";
import { headOf, idOf, startTextServer, type TextServer } from "../../rawtarget.ts";
import { startHost } from "./lonehost.ts";

type Ending = (socket: Socket, lastBytes: Buffer) => void;

const resetBehind: Ending = (socket, lastBytes) => {
    socket.write(lastBytes);
    socket.resetAndDestroy();
};
const resetAlone: Ending = (socket, lastBytes) => {
    socket.write(lastBytes, () => setTimeout(() => socket.resetAndDestroy(), 40));
};
const endInOrder: Ending = (socket, lastBytes) => void socket.end(lastBytes);

const endings: Array<{ title: string; end: Ending; share: number; isWhole: boolean }> = [
    { title: "reset right behind its last bytes", end: resetBehind, share: 0.9, isWhole: false },
    { title: "reset behind its last bytes", end: resetAlone, share: 0.9, isWhole: false },
    { title: "ended in order", end: endInOrder, share: 1, isWhole: true },
];
const framings: Array<{ title: string; lines: string[] }> = [
    { title: "without a length", lines: [] },
    { title: "with the transfer coding identity", lines: ["transfer-encoding: identity"] },
    { title: "whose last transfer coding is not chunked", lines: ["transfer-encoding: chunked, gzip"] },
];
const sizes = [2_000, 200_000, 3_000_000];
const firstBytes = 0.5;
const pauseMilliseconds = 20;

/** Starts a target that runs on after it has sent the share of the body and ended the connection. */
const startTarget = (body: Buffer, share: number, lines: string[], end: Ending): Promise<TextServer> =>
    startTextServer((socket, text) => {
        if (text.startsWith("GET /health ")) {
            socket.write("HTTP/1.1 200 OK\r\ninstance-id: i-1\r\ncontent-length: 0\r\n\r\n");
            return;
        }
        const split = Math.floor(body.length * firstBytes);
        const lastBytes = body.subarray(split, Math.floor(body.length * share));
        socket.write(headOf(idOf(text) ?? "", "response-signature: s", ...lines));
        socket.write(body.subarray(0, split), () => setTimeout(() => end(socket, lastBytes), pauseMilliseconds));
    });

const cases = framings.flatMap(framing =>
    endings.flatMap(ending =>
        sizes.flatMap(size => ["1.1", "1.0"].map(version => ({ framing, ending, size, version })))
    )
);

for (const { framing, ending: { title: ending, end, share, isWhole }, size, version } of cases) {
    const answer = `an answer of ${size} bytes ${framing.title} that is ${ending}`;
    test.serial(`${answer} ${isWhole ? "is whole" : "does not look whole"} to a caller of HTTP/${version}`, async t => {
        const body = Buffer.alloc(size, "x");
        const target = await startTarget(body, share, framing.lines, end);
        const host = await startHost({
            addresses: [target.address],
            timeoutMilliseconds: 3_000,
            healthPath: "/health",
        });
        t.teardown(target.close);
        t.teardown(host.close);
        const port = Number(host.link.address.split(":")[1]);
        const request = `GET /a HTTP/${version}\r\nhost: orders.example\r\nrequest-id: r1\r\n\r\n`;
        const received = await readRawAnswer(port, request);
        const status = Number(received.head.split(" ")[1]);
        const seen = `${status}, ${received.body.length} bytes, ${received.end}`;
        t.is(status === 200 && looksWhole(received), isWhole, seen);
        t.false(status === 200 && received.head.includes("content-length"), "a length that nobody told");
        if (isWhole) {
            t.is(received.body.length, size);
        }
    });
}
