/**
 * Input of callers: tables of request heads, and random bytes on real sockets. Whatever arrives, the link answers with
 * a refusal or closes the connection, serves no request whose bytes are ambiguous, and serves the next valid request.
 */
import test from "ava";
import fc from "fast-check";
import { connect } from "node:net";
import { splitUrl } from "../../src/links/callerhead.ts";
import { openCallerLink } from "./callerlink.ts";

const urls: Array<{ url: string; place: { pool: string; path: string } | undefined }> = [
    { url: "/orders", place: { pool: "orders", path: "/" } },
    { url: "/orders/a/b", place: { pool: "orders", path: "/a/b" } },
    { url: "/orders?x=/y", place: { pool: "orders", path: "/?x=/y" } },
    { url: "/orders/a?x=../y", place: { pool: "orders", path: "/a?x=../y" } },
    { url: "/orders/a..b", place: { pool: "orders", path: "/a..b" } },
    { url: "http://other/orders/a", place: undefined },
    { url: "*", place: undefined },
    { url: "/orders/../stock", place: undefined },
    { url: "/orders/%2E%2e/stock", place: undefined },
    { url: "/orders/a%2f..%2Fb", place: undefined },
    { url: "/orders/..\\b", place: undefined },
    { url: "/orders/.", place: undefined },
    { url: "/orders/a#b", place: undefined },
];

for (const { url, place } of urls) {
    test(`url ${url}`, t => {
        t.deepEqual(splitUrl(url), place);
    });
}

const openLink = () =>
    openCallerLink({
        callers: { maxBodyBytes: 64, maxHeadBytes: 2_048 },
        serve: () => Promise.resolve({ kind: "answer", statusCode: 200, headers: {}, body: Buffer.from("served") }),
    });

/** The client and the link share an event loop; an answer would arrive within this many of its turns. */
const turnsForAnswer = 50;

/** Sends bytes on a new connection, ends it when no more answers arrive, and returns everything that was received. */
const exchange = (address: string, bytes: Uint8Array | string): Promise<string> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const chunks: Buffer[] = [];
        let quietTurns = 0;
        const endWhenQuiet = (): void => {
            quietTurns += 1;
            if (quietTurns > turnsForAnswer) {
                socket.end();
                return;
            }
            setImmediate(endWhenQuiet);
        };
        const socket = connect(Number(port), host, () => {
            socket.write(bytes);
            endWhenQuiet();
        });
        socket.on("data", chunk => {
            chunks.push(chunk);
            quietTurns = 0;
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(Buffer.concat(chunks).toString("latin1")));
    });

const get = (...lines: string[]): string => ["GET /orders/a HTTP/1.1", "host: x", ...lines, "", ""].join("\r\n");
const post = (...lines: string[]): string => ["POST /orders HTTP/1.1", "host: x", ...lines].join("\r\n");

const inputs: Array<{ title: string; bytes: string; statuses: number[]; served: number }> = [
    { title: "a request", bytes: get(), statuses: [200], served: 1 },
    { title: "two pipelined requests", bytes: get() + get(), statuses: [200, 200], served: 2 },
    { title: "a repeated key", bytes: get("carobpier-key: a", "carobpier-key: b"), statuses: [400], served: 0 },
    { title: "a key with a comma", bytes: get("carobpier-key: a, b"), statuses: [200], served: 1 },
    {
        title: "a repeated idempotency key",
        bytes: get("idempotency-key: a", "idempotency-key: b"),
        statuses: [400],
        served: 0,
    },
    {
        title: "an idempotency key that is too long",
        bytes: get(`idempotency-key: ${"a".repeat(257)}`),
        statuses: [400],
        served: 0,
    },
    { title: "a deadline that is not a number", bytes: get("carobpier-deadline: soon"), statuses: [400], served: 0 },
    { title: "a negative deadline", bytes: get("carobpier-deadline: -5"), statuses: [400], served: 0 },
    {
        title: "an attempt that is not a decimal number",
        bytes: get("carobpier-attempt: 0x1"),
        statuses: [400],
        served: 0,
    },
    { title: "HTTP/1.0", bytes: get().replace("HTTP/1.1", "HTTP/1.0"), statuses: [400], served: 0 },
    {
        title: "a content length and chunked encoding",
        bytes: post("content-length: 5", "transfer-encoding: chunked", "", "0\r\n\r\n"),
        statuses: [400],
        served: 0,
    },
    {
        title: "two content lengths",
        bytes: post("content-length: 5", "content-length: 6", "", "12345"),
        statuses: [400],
        served: 0,
    },
    {
        title: "a content length that is not a number",
        bytes: post("content-length: +5", "", "12345"),
        statuses: [400],
        served: 0,
    },
    {
        title: "an unknown transfer encoding",
        bytes: post("transfer-encoding: xchunked", "", ""),
        statuses: [400],
        served: 0,
    },
    { title: "a bare line feed in the head", bytes: get("a: b\nc: d"), statuses: [400], served: 0 },
    { title: "a space before the colon", bytes: get("carobpier-key : a"), statuses: [400], served: 0 },
    {
        title: "a body that is too large",
        bytes: post("content-length: 65", "", "a".repeat(65)),
        statuses: [413],
        served: 0,
    },
    {
        title: "a chunked body that is too large",
        bytes: post("transfer-encoding: chunked", "", `41\r\n${"a".repeat(65)}\r\n0\r\n\r\n`),
        statuses: [413],
        served: 0,
    },
    { title: "a head that is too large", bytes: get(`a: ${"b".repeat(4_096)}`), statuses: [431], served: 0 },
    { title: "an unsupported expectation", bytes: get("expect: miracles"), statuses: [400], served: 0 },
    { title: "a body that stays incomplete", bytes: post("content-length: 5", "", "123"), statuses: [], served: 0 },
];

for (const { title, bytes, statuses, served } of inputs) {
    test(`input: ${title}`, async t => {
        const opened = await openLink();
        t.teardown(opened.link.close);
        const answer = await exchange(opened.link.address, bytes);
        const found = [...answer.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, code]) => Number(code));
        t.deepEqual(found.filter(code => code !== 400 || statuses.length > 0), statuses);
        t.is(opened.served.length, served);
        t.is(/carobpier-outcome: (not-run|answered)/i.test(answer), answer !== "");
    });
}

const fragment = fc.constantFrom(
    "GET /orders/a HTTP/1.1\r\n",
    "POST /orders HTTP/1.1\r\n",
    "host: x\r\n",
    "content-length: 3\r\n",
    "transfer-encoding: chunked\r\n",
    "carobpier-key: k\r\n",
    "connection: carobpier-key\r\n",
    "\r\n",
    "3\r\nabc\r\n",
    "0\r\n\r\n",
    "\0",
    "abc",
);

test("random input never stops the link, and only valid requests are served", async t => {
    const opened = await openLink();
    t.teardown(opened.link.close);
    await fc.assert(
        fc.asyncProperty(fc.array(fragment, { maxLength: 12 }), async chunks => {
            const before = opened.served.length;
            const answer = await exchange(opened.link.address, chunks.join(""));
            const answered = answer.split("HTTP/1.1 200").length - 1;
            return answered === opened.served.length - before;
        }),
        { seed: 11, numRuns: 200 },
    );
    await fc.assert(
        fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), async bytes => {
            await exchange(opened.link.address, bytes);
        }),
        { seed: 12, numRuns: 100 },
    );
    t.regex(await exchange(opened.link.address, get()), /^HTTP\/1\.1 200/);
});
