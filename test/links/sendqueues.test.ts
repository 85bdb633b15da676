/**
 * What the system's table of connections tells of bytes on their way.
 */
import test from "ava";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../../src/links/clock.ts";
import { createSendQueues } from "../../src/links/sendqueues.ts";

const socket = { localAddress: "127.0.0.1", localPort: 37_997, remoteAddress: "10.1.2.3", remotePort: 80 } as Socket;
const line = (ends: string): string => `   3: ${ends} 01 0003F00A:00000001 00:00000000 00000000     0\n`;
const tables: Array<[title: string, table: string, expected: number | undefined]> = [
    ["the connection", line("0100007F:946D 0302010A:0050"), 258_058],
    ["its other end only", line("0302010A:0050 0100007F:946D"), undefined],
    ["another port", line("0100007F:946E 0302010A:0050"), undefined],
    ["nothing", "", undefined],
];

for (const [title, table, expected] of tables) {
    test(`the bytes on their way are read from a table with ${title}`, async t => {
        const file = join(mkdtempSync(join(tmpdir(), "carobpier-")), "tcp");
        writeFileSync(file, table);
        t.is(await createSendQueues(systemClock, file).unacknowledged(socket), expected);
    });
}

test("a system without the table does not tell", async t => {
    t.is(await createSendQueues(systemClock, "/nowhere/tcp").unacknowledged(socket), undefined);
});

test("the table of this system tells that a reader takes bytes", async t => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const reader = connect((server.address() as AddressInfo).port, "127.0.0.1").pause();
    const [writer] = await once(server, "connection") as [Socket];
    t.teardown(() => {
        [reader, writer].forEach(end => end.destroy());
        server.close();
    });
    writer.write(Buffer.alloc(33_554_432));
    await sleep(200);
    const queues = createSendQueues(systemClock);
    const before = await queues.unacknowledged(writer) ?? 0;
    t.true(before > 65_536, `${before}`);
    await sleep(200);
    t.is(await queues.unacknowledged(writer), before);
    const timer = setInterval(() => reader.read(50_000), 20);
    t.teardown(() => clearInterval(timer));
    await sleep(500);
    t.not(await queues.unacknowledged(writer), before);
});
