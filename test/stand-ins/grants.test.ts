/**
 * The grant ledger of the stand-in target. The benches conclude from its spans whether two targets owned a key at the
 * same time, so the spans must match the grants exactly.
 */
import test from "ava";
import type { Grant, GrantAnswer } from "../../src/contracts/grant.ts";
import { createGrantLedger, type OwnedSpan } from "../../stand-ins/grants.ts";

type Step = { at: number; revision?: number; validUntil?: number; slots?: number[]; exceptKeys?: string[] };
type Case = { title: string; steps: Step[]; spans: Array<[from: number, until: number, slots: number[]]> };

const slotHash = (key: string): number => key.length;

const grantOf = (step: Step): Grant => ({
    pool: "orders",
    revision: step.revision ?? 1,
    incarnation: "first",
    validUntil: step.validUntil ?? 0,
    slots: step.slots,
    ...(step.slots === undefined ? {} : { keys: [], exceptKeys: step.exceptKeys ?? [] }),
});

const ledgerAt = (time: { now: number }, spans: OwnedSpan[]) =>
    createGrantLedger({ incarnation: "first", slotCount: 8, slotHash, clock: () => time.now, spans });

const cases: Case[] = [
    {
        title: "a renewal extends the span",
        steps: [{ at: 0, validUntil: 10, slots: [1] }, { at: 5, validUntil: 15 }],
        spans: [[0, 15, [1]]],
    },
    {
        title: "a renewal after the lapse opens another span",
        steps: [{ at: 0, validUntil: 10, slots: [1] }, { at: 20, validUntil: 30 }],
        spans: [[0, 10, [1]], [20, 30, [1]]],
    },
    {
        title: "a renewal that arrives after its own end opens no span",
        steps: [{ at: 0, validUntil: 10, slots: [1] }, { at: 20, validUntil: 15 }],
        spans: [[0, 10, [1]]],
    },
    {
        title: "a higher revision ends the span at once",
        steps: [{ at: 0, validUntil: 10, slots: [1, 2] }, { at: 4, revision: 2, validUntil: 14, slots: [2] }],
        spans: [[0, 4, [1, 2]], [4, 14, [2]]],
    },
    {
        title: "a lower revision changes nothing",
        steps: [{ at: 0, revision: 2, validUntil: 10, slots: [1] }, { at: 4, validUntil: 14, slots: [1, 2] }],
        spans: [[0, 10, [1]]],
    },
];

for (const { title, steps, spans } of cases) {
    test(title, t => {
        const time = { now: 0 };
        const recorded: OwnedSpan[] = [];
        const ledger = ledgerAt(time, recorded);
        for (const step of steps) {
            time.now = step.at;
            ledger.take(grantOf(step));
        }
        t.deepEqual(recorded.map(({ from, until, slots }) => [from, until, slots]), spans);
    });
}

type Ending = { title: string; steps: Step[]; endAt: number; entitled: boolean; releasing: number[]; keys: string[] };

const endings: Ending[] = [
    { title: "a request ends under its grant", steps: [], endAt: 5, entitled: true, releasing: [], keys: [] },
    { title: "a request ends after its grant", steps: [], endAt: 10, entitled: false, releasing: [], keys: [] },
    {
        title: "a request ends under a grant that arrived after a lapse",
        steps: [{ at: 20, validUntil: 30, slots: [1] }],
        endAt: 21,
        entitled: false,
        releasing: [],
        keys: [],
    },
    {
        title: "a request ends after its slot was taken away, within the former grant",
        steps: [{ at: 4, revision: 2, validUntil: 14, slots: [2] }],
        endAt: 9,
        entitled: true,
        releasing: [1],
        keys: ["k"],
    },
    {
        title: "a request ends after its key was excepted from its slot, past the former grant",
        steps: [{ at: 4, revision: 2, validUntil: 14, slots: [1], exceptKeys: ["k"] }],
        endAt: 11,
        entitled: false,
        releasing: [],
        keys: ["k"],
    },
];

for (const { title, steps, endAt, entitled, releasing, keys } of endings) {
    test(title, t => {
        const time = { now: 0 };
        const ledger = ledgerAt(time, []);
        ledger.take(grantOf({ at: 0, validUntil: 10, slots: [1] }));
        const request = ledger.begin("orders", "k");
        let last: Pick<GrantAnswer, "releasing" | "releasingKeys"> = { releasing: [], releasingKeys: [] };
        for (const step of steps) {
            time.now = step.at;
            last = ledger.take(grantOf(step));
        }
        time.now = endAt;
        t.is(ledger.end(request), entitled);
        t.deepEqual([last.releasing, last.releasingKeys], [releasing, keys]);
    });
}
