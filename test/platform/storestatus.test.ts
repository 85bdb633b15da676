/**
 * Answers of the store, or of something before it, whose status is none. Guards against a call that waits for the rest of
 * such an answer, takes its header for the store's word, or leaves its connection to the next call.
 */
import test from "ava";
import { createStore } from "../../platform/store.ts";
import { framings, malformedStatuses, unaskedStatus } from "../answerstatuses.ts";
import { startTextServer } from "../rawtarget.ts";

const timeoutMilliseconds = 3_000;
const object = JSON.stringify({ metadata: { name: "i-1", rev: 7 }, spec: 1 });
const soundAnswer = `HTTP/1.1 200 OK\r\ncontent-length: ${object.length}\r\n\r\n${object}`;

type Store = ReturnType<typeof createStore>;
const calls: Array<{ title: string; call: (store: Store) => Promise<unknown> }> = [
    { title: "a list", call: store => store.list("servers") },
    { title: "changes", call: store => store.watch("servers", 1, 0) },
    { title: "an object", call: store => store.get("servers", "i-1") },
    { title: "a write", call: store => store.replace("hosts", "i-1", {}, 1) },
    { title: "a removal", call: store => store.remove("hosts", "i-1", 1) },
];

for (const status of [...malformedStatuses, unaskedStatus]) {
    test.serial(`the store answers no call with the status "${status}"`, async t => {
        for (const { title, call } of calls) {
            for (const { title: framing, header, body } of framings) {
                const used = new Set<unknown>();
                const server = await startTextServer(socket => {
                    used.add(socket);
                    socket.write(
                        used.size > 1 ? soundAnswer : `HTTP/1.1 ${status} X\r\nstore-era: 9\r\n${header}\r\n${body}`,
                    );
                });
                t.teardown(server.close);
                const store = createStore({ address: server.address, timeoutMilliseconds });
                t.teardown(store.close);
                const { message } = await t.throwsAsync(call(store), { name: "PlatformError" }, `${title} ${framing}`);
                t.notRegex(message, /no answer in time/, `${title} ${framing}`);
                t.is(store.era(), 0, `${title} ${framing}`);
                t.like(await store.get("servers", "i-1"), { name: "i-1", revision: 7 });
                t.is(used.size, 2, "the connection is not used again");
            }
        }
    });
}
