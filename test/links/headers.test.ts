/**
 * Which headers of requests and answers are passed on.
 */
import test from "ava";
import type { IncomingHttpHeaders } from "node:http";
import { answerHeadersToPass, hasKnownEnd, requestHeadersToPass } from "../../src/links/headers.ts";

const cases: Array<{ title: string; headers: IncomingHttpHeaders; request: string[]; answer: string[] }> = [
    {
        title: "of the application",
        headers: { accept: "a", "x-own": "b" },
        request: ["accept", "x-own"],
        answer: ["accept", "x-own"],
    },
    {
        title: "that are hop-by-hop",
        headers: {
            connection: "keep-alive",
            "keep-alive": "timeout=5",
            te: "trailers",
            "transfer-encoding": "chunked",
        },
        request: [],
        answer: [],
    },
    {
        title: "that are named by the Connection header",
        headers: { connection: "close, X-Secret", "x-secret": "a", "x-own": "b" },
        request: ["x-own"],
        answer: ["x-own"],
    },
    {
        title: "of the product's protocols",
        headers: { authorization: "a", "carobpier-key": "b", "fence-revision": "9", "request-id": "c" },
        request: [],
        answer: ["authorization", "fence-revision"],
    },
    { title: "of the protocol of targets", headers: { "target-clock": "1" }, request: ["target-clock"], answer: [] },
    { title: "that are repeated", headers: { "set-cookie": ["a", "b"] }, request: [], answer: ["set-cookie"] },
    { title: "with an expectation", headers: { expect: "100-continue" }, request: [], answer: [] },
];

for (const { title, headers, request, answer } of cases) {
    test(`headers ${title}`, t => {
        t.deepEqual(requestHeadersToPass(headers).filter((...[, index]) => index % 2 === 0), request);
        t.deepEqual(Object.keys(answerHeadersToPass(headers)), answer);
    });
}

type EndCase = { title: string; method?: string; status?: number; headers: object; isKnown: boolean };

const ends: EndCase[] = [
    { title: "a length", headers: { "content-length": "5" }, isKnown: true },
    { title: "neither a length nor a coding", headers: {}, isKnown: false },
    { title: "chunks", headers: { "transfer-encoding": "chunked" }, isKnown: true },
    { title: "chunks in capitals", headers: { "transfer-encoding": "Chunked" }, isKnown: true },
    { title: "chunks of another coding", headers: { "transfer-encoding": "gzip, chunked" }, isKnown: true },
    { title: "chunks in a second line", headers: { "transfer-encoding": ["gzip", "chunked"] }, isKnown: true },
    { title: "another coding of chunks", headers: { "transfer-encoding": "chunked, gzip" }, isKnown: false },
    { title: "another coding in a second line", headers: { "transfer-encoding": ["chunked", "gzip"] }, isKnown: false },
    { title: "the coding identity", headers: { "transfer-encoding": "identity" }, isKnown: false },
    { title: "an empty coding", headers: { "transfer-encoding": "" }, isKnown: false },
    { title: "an empty last coding", headers: { "transfer-encoding": "chunked ," }, isKnown: false },
    { title: "a coding with a parameter", headers: { "transfer-encoding": "chunked;q=1" }, isKnown: false },
    {
        title: "a length that a coding overrides",
        headers: { "transfer-encoding": "identity", "content-length": "5" },
        isKnown: false,
    },
    { title: "no body, to HEAD", method: "HEAD", headers: {}, isKnown: true },
    { title: "no body, of status 204", status: 204, headers: {}, isKnown: true },
    { title: "no body, of status 304", status: 304, headers: { "transfer-encoding": "identity" }, isKnown: true },
];

for (const { title, method = "GET", status = 200, headers, isKnown } of ends) {
    test(`the end of an answer with ${title} is ${isKnown ? "known" : "that of its connection"}`, t => {
        t.is(hasKnownEnd(method, status, headers as IncomingHttpHeaders), isKnown);
    });
}
