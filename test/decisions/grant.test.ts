import test from "ava";
import type { Assignment, Move } from "../../src/contracts/assignment.ts";
import type { Grant } from "../../src/contracts/grant.ts";
import {
    type Entitlement,
    entitlementOf,
    type HeldGrant,
    isWithheld,
    releasingOf,
    requestRefusal,
    takeGrant,
    validUntilOf,
} from "../../src/decisions/grant.ts";

const held: HeldGrant = {
    revision: 7,
    validUntil: 500,
    slots: new Set([1, 2]),
    keys: new Set(["lifted"]),
    exceptKeys: new Set(["away"]),
};
const grant = (changes: Partial<Grant>): Grant => ({
    pool: "orders",
    revision: 7,
    incarnation: "i1",
    validUntil: 600,
    ...changes,
});

const grants: Array<{
    title: string;
    before?: HeldGrant;
    grant: Grant;
    refusal?: string;
    after: Pick<HeldGrant, "revision" | "validUntil"> & { slots: number[]; exceptKeys: string[] };
}> = [
    {
        title: "for another incarnation",
        grant: grant({ incarnation: "i0", revision: 9 }),
        refusal: "other-incarnation",
        after: { revision: 7, validUntil: 500, slots: [1, 2], exceptKeys: ["away"] },
    },
    {
        title: "of a lower revision",
        grant: grant({ revision: 6, slots: [1] }),
        refusal: "stale-revision",
        after: { revision: 7, validUntil: 500, slots: [1, 2], exceptKeys: ["away"] },
    },
    {
        title: "of a higher revision without slots",
        grant: grant({ revision: 8 }),
        refusal: "slots-needed",
        after: { revision: 7, validUntil: 500, slots: [1, 2], exceptKeys: ["away"] },
    },
    {
        title: "that renews the held one",
        grant: grant({}),
        after: { revision: 7, validUntil: 600, slots: [1, 2], exceptKeys: ["away"] },
    },
    {
        title: "that ends before the held one",
        grant: grant({ validUntil: 400 }),
        after: { revision: 7, validUntil: 500, slots: [1, 2], exceptKeys: ["away"] },
    },
    {
        title: "from a renewer that knows of fewer released moves",
        grant: grant({ slots: [1], keys: [], exceptKeys: ["away", "other"] }),
        after: { revision: 7, validUntil: 600, slots: [1, 2], exceptKeys: ["away"] },
    },
    {
        title: "from a renewer that knows of more released moves",
        grant: grant({ slots: [1, 2, 3], keys: [], exceptKeys: [] }),
        after: { revision: 7, validUntil: 600, slots: [1, 2, 3], exceptKeys: [] },
    },
    {
        title: "of a higher revision",
        grant: grant({ revision: 8, validUntil: 0, slots: [2], keys: [], exceptKeys: [] }),
        after: { revision: 8, validUntil: 0, slots: [2], exceptKeys: [] },
    },
];

for (const { title, grant: offered, refusal, after } of grants) {
    test(`a grant ${title}`, t => {
        const decision = takeGrant(held, offered, "i1");
        t.is(decision.refusal, refusal as typeof decision.refusal);
        const { revision, validUntil, slots, exceptKeys } = decision.held!;
        t.deepEqual({ revision, validUntil, slots: [...slots], exceptKeys: [...exceptKeys] }, after);
    });
}

const requests: Array<
    { title: string; revision?: number; slot: number; key?: string; clock?: number; refusal?: string }
> = [
    { title: "of an owned slot", slot: 1 },
    { title: "with a lower fence", slot: 1, revision: 6, refusal: "fence" },
    { title: "with a higher fence", slot: 1, revision: 8 },
    { title: "at the end of the grant", slot: 1, clock: 500, refusal: "no-grant" },
    { title: "of another slot", slot: 3, refusal: "no-grant" },
    { title: "of a key placed here", slot: 3, key: "lifted" },
    { title: "of a key placed elsewhere", slot: 1, key: "away", refusal: "no-grant" },
];

