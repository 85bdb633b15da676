import test from "ava";
import type { Assignment } from "../../src/contracts/assignment.ts";
import { type Pool, poolSchema } from "../../src/contracts/pool.ts";
import { type AssignmentInput, countMoved, firstAssignment, nextAssignment } from "../../src/decisions/assign.ts";
import { defaultBalanceOptions, imbalanceOf } from "../../src/decisions/balance.ts";

const hosts = ["a", "b", "c", "d", "e", "f"].map((name, index) => ({ name, zone: `zone-${index % 3}` }));

type TargetShape = { name: string; speed?: number; leaving?: boolean };

const poolOf = (targets: TargetShape[]): Pool =>
    poolSchema.parse({
        customer: "hallam",
        division: "by-key",
        checksGrants: true,
        targets: targets.map(target => ({
            address: "127.0.0.1:1",
            zone: "zone-0",
            concurrency: 3,
            connections: 10,
            ...target,
        })),
        routes: [{ name: "main", method: "*", path: "/", kind: "idempotent" }],
    });

const targetsOf = (count: number): TargetShape[] => [...Array(count).keys()].map(index => ({ name: `t${index}` }));

const slotOf = (key: string): number => Number(key.slice(1)) % 1_024;

const inputOf = (pool: Pool, current: Assignment, changes: Partial<AssignmentInput> = {}): AssignmentInput => ({
    pool,
    current,
    hosts,
    capacityShares: new Map(),
    leavingBatch: 16,
    slotLoads: [],
    hotKeys: [],
    slotOf,
    isReleased: () => true,
    lost: new Set(),
    hasAcknowledged: () => true,
    hasStopped: () => true,
    balance: { ...defaultBalanceOptions, maxMoves: 1_024 },
    ...changes,
});

const slotImbalance = (assignment: Assignment, weights: number[]): number =>
    imbalanceOf({ owners: assignment.owners, loads: assignment.owners.map(() => 1), weights });

const movementCases: Array<{
    title: string;
    before: TargetShape[];
    after: TargetShape[];
    lost?: string[];
    /** Maximum number of slots that may move. */
    limit: number;
    weights: number[];
}> = [
    { title: "nothing changed", before: targetsOf(12), after: targetsOf(12), limit: 0, weights: Array(12).fill(1) },
    {
        title: "a target joins",
        before: targetsOf(12),
        after: targetsOf(13),
        limit: 1_024 / 13 * 1.1,
        weights: Array(13).fill(1),
    },
    {
        title: "a faster target joins",
        before: targetsOf(6),
        after: [...targetsOf(6), { name: "fast", speed: 2 }],
        limit: 1_024 / 8 * 2 * 1.1,
        weights: [1, 1, 1, 1, 1, 1, 2],
    },
    {
        title: "a target is lost",
        before: targetsOf(12),
        after: targetsOf(12),
        lost: ["t3"],
        limit: 1_024 / 12 * 1.1,
        weights: [1, 1, 1, 0, 1, 1, 1, 1, 1, 1, 1, 1],
    },
    {
        title: "a target is removed",
        before: targetsOf(6),
        after: targetsOf(5),
        limit: 1_024 / 6 * 1.1,
        weights: [1, 1, 1, 1, 1, 0],
    },
];

for (const { title, before, after, lost = [], limit, weights } of movementCases) {
    test(`${title}: few slots move and the load is even`, t => {
        const first = firstAssignment(poolOf(before), hosts);
        const shares = new Map(lost.map(name => [name, 0]));
        const next = nextAssignment(inputOf(poolOf(after), first, { capacityShares: shares })) ?? first;
        t.true(countMoved(first, next) <= limit, `${countMoved(first, next)} moved`);
        t.true(slotImbalance(next, weights) <= 1.1);
        const moved = next.moves.reduce((sum, move) => sum + move.slots.length, 0);
        t.is(moved, countMoved(first, next));
        t.true(next.moves.every(move => move.since === next.revision));
    });
}

test("a new target that ramps up first receives a part of its share", t => {
    const first = firstAssignment(poolOf(targetsOf(9)), hosts);
    const pool = poolOf(targetsOf(10));
    const quarter = nextAssignment(inputOf(pool, first, { capacityShares: new Map([["t9", 0.25]]) })) ?? first;
    const whole = nextAssignment(inputOf(pool, quarter)) ?? quarter;
    const held = (assignment: Assignment): number => assignment.owners.filter(owner => owner === 9).length;
    t.true(held(quarter) > 15 && held(quarter) < 40, `${held(quarter)} slots`);
    t.true(held(whole) > 90, `${held(whole)} slots`);
});

