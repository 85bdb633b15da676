/**
 * Answers of the store that break off. Guards against a part of a list or of changes that is taken for the whole, and
 * against a write that is taken for done.
 */
import test from "ava";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createStore } from "../../platform/store.ts";

const object = (index: number, size: number) => ({
    metadata: { name: `i-${index}`, rev: index + 1 },
    spec: "x".repeat(size),
});
const listOf = (size: number): string =>
    JSON.stringify({
        currentRev: 99,
        more: false,
        items: Array.from({ length: 20 }, (...[, index]) => object(index, size)),
    });
const changesOf = (size: number): string =>
    JSON.stringify({
        currentRev: 99,
        events: Array.from({ length: 20 }, (...[, index]) => ({ removed: false, object: object(index, size) })),
    });

type Store = ReturnType<typeof createStore>;
const calls: Array<{ title: string; text: string; call: (store: Store) => Promise<unknown> }> = [
    { title: "a list", text: listOf(10), call: store => store.list("servers") },
    { title: "a large list", text: listOf(2_000), call: store => store.list("servers") },
    { title: "changes", text: changesOf(10), call: store => store.watch("servers", 1, 0) },
    { title: "large changes", text: changesOf(2_000), call: store => store.watch("servers", 1, 0) },
    { title: "an object", text: JSON.stringify(object(1, 10)), call: store => store.get("servers", "i-1") },
    { title: "a write", text: JSON.stringify(object(1, 10)), call: store => store.replace("hosts", "i-1", {}, 1) },
];
const framings = ["", "transfer-encoding: identity\r\n"];
const endings: Array<{ title: string; end: (socket: Socket) => void }> = [
    { title: "ended", end: socket => void socket.end() },
    { title: "reset", end: socket => socket.resetAndDestroy() },
];

/** Shares of the text, and bytes that are left of it. */
const cuts = (length: number): number[] => [
    ...Array.from({ length: 24 }, (...[, index]) => Math.floor(length * index / 24)),
    length - 2,
    length - 1,
];

for (const { title, text, call } of calls) {
    for (const { title: ending, end } of endings) {
        test(`${title} without a known end that is ${ending} early is not taken for whole`, async t => {
            let cut = 0;
            let framing = "";
            const server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.on("data", () => {
                    socket.write(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${framing}\r\n`);
                    socket.write(text.slice(0, cut), () => setTimeout(() => end(socket), 1));
                });
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const { port } = server.address() as AddressInfo;
            const store = createStore({ address: `127.0.0.1:${port}`, timeoutMilliseconds: 1_000 });
            t.teardown(() => {
                store.close();
                server.close();
            });
            for (framing of framings) {
                for (cut of cuts(text.length)) {
                    await t.throwsAsync(call(store), { name: "PlatformError" }, `${cut} of ${text.length} bytes`);
                }
            }
        });
    }
}
