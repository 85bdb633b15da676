/**
 * A reader and its follower that do not know of the same era of the store: what is of an ended era is taken by nobody, and
 * whoever knows of the later era tells the other.
 */
import test from "ava";
import { placeOf } from "../../../src/contracts/storehistory.ts";
import { decodeFrame } from "../../../src/links/frames.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import type { PeerListener } from "../../../src/links/peers.ts";
import { createCurrentSource } from "../../../src/machines/resident/currentsource.ts";
import { createStateCache } from "../../../src/machines/resident/statecache.ts";
import { createStateFollow } from "../../../src/machines/resident/statefollow.ts";
import { createStateServer } from "../../../src/machines/resident/stateserver.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeStore } from "./fakestore.ts";

const kind = "config";
const kinds = [kind];
const patches = { [kind]: { between: () => "patch", apply: () => "patched" } };

const setUp = () => {
    const clock = createVirtualClock();
    const { store } = createFakeStore(clock);
    const { signal } = new AbortController();
    const cache = createStateCache();
    return { store, cache, common: { clock, log: silentLog, metrics: createMetrics(), signal } };
};

/** Starts a follow, of which the test is the reader. */
const setUpFollow = () => {
    const { store, cache, common } = setUp();
    const sent: unknown[] = [];
    let listener: PeerListener | undefined;
    const follow = createStateFollow({
        ...common,
        self: "h1",
        reader: { name: "h2", zone: "z1", address: "10.0.0.2:1", processor: 1 },
        store,
        cache,
        kinds,
        patches,
        dial: (...[, , given]) => {
            listener = given;
            return {
                send: value => sent.push(value),
                sendFrame: () => undefined,
                isOpen: () => true,
                queuedBytes: () => 0,
                close: () => undefined,
            };
        },
        onChange: () => undefined,
        onLoads: () => undefined,
    });
    const tell = (frame: unknown): unknown => listener!.onFrame(frame);
    return { store, cache, follow, sent, tell };
};

type Frame = Record<string, unknown>;
const listAt = (position: number): Frame => ({
    kind: "changes",
    of: kind,
    position,
    objects: [["main", position, "value"]],
    patches: [],
    removed: [],
});
const changesAt = (since: number, position: number, rest: Frame = {}): Frame => ({
    ...listAt(position),
    since,
    ...rest,
});
const status = (era?: number): Frame => ({ kind: "status", current: true, era });

const cases: Array<{
    title: string;
    /** Era of which the follower knows before. */
    known: number;
    told: Frame[];
    state: "current" | "refused" | "waiting";
    era: number;
    position: number | undefined;
    /** What the follower sends, without its name. */
    sent: Frame[];
}> = [
    {
        title: "a list of the known era is taken",
        known: 2,
        told: [listAt(placeOf(2, 5)), status(2)],
        state: "current",
        era: 2,
        position: placeOf(2, 5),
        sent: [],
    },
    {
        title: "a list of a later era is taken, and its era is known",
        known: 1,
        told: [listAt(placeOf(1, 9)), listAt(placeOf(2, 5)), status(2)],
        state: "current",
        era: 2,
        position: placeOf(2, 5),
        sent: [],
    },
    {
        title: "nothing of an ended era is taken, and the reader is told of the later one",
        known: 2,
        told: [listAt(placeOf(1, 9)), status(1), status(1)],
        state: "refused",
        era: 2,
        position: undefined,
        sent: [{ positions: {}, era: 2 }],
    },
    {
        title: "nothing of an ended era is taken from a reader that does not tell its era",
        known: 2,
        told: [listAt(placeOf(1, 9)), status()],
        state: "refused",
        era: 2,
        position: undefined,
        sent: [],
    },
    {
        title: "a reader that does not tell its era is not current for a follower that holds all of a later one",
        known: 2,
        told: [listAt(placeOf(2, 5)), status()],
        state: "refused",
        era: 2,
        position: placeOf(2, 5),
        sent: [],
    },
    {
        title: "a reader whose era is later than what it sent is not current",
        known: 1,
        told: [listAt(placeOf(1, 9)), status(2)],
        state: "refused",
        era: 2,
        position: placeOf(1, 9),
        sent: [],
    },
    {
        title: "changes that begin in an ended era are asked for whole",
        known: 1,
        told: [listAt(placeOf(1, 9)), changesAt(placeOf(1, 9), placeOf(2, 5))],
        state: "waiting",
        era: 2,
        position: placeOf(1, 9),
        sent: [{ positions: {}, era: 2 }],
    },
    {
        title: "a difference from a revision of another era is asked for whole",
        known: 1,
        told: [
            listAt(placeOf(2, 5)),
            changesAt(placeOf(2, 5), placeOf(2, 7), {
                objects: [],
                patches: [["main", placeOf(2, 7), placeOf(1, 5), "patch"]],
            }),
        ],
        state: "waiting",
        era: 2,
        position: placeOf(2, 5),
        sent: [{ positions: {}, era: 2 }],
    },
];

