/**
 * What the link to callers tells of connections that end while answers are due: who ended them, and how many answers.
 */
import test from "ava";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { settingsSchema } from "../../src/contracts/settings.ts";
import type { ConnectionEnd, ConnectionEndReason } from "../../src/links/callerconnections.ts";
import { createCallerProtocol } from "../../src/links/callerprotocol.ts";
import { type CallerAnswer, type CallerLink, createCallerLink, type StreamCut } from "../../src/links/callers.ts";
import { systemClock } from "../../src/links/clock.ts";

type Case = {
    title: string;
    answer?: CallerAnswer;
    act: (socket: Socket, link: CallerLink) => unknown;
    reason: ConnectionEndReason;
};

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

for (const { title, answer, act, reason } of cases) {
    test(`the end of a connection with an answer due names ${title}`, async t => {
        const settings = settingsSchema.parse({
            host: { name: "host-a", zone: "zone-1" },
            platform: { url: "http://127.0.0.1:1" },
            callers: { port: 0 },
        }).callers;
        const ends: ConnectionEnd[] = [];
        const ids: string[] = [];
        const link = await createCallerLink({
            bindAddress: "127.0.0.1",
            settings,
            protocol: createCallerProtocol(settings),
            clock: systemClock,
            serve: async ({ id }) => {
                ids.push(id);
                return answer ?? sleep(2_000, { kind: "answer", statusCode: 200, headers: {}, body: undefined });
            },
            onDone: () => undefined,
            onMalformed: () => undefined,
            onConnectionEnd: end => ends.push(end),
            healthy: () => true,
        });
        t.teardown(link.close);
        const [host, port] = link.address.split(":");
        const socket = connect(Number(port), host).on("error", () => undefined).resume();
        socket.write("GET /orders/a HTTP/1.1\r\nhost: x\r\n\r\n");
        while (ids.length === 0) {
            await sleep(5);
        }
        act(socket, link);
        const endAt = performance.now() + 1_000;
        while (ends.length === 0 && performance.now() < endAt) {
            await sleep(5);
        }
        t.deepEqual(ends, [{ reason, due: 1, requestIds: ids }]);
    });
}
