/**
 * Planned work at the link to callers, on real sockets: whatever state a request is in when a stop or shorter time-outs come,
 * it is answered whole once its rest has come or its caller takes the answer.
 */
import test from "ava";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerAnswer, CallerLink, CallerRequest } from "../../src/links/callers.ts";
import { createMetrics } from "../../src/links/metrics.ts";
import { createRequestLedger } from "../../src/links/requestledger.ts";
import { openCallerLink } from "./callerlink.ts";

const workMilliseconds = 400;
const largeBytes = 8_000_000;
const smallBody = "first part, second part.";

const answerOf = async ({ path }: CallerRequest): Promise<CallerAnswer> => {
    const answer = { kind: "answer" as const, statusCode: 200, headers: { "content-length": `${smallBody.length}` } };
    if (path === "/waiting") {
        await sleep(workMilliseconds);
    }
    if (path === "/large") {
        return { ...answer, headers: { "content-length": `${largeBytes}` }, body: Buffer.alloc(largeBytes, "x") };
    }
    if (path === "/answering") {
        return {
            ...answer,
            body: {
                start: ({ onBytes, onEnd }) => {
                    onBytes(Buffer.from(smallBody.slice(0, 12)));
                    setTimeout(() => {
                        onBytes(Buffer.from(smallBody.slice(12)));
                        onEnd();
                    }, workMilliseconds);
                },
                resume: () => undefined,
                abort: () => undefined,
            },
        };
    }
    return { ...answer, body: Buffer.from(smallBody) };
};

const openLink = async () => {
    const metrics = createMetrics();
    const { link } = await openCallerLink({ serve: answerOf, ledger: createRequestLedger(metrics) });
    link.setTimeouts(5_000, 60_000);
    return { link, metrics };
};

const get = (path: string): string => `GET /orders/${path} HTTP/1.1\r\nhost: x\r\n\r\n`;
const post = "POST /orders/a HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n\r\nabcdef";
const readAll = (socket: Socket): void => void socket.resume();

type State = {
    title: string;
    /** What arrives before and after the events. */
    before: string;
    after: string;
    /** How the caller takes the answer, from the events on. */
    read?: (socket: Socket) => void;
    bodyBytes?: number;
};
const states: State[] = [
    { title: "on an unused connection", before: "", after: get("a") },
    { title: "whose head has come in part", before: get("a").slice(0, 20), after: get("a").slice(20) },
    { title: "whose body has not come", before: post.slice(0, -6), after: post.slice(-6) },
    { title: "whose body has come in part", before: post.slice(0, -3), after: post.slice(-3) },
    { title: "that waits for its target", before: get("waiting"), after: "" },
    { title: "whose answer has come in part", before: get("answering"), after: "" },
    {
        title: "whose answer its caller takes slowly",
        before: get("large"),
        after: "",
        read: socket => {
            const timer = setInterval(() => socket.read(100_000), 10);
            socket.once("close", () => clearInterval(timer));
        },
        bodyBytes: largeBytes,
    },
];

type Event = (link: CallerLink) => void;
const stop: Event = link => {
    link.disableKeepAlive();
    void link.stopAccepting();
};
const shorten: Event = link => link.setTimeouts(400, 60_000);
const events: Array<{ title: string; act: Event[] }> = [
    { title: "a stop", act: [stop] },
    { title: "a notice of a stop", act: [link => link.disableKeepAlive()] },
    { title: "shorter time-outs", act: [shorten] },
    { title: "shorter time-outs and a stop", act: [shorten, stop] },
    { title: "a stop and shorter time-outs", act: [stop, shorten] },
];

for (const { title: state, before, after, read = readAll, bodyBytes = smallBody.length } of states) {
    for (const { title: event, act } of events) {
        for (const isKept of [false, true]) {
            // A stop ends a kept connection on which no byte of a request has come.
            if (isKept && before === "") {
                continue;
            }
            const connection = isKept ? "a kept connection" : "a new connection";
            test(`a request ${state} is answered whole through ${event}, on ${connection}`, async t => {
                const { link, metrics } = await openLink();
                t.teardown(link.close);
                const [host, port] = link.address.split(":");
                const socket = connect(Number(port), host).on("error", () => undefined).pause();
                t.teardown(() => socket.destroy());
                const parts: Buffer[] = [];
                const text = (): string => Buffer.concat(parts).toString("latin1");
                const receivedBody = (): number => {
                    const headBytes = parts[0]?.indexOf("\r\n\r\n") ?? 0;
                    return parts.reduce((sum, { length }) => sum + length, 0) - headBytes - 4;
                };
                socket.on("data", (part: Buffer) => parts.push(part));
                socket.pause();
                if (isKept) {
                    socket.resume().write(get("a"));
                    while (!text().endsWith(smallBody)) {
                        await sleep(5);
                    }
                    socket.pause();
                    parts.length = 0;
                }
                socket.write(before);
                await sleep(100);
                for (const each of act) {
                    each(link);
                    await sleep(20);
                }
                read(socket);
                await sleep(60);
                socket.write(after);
                const endAt = performance.now() + 8_000;
                while (receivedBody() < bodyBytes && !socket.destroyed && performance.now() < endAt) {
                    await sleep(20);
                }
                await sleep(50);
                const received = text();
                const bodyAt = received.indexOf("\r\n\r\n") + 4;
                t.is(received.slice(9, 12), "200");
                t.is(received.slice(bodyAt, bodyAt + bodyBytes).length, bodyBytes);
                // An idle connection ends with the refusal of a request that crosses its end.
                t.regex(received.slice(bodyAt + bodyBytes), /^(HTTP\/1\.1 408 |$)/);
                t.is(metrics.snapshot()["request-ends{end=answered,reason=none}"], isKept ? 2 : 1);
                t.is(metrics.snapshot()["request-begins"], isKept ? 2 : 1);
            });
        }
    }
}
