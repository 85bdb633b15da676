import test from "ava";
import { type CallerRequest } from "../../src/links/callers.ts";
import type { AnswerStream } from "../../src/links/callers.ts";
import { systemClock } from "../../src/links/clock.ts";
import type { Attempt } from "../../src/machines/sender.ts";
import { framings, malformedStatuses, unaskedStatus } from "../answerstatuses.ts";
import { headOf, openExchange, type RawAnswer, requestOf, startRawTarget, wholeAnswer } from "../rawtarget.ts";

const verdictOf = (attempt: Attempt): string => {
    if (attempt.kind === "failed") {
        return `${attempt.reason}${attempt.written ? "" : " unwritten"}`;
    }
    const { body, statusCode } = attempt.answer;
    const text = body === undefined || Buffer.isBuffer(body) ? String(body ?? "") : "stream";
    return `${statusCode} ${text}`;
};

const refusedWith = (refusal: string): RawAnswer => (socket, id) => {
    const lines = ["target-refusal: " + refusal, "target-back-off: 40", "content-length: 0"];
    socket.write(headOf(id, ...lines).replace("outcome: ran", "outcome: not-run"));
};

const cases: Array<{ title: string; answer: RawAnswer; verdict: string; request?: Partial<CallerRequest> }> = [
    { title: "a whole answer", answer: wholeAnswer, verdict: "200 whole" },
    {
        title: "a whole answer in chunks",
        answer: (socket, id) =>
            socket.write(`${headOf(id, "transfer-encoding: chunked")}2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n`),
        verdict: "200 whole",
    },
    {
        title: "no content",
        answer: (socket, id) => socket.write(headOf(id).replace("200 OK", "204 No Content")),
        verdict: "204 ",
    },
    {
        title: "an answer to HEAD has a length and no body",
        answer: (socket, id) => socket.write(headOf(id, "content-length: 500")),
        verdict: "200 ",
        request: { method: "HEAD" },
    },
    {
        title: "an early hint before the answer",
        answer: (socket, id) =>
            socket.write(`HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${headOf(id, "content-length: 2")}ok`),
        verdict: "200 ok",
    },
    {
        title: "interim answers without end",
        answer: socket => socket.write("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100)),
        verdict: "answer-malformed",
    },
    {
        title: "the id of another request",
        answer: socket => socket.write(`${headOf("request-other", "content-length: 5")}wrong`),
        verdict: "answer-mismatched",
    },
    {
        title: "no id",
        answer: socket => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"),
        verdict: "answer-mismatched",
    },
    {
        title: "a body shorter than its length",
        answer: (socket, id) => socket.end(`${headOf(id, "content-length: 50")}half`),
        verdict: "answer-cut-short",
    },
    {
        title: "chunks without their end",
        answer: (socket, id) => socket.end(`${headOf(id, "transfer-encoding: chunked")}2\r\nwh\r\n`),
        verdict: "answer-cut-short",
    },
    {
        title: "a body that only the end of the connection delimits",
        answer: (socket, id) => socket.end(`${headOf(id)}half`),
        verdict: "answer-malformed",
    },
    {
        title: "a length and chunks at once",
        answer: (socket, id) =>
            socket.write(`${headOf(id, "content-length: 5", "transfer-encoding: chunked")}0\r\n\r\n`),
        verdict: "answer-malformed",
    },
    {
        title: "two lengths that differ",
        answer: (socket, id) => socket.write(`${headOf(id, "content-length: 5", "content-length: 4")}whole`),
        verdict: "answer-malformed",
    },
    {
        title: "bytes that are not HTTP",
        answer: socket => socket.write("garbage\r\n\r\n"),
        verdict: "answer-malformed",
    },
    { title: "a connection closed before the answer", answer: socket => socket.destroy(), verdict: "connection-lost" },
    {
        title: "a connection closed within the head",
        answer: socket => socket.end("HTTP/1.1 200 OK\r\nrequest-"),
        verdict: "connection-lost",
    },
    {
        title: "a connection closed within the head, after a length",
        answer: socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 5\r\nrequest-"),
        verdict: "connection-lost",
    },
    {
        title: "a connection reset within the head, after a length",
        answer: socket => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n", () => socket.resetAndDestroy()),
        verdict: "connection-lost",
    },
    {
        title: "a connection closed within the head after an interim answer",
        answer: socket => socket.end("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n"),
        verdict: "connection-lost",
    },
    {
        title: "a body shorter than its length on a connection that is to be closed",
        answer: (socket, id) => socket.end(`${headOf(id, "connection: close", "content-length: 50")}half`),
        verdict: "answer-cut-short",
    },
    { title: "shed", answer: refusedWith("shed"), verdict: "target-shed" },
    { title: "no grant", answer: refusedWith("no-grant"), verdict: "fence-refused" },
    { title: "draining", answer: refusedWith("draining"), verdict: "target-draining" },
    { title: "an unknown refusal", answer: refusedWith("tired"), verdict: "target-refused" },
];

for (const { title, answer, verdict, request } of cases) {
    test(`answer: ${title}`, async t => {
        const target = await startRawTarget([answer]);
        const exchange = openExchange(target.address);
        t.teardown(exchange.close);
        t.teardown(target.close);
        const attempt = await exchange.send(requestOf(request));
        t.is(verdictOf(attempt).replace(/ unwritten$/, ""), verdict);
        t.is(target.received(), 1);
        await exchange.close();
        t.is(exchange.view.outstanding, 0);
        t.is(exchange.samples.length, 1);
    });
}

for (const status of [...malformedStatuses, unaskedStatus]) {
    test.serial(`answer: the status "${status}" is none, whatever the method and the framing`, async t => {
        for (const method of ["GET", "POST", "HEAD"]) {
            for (const { title, header, body } of framings) {
                const answer: RawAnswer = (socket, id) =>
                    socket.write(
                        headOf(id).replace("200 OK", `${status} X`).replace(/\r\n$/, `${header}\r\n`)
                            + (method === "HEAD" ? "" : body),
                    );
                const target = await startRawTarget([answer, wholeAnswer]);
                const exchange = openExchange(target.address);
                t.teardown(target.close);
                t.teardown(exchange.close);
                const attempt = await exchange.send(requestOf({ method, deadlineAt: systemClock.now() + 3_000 }));
                t.is(verdictOf(attempt), "answer-malformed", `${method} ${title}`);
                t.is(verdictOf(await exchange.send(requestOf())), "200 whole");
                t.is(target.used(), 2, "the connection is not used again");
                await exchange.close();
            }
        }
    });
}

const nextCases: Array<{ title: string; first: RawAnswer; connections: number }> = [
    { title: "a whole answer leaves the connection open", first: wholeAnswer, connections: 1 },
    {
        title: "a second answer closes the connection",
        first: (socket, id) => {
            const answer = `${headOf(id, "content-length: 5")}whole`;
            socket.write(answer + answer);
        },
        connections: 2,
    },
    {
        title: "a body longer than its length closes the connection",
        first: (socket, id) => socket.write(`${headOf(id, "content-length: 5")}whole and more`),
        connections: 2,
    },
    {
        title: "a mismatched answer closes the connection",
        first: socket => socket.write(`${headOf("request-other", "content-length: 5")}wrong`),
        connections: 2,
    },
];

for (const { title, first, connections } of nextCases) {
    test(`next request: ${title}`, async t => {
        const target = await startRawTarget([first, wholeAnswer]);
        const exchange = openExchange(target.address);
        t.teardown(exchange.close);
        t.teardown(target.close);
        await exchange.send(requestOf());
        await new Promise(resolve => setImmediate(resolve));
        t.is(verdictOf(await exchange.send(requestOf())), "200 whole");
        t.is(target.used(), connections);
    });
}

test("a target that refuses connections has received nothing", async t => {
    const target = await startRawTarget([wholeAnswer]);
    await target.close();
    const exchange = openExchange(target.address);
    t.teardown(exchange.close);
    t.teardown(target.close);
    t.is(verdictOf(await exchange.send(requestOf())), "connect-failed unwritten");
});

test("a request that cannot be written as HTTP is refused as malformed and not sent", async t => {
    const target = await startRawTarget([wholeAnswer]);
    const exchange = openExchange(target.address);
    t.teardown(exchange.close);
    t.teardown(target.close);
    t.is(verdictOf(await exchange.send(requestOf({ path: "/a b" }))), "malformed-request unwritten");
    t.is(target.received(), 0);
});

test("an answer that arrives after the caller hung up is dropped, and its connection is not used again", async t => {
    const request = requestOf();
    let answerLate: () => void = () => undefined;
    const target = await startRawTarget([
        (socket, id) => {
            answerLate = () => wholeAnswer(socket, id, "");
            request.hangUp.happened = true;
            request.hangUp.listener?.();
        },
        wholeAnswer,
    ]);
    const exchange = openExchange(target.address);
    t.teardown(exchange.close);
    t.teardown(target.close);
    t.is(verdictOf(await exchange.send(request)), "caller-gone");
    answerLate();
    t.is(verdictOf(await exchange.send(requestOf())), "200 whole");
    t.is(target.used(), 2);
});

/** Reads a stream, pausing it after every part. `mostWaiting` is the most bytes that arrived during one pause. */
const readStream = (stream: AnswerStream): Promise<{ bytes: number; end: string; mostWaiting: number }> =>
    new Promise(resolve => {
        let bytes = 0;
        let paused = false;
        let duringPause = 0;
        let mostWaiting = 0;
        const result = (end: string) => resolve({ bytes, end, mostWaiting });
        stream.start({
            onBytes: part => {
                bytes += part.length;
                duringPause += paused ? part.length : 0;
                mostWaiting = Math.max(mostWaiting, duringPause);
                if (!paused) {
                    paused = true;
                    setImmediate(() => {
                        paused = false;
                        duringPause = 0;
                        stream.resume();
                    });
                }
                return false;
            },
            onEnd: () => result("whole"),
            onFailure: () => result("cut"),
        });
    });

const largeBytes = 4_000_000;
const streamCases: Array<{ title: string; sent: number; end: string }> = [
    { title: "a large answer is passed on while it arrives", sent: largeBytes, end: "whole" },
    { title: "a large answer that breaks off is reported as cut, not as complete", sent: largeBytes - 1, end: "cut" },
];

for (const { title, sent, end } of streamCases) {
    test(title, async t => {
        const target = await startRawTarget([(socket, id) => {
            socket.write(headOf(id, `content-length: ${largeBytes}`));
            socket.write(Buffer.alloc(sent, "x"));
            if (sent < largeBytes) {
                socket.end();
            }
        }]);
        const exchange = openExchange(target.address);
        t.teardown(exchange.close);
        t.teardown(target.close);
        const attempt = await exchange.send(requestOf());
        t.is(verdictOf(attempt), "200 stream");
        const body = attempt.kind === "answered" ? attempt.answer.body as AnswerStream : undefined;
        const result = await readStream(body as AnswerStream);
        t.is(result.end, end);
        t.true(result.bytes <= sent && (end === "cut" || result.bytes === largeBytes));
        t.true(result.mostWaiting < 300_000);
    });
}
