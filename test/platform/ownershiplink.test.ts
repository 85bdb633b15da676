/**
 * Grants and releases at a target whose answers are none of the call: a second one that comes late, where the next answer
 * is expected, and those whose status is none. Guards against keys that are given to another target while the one before
 * still works on them.
 */
import test from "ava";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { createOwnershipLink } from "../../platform/protocols.ts";
import type { RegisteredTarget } from "../../src/contracts/routing.ts";
import { framings, malformedStatuses } from "../answerstatuses.ts";

const targetAt = (port: number): RegisteredTarget => ({
    name: "i-1",
    incarnation: "1",
    pool: "stock",
    address: `127.0.0.1:${port}`,
    zone: "z",
    slots: 2,
    leaving: false,
    warmupMilliseconds: 0,
});
const range = { from: 0, to: 9, fence: 1 };
const answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
/** Time that the target works on the released keys before it answers the release. */
const workMilliseconds = 300;

test("a late second answer to a grant is not taken for the answer to a release", async t => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        let calls = 0;
        socket.on("data", bytes => {
            calls += 1;
            if (calls > 1) {
                socket.write(answer);
            }
            if (bytes.toString().startsWith("POST /v1/release")) {
                setTimeout(() => socket.write(answer), workMilliseconds);
                return;
            }
            socket.write(answer);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const link = createOwnershipLink();
    t.teardown(() => {
        link.close();
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    const target = targetAt((server.address() as AddressInfo).port);
    t.is((await link.grant(target, range, 4_000, undefined)).result, "done");
    const startedAt = performance.now();
    t.is((await link.release(target, { ...range, fence: 2 }, 2_500)).result, "done");
    t.true(performance.now() - startedAt >= workMilliseconds * 0.9, "the release is answered when the work has ended");
});

const upgradeLines = "connection: upgrade\r\nupgrade: websocket\r\n";
const releaseMilliseconds = 10_000;
/** An answer that is refused by its status is not waited for. */
const promptMilliseconds = 5_000;

/** Starts a target that writes the text on its first connection, and sound answers on others. */
const startTarget = async (text: string) => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        const place = sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => socket.write(place > 1 ? answer : text));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const link = createOwnershipLink();
    const close = (): void => {
        link.close();
        sockets.forEach(socket => socket.destroy());
        server.close();
    };
    return { link, target: targetAt((server.address() as AddressInfo).port), sockets, close };
};

for (const status of malformedStatuses) {
    const upgrades = status === "101" ? ["", upgradeLines] : [""];
    const texts = framings.flatMap(({ header, body }) =>
        upgrades.map(upgrade => `HTTP/1.1 ${status} X\r\n${upgrade}${header}\r\n${body}`)
    );
    test.serial(`a grant that is answered with the status "${status}" is unknown, and its connection is not used again`, async t => {
        for (const text of texts) {
            const { link, target, sockets, close } = await startTarget(text);
            t.teardown(close);
            t.is((await link.grant(target, range, 4_000, undefined)).result, "unknown", text);
            t.is((await link.grant(target, range, 4_000, undefined)).result, "done", text);
            t.is(sockets.length, 2, text);
        }
    });

    test.serial(`a release that is answered with the status "${status}" is unknown at once`, async t => {
        for (const text of texts) {
            const { link, target, close } = await startTarget(text);
            t.teardown(close);
            const startedAt = performance.now();
            t.is((await link.release(target, range, releaseMilliseconds)).result, "unknown", text);
            t.true(performance.now() - startedAt < promptMilliseconds, text);
        }
    });
}

for (const status of ["100", "102", "103", "199"]) {
    test.serial(`the interim status "${status}" before the answer to a grant is skipped`, async t => {
        const { link, target, close } = await startTarget(`HTTP/1.1 ${status} X\r\n\r\n${answer}`);
        t.teardown(close);
        t.is((await link.grant(target, range, 4_000, undefined)).result, "done");
    });
}
