import test from "ava";
import type { KeeperGroup } from "../../src/contracts/assignment.ts";
import type { ClaimQuestion } from "../../src/contracts/requestmessages.ts";
import { type ClaimMemory, createClaimMemory, type EntryLimit } from "../../src/decisions/claim.ts";

const ageMilliseconds = 1_000;
const group: KeeperGroup = { hosts: ["a", "b"], since: 1, previous: [] };
const changed: KeeperGroup = { hosts: ["a", "c"], since: 2, previous: ["a", "b"], previousSince: 1 };
const bothChanged: KeeperGroup = { hosts: ["c", "d"], since: 2, previous: ["a", "b"], previousSince: 1 };

const memoryOf = (host: string, bound: EntryLimit = { used: 0, max: 10 }): ClaimMemory =>
    createClaimMemory({ host, ageMilliseconds, entryLimit: bound, pageEntries: 2 });

const question = (part: Partial<ClaimQuestion> = {}): ClaimQuestion => ({
    kind: "claim",
    pool: "orders",
    group: 0,
    since: 1,
    id: "id-1",
    token: "attempt-1",
    firstAttempt: true,
    ageMilliseconds: 0,
    ...part,
});

const takeAll = (from: ClaimMemory, to: ClaimMemory, since: number, epoch: string, now: number): boolean => {
    let offset = 0;
    for (;;) {
        const place = { pool: "orders", group: 0, since, epoch, offset };
        const page = from.readPage({ kind: "claim-memory-question", ...place }, now);
        if (!page.available) {
            return false;
        }
        to.importPage(page, since, epoch, now);
        offset += page.entries.length;
        if (page.last) {
            return true;
        }
    }
};

const settle = (memory: ClaimMemory, token: string, outcome: "answered" | "unknown" | "not-run"): void => {
    memory.recordOutcome({ kind: "claim-outcome", pool: "orders", group: 0, id: "id-1", token, outcome });
};

type Case = { title: string; run: (memory: ClaimMemory) => void; asked?: Partial<ClaimQuestion>; verdict: string };

const cases: Case[] = [
    { title: "a new id is granted", run: () => undefined, verdict: "granted" },
    {
        title: "the same attempt is granted again",
        run: memory => memory.claim(question(), 0),
        verdict: "granted",
    },
    {
        title: "another attempt of a running id is not",
        run: memory => memory.claim(question({ token: "attempt-0" }), 0),
        verdict: "running",
    },
    {
        title: "a first attempt that comes after the second is not granted",
        run: memory => memory.claim(question({ token: "attempt-2", firstAttempt: false }), 0),
        verdict: "running",
    },
    {
        title: "an answered id is told",
        run: memory => {
            memory.claim(question({ token: "attempt-0" }), 0);
            settle(memory, "attempt-0", "answered");
        },
        verdict: "answered",
    },
    {
        title: "an id of unknown outcome is told",
        run: memory => {
            memory.claim(question({ token: "attempt-0" }), 0);
            settle(memory, "attempt-0", "unknown");
        },
        verdict: "unknown",
    },
    {
        title: "an id that did not run is released",
        run: memory => {
            memory.claim(question({ token: "attempt-0" }), 0);
            settle(memory, "attempt-0", "not-run");
        },
        verdict: "granted",
    },
    {
        title: "only its own attempt releases an id",
        run: memory => {
            memory.claim(question({ token: "attempt-0" }), 0);
            settle(memory, "attempt-9", "not-run");
        },
        verdict: "running",
    },
    {
        title: "a full memory refuses and forgets nothing",
        run: memory => {
            for (let index = 0; index < 10; index += 1) {
                memory.claim(question({ id: `other-${index}` }), 0);
            }
        },
        verdict: "full",
    },
    {
        title: "aged entries make room",
        run: memory => {
            for (let index = 0; index < 10; index += 1) {
                memory.claim(question({ id: `other-${index}` }), -ageMilliseconds);
            }
        },
        verdict: "granted",
    },
    {
        title: "a host that sees older keepers is refused",
        run: memory => memory.setKeepers(changed, "changed"),
        verdict: "other-keepers",
    },
    {
        title: "a keeper that stays goes on under the new keepers",
        run: memory => memory.setKeepers(changed, "changed"),
        asked: { since: 2 },
        verdict: "granted",
    },
    {
        title: "a keeper that is no longer named refuses",
        run: memory => memory.setKeepers(bothChanged, "changed"),
        asked: { since: 2 },
        verdict: "other-keepers",
    },
    {
        title: "a keeper that missed a change is not ready",
        run: memory => memory.setKeepers({ ...changed, since: 3, previousSince: 2 }, "changed"),
        asked: { since: 3 },
        verdict: "not-ready",
    },
];

