/**
 * Answers that are another request's, that break off in their head, or that do not come: what the resident host makes of
 * them for its callers, on real connections.
 */
import test from "ava";
import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { connectStrictly } from "../../connections.ts";
import { headOf, type RawAnswer, startRawTarget } from "../../rawtarget.ts";
import { startHost } from "./lonehost.ts";

type Answer = { statusCode: number | undefined; id: unknown; body: string; milliseconds: number };

/** Sends a request; a connection that breaks off gives a body that ends with `broken`. */
const ask = (address: string, id: string): Promise<Answer> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const startedAt = performance.now();
        const headers = { host: "orders.example", "request-id": id };
        const createConnection = (): Socket => connectStrictly(Number(port), host);
        const outgoing = httpRequest({ path: "/a", headers, createConnection }, response => {
            let body = "";
            const finish = (): void =>
                resolve({
                    statusCode: response.statusCode,
                    id: response.headers["request-id"],
                    body,
                    milliseconds: performance.now() - startedAt,
                });
            response.on("data", bytes => {
                body += String(bytes);
            });
            response.once("end", finish);
            response.once("error", () => {
                body += "broken";
                finish();
            });
        });
        outgoing.on("error", () =>
            resolve({
                statusCode: undefined,
                id: undefined,
                body: "broken",
                milliseconds: performance.now() - startedAt,
            }));
        outgoing.end();
    });

const timeoutMilliseconds = 800;
const answerOf = (id: string): string => `${headOf(id, "content-length: 2")}${id}`;

const copies: Array<{ title: string; answers: RawAnswer[] }> = [
    {
        title: "with the first one",
        answers: [
            (socket, id) => socket.write(answerOf(id) + answerOf(id)),
            (socket, id) => socket.write(answerOf(id)),
        ],
    },
    {
        title: "while the connection is idle",
        answers: [
            (socket, id) => {
                socket.write(answerOf(id));
                setTimeout(() => socket.write(answerOf(id)), 60);
            },
            (socket, id) => socket.write(answerOf(id)),
        ],
    },
    {
        title: "where the next answer is due",
        answers: [
            (socket, id) => socket.write(answerOf(id)),
            (socket, id) => socket.write(answerOf("r1") + answerOf(id)),
            (socket, id) => socket.write(answerOf(id)),
        ],
    },
];

for (const kind of ["safe", "unsafe"] as const) {
    for (const { title, answers } of copies) {
        test(`a second copy of an answer that comes ${title} reaches no other caller of a ${kind} route`, async t => {
            const target = await startRawTarget(answers);
            const host = await startHost({
                addresses: [target.address],
                kind,
                timeoutMilliseconds,
                maxAttempts: 2,
            });
            t.teardown(target.close);
            t.teardown(host.close);
            t.like(await ask(host.link.address, "r1"), { statusCode: 200, id: "r1", body: "r1" });
            await sleep(150);
            for (const id of ["r2", "r3", "r4"]) {
                const answer = await ask(host.link.address, id);
                t.is(answer.id, id);
                t.true(answer.statusCode === 200 ? answer.body === id : answer.statusCode === 502, answer.body);
            }
            t.true(target.received() <= 5, "one send for each request, and one more for a safe one at most");
        });
    }
}

const heads = [
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nrequest-id: r1",
    "HTTP/1.1 200 OK\r\nrequest-id: r1\r\ncontent-length: 5\r\n",
    "HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-signature: s\r\n\r",
];

for (const head of heads) {
    for (const ending of ["end", "resetAndDestroy"] as const) {
        test(`an answer that breaks off in its head after ${JSON.stringify(head)} by ${ending} is no success`, async t => {
            const target = await startRawTarget([(socket, id) => {
                socket.write(head.replace("r1", id), () => setTimeout(() => socket[ending](), 20));
            }]);
            const host = await startHost({ addresses: [target.address], kind: "unsafe", timeoutMilliseconds });
            t.teardown(target.close);
            t.teardown(host.close);
            const answer = await ask(host.link.address, "r1");
            t.is(answer.statusCode, 502);
            t.is(target.received(), 1);
        });
    }
}

test("a request that may run once is started nowhere else when its target is silent, and given up at the route's time-out", async t => {
    const silent = await startRawTarget([() => undefined]);
    const other = await startRawTarget([() => undefined]);
    const host = await startHost({
        addresses: [silent.address, other.address],
        kind: "unsafe",
        timeoutMilliseconds,
        maxAttempts: 3,
    });
    t.teardown(silent.close);
    t.teardown(other.close);
    t.teardown(host.close);
    const answer = await ask(host.link.address, "r1");
    t.is(answer.statusCode, 504);
    t.true(answer.milliseconds >= timeoutMilliseconds - 20);
    t.is(silent.received() + other.received(), 1);
});

test("the answer of a slow target is delivered up to the route's time-out", async t => {
    const slow = { timeoutMilliseconds: 2_500, answerMilliseconds: 1_800 };
    const target = await startRawTarget([(socket, id) => {
        setTimeout(() => socket.write(answerOf(id)), slow.answerMilliseconds);
    }]);
    const host = await startHost({
        addresses: [target.address],
        kind: "unsafe",
        timeoutMilliseconds: slow.timeoutMilliseconds,
    });
    t.teardown(target.close);
    t.teardown(host.close);
    t.like(await ask(host.link.address, "r1"), { statusCode: 200, id: "r1", body: "r1" });
    t.is(target.received(), 1);
});
