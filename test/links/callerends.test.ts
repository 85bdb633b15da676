/**
 * What the link to callers tells of connections that end while answers are due, or that leave a request dropped or
 * unfinished: who ended them, and how many requests.
 */
import test, { type ExecutionContext } from "ava";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { ConnectionEnd, ConnectionEndReason } from "../../src/links/callerconnections.ts";
import type { CallerAnswer, CallerLink, StreamCut } from "../../src/links/callers.ts";
import { openCallerLink } from "./callerlink.ts";

type Case = {
    title: string;
    answer?: CallerAnswer;
    act: (socket: Socket, link: CallerLink) => unknown;
    reason: ConnectionEndReason;
    phase?: ConnectionEnd["phase"];
};

/** What the system held unread at the end depends on the system and the moment. */
const withoutUnread = (ends: ConnectionEnd[]) => ends.map(end => ({ ...end, unreadBytes: undefined }));

const openLink = async (t: ExecutionContext, answer?: CallerAnswer) => {
    const ids: string[] = [];
    const { link, ends } = await openCallerLink({
        serve: async ({ id }) => {
            ids.push(id);
            return answer ?? sleep(2_000, { kind: "answer", statusCode: 200, headers: {}, body: undefined });
        },
    });
    t.teardown(link.close);
    const [host, port] = link.address.split(":");
    const socket = connect(Number(port), host).on("error", () => undefined);
    t.teardown(() => socket.destroy());
    const waitForEnd = async (): Promise<void> => {
        const endAt = performance.now() + 2_000;
        while (ends.length === 0 && performance.now() < endAt) {
            await sleep(5);
        }
    };
    return { link, socket, ends, ids, waitForEnd };
};

const get = "GET /orders/a HTTP/1.1\r\nhost: x\r\n\r\n";

const streamCutBy = (cut: StreamCut): CallerAnswer => ({
    kind: "answer",
    statusCode: 200,
    headers: { "content-length": "9" },
    body: {
        start: ({ onBytes, onFailure }) => {
            onBytes(Buffer.from("part"));
            setTimeout(() => onFailure(cut), 50);
        },
        resume: () => undefined,
        abort: () => undefined,
    },
});
const cases: Case[] = [
    { title: "a caller that closes its connection", act: socket => socket.destroy(), reason: "caller-closed" },
    { title: "a caller that resets its connection", act: socket => socket.resetAndDestroy(), reason: "caller-reset" },
    { title: "a host that stops", act: (...[, link]) => link.close(), reason: "host-stopped" },
    ...([
        ["a target that breaks off", "answer-cut-short"],
        ["the time of a route", "answer-timed-out"],
        ["a host that stops while an answer arrives", "host-stopped"],
    ] as const).map(([title, reason]) => ({ title, answer: streamCutBy(reason), act: () => undefined, reason })),
];

for (const { title, answer, act, reason, phase = "open" } of cases) {
    test(`the end of a connection with an answer due names ${title}`, async t => {
        const { link, socket, ends, ids, waitForEnd } = await openLink(t, answer);
        socket.resume().write(get);
        while (ids.length === 0) {
            await sleep(5);
        }
        act(socket, link);
        await waitForEnd();
        t.deepEqual(withoutUnread(ends), [{
            reason,
            phase,
            due: 1,
            requestIds: ids,
            dropped: 0,
            unfinishedBytes: 0,
            unreadBytes: undefined,
        }]);
    });
}

test("a request that arrives behind the announced end of its connection is told as dropped", async t => {
    const { link, socket, ends, ids, waitForEnd } = await openLink(t, {
        kind: "answer",
        statusCode: 200,
        headers: { "content-length": "9" },
        body: {
            start: ({ onBytes, onEnd }) => {
                onBytes(Buffer.from("part"));
                setTimeout(() => {
                    onBytes(Buffer.from(" two."));
                    onEnd();
                }, 300);
            },
            resume: () => undefined,
            abort: () => undefined,
        },
    });
    link.disableKeepAlive();
    let received = "";
    socket.on("data", part => {
        received += String(part);
    });
    socket.write(get);
    while (received === "") {
        await sleep(5);
    }
    socket.write(get + get);
    await waitForEnd();
    t.true(received.endsWith("part two."));
    t.is(ids.length, 1);
    t.deepEqual(withoutUnread(ends), [
        {
            reason: "host-closed",
            phase: "ended",
            due: 0,
            requestIds: [],
            dropped: 2,
            unfinishedBytes: 0,
            unreadBytes: undefined,
        },
    ]);
});

test("a head whose rest does not come within the idle time is told as unfinished", async t => {
    const { link, socket, ends, waitForEnd } = await openLink(t);
    link.setTimeouts(100, 60_000);
    const part = "GET /orders/a";
    socket.resume().write(part);
    await waitForEnd();
    t.deepEqual(withoutUnread(ends), [
        {
            reason: "caller-stalled",
            phase: "open",
            due: 0,
            requestIds: [],
            dropped: 0,
            unfinishedBytes: part.length,
            unreadBytes: undefined,
        },
    ]);
});
