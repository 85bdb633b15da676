/**
 * Which headers of requests and answers are passed on.
 */
import test from "ava";
import type { IncomingHttpHeaders } from "node:http";
import { answerHeadersToPass, requestHeadersToPass } from "../../src/links/headers.ts";

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
