/**
 * Exchanges in which the target closes or resets the connection: a truncated answer is never reported as whole.
 */
import test from "ava";
import { createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createExchangeLink } from "../../src/links/exchange.ts";

type End = "whole" | "failed";

const head = "HTTP/1.1 200 OK\r\nrequest-id: 1\r\n";
const reset = async (socket: Socket): Promise<void> => {
    await sleep(30);
    socket.resetAndDestroy();
};
const end = (socket: Socket): void => {
    socket.end();
};

const cases: Array<{ title: string; bytes: string; then: (socket: Socket) => unknown; expected: End }> = [
    {
        title: "no length, ended by the close of the connection",
        bytes: `${head}\r\nbody`,
        then: end,
        expected: "whole",
    },
    { title: "no length, reset", bytes: `${head}\r\nbody`, then: reset, expected: "failed" },
    {
        title: "chunks with connection close, reset midway",
        bytes: `${head}connection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n`,
        then: reset,
        expected: "failed",
    },
    {
        title: "chunks with connection close, ended midway",
        bytes: `${head}connection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n`,
        then: end,
        expected: "failed",
    },
    {
        title: "chunks with connection close, whole",
        bytes: `${head}connection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n`,
        then: end,
        expected: "whole",
    },
    {
        title: "a length with connection close, ended midway",
        bytes: `${head}connection: close\r\ncontent-length: 9\r\n\r\nbody`,
        then: end,
        expected: "failed",
    },
    {
        title: "a length with connection close, reset midway",
        bytes: `${head}connection: close\r\ncontent-length: 9\r\n\r\nbody`,
        then: reset,
        expected: "failed",
    },
    { title: "a length, ended early", bytes: `${head}content-length: 9\r\n\r\nbody`, then: end, expected: "failed" },
    ...[204, 304].map(status => ({
        title: `the status ${status}, which has no body, and a length`,
        bytes: `HTTP/1.1 ${status} X\r\nrequest-id: 1\r\ncontent-length: 9\r\n\r\n`,
        then: () => undefined,
        expected: "whole" as const,
    })),
];

for (const { title, bytes, then, expected } of cases) {
    test(`an answer with ${title} is ${expected}`, async t => {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => socket.write(bytes, () => void then(socket)));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as { port: number };
        const link = createExchangeLink({
            address: `127.0.0.1:${port}`,
            connections: () => 1,
            keptConnections: () => 1,
            connectMilliseconds: 500,
        });
        const outcome = await new Promise<End>(resolve => {
            link.send({ method: "GET", path: "/", headers: [], body: undefined }, {
                mayStart: () => true,
                onHead: () => undefined,
                onBytes: () => true,
                onEnd: () => resolve("whole"),
                onFailure: () => resolve("failed"),
            });
        });
        t.is(outcome, expected);
        link.close();
        server.close();
    });
}

test("a request that is aborted before its answer leaves no connection behind", async t => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.resume();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number };
    const link = createExchangeLink({
        address: `127.0.0.1:${port}`,
        connections: () => 2,
        keptConnections: () => 2,
        connectMilliseconds: 500,
    });
    t.teardown(() => {
        link.close();
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    await new Promise<void>(resolve => {
        const exchange = link.send({ method: "GET", path: "/", headers: [], body: undefined }, {
            mayStart: () => {
                setTimeout(() => exchange.abort(), 50);
                return true;
            },
            onHead: () => undefined,
            onBytes: () => true,
            onEnd: () => undefined,
            onFailure: () => resolve(),
        });
    });
    await sleep(100);
    t.deepEqual(sockets.map(socket => socket.closed || socket.readableEnded), [true]);
});
