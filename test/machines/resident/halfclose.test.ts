/**
 * Callers that close their sending half while their request runs: what may be cancelled is cancelled within half a
 * second, as for a caller that has left, and an answer that is made all the same is written whole.
 */
import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { startHost } from "./lonehost.ts";

const workMilliseconds = 800;
const closeMilliseconds = 100;
const cancelMilliseconds = 500;
/** Above the size up to which answers are held in memory until they are whole. */
const streamedBytes = 4_194_304;

type Case = {
    title: string;
    kind: "safe" | "unsafe";
    bytes: number;
    /** Whether the head and half of the body come before the work. */
    isStreamed: boolean;
    status: number;
    isWhole: boolean;
};
const cases: Case[] = [
    { title: "a safe request", kind: "safe", bytes: 9, isStreamed: false, status: 499, isWhole: false },
    {
        title: "a safe streamed answer",
        kind: "safe",
        bytes: streamedBytes,
        isStreamed: true,
        status: 200,
        isWhole: false,
    },
    { title: "an unsafe request", kind: "unsafe", bytes: 9, isStreamed: false, status: 200, isWhole: true },
    {
        title: "an unsafe streamed answer",
        kind: "unsafe",
        bytes: streamedBytes,
        isStreamed: true,
        status: 200,
        isWhole: true,
    },
];

for (const { title, kind, bytes, isStreamed, status, isWhole } of cases) {
    test(`a caller closes its sending half: ${title} is ${isWhole ? "answered whole" : "cancelled"}`, async t => {
        let brokenOffAt: number | undefined;
        const target = createServer((incoming, response) => {
            const half = bytes - (isStreamed ? bytes / 2 : 0);
            const headers = { "request-id": String(incoming.headers["request-id"]), "content-length": bytes };
            response.once("close", () => {
                brokenOffAt = response.writableFinished ? undefined : performance.now();
            });
            if (isStreamed) {
                response.writeHead(200, headers).write("x".repeat(half));
            }
            setTimeout(
                () => (isStreamed ? response : response.writeHead(200, headers)).end("x".repeat(half)),
                workMilliseconds,
            );
        });
        target.listen(0, "127.0.0.1");
        await once(target, "listening");
        const addresses = [`127.0.0.1:${(target.address() as AddressInfo).port}`];
        const { link, close } = await startHost({ addresses, kind, timeoutMilliseconds: 5_000 });
        t.teardown(async () => {
            await close();
            target.closeAllConnections();
            target.close();
        });
        const [host, port] = link.address.split(":");
        const socket = connect({ host, port: Number(port), allowHalfOpen: true }).on("error", () => undefined);
        let received = "";
        socket.on("data", part => {
            received += String(part);
        });
        const arrival = once(target, "request");
        socket.write("GET /a HTTP/1.1\r\nhost: orders.example\r\nrequest-id: h-1\r\nrequest-deadline: 4000\r\n\r\n");
        await arrival;
        while (isStreamed && received === "") {
            await sleep(5);
        }
        await sleep(closeMilliseconds);
        const closedAt = performance.now();
        socket.end();
        await once(socket, "close");
        t.is(Number(received.slice(9, 12)), status);
        t.is(received.split("\r\n\r\n")[1].length === bytes, isWhole);
        t.is(brokenOffAt !== undefined, !isWhole);
        t.true((brokenOffAt ?? closedAt) - closedAt < cancelMilliseconds);
    });
}
