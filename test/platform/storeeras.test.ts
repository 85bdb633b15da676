/**
 * The client of the platform's store across eras: what the store gave out in an earlier era neither counts as news nor
 * meets what it gives out again.
 */
import test from "ava";
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { createStore } from "../../platform/store.ts";
import type { ObjectStore } from "../../src/contracts/objectstore.ts";
import { placeOf } from "../../src/contracts/storehistory.ts";

/** What the server answers to one call; without a status it answers nothing. */
type Answer = { era?: string; status?: number; body?: unknown };

const object = (rev: number, spec: unknown = `r${rev}`, name = "main") => ({ metadata: { name, rev }, spec });
const stored = (era: number, rev: number, value: unknown = `r${rev}`, name = "main") => ({
    name,
    revision: placeOf(era, rev),
    value,
});
const listed = (currentRev: number, ...items: unknown[]) => ({ items, more: false, currentRev });
const changes = (currentRev: number, ...objects: unknown[]) => ({
    events: objects.map(changed => ({ removed: false, object: changed })),
    currentRev,
});

/** Starts a server that gives the answers in turn, and the client of it. */
const setUp = async (answers: Answer[]) => {
    const calls: string[] = [];
    const refusedEras: Array<[string | undefined, number]> = [];
    const server = createServer((incoming: IncomingMessage, response) => {
        calls.push(`${incoming.method} ${incoming.url?.replace("/v1/objects/config", "")}`);
        const { era, status = 200, body } = answers[calls.length - 1] ?? { status: 500 };
        response.writeHead(status, era === undefined ? {} : { "store-era": era });
        incoming.resume().on("end", () => response.end(body === undefined ? "" : JSON.stringify(body)));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const store = createStore({
        address: `127.0.0.1:${port}`,
        timeoutMilliseconds: 500,
        onEraRefused: (told, known) => refusedEras.push([told, known]),
    });
    const eras: number[] = [];
    store.onEra(era => eras.push(era));
    const close = (): void => {
        store.close();
        server.close();
        server.closeAllConnections();
    };
    return { store, calls, eras, refusedEras, close };
};

type Case = {
    title: string;
    answers: Answer[];
    call: (store: ObjectStore) => Promise<unknown>;
    expected?: unknown;
    error?: RegExp;
    calls: string[];
    eras?: number[];
    refused?: Array<[string | undefined, number]>;
};

const cases: Case[] = [
    {
        title: "a store without eras is in era 0, where places are revisions",
        answers: [{ body: listed(7, object(3)) }],
        call: store => store.list("config"),
        expected: { objects: [{ name: "main", revision: 3, value: "r3" }], position: 7 },
        calls: ["GET "],
    },
    {
        title: "objects and positions are places of the answer's era",
        answers: [{ era: "2", body: listed(7, object(3)) }],
        call: store => store.list("config"),
        expected: { objects: [stored(2, 3)], position: placeOf(2, 7) },
        calls: ["GET "],
        eras: [2],
    },
    {
        title: "a refusal tells the era",
        answers: [{ era: "2", status: 503 }],
        call: async store => {
            await store.get("config", "main").catch(() => undefined);
            return store.era();
        },
        expected: 2,
        calls: ["GET /main"],
        eras: [2],
    },
    ...[["an earlier one", "1"], ["none", undefined], ["a part of a number", "2.5"], ["a word", "two"], [
        "a negative one",
        "-3",
    ]]
        .map(([what, era]): Case => ({
            title: `an answer of era 2 and then of ${what} is no news`,
            answers: [{ era: "2", body: object(3) }, { era, body: object(9) }],
            call: async store => {
                await store.get("config", "main");
                return store.get("config", "main");
            },
            error: /era/,
            calls: ["GET /main", "GET /main"],
            eras: [2],
            refused: [[era, 2]],
        })),
    {
        title: "a stale list of an era before the one of which another host told is no news",
        answers: [{ era: "2", body: listed(7, object(3)) }],
        call: store => {
            store.learnEra(3);
            return store.staleList("config");
        },
        error: /era/,
        calls: ["GET ?serializable=1"],
        eras: [3],
        refused: [["2", 3]],
    },
    {
        title: "pages of two eras are listed again",
        answers: [
            { era: "1", body: { ...listed(9, object(3, "old", "a"), object(4, "old", "b")), more: true } },
            { era: "2", body: listed(5, object(2, "new", "c")) },
            { era: "2", body: { ...listed(5, object(1, "new", "a")), more: true } },
            { era: "2", body: listed(6, object(2, "new", "c")) },
        ],
        call: store => store.list("config"),
        expected: { objects: [stored(2, 1, "new", "a"), stored(2, 2, "new", "c")], position: placeOf(2, 5) },
        calls: ["GET ", "GET ?after=b", "GET ", "GET ?after=a"],
        eras: [1, 2],
    },
    {
        title: "a watch names the revision of its place",
        answers: [{ era: "2", body: changes(9, object(8)) }],
        call: async store => {
            store.learnEra(2);
            const result = await store.watch("config", placeOf(2, 7), 0);
            return result.result === "changes" && { ...result, bytes: 0 };
        },
        expected: {
            result: "changes",
            events: [{ removed: false, object: stored(2, 8) }],
            position: placeOf(2, 9),
            bytes: 0,
        },
        calls: ["GET ?watch=7&waitMs=0&serializable=1"],
        eras: [2],
    },
    {
        title: "a watch that is answered in a later era, which has passed its revision, loses its history",
        answers: [{ era: "2", body: changes(9, object(8)) }],
        call: store => store.watch("config", placeOf(1, 7), 0),
        expected: { result: "history-lost" },
        calls: ["GET ?watch=7&waitMs=0&serializable=1"],
        eras: [1, 2],
    },
    {
        title: "a watch from an ended era asks the store without a wait",
        answers: [{ era: "2", body: changes(9, object(8)) }],
        call: store => {
            store.learnEra(2);
            return store.watch("config", placeOf(1, 7), 300);
        },
        expected: { result: "history-lost" },
        calls: ["GET ?watch=7&waitMs=0&serializable=1"],
        eras: [2],
    },
    {
        title: "a watch from an ended era fails while the store refuses",
        answers: [{ era: "2", status: 503 }],
        call: store => store.watch("config", placeOf(1, 7), 300),
        error: /503/,
        calls: ["GET ?watch=7&waitMs=300&serializable=1"],
        eras: [1, 2],
    },
    {
        title: "a replacement on the condition of an ended era is not sent",
        answers: [{ era: "2", body: object(7, "other") }],
        call: store => {
            store.learnEra(2);
            return store.replace("config", "main", "mine", placeOf(1, 7));
        },
        expected: { result: "conflict", current: stored(2, 7, "other") },
        calls: ["GET /main"],
        eras: [2],
    },
    {
        title: "a replacement that is carried out in a later era is a conflict",
        answers: [{ era: "2", body: object(8, "mine") }, { era: "2", body: object(8, "mine") }],
        call: store => store.replace("config", "main", "mine", placeOf(1, 7)),
        expected: { result: "conflict", current: stored(2, 8, "mine") },
        calls: ["PUT /main", "GET /main"],
        eras: [1, 2],
    },
    {
        title: "an object that is created in a later era is a conflict",
        answers: [{ era: "1", status: 404 }, { era: "2", status: 201, body: object(8, "mine") }, {
            era: "2",
            body: object(8, "mine"),
        }],
        call: async store => {
            await store.get("config", "main");
            return store.create("config", "main", "mine");
        },
        expected: { result: "conflict", current: stored(2, 8, "mine") },
        calls: ["GET /main", "POST ", "GET /main"],
        eras: [1, 2],
    },
    {
        title: "a removal on the condition of an ended era is not sent",
        answers: [{ era: "2", body: object(7, "other") }],
        call: store => {
            store.learnEra(2);
            return store.remove("config", "main", placeOf(1, 7));
        },
        expected: false,
        calls: ["GET /main"],
        eras: [2],
    },
    {
        title: "a write within an era is a write",
        answers: [{ era: "2", body: object(8, "mine") }],
        call: store => store.replace("config", "main", "mine", placeOf(2, 7)),
        expected: { result: "written", object: stored(2, 8, "mine") },
        calls: ["PUT /main"],
        eras: [2],
    },
];

for (const { title, answers, call, expected, error, calls, eras = [], refused = [] } of cases) {
    test(title, async t => {
        const setup = await setUp(answers);
        t.teardown(setup.close);
        if (error === undefined) {
            t.deepEqual(await call(setup.store), expected);
        }
        else {
            await t.throwsAsync(call(setup.store), { message: error });
        }
        t.deepEqual(setup.calls, calls);
        t.deepEqual(setup.eras, eras);
        t.deepEqual(setup.refusedEras, refused);
    });
}

test("a watch that waits ends as soon as another call tells a later era", async t => {
    const server = createServer((incoming, response) => {
        if (incoming.url?.includes("watch=") !== true) {
            response.writeHead(200, { "store-era": "2" });
            response.end(JSON.stringify(object(3)));
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const store = createStore({ address: `127.0.0.1:${port}`, timeoutMilliseconds: 500 });
    t.teardown(() => {
        store.close();
        server.close();
        server.closeAllConnections();
    });
    const watch = store.watch("config", placeOf(1, 7), 10_000);
    await store.get("config", "main");
    t.deepEqual(await watch, { result: "history-lost" });
});
