/**
 * The return of the stand-in store from an older copy: what it names as its era, what it holds then, and which watches it
 * can still serve.
 */
import test from "ava";
import { startStoreStandIn, type StoreFaults, type StoreStandIn } from "../../stand-ins/resident/store.ts";
import { waitUntil } from "../platform/program.ts";

const call = (store: StoreStandIn, path: string, body?: unknown): Promise<Response> =>
    fetch(`http://${store.address}/v1/objects/${path}`, {
        method: body === undefined ? "GET" : "PUT",
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });

/** Returns from a copy with one object of revision 2, of which revision 3 was lost. */
const returnFromCopy = async (store: StoreStandIn): Promise<void> => {
    store.put("things", "kept", 1);
    const copy = store.copy();
    store.put("things", "lost", 1);
    await store.goAway();
    await store.returnFrom(copy);
};

type Case = {
    name: string;
    faults?: Partial<StoreFaults>;
    act?: (store: StoreStandIn) => void;
    path: string;
    body?: unknown;
    expected: { status: number; era: string | undefined; names?: string[]; currentRev?: number };
};
type Body = { events?: Array<{ object: { metadata: { name: string } } }>; currentRev?: number };

const cases: Case[] = [
    { name: "a list", path: "things", expected: { status: 200, era: "2", currentRev: 2 } },
    { name: "an object that was lost", path: "things/lost", expected: { status: 404, era: "2" } },
    { name: "a refusal", faults: { refuse: 503 }, path: "things", expected: { status: 503, era: "2" } },
    {
        name: "an unnamed era",
        faults: { namedEra: () => undefined },
        path: "things/kept",
        expected: { status: 200, era: undefined },
    },
    {
        name: "a garbled era",
        faults: { namedEra: () => "two" },
        path: "things/kept",
        expected: { status: 200, era: "two" },
    },
    { name: "a watch from a revision that was lost", path: "things?watch=3", expected: { status: 410, era: "2" } },
    {
        name: "a watch from a revision that was given out again",
        act: store => {
            store.put("things", "other", 1);
            store.put("things", "later", 1);
        },
        path: "things?watch=3",
        expected: { status: 200, era: "2", names: ["later"], currentRev: 4 },
    },
    {
        name: "a watch from a revision of the copy",
        act: store => store.put("things", "other", 1),
        path: "things?watch=2",
        expected: { status: 200, era: "2", names: ["other"], currentRev: 3 },
    },
    {
        name: "a write on an object of the copy",
        path: "things/kept",
        body: { metadata: { rev: 2 }, spec: 2 },
        expected: { status: 200, era: "2" },
    },
    {
        name: "a write on a lost object that was written again under its revision",
        act: store => store.put("things", "lost", 2),
        path: "things/lost",
        body: { metadata: { rev: 3 }, spec: 3 },
        expected: { status: 200, era: "2" },
    },
];
for (const { name, faults, act, path, body, expected } of cases) {
    test(`after a return from a copy: ${name} gives ${expected.status} in era ${expected.era}`, async t => {
        const store = await startStoreStandIn();
        t.teardown(store.close);
        await returnFromCopy(store);
        Object.assign(store.faults, faults);
        act?.(store);
        const answer = await call(store, path, body);
        const read = await answer.json() as Body;
        t.is(answer.status, expected.status);
        t.is(answer.headers.get("store-era") ?? undefined, expected.era);
        t.deepEqual(read.events?.map(({ object }) => object.metadata.name), expected.names);
        t.is(read.currentRev, expected.currentRev);
    });
}

test("a store that was only away loses nothing and stays in its era", async t => {
    const store = await startStoreStandIn();
    t.teardown(store.close);
    store.put("things", "kept", 1);
    await store.goAway();
    await t.throwsAsync(call(store, "things"));
    await store.returnFrom();
    t.is((await call(store, "things/kept")).headers.get("store-era"), "1");
});

test("a late write is carried out in the next era if its revision is given out again there", async t => {
    const store = await startStoreStandIn();
    t.teardown(store.close);
    const copy = store.copy();
    store.put("things", "lost", 1);
    const arrived = new Promise<void>(resolve => {
        const get = (): number => {
            resolve();
            return 2_000;
        };
        Object.defineProperty(store.faults, "lateMilliseconds", { get });
    });
    const written = call(store, "things/lost", { metadata: { rev: 2 }, spec: "late" });
    await arrived;
    await Promise.all([store.goAway(), t.throwsAsync(written)]);
    await store.returnFrom(copy);
    store.put("things", "lost", "again");
    t.is(store.read("things", "lost"), "again");
    await waitUntil("the late write is carried out", () => store.read("things", "lost") === "late");
    t.pass();
});
