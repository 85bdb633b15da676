import test from "ava";
import { type CallerRequest } from "../../src/links/callers.ts";
import type { AnswerStream } from "../../src/links/callers.ts";
import type { Attempt } from "../../src/machines/sender.ts";
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
        title: "a body that only the close ends",
        answer: (socket, id) => socket.end(`${headOf(id)}half`),
        verdict: "answer-malformed",
    },
    {
        title: "a length and chunks at once",
        answer: (socket, id) =>
            socket.write(`${headOf(id, "content-length: 5", "transfer-encoding: chunked")}0\r\n\r\n`),
        verdict: "connection-lost",
    },
    {
        title: "two lengths that differ",
        answer: (socket, id) => socket.write(`${headOf(id, "content-length: 5", "content-length: 4")}whole`),
        verdict: "connection-lost",
    },
    { title: "no HTTP", answer: socket => socket.write("garbage\r\n\r\n"), verdict: "answer-malformed" },
    { title: "a close before the answer", answer: socket => socket.destroy(), verdict: "connection-lost" },
    {
        title: "a close in the head",
        answer: socket => socket.end("HTTP/1.1 200 OK\r\nrequest-"),
        verdict: "connection-lost",
    },
    { title: "shed", answer: refusedWith("shed"), verdict: "target-shed" },
    { title: "no grant", answer: refusedWith("no-grant"), verdict: "fence-refused" },
    { title: "draining", answer: refusedWith("draining"), verdict: "target-draining" },
    { title: "a refusal that is not known", answer: refusedWith("tired"), verdict: "target-refused" },
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

const nextCases: Array<{ title: string; first: RawAnswer; connections: number }> = [
    { title: "a whole answer leaves the connection open", first: wholeAnswer, connections: 1 },
    {
        title: "a second answer ends it",
        first: (socket, id) => {
            const answer = `${headOf(id, "content-length: 5")}whole`;
            socket.write(answer + answer);
        },
        connections: 2,
    },
    {
        title: "a body longer than its length ends it",
        first: (socket, id) => socket.write(`${headOf(id, "content-length: 5")}whole and more`),
        connections: 2,
    },
    {
        title: "a mismatched answer ends it",
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

test("a header that can not be sent is the caller's fault", async t => {
    const target = await startRawTarget([wholeAnswer]);
    const exchange = openExchange(target.address);
    t.teardown(exchange.close);
    t.teardown(target.close);
    t.is(verdictOf(await exchange.send(requestOf({ path: "/a b" }))), "malformed-request unwritten");
    t.is(target.received(), 0);
});

test("an answer that comes after the hang-up reaches nobody, and its connection is not used again", async t => {
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

const streamed = (stream: AnswerStream): Promise<{ bytes: number; end: string; mostWaiting: number }> =>
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

const large = 4_000_000;
const streamCases: Array<{ title: string; sent: number; end: string }> = [
    { title: "a large answer is passed on as it comes", sent: large, end: "whole" },
    { title: "a large answer that breaks off is cut, not ended", sent: large - 1, end: "cut" },
];

for (const { title, sent, end } of streamCases) {
    test(title, async t => {
        const target = await startRawTarget([(socket, id) => {
            socket.write(headOf(id, `content-length: ${large}`));
            socket.write(Buffer.alloc(sent, "x"));
            if (sent < large) {
                socket.end();
            }
        }]);
        const exchange = openExchange(target.address);
        t.teardown(exchange.close);
        t.teardown(target.close);
        const attempt = await exchange.send(requestOf());
        t.is(verdictOf(attempt), "200 stream");
        const body = attempt.kind === "answered" ? attempt.answer.body as AnswerStream : undefined;
        const result = await streamed(body as AnswerStream);
        t.is(result.end, end);
        t.true(result.bytes <= sent && (end === "cut" || result.bytes === large));
        t.true(result.mostWaiting < 300_000);
    });
}
