/**
 * Answers of hosts to operators' commands that break off. Guards against a part of a host's status that is taken for the
 * whole, as it may lack objects that are behind.
 */
import test from "ava";
import { readSystemStatus } from "../../src/commands/status.ts";
import { waitUntilInForce } from "../../src/commands/wait.ts";
import { systemClock } from "../../src/links/clock.ts";
import type { PlatformLink } from "../../src/links/platform.ts";
import { cutEndings, startCuttingServer } from "../connections.ts";

const head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
const report = JSON.stringify({
    host: "host-a",
    zone: "zone-1",
    incarnation: "a-1",
    state: "live",
    inFlight: 0,
    objects: [1, 2].map(index => ({
        kind: "plans",
        name: `plan-${index}`,
        version: index,
        inForce: index,
        deleted: false,
        since: 0,
    })),
    fleet: { relay: true, freshMilliseconds: 100, members: [] },
    findings: [],
});
const standing = JSON.stringify({ incarnation: "a-1", inForce: 21 });

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
    const unused = (): never => {
        throw new Error("not used");
    };
    return {
        list: () => Promise.resolve({ position: 1, items: [item], more: false }),
        get: unused,
        put: unused,
        close: unused,
    } as unknown as PlatformLink;
};

const optionsFor = (operatorAddress: string) => ({
    platform: platformOf(operatorAddress),
    clock: systemClock,
    write: () => undefined,
    timeoutMilliseconds: 0,
});

for (const { title, end } of cutEndings) {
    test(`a host whose status is ${title} early does not count as having answered`, async t => {
        let cut = 0;
        const server = await startCuttingServer(() => head + report.slice(0, cut), end);
        t.teardown(server.close);
        for (; cut < report.length; cut += 1) {
            await t.throwsAsync(
                readSystemStatus(undefined, server.address),
                { name: "InputError" },
                report.slice(0, cut),
            );
        }
    });

    test(`a version is not in force by a host's answer that is ${title} early`, async t => {
        let cut = 0;
        const server = await startCuttingServer(() => head + standing.slice(0, cut), end);
        t.teardown(server.close);
        const options = optionsFor(server.address);
        for (; cut < standing.length; cut += 1) {
            const { everywhere } = await waitUntilInForce("plans/plan-1", 2, options);
            t.false(everywhere, standing.slice(0, cut));
        }
    });
}

test("whole answers of a host are read", async t => {
    let answer = head + report;
    const server = await startCuttingServer(() => answer, socket => void socket.end());
    t.teardown(server.close);
    const { hosts, objects } = await readSystemStatus(undefined, server.address);
    t.deepEqual([hosts.length, objects.length], [1, 2]);
    answer = head + standing;
    const { everywhere } = await waitUntilInForce("plans/plan-1", 2, optionsFor(server.address));
    t.true(everywhere);
});
