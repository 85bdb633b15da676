/**
 * The link to callers on real sockets: how the end of an answer is written, and requests whose callers have hung up.
 */
import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerAnswer } from "../../src/links/callers.ts";
import { openCallerLink } from "./callerlink.ts";

const cases: Array<{ title: string; answer: CallerAnswer; contains: string[]; lacks: string[] }> = [
    {
        title: "an answer with a length keeps its length",
        answer: { kind: "answer", statusCode: 200, headers: { "content-length": "4" }, body: Buffer.from("body") },
        contains: ["content-length: 4", "body"],
        lacks: ["transfer-encoding"],
    },
    {
        title:
            "an answer that ends with its connection is written without a length and ends with the caller's connection",
        answer: { kind: "answer", statusCode: 200, headers: {}, body: Buffer.from("body"), endsWithConnection: true },
        contains: ["connection: close", "body"],
        lacks: ["transfer-encoding", "content-length"],
    },
];

for (const { title, answer, contains, lacks } of cases) {
    test(title, async t => {
        const { link } = await openCallerLink({ serve: () => Promise.resolve(answer) });
        const [host, port] = link.address.split(":");
        const received = await new Promise<string>(resolve => {
            const chunks: Buffer[] = [];
            const socket = connect(Number(port), host, () => {
                socket.write("GET /orders/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            });
            socket.on("data", chunk => chunks.push(chunk));
            socket.on("close", () => resolve(Buffer.concat(chunks).toString("latin1").toLowerCase()));
        });
        contains.forEach(text => t.true(received.includes(text), text));
        lacks.forEach(text => t.false(received.includes(text), text));
        await link.close();
    });
}

const abandonedRequests = [
    { title: "a request", request: "GET /orders/a HTTP/1.1\r\nhost: x\r\n\r\n" },
    { title: "a request with a body", request: "POST /orders/a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody" },
];

const blockEventLoop = (milliseconds: number): void => {
    const endAt = performance.now() + milliseconds;
    while (performance.now() < endAt) {
        // Nothing is read from sockets meanwhile.
    }
};

for (const { title, request } of abandonedRequests) {
    test(`${title} that a late host reads after its caller has hung up is not served`, async t => {
        const served: boolean[] = [];
        const { link } = await openCallerLink({
            serve: ({ hangUp }) => {
                served.push(!hangUp.happened);
                return Promise.resolve({ kind: "answer", statusCode: 200, headers: {}, body: undefined });
            },
        });
        t.teardown(link.close);
        const [host, port] = link.address.split(":");
        const socket = connect(Number(port), host);
        await once(socket, "connect");
        await sleep(20);
        socket.resume();
        socket.end(request);
        blockEventLoop(100);
        await once(socket, "close");
        t.false(served.includes(true));
    });
}

type Exception = { title: string; serve: () => Promise<CallerAnswer> };

const exceptions: Exception[] = [
    { title: "the handler throws", serve: () => Promise.reject(new Error("odd")) },
    {
        title: "a header of the answer cannot be written",
        serve: () =>
            Promise.resolve({ kind: "answer", statusCode: 200, headers: { odd: "a\u0001b" }, body: undefined }),
    },
];

/** Guards against requests that end without an answer and without a line in the log. */
for (const { title, serve } of exceptions) {
    test(`a request is answered and reported when ${title}`, async t => {
        const done: Array<string | undefined> = [];
        const { link } = await openCallerLink({ serve, onDone: (...[, , reason]) => done.push(reason) });
        t.teardown(link.close);
        const [host, port] = link.address.split(":");
        const socket = connect(Number(port), host);
        socket.write("GET /orders/a HTTP/1.1\r\nhost: x\r\n\r\n");
        const received: Buffer[] = [];
        socket.on("data", (chunk: Buffer) => received.push(chunk));
        await once(socket, "close");
        t.regex(Buffer.concat(received).toString(), /^HTTP\/1.1 502 /);
        t.deepEqual(done, ["host-failed"]);
        t.is(link.inFlight(), 0);
    });
}

/** Guards against a planned stop that takes an answer for sent while a slow caller still reads it, and cuts it off. */
test("a request is in flight until its answer has been handed to the operating system", async t => {
    const body = Buffer.alloc(33_554_432, "x");
    const answer: CallerAnswer = { kind: "answer", statusCode: 200, headers: {}, body };
    const { link } = await openCallerLink({ serve: () => Promise.resolve(answer) });
    t.teardown(link.close);
    const [host, port] = link.address.split(":");
    const socket = connect(Number(port), host).pause();
    const closed = once(socket, "close");
    socket.write("GET /orders/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    await sleep(300);
    t.is(link.inFlight(), 1);
    let bytes = 0;
    socket.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
    });
    socket.resume();
    while (link.inFlight() > 0) {
        await sleep(5);
    }
    await link.close();
    await closed;
    t.true(bytes >= body.length);
});
