/**
 * Connections that are reset, or ended in order, in many ways and however they are read. Guards against a reset that
 * shows as the orderly end of the stream.
 */
import test from "ava";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { detectReset } from "../../src/links/resets.ts";

type Shown = "end" | "reset";
type Ending = { title: string; end: (socket: Socket) => unknown; shown: Shown };

const part = Buffer.alloc(100, "x");
const burst = Buffer.alloc(400_000, "x");

const endings: Ending[] = [
    { title: "ended in order", end: socket => socket.end(part), shown: "end" },
    { title: "ended in order behind a burst", end: socket => socket.end(burst), shown: "end" },
    { title: "ended in order without more data", end: socket => socket.end(), shown: "end" },
    { title: "reset without more data", end: socket => socket.resetAndDestroy(), shown: "reset" },
    {
        title: "reset right behind data",
        end: socket => {
            socket.write(part);
            socket.resetAndDestroy();
        },
        shown: "reset",
    },
    {
        title: "reset right behind a burst",
        end: socket => {
            socket.write(burst);
            socket.resetAndDestroy();
        },
        shown: "reset",
    },
    {
        title: "reset a moment after data",
        end: socket => socket.write(part, () => setTimeout(() => socket.resetAndDestroy(), 20)),
        shown: "reset",
    },
];

/** Ways to read a socket; each calls the function with the bytes. */
const readings: Array<{ title: string; read: (socket: Socket) => void }> = [
    { title: "flowing", read: socket => void socket.resume() },
    {
        title: "by 'readable'",
        read: socket =>
            void socket.on("readable", () => {
                while (socket.read() !== null) { // eslint-disable-line no-restricted-syntax -- the end of what is buffered
                    // All is read.
                }
            }),
    },
    {
        title: "with a pause after each part",
        read: socket =>
            void socket.on("data", () => {
                socket.pause();
                setTimeout(() => socket.resume(), 5);
            }),
    },
    {
        title: "paused until the connection has ended",
        read: socket => {
            socket.pause();
            setTimeout(() => socket.resume(), 150);
        },
    },
];

for (const { title: ending, end, shown } of endings) {
    for (const { title: reading, read } of readings) {
        test(`a connection that is ${ending}, read ${reading}, shows ${shown}`, async t => {
            const server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.write(part, () => void sleep(30).then(() => end(socket)));
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const socket = detectReset(connect((server.address() as AddressInfo).port, "127.0.0.1"));
            t.teardown(() => {
                socket.destroy();
                server.close();
            });
            const ended = new Promise<Shown>(resolve => {
                socket.once("end", () => resolve("end"));
                socket.once("error", () => resolve("reset"));
            });
            read(socket);
            t.is(await ended, shown);
        });
    }
}

test("a connection that this side closes emits neither an end nor an error", async t => {
    const server = createServer(socket => socket.on("error", () => undefined).resume());
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const socket = detectReset(connect((server.address() as AddressInfo).port, "127.0.0.1"));
    const shown: string[] = [];
    socket.on("end", () => shown.push("end")).on("error", () => shown.push("error"));
    await new Promise(resolve => socket.once("connect", resolve));
    socket.destroy();
    await new Promise(resolve => socket.once("close", resolve));
    t.deepEqual(shown, []);
    server.close();
});