for (const { title, revision = 7, slot, key = "k", clock = 499, refusal } of requests) {
    test(`a request ${title}`, t => {
        t.is(requestRefusal(held, { revision, slot, key }, clock), refusal as ReturnType<typeof requestRefusal>);
    });
}

test("a target without a grant refuses", t => {
    t.is(requestRefusal(undefined, { revision: 1, slot: 1, key: "k" }, 0), "no-grant");
});

test("releasing lists slots and keys that the grant does not cover and on which requests run", t => {
    const running = [{ slot: 1, key: "k" }, { slot: 3, key: "x" }, { slot: 1, key: "away" }, {
        slot: 4,
        key: "lifted",
    }];
    t.deepEqual(releasingOf(held, running), { releasing: [3, 4], releasingKeys: ["x", "away"] });
});

test("a grant counts from the reading of the target's clock, and a withheld one allows no time", t => {
    t.is(validUntilOf(1_000, 400, false), 1_400);
    t.is(validUntilOf(1_000, 400, true), 0);
});

const assignment: Assignment = {
    revision: 9,
    targets: ["a", "b"],
    owners: [0, 0, 1, 1],
    hotKeys: [{ key: "hot", target: "b" }],
    moves: [],
    renewers: {},
    witnesses: [],
    keepers: [],
};
const slots: Move = { since: 9, from: "a", to: "b", slots: [2], keys: [] };
const movedHotKey: Move = { since: 9, from: "a", to: "b", slots: [], keys: ["hot"] };
const returnedKey: Move = { since: 8, from: "b", to: "a", slots: [], keys: ["cold"] };

const entitlements: Array<{ title: string; moves: Move[]; target: string; released?: Move[]; expected: Entitlement }> =
    [
        { title: "no moves", moves: [], target: "b", expected: { slots: [2, 3], keys: ["hot"], exceptKeys: [] } },
        {
            title: "a hot key on another target",
            moves: [],
            target: "a",
            expected: { slots: [0, 1], keys: [], exceptKeys: ["hot"] },
        },
        {
            title: "a slot in an unreleased move",
            moves: [slots],
            target: "b",
            expected: { slots: [3], keys: ["hot"], exceptKeys: [] },
        },
        {
            title: "a slot in a released move",
            moves: [slots],
            target: "b",
            released: [slots],
            expected: { slots: [2, 3], keys: ["hot"], exceptKeys: [] },
        },
        {
            title: "a hot key in an unreleased move",
            moves: [movedHotKey],
            target: "b",
            expected: { slots: [2, 3], keys: [], exceptKeys: [] },
        },
        {
            title: "a former hot key in an unreleased move back to its slot",
            moves: [returnedKey],
            target: "a",
            expected: { slots: [0, 1], keys: [], exceptKeys: ["hot", "cold"] },
        },
        {
            title: "a slot in an unreleased move away from the target that owns it again",
            moves: [{ ...slots, from: "b", to: "a" }],
            target: "b",
            expected: { slots: [2, 3], keys: ["hot"], exceptKeys: [] },
        },
        { title: "an unknown target", moves: [], target: "c", expected: { slots: [], keys: [], exceptKeys: [] } },
    ];

for (const { title, moves, target, released = [], expected } of entitlements) {
    test(`entitlement: ${title}`, t => {
        const actual = entitlementOf({ ...assignment, moves }, target, move => released.includes(move), () => 0);
        t.deepEqual(actual, expected);
    });
}

test("only an unreleased forced move withholds the renewal of its former owner", t => {
    const moves = [{ ...slots, forced: true }, movedHotKey];
    t.true(isWithheld({ ...assignment, moves }, "a", () => false));
    t.false(isWithheld({ ...assignment, moves }, "a", () => true));
    t.false(isWithheld({ ...assignment, moves }, "b", () => false));
    t.false(isWithheld({ ...assignment, moves: [movedHotKey] }, "a", () => false));
});
