import test from "ava";
import fastCheck from "fast-check";
import type { Clock } from "../../src/contracts/clock.ts";
import type { ObjectsAnswer, ObjectsPush } from "../../src/contracts/objectmessages.ts";
import type { StoredObject } from "../../src/contracts/objects.ts";
import { createIsolation } from "../../src/decisions/isolation.ts";
import { createRevisionTracker } from "../../src/decisions/revisiontracker.ts";
import { createObjectView, type ObjectView } from "../../src/machines/objects.ts";
import { createReplica, type Replica } from "../../src/machines/replica.ts";
import { buildPush } from "../../src/machines/replication.ts";

const isolationMilliseconds = 10_000;
const freshnessMilliseconds = 1_000;

type TestReplica = { replica: Replica; objects: ObjectView; isolation: ReturnType<typeof createIsolation> };

const newReplica = (clock: Clock, maxAnswerBytes = 100_000): TestReplica => {
    const objects = createObjectView(() => 0);
    const isolation = createIsolation({ isolationMilliseconds, pauseMilliseconds: 60_000 });
    isolation.noteAnnounced(clock.now());
    const replica = createReplica({
        objects,
        revisionTracker: createRevisionTracker(),
        isolation,
        freshnessMilliseconds,
        isolationMilliseconds,
        maxAnswerBytes,
        clock,
    });
    return { replica, objects, isolation };
};

const fixedClock = (time: { now: number }): Clock => ({
    now: () => time.now,
    sleep: () => Promise.resolve(),
    after: () => () => undefined,
});

/** A plan whose customer names its write, with so many hashes that a difference is smaller than the whole object. */
const plan = (name: string, version: number, deleted = false): StoredObject => ({
    kind: "plans",
    name,
    version,
    writeId: `write-${version}`,
    deleted,
    value: deleted ? {} : { customer: `customer-${version}`, tokenHashes: ["a", "b", "c"].map(c => c.repeat(64)) },
});

/** All writes to the platform: plans "a" and "b" are written, changed, deleted and recreated. */
const history = [
    plan("a", 1),
    plan("b", 2),
    plan("a", 3),
    plan("a", 4, true),
    plan("b", 5),
    plan("a", 6),
    plan("b", 7, true),
];

const stateAt = (position: number): StoredObject[] => {
    const newest = new Map<string, StoredObject>();
    history.filter(item => item.version <= position).forEach(item => newest.set(item.name, item));
    return [...newest.values()];
};

const pageOf = (after: number, position: number) => ({
    position,
    items: stateAt(position).filter(item => item.version > after),
});

const inForce = (objects: ObjectView): Record<string, number> =>
    Object.fromEntries(objects.states().map(({ name, inForce: version }) => [name, version]));

/** The pushes that a relay sends while it reads the history one write at a time. */
const relayPushes = (): ObjectsPush[] => {
    const { replica } = newReplica(fixedClock({ now: 0 }));
    const pushes: ObjectsPush[] = [];
    replica.onUpdate(update => pushes.push(buildPush(update)));
    for (const index of history.keys()) {
        replica.applyPage(pageOf(index, index + 1), index, 0);
    }
    return pushes;
};

type Delivery = { title: string; order: number[]; position: number; inForce: Record<string, number> };

const deliveries: Delivery[] = [
    { title: "in order", order: [0, 1, 2, 3, 4, 5, 6], position: 7, inForce: { a: 6, b: 7 } },
    { title: "each twice", order: [0, 0, 1, 1, 2, 2, 3, 3, 4, 4], position: 5, inForce: { a: 4, b: 5 } },
    { title: "without the first", order: [1, 2], position: 0, inForce: { b: 2 } },
    { title: "without one in the middle", order: [0, 1, 3, 4], position: 2, inForce: { a: 4, b: 5 } },
    { title: "with a former version after a tombstone", order: [0, 1, 3, 2], position: 3, inForce: { a: 4, b: 2 } },
    {
        title: "with a former version after the name was recreated",
        order: [0, 1, 3, 5, 2],
        position: 3,
        inForce: { a: 6, b: 2 },
    },
    { title: "in reverse order", order: [6, 5, 4, 3, 2, 1, 0], position: 1, inForce: { a: 6, b: 7 } },
];

for (const { title, order, position, inForce: expected } of deliveries) {
    test(`pushes applied ${title}`, t => {
        const pushes = relayPushes();
        const { replica, objects } = newReplica(fixedClock({ now: 0 }));
        order.forEach(index => replica.applyPush(pushes[index]));
        t.is(replica.position(), position);
        t.deepEqual(inForce(objects), expected);
        replica.applyPage(pageOf(replica.position(), 7), replica.position(), 0);
        t.deepEqual(inForce(objects), { a: 6, b: 7 });
    });
}

test("a changed object is pushed as a difference, a new or deleted one whole", t => {
    const pushes = relayPushes().map(push => [push.whole.length, push.differences.length]);
    t.deepEqual(pushes, [[1, 0], [1, 0], [0, 1], [1, 0], [0, 1], [1, 0], [1, 0]]);
});