test("a leaving target gives up its slots in batches, and a batch waits until the one before is released", t => {
    const first = firstAssignment(poolOf(targetsOf(8)), hosts);
    const pool = poolOf(targetsOf(8).map(target => ({ ...target, leaving: target.name === "t7" })));
    const once = nextAssignment(inputOf(pool, first)) ?? first;
    t.is(countMoved(first, once), 16);
    t.is(nextAssignment(inputOf(pool, once, { isReleased: () => false })), undefined);
    let current = once;
    for (let round = 0; round < 7; round += 1) {
        current = nextAssignment(inputOf(pool, current)) ?? current;
    }
    t.is(current.owners.filter(owner => owner === 7).length, 0);
});

test("a slot whose new owner is lost during the move keeps the unfinished move", t => {
    const first = firstAssignment(poolOf(targetsOf(3)), hosts);
    const once = nextAssignment(inputOf(poolOf(targetsOf(3)), first, { capacityShares: new Map([["t0", 0]]) }))
        ?? first;
    const moveToSecond = once.moves.find(move => move.to === "t1");
    const shares = new Map([["t0", 0], ["t1", 0]]);
    const twice =
        nextAssignment(inputOf(poolOf(targetsOf(3)), once, { capacityShares: shares, isReleased: () => false }))
            ?? once;
    t.deepEqual(twice.moves.filter(move => move.since === once.revision), once.moves);
    const slot = moveToSecond?.slots[0] ?? -1;
    t.true(twice.moves.some(move => move.from === "t1" && move.to === "t2" && move.slots.includes(slot)));
    t.true(twice.owners.every(owner => owner === 2));
});

test("nothing moves when every target is lost", t => {
    const first = firstAssignment(poolOf(targetsOf(2)), hosts);
    const shares = new Map([["t0", 0], ["t1", 0]]);
    t.is(nextAssignment(inputOf(poolOf(targetsOf(2)), first, { capacityShares: shares })), undefined);
});

test("a hot key is placed independently of its slot and returns to it when its load falls", t => {
    const pool = poolOf(targetsOf(4));
    const first = firstAssignment(pool, hosts);
    const slotLoads = first.owners.map(() => 1);
    const owner = first.owners[slotOf("k5")];
    const hot = nextAssignment(inputOf(pool, first, { slotLoads, hotKeys: [{ key: "k5", load: 200 }] })) ?? first;
    const target = hot.hotKeys[0].target;
    t.deepEqual(hot.hotKeys.map(held => held.key), ["k5"]);
    const mean = (1_024 + 200) / 4;
    const index = hot.targets.indexOf(target);
    const loadThere = hot.owners.filter(other => other === index).length + 200;
    t.true(loadThere / mean <= 1.1, `${loadThere} of ${mean}`);
    const cooled = nextAssignment(inputOf(pool, hot, { slotLoads })) ?? hot;
    t.deepEqual(cooled.hotKeys, []);
    const back = cooled.moves.filter(move => move.keys.includes("k5"));
    t.is(back.length, cooled.targets[cooled.owners[slotOf("k5")]] === target ? 0 : 1);
    t.true(owner >= 0);
});

const witnessCases: Array<{ title: string; current: string[]; live: string; mayChange: boolean; witnesses: string[] }> =
    [
        {
            title: "no change while all are live",
            current: ["a", "b", "c"],
            live: "abc",
            mayChange: true,
            witnesses: ["a", "b", "c"],
        },
        {
            title: "a lost witness is removed first",
            current: ["a", "b", "c"],
            live: "abd",
            mayChange: true,
            witnesses: ["a", "b"],
        },
        {
            title: "a witness is added in the next revision",
            current: ["a", "b"],
            live: "abd",
            mayChange: true,
            witnesses: ["a", "b", "d"],
        },
        {
            title: "two lost witnesses are removed one at a time",
            current: ["a", "b", "c"],
            live: "ade",
            mayChange: true,
            witnesses: ["a", "c"],
        },
        {
            title: "no change before a majority has acknowledged the previous change",
            current: ["a", "b", "c"],
            live: "abd",
            mayChange: false,
            witnesses: ["a", "b", "c"],
        },
        {
            title: "the last witness is never removed",
            current: ["a"],
            live: "b",
            mayChange: true,
            witnesses: ["a", "b"],
        },
    ];

