/**
 * Answers of the store that break off. Guards against a part of a list or of changes that is taken for the whole, and
 * against a write or a removal that is taken for done.
 */
import test from "ava";
import { createStore } from "../../platform/store.ts";
import { cutEndings, startCuttingServer } from "../connections.ts";

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
/** Shares of the text, and bytes that are left of it. */
const cuts = (length: number): number[] => [
    ...Array.from({ length: 24 }, (...[, index]) => Math.floor(length * index / 24)),
    length - 2,
    length - 1,
];

for (const { title, text, call } of calls) {
    for (const { title: ending, end } of cutEndings) {
        test(`${title} without a known end that is ${ending} early is not taken for whole`, async t => {
            let cut = 0;
            let framing = "";
            const head = (): string => `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${framing}\r\n`;
            const server = await startCuttingServer(() => head() + text.slice(0, cut), end);
            const store = createStore({ address: server.address, timeoutMilliseconds: 1_000 });
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

const removals = [
    { title: "with a body", answer: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", removed: true },
    { title: "without a body", answer: "HTTP/1.1 204 No Content\r\n\r\n", removed: true },
    {
        title: "of an object that was gone",
        answer: "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
        removed: true,
    },
    { title: "of another revision", answer: "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n", removed: false },
];
for (const { title, answer, removed } of removals) {
    for (const { title: ending, end } of cutEndings) {
        test(`the answer to a removal ${title} that is ${ending} early is not taken for one`, async t => {
            let cut = 0;
            const server = await startCuttingServer(() => answer.slice(0, cut), end);
            const store = createStore({ address: server.address, timeoutMilliseconds: 1_000 });
            t.teardown(() => {
                store.close();
                server.close();
            });
            for (; cut < answer.length; cut += 1) {
                await t.throwsAsync(store.remove("hosts", "i-1", 1), { name: "PlatformError" }, answer.slice(0, cut));
            }
            t.is(await store.remove("hosts", "i-1", 1), removed);
        });
    }
}
