/**
 * Commands whose event loop is held while a host's answer arrives. Guards against a host that is told as unreachable
 * although it has answered in time.
 */
import test from "ava";
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { readSystemStatus } from "../../src/commands/status.ts";
import { waitUntilInForce } from "../../src/commands/wait.ts";
import { systemClock } from "../../src/links/clock.ts";
import type { PlatformLink } from "../../src/links/platform.ts";

/** The commands give a host one second. */
const answerMilliseconds = 800;
const holdMilliseconds = 500;

/** A host in a thread of its own, which answers its first request after a while and the others at once. */
const hostProgram = `
    const { parentPort, workerData: { answers, answerMilliseconds } } = require("node:worker_threads");
    let delay = answerMilliseconds;
    const server = require("node:http").createServer((request, response) => {
        const answer = answers[request.url.split("/")[1]];
        setTimeout(() => response.end(JSON.stringify(answer)), delay);
        delay = 0;
        parentPort.postMessage("asked");
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));`;

const answers = {
    status: {
        host: "host-a",
        zone: "zone-1",
        incarnation: "a-1",
        state: "live",
        inFlight: 0,
        objects: [],
        fleet: { relay: true, freshMilliseconds: 100, members: [] },
        findings: [],
    },
    standing: { incarnation: "a-1", inForce: 2 },
};

const platformOf = (operatorAddress: string): PlatformLink => {
    const value = {
        zone: "zone-1",
        incarnation: "a-1",
        peerAddress: "127.0.0.1:1",
        operatorAddress,
        size: 1,
        state: "live",
    };
    const item = { kind: "status", name: "host-a", version: 1, writeId: "a", deleted: false, value } as const;
    return {
        list: () => Promise.resolve({ position: 1, items: [item], more: false }),
        get: () => Promise.resolve(undefined),
    } as unknown as PlatformLink;
};

/** Each resolves to whether the command takes the host for one that has answered. */
const commands: Record<string, (address: string) => Promise<boolean>> = {
    "the status that is asked of a host": async address => {
        const { cutOff } = await readSystemStatus(undefined, address);
        return cutOff.length === 0;
    },
    "the status that is asked of every host": async address => {
        const { cutOff } = await readSystemStatus(platformOf(address), undefined);
        return cutOff.length === 0;
    },
    "the wait for a version": async address => {
        const { everywhere } = await waitUntilInForce("plans/plan-1", 2, {
            platform: platformOf(address),
            clock: systemClock,
            write: () => undefined,
            timeoutMilliseconds: 0,
        });
        return everywhere;
    },
};

/** From when the host is asked. */
const heldUntil = { "long after the time-out": 1_500, "to just after the time-out": 1_008 };

const plays = Object.entries(commands).flatMap(([title, ask]) =>
    Object.entries(heldUntil).map(([end, until]) => ({ title: `${title}, held ${end}`, ask, until }))
);
for (const { title, ask, until } of plays) {
    test.serial(`an answer that arrives while the command is held counts: ${title}`, async t => {
        const host = new Worker(hostProgram, { eval: true, workerData: { answers, answerMilliseconds } });
        t.teardown(() => host.terminate());
        const [port] = await once(host, "message") as [number];
        const result = ask(`127.0.0.1:${port}`).catch(() => false);
        await once(host, "message");
        const startedAt = performance.now();
        // Behind immediates, the timers of the next turn come ahead of its reads.
        setTimeout(() =>
            setImmediate(() => {
                while (performance.now() < startedAt + until) {
                    // The host is in another thread and goes on.
                }
            }), holdMilliseconds);
        t.true(await result);
    });
}

for (const title of ["the status that is asked of every host", "the wait for a version"]) {
    test(`a host that does not answer within a second is given up: ${title}`, async t => {
        const workerData = { answers, answerMilliseconds: 10_000 };
        const host = new Worker(hostProgram, { eval: true, workerData });
        t.teardown(() => host.terminate());
        const [port] = await once(host, "message") as [number];
        const startedAt = performance.now();
        t.false(await commands[title](`127.0.0.1:${port}`));
        const milliseconds = performance.now() - startedAt;
        t.true(milliseconds >= 990 && milliseconds < 3_000, `Given up after ${milliseconds} ms.`);
    });
}