test("a difference against another version is a gap and changes nothing", t => {
    const pushes = relayPushes();
    const { replica, objects } = newReplica(fixedClock({ now: 0 }));
    t.true(replica.applyPush(pushes[0]));
    t.false(
        replica.applyPush({ ...pushes[2], after: 1, differences: [{ ...pushes[2].differences[0], baseVersion: 2 }] }),
    );
    t.is(replica.position(), 1);
    t.deepEqual(inForce(objects), { a: 1 });
});

for (const letter of ["a", "\u00e9", "\u6c34"]) {
    test(`an answer stays within its bytes with names of the letter ${letter}`, t => {
        const items = [1, 2].map(version => plan(letter.repeat(100 + version), version));
        const bytes = items.reduce((sum, item) => sum + Buffer.byteLength(JSON.stringify(item)), 0);
        for (const [limit, count] of [[bytes - 1, 1], [bytes, 2]]) {
            const { replica } = newReplica(fixedClock({ now: 0 }), limit);
            replica.applyPage({ position: 2, items }, 0, 0);
            t.is(replica.answer(0, []).items.length, count);
        }
    });
}

test("no order, loss or duplication of pages, answers and pushes lowers a version or moves the position past a missing object", t => {
    const step = fastCheck.record({
        kind: fastCheck.constantFrom("page", "push", "answer"),
        index: fastCheck.nat(history.length - 1),
        from: fastCheck.nat(2),
        to: fastCheck.nat(2),
    });
    const pushes = relayPushes();
    fastCheck.assert(
        fastCheck.property(fastCheck.array(step, { maxLength: 40 }), steps => {
            const hosts = [0, 1, 2].map(() => newReplica(fixedClock({ now: 0 })));
            const former = hosts.map((): Record<string, number> => ({}));
            for (const { kind, index, from, to } of steps) {
                const { replica } = hosts[to];
                const after = replica.position();
                if (kind === "page") {
                    replica.applyPage(pageOf(after, Math.max(after, index)), after, 0);
                }
                else if (kind === "push") {
                    replica.applyPush(pushes[index]);
                }
                else {
                    replica.applyAnswer(hosts[from].replica.answer(after, []), after, 0);
                }
                hosts.forEach(({ objects, replica: held }, host) => {
                    const now = inForce(objects);
                    for (const [name, version] of Object.entries(former[host])) {
                        if (now[name] < version) {
                            throw new Error(`Plan ${name} went from ${version} down to ${now[name]}.`);
                        }
                    }
                    for (const item of stateAt(held.position())) {
                        if ((now[item.name] ?? 0) < item.version) {
                            throw new Error(`Position ${held.position()} lacks version ${item.version}.`);
                        }
                    }
                    former[host] = now;
                });
            }
        }),
        { seed: 6, numRuns: 500 },
    );
    t.pass();
});

test("an answer is limited in size and the next one continues where it ended", t => {
    const clock = fixedClock({ now: 0 });
    const relay = newReplica(clock, JSON.stringify(history[0]).length + 1);
    relay.replica.applyPage(pageOf(0, 5), 0, 0);
    const { replica, objects } = newReplica(clock);
    const first = relay.replica.answer(0, []);
    t.deepEqual([first.items.length, first.more, first.position], [1, true, 4]);
    t.false(replica.applyAnswer(first, 0, 0));
    t.true(replica.applyAnswer(relay.replica.answer(replica.position(), []), replica.position(), 0));
    t.deepEqual(inForce(objects), { a: 4, b: 5 });
});

/** `fresh` and `admit` are the remaining milliseconds that the host takes over from the relay. */
type Relayed = { title: string; askedAt: number; readAt: number; ready?: boolean; fresh: number; admit: number };

const relayed: Relayed[] = [
    { title: "a fresh relay", askedAt: 500, readAt: 400, fresh: 900, admit: 9_900 },
    { title: "a relay whose read has aged", askedAt: 1_500, readAt: 400, fresh: 0, admit: 8_900 },
    { title: "a relay that stopped admitting", askedAt: 20_000, readAt: 400, fresh: 0, admit: 0 },
    { title: "a relay that has not caught up", askedAt: 500, readAt: 400, ready: false, fresh: 0, admit: 0 },
];

for (const { title, askedAt, readAt, ready, fresh, admit } of relayed) {
    test(`deadlines taken over from ${title}`, t => {
        const time = { now: 0 };
        const relay = newReplica(fixedClock(time));
        const host = newReplica(fixedClock(time));
        time.now = readAt;
        relay.replica.applyPage(pageOf(0, 1), 0, readAt);
        time.now = askedAt;
        const answer: ObjectsAnswer = { ...relay.replica.answer(0, []), ...(ready === false ? { ready } : {}) };
        host.replica.applyAnswer(answer, 0, askedAt);
        t.is(host.replica.freshMilliseconds(), fresh);
        t.is(host.isolation.remaining(askedAt), admit);
    });
}
