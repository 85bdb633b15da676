/**
 * What the system's table of connections tells of bytes on their way and of unread ones.
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
const line = (ends: string): string => `   3: ${ends} 01 0003F00A:000012AB 00:00000000 00000000     0\n`;
type Queues = { unacknowledged: number | undefined; unread: number | undefined };
const nothingTold: Queues = { unacknowledged: undefined, unread: undefined };
const tables: Array<[title: string, table: string, expected: Queues]> = [
    ["the connection", line("0100007F:946D 0302010A:0050"), { unacknowledged: 258_058, unread: 4_779 }],
    ["its other end only", line("0302010A:0050 0100007F:946D"), nothingTold],
    ["another port", line("0100007F:946E 0302010A:0050"), nothingTold],
    ["nothing", "", nothingTold],
];

for (const [title, table, expected] of tables) {
    test(`the bytes on their way and the unread ones are read from a table with ${title}`, async t => {
        const file = join(mkdtempSync(join(tmpdir(), "carobpier-")), "tcp");
        writeFileSync(file, table);
        const queues = createSendQueues(systemClock, file);
        t.is(await queues.unacknowledged(socket), expected.unacknowledged);
        t.is(await queues.unread(socket), expected.unread);
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
    t.true((await queues.unread(reader) ?? 0) > 65_536);
    await sleep(200);
    t.is(await queues.unacknowledged(writer), before);
    const timer = setInterval(() => reader.read(50_000), 20);
    t.teardown(() => clearInterval(timer));
    await sleep(500);
    t.not(await queues.unacknowledged(writer), before);
});
