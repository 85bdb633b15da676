/**
 * Requests that a caller sends ahead. Guards against a link that takes all of them at once, that loses some or answers them
 * out of order, or that waits for itself when a body stands behind them.
 */
import test from "ava";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { answerWithLength, openCallerLink } from "./callerlink.ts";

const get = (path: string): string => `GET /orders/${path} HTTP/1.1\r\nhost: x\r\n\r\n`;
const post = (path: string, ...lines: string[]): string =>
    [`POST /orders/${path} HTTP/1.1`, "host: x", ...lines, "", ""].join("\r\n");
const numbered = (count: number): string =>
    [...Array.from({ length: count }).keys()].map(index => get(String(index))).join("");
const chunks = "5\r\nabcde\r\n".repeat(2_000);

/** Requests ahead of the limit in one slice of 1,024 bytes, of 34 bytes and more each. */
const mostInSlice = 31;

type Case = { title: string; bytes: string; answers: number; lastBody: string };
const cases: Case[] = [
    { title: "2,000 small requests", bytes: numbered(2_000), answers: 2_000, lastBody: "/1999 0" },
    {
        title: "a body of 200 KB behind 100 requests",
        bytes: `${numbered(100)}${post("b", "content-length: 200000")}${"x".repeat(200_000)}`,
        answers: 101,
        lastBody: "/b 200000",
    },
    {
        title: "a body in chunks with 100 requests behind",
        bytes: `${post("b", "transfer-encoding: chunked")}${chunks}0\r\n\r\n${numbered(100)}`,
        answers: 101,
        lastBody: "/99 0",
    },
    {
        title: "bodies of 3 KB behind one another",
        bytes: `${post("b", "content-length: 3000")}${"x".repeat(3_000)}`.repeat(200),
        answers: 200,
        lastBody: "/b 3000",
    },
];

for (const { title, bytes, answers, lastBody } of cases) {
    test(`sent ahead, taken a few at a time and answered in order: ${title}`, async t => {
        let running = 0;
        let most = 0;
        const { link, served } = await openCallerLink({
            callers: { maxBodyBytes: 1_048_576 },
            serve: async ({ path, body }) => {
                running += 1;
                most = Math.max(most, running);
                await sleep(1);
                running -= 1;
                return answerWithLength(`${path} ${body?.length ?? 0}`);
            },
        });
        t.teardown(link.close);
        const socket = connect(Number(link.address.split(":")[1]), "127.0.0.1");
        t.teardown(() => socket.destroy());
        let received = "";
        const all = new Promise<void>((resolve, reject) => {
            socket.on("data", part => {
                received += String(part);
                if (received.split("HTTP/1.1 200").length > answers && received.endsWith(lastBody)) {
                    resolve();
                }
            });
            socket.once("close", () => reject(new Error(received.slice(-500))));
        });
        socket.write(bytes);
        await all;
        t.is(served.length, answers);
        const paths = [...received.matchAll(/\r\n\r\n(\/\S+) \d+/g)].map(([, path]) => path);
        t.deepEqual(paths, [...bytes.matchAll(/(?:GET|POST) \/orders(\/\S+)/g)].map(([, path]) => path));
        t.true(most <= 64 + mostInSlice, `${most} at a time`);
    });
}
