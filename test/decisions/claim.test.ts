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

const copyMemory = (from: ClaimMemory, to: ClaimMemory, since: number, epoch: string, now: number): boolean => {
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

type Case = { title: string; run: (memory: ClaimMemory) => void; overrides?: Partial<ClaimQuestion>; verdict: string };

const cases: Case[] = [
    { title: "a new id is granted", run: () => undefined, verdict: "granted" },
    {
        title: "the same attempt is granted again",
        run: memory => memory.claim(question(), 0),
        verdict: "granted",
    },
    {
        title: "another attempt with a running id is refused",
        run: memory => memory.claim(question({ token: "attempt-0" }), 0),
        verdict: "running",
    },
    {
        title: "a first attempt that arrives after the second one is refused",
        run: memory => memory.claim(question({ token: "attempt-2", firstAttempt: false }), 0),
        verdict: "running",
    },
    {
        title: "an id whose request was answered is reported as answered",
        run: memory => {
            memory.claim(question({ token: "attempt-0" }), 0);
            settle(memory, "attempt-0", "answered");
        },
        verdict: "answered",
    },
    {
        title: "an id whose outcome is unknown is reported as unknown",
        run: memory => {
            memory.claim(question({ token: "attempt-0" }), 0);
            settle(memory, "attempt-0", "unknown");
        },
        verdict: "unknown",
    },
    {
        title: "an id whose request did not run is released",
        run: memory => {
            memory.claim(question({ token: "attempt-0" }), 0);
            settle(memory, "attempt-0", "not-run");
        },
        verdict: "granted",
    },
    {
        title: "an id is released only by the attempt that claimed it",
        run: memory => {
            memory.claim(question({ token: "attempt-0" }), 0);
            settle(memory, "attempt-9", "not-run");
        },
        verdict: "running",
    },
    {
        title: "a full memory refuses new ids instead of dropping old ones",
        run: memory => {
            for (let index = 0; index < 10; index += 1) {
                memory.claim(question({ id: `other-${index}` }), 0);
            }
        },
        verdict: "full",
    },
    {
        title: "expired entries are removed when the memory is full",
        run: memory => {
            for (let index = 0; index < 10; index += 1) {
                memory.claim(question({ id: `other-${index}` }), -ageMilliseconds);
            }
        },
        verdict: "granted",
    },
    {
        title: "a claim by a host that knows older keepers is refused",
        run: memory => memory.setKeepers(changed, "changed"),
        verdict: "other-keepers",
    },
    {
        title: "a keeper that stays in the group continues under the new set of keepers",
        run: memory => memory.setKeepers(changed, "changed"),
        overrides: { since: 2 },
        verdict: "granted",
    },
    {
        title: "a host that is no longer a keeper refuses claims",
        run: memory => memory.setKeepers(bothChanged, "changed"),
        overrides: { since: 2 },
        verdict: "other-keepers",
    },
    {
        title: "a keeper that missed a change of keepers is not ready",
        run: memory => memory.setKeepers({ ...changed, since: 3, previousSince: 2 }, "changed"),
        overrides: { since: 3 },
        verdict: "not-ready",
    },
];

for (const { title, run, overrides, verdict } of cases) {
    test(title, t => {
        const memory = memoryOf("a");
        memory.setKeepers(group, "born");
        run(memory);
        t.is(memory.claim(question(overrides), 0).verdict, verdict as never);
    });
}

test("a restarted keeper is not ready until it has copied the memory", t => {
    const partner = memoryOf("b");
    partner.setKeepers(group, "born");
    for (let index = 0; index < 5; index += 1) {
        partner.claim(question({ id: `id-${index}`, token: "attempt-0" }), 0);
    }
    const restarted = memoryOf("a");
    restarted.setKeepers(group, "found");
    t.is(restarted.claim(question(), 0).verdict, "not-ready");
    t.deepEqual(restarted.handoverSources(), ["b"]);
    t.true(copyMemory(partner, restarted, 1, "epoch-2", 0));
    t.is(restarted.claim(question(), 0).verdict, "running");
    t.is(partner.claim(question({ id: "new" }), 0).epoch, "epoch-2");
    t.is(restarted.claim(question({ id: "new" }), 0).epoch, "epoch-2");
});

test("grants before and after a handover have different epochs", t => {
    const partner = memoryOf("b");
    partner.setKeepers(group, "born");
    const lost = memoryOf("a");
    lost.setKeepers(group, "born");
    const early = lost.claim(question(), 0);
    const restarted = memoryOf("a");
    restarted.setKeepers(group, "found");
    copyMemory(partner, restarted, 1, "epoch-2", 0);
    const late = partner.claim(question(), 0);
    t.is(late.verdict, "granted");
    t.not(early.epoch, late.epoch);
});

test("a keeper hands its memory over only after it has stopped granting under the previous keepers", t => {
    const remaining = memoryOf("a");
    remaining.setKeepers(group, "born");
    const joining = memoryOf("c");
    joining.setKeepers(changed, "changed");
    t.false(copyMemory(remaining, joining, 2, "epoch-2", 0));
    remaining.setKeepers(changed, "changed");
    t.true(copyMemory(remaining, joining, 2, "epoch-2", 0));
    t.true(joining.isReady());
});

const memoryLostCases: Array<{ title: string; overrides: Partial<ClaimQuestion>; now: number; verdict: string }> = [
    {
        title: "an id that may have been sent before is refused",
        overrides: { firstAttempt: false },
        now: 50,
        verdict: "memory-lost",
    },
    { title: "a first attempt is granted", overrides: {}, now: 50, verdict: "granted" },
    {
        title: "a first attempt that was received before the loss is refused",
        overrides: { ageMilliseconds: 60 },
        now: 50,
        verdict: "memory-lost",
    },
    {
        title: "ids are granted again once the age limit has passed since the loss",
        overrides: { firstAttempt: false },
        now: ageMilliseconds,
        verdict: "granted",
    },
];

for (const { title, overrides, now, verdict } of memoryLostCases) {
    test(`lost memory: ${title}`, t => {
        const first = memoryOf("c");
        first.setKeepers(bothChanged, "changed");
        first.declareMemoryLost("epoch-3", 0);
        const second = memoryOf("d");
        second.setKeepers(bothChanged, "changed");
        t.true(copyMemory(first, second, 2, "epoch-4", 0));
        t.is(first.claim(question({ since: 2, ...overrides }), now).verdict, verdict as never);
        t.is(second.claim(question({ since: 2, ...overrides }), now).verdict, verdict as never);
    });
}

test("only the first keeper of a group may declare the memory lost", t => {
    const second = memoryOf("d");
    second.setKeepers(bothChanged, "changed");
    second.declareMemoryLost("epoch-3", 0);
    t.false(second.isReady());
});

test("a restarted keeper does not ask the previous keepers, which lack the claims made since the change", t => {
    const previous = memoryOf("b");
    previous.setKeepers(group, "born");
    previous.setKeepers(changed, "changed");
    const joining = memoryOf("c");
    joining.setKeepers(changed, "changed");
    t.deepEqual(joining.handoverSources(), ["a", "b"]);
    const restarted = memoryOf("c");
    restarted.setKeepers(changed, "found");
    t.deepEqual(restarted.handoverSources(), ["a"]);
});