for (const { title, known, told, state, era, position, sent } of cases) {
    test(title, t => {
        const follower = setUpFollow();
        follower.store.learnEra(known);
        told.forEach(frame => t.not(follower.tell(frame), false));
        t.is(follower.follow.state(), state);
        t.is(follower.store.era(), era);
        t.is(follower.cache.position(kind), position);
        t.deepEqual(follower.sent, sent.map(message => ({ kind: "follow", host: "h1", inflates: true, ...message })));
    });
}

/** Starts a server with one follower, of which the test is the other end. */
const setUpServer = () => {
    const { store, cache, common } = setUp();
    const told: Frame[] = [];
    const server = createStateServer({
        ...common,
        store,
        cache,
        kinds,
        patches,
        isCurrent: () => true,
        ages: () => ({}),
        onLoads: () => undefined,
        wholeLoads: () => ({ kind: "loads", whole: true, loads: [] }),
    });
    const { onFrame } = server.service({
        send: value => told.push(value as Frame),
        sendFrame: frame => told.push(decodeFrame(frame) as Frame),
        isOpen: () => true,
        queuedBytes: () => 0,
        close: () => undefined,
    });
    const toldOf = (of: string): Frame[] => told.filter(frame => frame.kind === of);
    return { store, cache, onFrame, toldOf };
};

test("a reader learns of the era from its follower, and tells it", t => {
    const { store, onFrame, toldOf } = setUpServer();
    onFrame({ kind: "follow", host: "h1", positions: {}, era: 3 });
    t.is(store.era(), 3);
    t.is(toldOf("status")[0]?.era, 3);
});

/** Guards against a host of an earlier version that watches the store from a place, and lists an older position. */
for (
    const { era, follower, isServed } of [
        { era: 1, follower: undefined, isServed: false },
        { era: 1, follower: 1, isServed: true },
        { era: 0, follower: undefined, isServed: true },
    ]
) {
    test(`in era ${era}, a follower that tells the era ${follower} is ${isServed ? "" : "not "}served`, t => {
        const { store, cache, onFrame, toldOf } = setUpServer();
        store.learnEra(era);
        cache.applyList(kind, { objects: [], position: placeOf(era, 5) });
        onFrame({ kind: "follow", host: "h1", positions: {}, era: follower });
        cache.applyChanges(kind, { events: [], position: placeOf(era, 6) });
        t.is(toldOf("changes").length, isServed ? 2 : 0);
        t.is(toldOf("status")[0]?.current, isServed);
    });
}

test("a reader is current only once all kinds are of the latest era", async t => {
    const { store, cache, common } = setUp();
    const both = ["config", "servers"];
    let changes = 0;
    const current = createCurrentSource({
        ...common,
        paces: Object.fromEntries(both.map(of => [of, { maxAgeMilliseconds: 1_000 }])),
        store,
        cache,
        onChange: () => {
            changes += 1;
        },
        onSourceChange: () => undefined,
        onStoreFailure: () => undefined,
    });
    current.set({ kind: "store" }, "test");
    both.forEach(of => cache.applyList(of, { objects: [], position: placeOf(1, 9) }));
    store.learnEra(1);
    for (const of of both) {
        await current.callStore(of, () => Promise.resolve(), (...[, calledAt]) => calledAt, undefined);
    }
    t.true(current.isCurrent());
    changes = 0;
    store.learnEra(2);
    t.false(current.isCurrent());
    t.is(changes, 1);
    cache.applyList("config", { objects: [], position: placeOf(2, 3) });
    t.false(current.isCurrent());
    cache.applyList("servers", { objects: [], position: placeOf(2, 3) });
    t.true(current.isCurrent());
});

/** Guards against a reader that stays current after the store has answered its watches early and fallen silent. */
test("an answer before the end of its wait confirms nothing of the time after it", async t => {
    const { store, cache, common } = setUp();
    const current = createCurrentSource({
        ...common,
        paces: { [kind]: { maxAgeMilliseconds: 1_000 } },
        store,
        cache,
        onChange: () => undefined,
        onSourceChange: () => undefined,
        onStoreFailure: () => undefined,
    });
    current.set({ kind: "store" }, "test");
    cache.applyList(kind, { objects: [], position: 9 });
    await current.callStore(kind, () => Promise.resolve(), (...[, calledAt]) => calledAt + 3_000, undefined);
    t.deepEqual(current.ages(), { [kind]: 0 });
    t.true(current.isCurrent());
    await common.clock.advance(1_100);
    t.false(current.isCurrent());
});