for (const { title, run, asked, verdict } of cases) {
    test(title, t => {
        const memory = memoryOf("a");
        memory.setKeepers(group, "born");
        run(memory);
        t.is(memory.claim(question(asked), 0).verdict, verdict as never);
    });
}

test("a keeper that starts again holds nothing until it took the memory over", t => {
    const partner = memoryOf("b");
    partner.setKeepers(group, "born");
    for (let index = 0; index < 5; index += 1) {
        partner.claim(question({ id: `id-${index}`, token: "attempt-0" }), 0);
    }
    const restarted = memoryOf("a");
    restarted.setKeepers(group, "found");
    t.is(restarted.claim(question(), 0).verdict, "not-ready");
    t.deepEqual(restarted.handoverSources(), ["b"]);
    t.true(takeAll(partner, restarted, 1, "epoch-2", 0));
    t.is(restarted.claim(question(), 0).verdict, "running");
    t.is(partner.claim(question({ id: "new" }), 0).epoch, "epoch-2");
    t.is(restarted.claim(question({ id: "new" }), 0).epoch, "epoch-2");
});

test("a grant before a hand-over and one after it are of different epochs", t => {
    const partner = memoryOf("b");
    partner.setKeepers(group, "born");
    const lost = memoryOf("a");
    lost.setKeepers(group, "born");
    const early = lost.claim(question(), 0);
    const restarted = memoryOf("a");
    restarted.setKeepers(group, "found");
    takeAll(partner, restarted, 1, "epoch-2", 0);
    const late = partner.claim(question(), 0);
    t.is(late.verdict, "granted");
    t.not(early.epoch, late.epoch);
});

test("the memory is given only when the older keepers' time is over here", t => {
    const stays = memoryOf("a");
    stays.setKeepers(group, "born");
    const joins = memoryOf("c");
    joins.setKeepers(changed, "changed");
    t.false(takeAll(stays, joins, 2, "epoch-2", 0));
    stays.setKeepers(changed, "changed");
    t.true(takeAll(stays, joins, 2, "epoch-2", 0));
    t.true(joins.isReady());
});

const lostCases: Array<{ title: string; asked: Partial<ClaimQuestion>; now: number; verdict: string }> = [
    {
        title: "an id that may be sent again is refused",
        asked: { firstAttempt: false },
        now: 50,
        verdict: "memory-lost",
    },
    { title: "a first attempt is granted", asked: {}, now: 50, verdict: "granted" },
    {
        title: "a first attempt that was received before the loss is refused",
        asked: { ageMilliseconds: 60 },
        now: 50,
        verdict: "memory-lost",
    },
    {
        title: "the age of the memory ends it",
        asked: { firstAttempt: false },
        now: ageMilliseconds,
        verdict: "granted",
    },
];

for (const { title, asked, now, verdict } of lostCases) {
    test(`lost memory: ${title}`, t => {
        const first = memoryOf("c");
        first.setKeepers(bothChanged, "changed");
        first.declareMemoryLost("epoch-3", 0);
        const second = memoryOf("d");
        second.setKeepers(bothChanged, "changed");
        t.true(takeAll(first, second, 2, "epoch-4", 0));
        t.is(first.claim(question({ since: 2, ...asked }), now).verdict, verdict as never);
        t.is(second.claim(question({ since: 2, ...asked }), now).verdict, verdict as never);
    });
}

test("only the first keeper gives the memory up", t => {
    const second = memoryOf("d");
    second.setKeepers(bothChanged, "changed");
    second.declareMemoryLost("epoch-3", 0);
    t.false(second.isReady());
});

test("a keeper that starts again does not ask the keepers before, who do not know what was claimed since", t => {
    const before = memoryOf("b");
    before.setKeepers(group, "born");
    before.setKeepers(changed, "changed");
    const joins = memoryOf("c");
    joins.setKeepers(changed, "changed");
    t.deepEqual(joins.handoverSources(), ["a", "b"]);
    const restarted = memoryOf("c");
    restarted.setKeepers(changed, "found");
    t.deepEqual(restarted.handoverSources(), ["a"]);
});