for (const { title, current, live, mayChange, witnesses } of witnessCases) {
    test(`witnesses: ${title}`, t => {
        const pool = poolOf(targetsOf(2));
        const first = { ...firstAssignment(pool, hosts), witnesses: current, formerWitnesses: current };
        const present = hosts.filter(host => live.includes(host.name));
        const next = nextAssignment(inputOf(pool, first, { hosts: present, hasAcknowledged: () => mayChange }))
            ?? first;
        t.deepEqual(next.witnesses, witnesses);
    });
}

test("each target has renewers in three zones, and only a lost one is replaced", t => {
    const pool = poolOf(targetsOf(6));
    const first = firstAssignment(pool, hosts);
    for (const named of Object.values(first.renewers)) {
        t.is(new Set(named.map(name => hosts.find(host => host.name === name)?.zone)).size, 3);
    }
    const left = hosts.filter(host => host.name !== "b");
    const next = nextAssignment(inputOf(pool, first, { hosts: left })) ?? first;
    for (const [target, named] of Object.entries(next.renewers)) {
        const kept = first.renewers[target].filter(name => name !== "b");
        t.true(kept.every(name => named.includes(name)));
        t.is(named.length, 3);
        t.false(named.includes("b"));
    }
    t.is(countMoved(first, next), 0);
});

/** Which of the hosts are present. Hosts a to e are the witnesses; a and b, and the former ones, renew the targets. */
const absences: Array<{ title: string; present: string; former: string[]; checksGrants: boolean; moves: boolean }> = [
    { title: "all hosts are present", present: "abcdef", former: [], checksGrants: true, moves: true },
    {
        title: "a former renewer and a majority of the witnesses are gone",
        present: "ab",
        former: ["e"],
        checksGrants: true,
        moves: false,
    },
    {
        title: "a former renewer is gone, and most witnesses are present",
        present: "abc",
        former: ["e"],
        checksGrants: true,
        moves: true,
    },
    {
        title: "most witnesses are gone, and all renewers are present",
        present: "ab",
        former: [],
        checksGrants: true,
        moves: true,
    },
    { title: "targets do not check grants", present: "ab", former: ["e"], checksGrants: false, moves: true },
];

const departures: Array<{ title: string; targets: TargetShape[]; changes: Partial<AssignmentInput> }> = [
    {
        title: "a lost target",
        targets: targetsOf(3),
        changes: { capacityShares: new Map([["t0", 0]]), lost: new Set(["t0"]) },
    },
    { title: "a leaving target", targets: [{ name: "t0", leaving: true }, ...targetsOf(3).slice(1)], changes: {} },
    { title: "a loaded target", targets: targetsOf(3), changes: { slotLoads: [5_000, 5_000] } },
    { title: "the target of a cooled key", targets: targetsOf(3), changes: {} },
];

for (const { title: hostsTitle, present, former, checksGrants, moves } of absences) {
    for (const { title, targets, changes } of departures) {
        test(`a move starts only if it can end: ${title}, ${hostsTitle}`, t => {
            const pool = { ...poolOf(targets), checksGrants };
            const first = firstAssignment(poolOf(targetsOf(3)), hosts.slice(0, 5));
            const key = `k${first.owners.indexOf(1)}`;
            const current = {
                ...first,
                hotKeys: [{ key, target: "t0" }],
                renewers: { t0: ["a", "b"], t1: ["a", "b"], t2: ["a", "b"] },
                formerRenewers: { t0: former },
            };
            const live = hosts.filter(host => present.includes(host.name));
            const hotKeys = title === "the target of a cooled key" ? [] : [{ key, load: 1 }];
            const next = nextAssignment(
                inputOf(pool, current, { ...changes, hosts: live, hotKeys, hasStopped: () => false }),
            );
            t.is(next?.moves.some(move => move.from === "t0"), moves);
            if (!moves) {
                t.deepEqual([next?.owners, next?.hotKeys], [current.owners, current.hotKeys]);
            }
        });
    }
}
