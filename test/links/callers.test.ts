/**
 * How answers end on the wire: one whose end is not certain is not framed as whole.
 */
import test from "ava";
import { connect } from "node:net";
import { settingsSchema } from "../../src/contracts/settings.ts";
import type { CallerRequest } from "../../src/links/callerhead.ts";
import { createCallerProtocol } from "../../src/links/callerprotocol.ts";
import { type CallerAnswer, createCallerLink } from "../../src/links/callers.ts";
import { systemClock } from "../../src/links/clock.ts";

const cases: Array<{ title: string; answer: CallerAnswer; contains: string[]; lacks: string[] }> = [
    {
        title: "a whole answer has its length",
        answer: { kind: "answer", statusCode: 200, headers: { "content-length": "4" }, body: Buffer.from("body") },
        contains: ["content-length: 4", "body"],
        lacks: ["transfer-encoding"],
    },
    {
        title: "an answer that only the close of its connection ended has no length and ends in the same way",
        answer: { kind: "answer", statusCode: 200, headers: {}, body: Buffer.from("body"), endsWithConnection: true },
        contains: ["connection: close", "body"],
        lacks: ["transfer-encoding", "content-length"],
    },
];

for (const { title, answer, contains, lacks } of cases) {
    test(title, async t => {
        const settings = settingsSchema.parse({
            host: { name: "host-a", zone: "zone-1" },
            platform: { url: "http://127.0.0.1:1" },
            callers: { port: 0 },
        }).callers;
        const link = await createCallerLink<CallerRequest>({
            host: "127.0.0.1",
            settings,
            protocol: createCallerProtocol(settings),
            clock: systemClock,
            serve: () => Promise.resolve(answer),
            onDone: () => undefined,
            onMalformed: () => undefined,
            healthy: () => true,
        });
        const [host, port] = link.address.split(":");
        const received = await new Promise<string>(resolve => {
            const parts: Buffer[] = [];
            const socket = connect(Number(port), host, () => {
                socket.write("GET /orders/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            });
            socket.on("data", part => parts.push(part));
            socket.on("close", () => resolve(Buffer.concat(parts).toString("latin1").toLowerCase()));
        });
        contains.forEach(text => t.true(received.includes(text), text));
        lacks.forEach(text => t.false(received.includes(text), text));
        await link.close();
    });
}
