/**
 * The client of the platform's store on connections that are slow or stop sending.
 */
import test from "ava";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createStore } from "../../platform/store.ts";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";

const timeoutMilliseconds = 200;
const chunkMilliseconds = 50;

/** Writes the body in equal parts, one every 50 ms. Stops without an end when `stopBefore` is less than `parts`. */
const writeSlowly = (response: ServerResponse, body: string, parts: number, stopBefore = Infinity): void => {
    response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.flushHeaders();
    const size = Math.ceil(body.length / parts);
    let part = 0;
    const timer = setInterval(() => {
        if (part >= stopBefore) {
            clearInterval(timer);
            return;
        }
        response.write(body.slice(part * size, (part + 1) * size));
        part += 1;
        if (part === parts) {
            clearInterval(timer);
            response.end();
        }
    }, chunkMilliseconds);
};

const items = Array.from({ length: 40 }, (...[, index]) => ({
    metadata: { name: `i-${index}`, rev: index + 1 },
    spec: "x".repeat(100),
}));
const list = JSON.stringify({ items, more: false, currentRev: 99 });
const changes = JSON.stringify({ events: items.map(object => ({ removed: false, object })), currentRev: 99 });

const setUp = async (answer: (response: ServerResponse, isWatch: boolean) => void) => {
    const server = createServer((incoming, response) => answer(response, incoming.url?.includes("watch=") === true));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const store = createStore({ address: `127.0.0.1:${port}`, timeoutMilliseconds });
    const close = (): void => {
        store.close();
        server.close();
        server.closeAllConnections();
    };
    return { store, close };
};

test("lists and changes that take longer than the timeout to arrive are read as long as bytes arrive", async t => {
    const { store, close } = await setUp((response, isWatch) => writeSlowly(response, isWatch ? changes : list, 12));
    t.teardown(close);
    t.is((await store.list("config")).objects.length, items.length);
    const read = await store.watch("config", 1, 0);
    t.is(read.result === "changes" ? read.events.length : 0, items.length);
});

test("a call fails within about the timeout when the answer stops midway", async t => {
    const { store, close } = await setUp(response => writeSlowly(response, list, 12, 3));
    t.teardown(close);
    const startedAt = performance.now();
    await t.throwsAsync(store.list("config"), { message: /no answer in time/ });
    t.true(performance.now() - startedAt < 3 * chunkMilliseconds + 3 * timeoutMilliseconds);
});

test("a watch on a silent connection is asked again on a new one as soon as another call finds the silence", async t => {
    const silentSockets = new Set<unknown>();
    const openSockets = new Set<unknown>();
    let watches = 0;
    const { store, close } = await setUp((response, isWatch) => {
        openSockets.add(response.socket);
        watches += isWatch ? 1 : 0;
        if (!silentSockets.has(response.socket) && !(isWatch && watches === 1)) {
            response.end(isWatch ? changes : list);
        }
    });
    t.teardown(close);
    await store.list("config");
    const startedAt = performance.now();
    const watch = store.watch("config", 1, 20 * timeoutMilliseconds);
    await store.list("servers");
    openSockets.forEach(socket => silentSockets.add(socket));
    await t.throwsAsync(store.list("servers"), { message: /no answer in time/ });
    t.is((await watch).result, "changes");
    t.true(performance.now() - startedAt < 10 * timeoutMilliseconds);
});

test("a call fails when the answer exceeds the size limit", async t => {
    const { store, close } = await setUp(response => {
        response.writeHead(200, { "content-type": "application/json" });
        const part = Buffer.alloc(262_144, " ");
        const pump = (): void => {
            while (!response.destroyed && response.write(part)) {
                // Writes until the socket's buffer is full.
            }
        };
        response.on("drain", pump);
        pump();
    });
    t.teardown(close);
    await t.throwsAsync(store.list("config"), { message: /larger than/ });
});

/** Guards against the removal of what was written again meanwhile. */
test("an object is removed only at the revision that the caller knows", async t => {
    const standIn = await startStoreStandIn();
    const store = createStore({ address: standIn.address, timeoutMilliseconds });
    t.teardown(() => {
        store.close();
        standIn.close();
    });
    const name = "a/b c";
    standIn.put("hosts", name, 1);
    const before = await store.get("hosts", name);
    standIn.put("hosts", name, 2);
    t.false(await store.remove("hosts", name, before?.revision ?? 0));
    t.is(standIn.read("hosts", name), 2);
    const current = await store.get("hosts", name);
    t.true(await store.remove("hosts", name, current?.revision ?? 0));
    t.is(standIn.read("hosts", name), undefined);
    t.true(await store.remove("hosts", name, current?.revision ?? 0));
    standIn.faults.refuse = 503;
    await t.throwsAsync(store.remove("hosts", name, 1));
});

test("an object nested beyond any use costs that object alone, in lists and in changes", async t => {
    const deep = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;
    const object = (index: number, spec: string): string =>
        `{"metadata":{"name":"i-${index}","rev":${index}},"spec":${spec}}`;
    const objects = [object(1, "\"a\""), object(2, deep), object(3, "\"c\"")];
    const { store, close } = await setUp((response, isWatch) => {
        const events = objects.map(text => `{"removed":false,"object":${text}}`);
        response.end(
            isWatch
                ? `{"events":[${events.join()}],"currentRev":9}`
                : `{"items":[${objects.join()}],"more":false,"currentRev":9}`,
        );
    });
    t.teardown(close);
    const values = ["a", undefined, "c"];
    t.deepEqual((await store.list("servers")).objects.map(({ value }) => value), values);
    const read = await store.watch("servers", 1, 0);
    t.deepEqual(read.result === "changes" ? read.events.map(event => event.object.value) : [], values);
});

/** An object of 1 MB, most of which nobody uses. */
const large = (spec: unknown, beside: unknown): string =>
    JSON.stringify({ metadata: { name: "i-1", rev: 7, finalizers: [beside] }, spec, status: beside });

test.serial("changes that are too large for one answer are listed, which comes in pages", async t => {
    const event = `{"removed":false,"object":${large({}, "x".repeat(500_000))}}`;
    const answer = Buffer.from(`{"events":[${Array.from({ length: 20 }, () => event).join()}],"currentRev":9}`);
    const { store, close } = await setUp(response => response.end(answer));
    t.teardown(close);
    t.deepEqual(await store.watch("servers", 1, 0), { result: "history-lost" });
});

const largeFields = { text: "x".repeat(100_000), list: Array.from({ length: 50_000 }, () => ({})) };
for (const [title, field] of Object.entries(largeFields)) {
    test.serial(`of an entry with a large ${title} that nobody uses, the others are kept, in lists and in changes`, async t => {
        const object = large({ slots: 3, zone: field, labels: field, state: "ready" }, field);
        const { store, close } = await setUp((response, isWatch) =>
            response.end(
                isWatch
                    ? `{"events":[{"object":${object},"removed":true}],"currentRev":9}`
                    : `{"currentRev":9,"items":[${object}, ${object}],"more":false}`,
            )
        );
        t.teardown(close);
        const expected = { name: "i-1", revision: 7, value: { slots: 3, zone: {}, state: "ready" } };
        t.deepEqual(await store.list("servers"), { objects: [expected, expected], position: 9 });
        const read = await store.watch("servers", 1, 0);
        t.deepEqual(read.result === "changes" && read.events, [{ removed: true, object: expected }]);
    });
}
