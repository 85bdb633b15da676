/**
 * Targets in trouble that answer with a status that is none, such as 000 or 600, on real connections. Guards against
 * callers that get it as an answer, and against a path that is refused as crashing targets, which did not crash.
 */
import test from "ava";
import { request as httpRequest } from "node:http";
import { targetProtocol } from "../../../platform/protocols.ts";
import { systemClock } from "../../../src/links/clock.ts";
import { createExchangeLink } from "../../../src/links/exchange.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createGossip } from "../../../src/machines/resident/gossip.ts";
import { askForLife } from "../../../src/machines/resident/signoflife.ts";
import {
    crashGossipKind,
    crashGossipSchema,
    createSuspicions,
    type Suspicions,
} from "../../../src/machines/resident/suspicions.ts";
import type { TargetState, TargetStates } from "../../../src/machines/resident/targetstates.ts";
import { framings, malformedStatuses, unaskedStatus } from "../../answerstatuses.ts";
import { type RawAnswer, startRawTarget } from "../../rawtarget.ts";
import { startHost } from "./lonehost.ts";

/** Longer than the test waits: an answer that is refused by its status is not waited for. */
const timeoutMilliseconds = 8_000;
const promptMilliseconds = 3_000;

type Answer = { statusCode: number | undefined; reason: unknown; signature: unknown };

const ask = (address: string, method: string): Promise<Answer | "silent"> =>
    new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        const headers = { host: "orders.example", "request-id": "r1" };
        const outgoing = httpRequest({ host, port, path: "/a", method, headers, agent: false }, response => {
            const { "carobpier-reason": reason, "response-signature": signature } = response.headers;
            resolve({ statusCode: response.statusCode, reason, signature });
            outgoing.destroy();
        });
        outgoing.setTimeout(promptMilliseconds, () => {
            resolve("silent");
            outgoing.destroy();
        });
        outgoing.on("error", reject);
        outgoing.end();
    });

const answerWith =
    (status: string, header = "content-length: 5\r\n", body = "whole"): RawAnswer => (socket, id, request) => {
        const text = `HTTP/1.1 ${status} X\r\nrequest-id: ${id}\r\nresponse-signature: s\r\n${header}\r\n`;
        socket.write(request.startsWith("HEAD") ? text : text + body);
    };

const refused = { statusCode: 502, reason: "answer-malformed", signature: undefined };

for (const status of [...malformedStatuses, unaskedStatus]) {
    test.serial(`a caller gets no answer of a target with the status "${status}"`, async t => {
        for (const kind of ["safe", "unsafe"] as const) {
            for (const method of ["GET", "HEAD", "POST"]) {
                for (const { title, header, body } of framings) {
                    const target = await startRawTarget([answerWith(status, header, body)]);
                    t.teardown(target.close);
                    const host = await startHost({ addresses: [target.address], kind, timeoutMilliseconds });
                    t.teardown(host.close);
                    t.deepEqual(await ask(host.link.address, method), refused, `${kind} ${method} ${title}`);
                    t.is(target.received(), 1);
                }
            }
        }
    });
}

test.serial("a caller gets a 304 that tells the length of the body that a 200 would have", async t => {
    const target = await startRawTarget([answerWith("304", "content-length: 5\r\n", "")]);
    t.teardown(target.close);
    const host = await startHost({ addresses: [target.address], kind: "safe", timeoutMilliseconds });
    t.teardown(host.close);
    for (const method of ["GET", "HEAD"]) {
        t.deepEqual(
            await ask(host.link.address, method),
            { statusCode: 304, reason: undefined, signature: "s" },
            method,
        );
    }
});

/** Creates the suspicions of a host that knows no others. */
const createLoneSuspicions = (targetStates: TargetStates, signal: AbortSignal): Suspicions => {
    const common = { clock: systemClock, log: silentLog, metrics: createMetrics() };
    const gossip = createGossip({
        self: "h1",
        kinds: { [crashGossipKind]: crashGossipSchema },
        peers: () => ({ ownZone: [], nearest: [], otherZones: new Map() }),
        dial: () => {
            throw new Error("There are no other hosts.");
        },
        signal,
        ...common,
    });
    return createSuspicions({ gossip, targetStates, random: () => 0.5, ...common });
};

const chunked = "transfer-encoding: chunked\r\n";
const noAnswers: Array<{ title: string; answer: RawAnswer }> = [
    ...["000", "099", "100", "101", "600", "999", "OK"].map(status => ({
        title: `with the status "${status}"`,
        answer: answerWith(status),
    })),
    { title: "with two lengths", answer: answerWith("200", "content-length: 5\r\ncontent-length: 4\r\n") },
    {
        title: "with a length and chunks",
        answer: answerWith("200", `content-length: 5\r\n${chunked}`, "5\r\nwhole\r\n0\r\n\r\n"),
    },
    {
        title: "with a length after chunks",
        answer: answerWith("200", `${chunked}content-length: 5\r\n`, "5\r\nwhole\r\n0\r\n\r\n"),
    },
    { title: "with a length that is no number", answer: answerWith("200", "content-length: five\r\n") },
];

for (const { title, answer } of noAnswers) {
    test.serial(`three answers ${title} do not quarantine the path`, async t => {
        const lifetime = new AbortController();
        t.teardown(() => lifetime.abort());
        const sound = answerWith("200");
        const targets = await Promise.all(
            [0, 1, 2].map(() => startRawTarget([answer, answer, sound])),
        );
        targets.forEach(target => t.teardown(target.close));
        const host = await startHost({
            addresses: targets.map(({ address }) => address),
            timeoutMilliseconds,
            maxAttempts: 3,
            createSuspicions: targetStates => createLoneSuspicions(targetStates, lifetime.signal),
        });
        t.teardown(host.close);
        const answers: Array<Answer | "silent"> = [];
        for (let asked = 0; asked < 3; asked += 1) {
            answers.push(await ask(host.link.address, "GET"));
        }
        t.deepEqual(answers, [refused, refused, { statusCode: 200, reason: undefined, signature: "s" }]);
    });
}

for (const status of [...malformedStatuses, unaskedStatus]) {
    test.serial(`an answer to the health check with the status "${status}" is no sign of life`, async t => {
        const server = await startRawTarget([
            socket => socket.write(`HTTP/1.1 ${status} X\r\ninstance-id: i-1\r\ncontent-length: 0\r\n\r\n`),
        ]);
        t.teardown(server.close);
        const link = createExchangeLink({
            address: server.address,
            connections: () => 1,
            keptConnections: () => 1,
            connectMilliseconds: 1_000,
        });
        t.teardown(link.close);
        const target = { name: "i-1", address: server.address, incarnation: "1" };
        const targetState = { target, link, gone: false } as TargetState;
        // The raw target answers only requests with an id.
        const protocol = { ...targetProtocol, buildCheckHeaders: () => ["request-id", "r"] };
        t.false(await askForLife({ targetState, protocol, healthPath: "/health", clock: systemClock }));
        t.is(server.received(), 1);
    });
}
