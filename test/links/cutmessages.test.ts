/**
 * Messages of callers, hosts and targets that break off, by an end in order or by a reset right behind their last bytes.
 * Guards against a part of a message that is taken for the whole since its connection has ended.
 */
import test from "ava";
import { pack } from "msgpackr";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createJsonCaller } from "../../src/links/jsoncall.ts";
import { silentLog } from "../../src/links/logs.ts";
import { createMetrics } from "../../src/links/metrics.ts";
import { openPeerEndpoint } from "../../src/links/peers.ts";
import { until } from "../system.ts";
import { openCallerLink } from "./callerlink.ts";

type Message = { title: string; bytes: Buffer };

const cutMilliseconds = 20;
const settleMilliseconds = 100;

const endings: Array<{ title: string; end: (socket: Socket, lastBytes: Buffer) => void }> = [
    { title: "ends", end: (socket, lastBytes) => void socket.end(lastBytes) },
    {
        title: "is reset",
        end: (socket, lastBytes) => {
            socket.write(lastBytes);
            socket.resetAndDestroy();
        },
    },
];

/** Sends all but the last bytes, and ends the connection with some of these. */
const sendCut = async (
    port: number,
    bytes: Buffer,
    end: (socket: Socket, lastBytes: Buffer) => void,
): Promise<void> => {
    const socket = connect(port, "127.0.0.1").on("error", () => undefined);
    const split = Math.max(0, bytes.length - 4);
    socket.resume().write(bytes.subarray(0, split));
    await sleep(cutMilliseconds);
    end(socket, bytes.subarray(split));
    await sleep(settleMilliseconds);
    socket.destroy();
};

const head = "POST /orders/a HTTP/1.1\r\nhost: x\r\n";
const requests: Message[] = [
    { title: "a head", bytes: Buffer.from("GET /orders/a HTTP/1.1\r\nhost: x\r\n\r\n") },
    { title: "a body with a length", bytes: Buffer.from(`${head}content-length: 8\r\n\r\n12345678`) },
    {
        title: "a body in chunks",
        bytes: Buffer.from(`${head}transfer-encoding: chunked\r\n\r\n8\r\n12345678\r\n0\r\n\r\n`),
    },
];

for (const { title, bytes } of requests) {
    for (const { title: ending, end } of endings) {
        test(`a request whose connection ${ending} in ${title} is not served`, async t => {
            const { link, served } = await openCallerLink({
                serve: () => Promise.resolve({ kind: "answer", statusCode: 200, headers: {}, body: undefined }),
            });
            t.teardown(link.close);
            const port = Number(link.address.split(":")[1]);
            for (let left = 1; left < Math.min(bytes.length, 24); left += 1) {
                await sendCut(port, bytes.subarray(0, bytes.length - left), end);
            }
            t.deepEqual(served, []);
        });
    }
}

const upgrade = [
    "GET /frames HTTP/1.1",
    "host: x",
    "connection: upgrade",
    "upgrade: websocket",
    "sec-websocket-version: 13",
    "sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==",
    "",
    "",
].join("\r\n");
/** A frame of WebSocket with the value; the mask is zero. Without `isFinal`, it is a part of a message. */
const frameOf = (value: unknown, isFinal = true): Buffer => {
    const payload = pack(value);
    return Buffer.concat([Buffer.from([isFinal ? 0x82 : 0x02, 0x80 + payload.length, 0, 0, 0, 0]), payload]);
};
const frames: Array<Message & { isWhole: boolean }> = [
    { title: "whole", bytes: frameOf(["a", 1]), isWhole: true },
    { title: "cut in its payload", bytes: frameOf(["a", 1]).subarray(0, -2), isWhole: false },
    { title: "cut in its head", bytes: frameOf(["a", 1]).subarray(0, 3), isWhole: false },
    { title: "without the rest of its message", bytes: frameOf(["a", 1], false), isWhole: false },
];

for (const { title, bytes, isWhole } of frames) {
    // Of a connection that is reset, what came before need not be read.
    for (const { title: ending, end } of isWhole ? endings.slice(0, 1) : endings) {
        test(`a frame of another host ${title}, whose connection ${ending}, is ${isWhole ? "taken" : "dropped"}`, async t => {
            const lifetime = new AbortController();
            t.teardown(() => lifetime.abort());
            const holder = createServer().listen(0, "127.0.0.1");
            await new Promise(resolve => holder.once("listening", resolve));
            const { port } = holder.address() as AddressInfo;
            await new Promise(resolve => holder.close(resolve));
            const taken: unknown[] = [];
            const service = () => ({ onFrame: (value: unknown) => taken.push(value) > 0, onClose: () => undefined });
            const options = { log: silentLog, metrics: createMetrics(), signal: lifetime.signal };
            await openPeerEndpoint(`127.0.0.1:${port}`, { "/frames": service }, options);
            await sendCut(port, Buffer.concat([Buffer.from(upgrade), bytes]), end);
            await until(() => taken.length > 0 || !isWhole);
            t.deepEqual(taken, isWhole ? [["a", 1]] : []);
        });
    }
}

const answers: Array<Message & { isAnswered: boolean }> = [
    { title: "in its head", bytes: Buffer.from("HTTP/1.1 200 OK\r\nhandover: a"), isAnswered: false },
    { title: "in a header's name", bytes: Buffer.from("HTTP/1.1 200 OK\r\nhandover: a\r\nx"), isAnswered: false },
    {
        title: "in a body with a length",
        bytes: Buffer.from("HTTP/1.1 200 OK\r\nhandover: a\r\ncontent-length: 9\r\n\r\n12345"),
        isAnswered: false,
    },
    {
        title: "in a body in chunks",
        bytes: Buffer.from("HTTP/1.1 200 OK\r\nhandover: a\r\ntransfer-encoding: chunked\r\n\r\n9\r\n12345"),
        isAnswered: false,
    },
    {
        title: "after a whole answer",
        bytes: Buffer.from("HTTP/1.1 200 OK\r\nhandover: a\r\ncontent-length: 5\r\n\r\n12345"),
        isAnswered: true,
    },
];

for (const { title, bytes, isAnswered } of answers) {
    for (const { title: ending, end } of endings) {
        test(`a call to a target whose connection ${ending} ${title} is ${isAnswered ? "answered" : "not answered"}`, async t => {
            const server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.once("data", () => {
                    socket.write(bytes.subarray(0, -4), () => setTimeout(() => end(socket, bytes.subarray(-4)), 20));
                });
            }).listen(0, "127.0.0.1");
            await new Promise(resolve => server.once("listening", resolve));
            const caller = createJsonCaller();
            t.teardown(() => {
                caller.close();
                server.close();
            });
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const result = await caller.post({ address, path: "/", headers: {}, body: {}, timeoutMilliseconds: 1_000 });
            t.is(result.answered, isAnswered);
            t.true(!result.answered || result.headers["handover"] === "a");
        });
    }
}
