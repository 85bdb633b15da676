/**
 * Large answers that have no length and end with the target's connection. Guards against a part of one that looks whole,
 * since the target crashed or this host was killed.
 */
import test from "ava";
import type { Socket } from "node:net";
import { createLog } from "../../../src/links/logs.ts";
import { readRawAnswer } from "../../connections.ts";
import { headOf, idOf, startTextServer } from "../../rawtarget.ts";
import { startHost } from "./lonehost.ts";

const bodyBytes = 2_097_152;
const body = Buffer.alloc(bodyBytes, "x");

type HealthAnswer = (socket: Socket) => void;

const answersAs = (id: string, statusLine = "200 OK"): HealthAnswer => socket =>
    socket.write(`HTTP/1.1 ${statusLine}\r\ninstance-id: ${id}\r\ncontent-length: 0\r\n\r\n`);

/** Starts a target that sends the body without a length; undefined for one that is gone when it has ended it. */
const startTarget = async (answerHealth: HealthAnswer | undefined) => {
    let healthCalls = 0;
    const server = await startTextServer((socket, text) => {
        if (text.startsWith("GET /health ")) {
            healthCalls += 1;
            answerHealth?.(socket);
            return;
        }
        socket.write(headOf(idOf(text) ?? "", "response-signature: s"));
        if (answerHealth === undefined) {
            server.stopListening();
        }
        socket.end(body);
    });
    return { address: server.address, healthCalls: () => healthCalls, close: server.close };
};

type Case = { title: string; answerHealth: HealthAnswer | undefined; isWhole: boolean };

const cases: Case[] = [
    { title: "a target that still runs", answerHealth: answersAs("i-1"), isWhole: true },
    {
        title: "a target that still runs, and is full",
        answerHealth: answersAs("i-1", "503 Service Unavailable"),
        isWhole: true,
    },
    { title: "a target that has ended", answerHealth: undefined, isWhole: false },
    { title: "a target that is silent", answerHealth: () => undefined, isWhole: false },
    { title: "an address that has another target", answerHealth: answersAs("i-2"), isWhole: false },
    {
        title: "an address that has a target which names itself not",
        answerHealth: socket => socket.write("HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n"),
        isWhole: false,
    },
];

for (const { title, answerHealth, isWhole } of cases) {
    for (const version of ["1.1", "1.0"]) {
        // One after the other: a host asks the target for 300 ms whether it still runs, and all run in this process.
        test.serial(`a large answer without a length of ${title}, to a caller of HTTP/${version}, ${isWhole ? "is whole" : "breaks off"}`, async t => {
            const target = await startTarget(answerHealth);
            let logged = "";
            const write = (line: string): void => {
                logged += line;
            };
            const host = await startHost({
                addresses: [target.address],
                timeoutMilliseconds: 3_000,
                healthPath: "/health",
                log: createLog({ level: "info", write }),
            });
            t.teardown(target.close);
            t.teardown(host.close);
            const request = `GET /a HTTP/${version}\r\nhost: orders.example\r\nrequest-id: r1\r\n\r\n`;
            const port = Number(host.link.address.split(":")[1]);
            const { head, body: received, hasLastChunk, end } = await readRawAnswer(port, request);
            t.regex(head, /^http\/1.1 200 /);
            const isChunked = version === "1.1";
            t.is(head.includes("transfer-encoding: chunked"), isChunked);
            t.is(hasLastChunk, isChunked && isWhole);
            t.false(head.includes("content-length"));
            if (isWhole) {
                t.is(received.length, bodyBytes);
                t.is(end, "ended");
            }
            else if (!isChunked) {
                t.is(end, "reset");
            }
            const told = `request=r1 pool=orders target=i-1 status=200 bytes=${bodyBytes} coding=none streamed=true`;
            t.true(logged.includes(`${told} ending=closed confirmedBy=${isWhole ? "target" : "nothing"}`), logged);
            t.is(target.healthCalls(), answerHealth === undefined ? 0 : 1);
        });
    }
}
