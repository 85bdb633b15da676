/**
 * The store comes back from an older copy, while coordinators take over, stop, are cut off or end: a key must never have two
 * owners, no fence is given to two owners, and the keys go on being served.
 */
import test from "ava";
import { type Ownership, ownershipSchema } from "../../../src/contracts/ownership.ts";
import { isLater } from "../../../src/contracts/storehistory.ts";
import { firstEra, poolObjectName } from "../../../src/decisions/poolobjectnames.ts";
import { type Setup, setUp } from "./controllers.ts";

const stepMilliseconds = 50;

/** Advances the clock and returns the longest time for which some sampled key was held by no target. */
const unservedDuring = async ({ world, targets }: Setup, milliseconds: number): Promise<number> => {
    let unserved = 0;
    let longest = 0;
    for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
        await world.advance(stepMilliseconds);
        unserved = targets.unheld().length > 0 ? unserved + stepMilliseconds : 0;
        longest = Math.max(longest, unserved);
    }
    return longest;
};

/** The store is silent for the time, and comes back with what it held when the copy was made. */
const returnStore = (setup: Setup, copy: ReturnType<Setup["shared"]["copy"]>, awayMilliseconds: number): void => {
    const away = setup.hosts.filter(host => host.access.fault === "none");
    away.forEach(host => host.access.fault = "silent");
    setup.world.after(awayMilliseconds, () => {
        setup.shared.returnFrom(copy);
        away.forEach(host => host.access.fault = "none");
    });
};

type Case = {
    title: string;
    /** What happens for 15 s before the copy is made. */
    prepare?: (setup: Setup) => void;
    /** What happens after the copy was made, so that the store forgets it. */
    lost?: (setup: Setup) => void;
    lostMilliseconds?: number;
    awayMilliseconds?: number;
    /** What happens beside the return, from its start on. Hosts that are cut off then stay so. */
    beside?: (setup: Setup) => void;
    /** Longest allowed time for which any key is unserved. */
    unservedMilliseconds: number;
};

const leave = ({ register }: Setup): void => register("b", true);
const cutFromStore = ({ coordinator }: Setup): void => {
    coordinator.access.fault = "silent";
};
const healStore = ({ coordinator }: Setup): void => {
    coordinator.access.fault = "none";
};
/** Cuts the coordinator off from all but the targets, so that it is deposed. */
const isolateCoordinator = (setup: Setup): void => {
    cutFromStore(setup);
    setup.coordinator.state.isDeaf = true;
};
/** Cuts the successor of an isolated coordinator off, which the store serves again. */
const isolateSuccessor = (setup: Setup): void => {
    healStore(setup);
    const successor = setup.hosts.find(host => host !== setup.coordinator && host.controller.isCoordinator());
    if (successor === undefined) {
        throw new Error("There is no successor.");
    }
    successor.access.fault = "silent";
    successor.state.isDeaf = true;
    setup.world.after(20_000, () => {
        successor.access.fault = "none";
    });
};
const startAnother = (setup: Setup): void => void setup.hosts.push(setup.startHost("h9/x"));

const cases: Case[] = [
    { title: "after 1 s", unservedMilliseconds: 0 },
    { title: "after 100 ms", awayMilliseconds: 100, unservedMilliseconds: 0 },
    { title: "after 4 s", awayMilliseconds: 4_000, unservedMilliseconds: 0 },
    { title: "after 7 s", awayMilliseconds: 7_000, unservedMilliseconds: 0 },
    { title: "and forgets moves of keys", lost: leave, lostMilliseconds: 1_500, unservedMilliseconds: 0 },
    { title: "and forgets moves under way", lost: leave, lostMilliseconds: 100, unservedMilliseconds: 0 },
    {
        title: "after 4 s and forgets moves of keys",
        lost: leave,
        lostMilliseconds: 1_500,
        awayMilliseconds: 4_000,
        unservedMilliseconds: 0,
    },
    {
        title: "and forgets a takeover from a coordinator that has ended",
        lost: ({ coordinator }) => coordinator.kill(),
        lostMilliseconds: 3_000,
        unservedMilliseconds: 0,
    },
    {
        title: "during a takeover from a coordinator that has ended",
        lost: ({ coordinator }) => coordinator.kill(),
        lostMilliseconds: 1_950,
        unservedMilliseconds: 0,
    },
    {
        title: "and the coordinator ends with it",
        beside: ({ coordinator }) => coordinator.kill(),
        unservedMilliseconds: 500,
    },
    ...[0, 100, 300, 600].map((startMilliseconds): Case => ({
        title: `and the coordinator ends with it, and processes without memory start ${startMilliseconds} ms after it`,
        beside: setup => {
            setup.coordinator.kill();
            for (const name of ["h7/x", "h8/x", "h9/x"]) {
                setup.world.after(1_000 + startMilliseconds, () => void setup.hosts.push(setup.startHost(name)));
            }
        },
        unservedMilliseconds: 500,
    })),
    {
        title: "while the coordinator resigns and stops",
        beside: ({ world, coordinator }) => {
            void coordinator.controller.resign().catch(() => undefined);
            world.after(500, coordinator.kill);
        },
        unservedMilliseconds: 1_500,
    },
    {
        title: "and forgets that the coordinator resigned",
        lost: ({ world, coordinator }) => {
            void coordinator.controller.resign();
            world.after(300, coordinator.kill);
        },
        lostMilliseconds: 2_000,
        unservedMilliseconds: 0,
    },
    {
        title: "to all but the coordinator, which comes back after 6 s",
        beside: setup => {
            cutFromStore(setup);
            setup.world.after(6_000, () => healStore(setup));
        },
        unservedMilliseconds: 0,
    },
    {
        title: "to all but the coordinator, which hears of nobody and comes back after 20 s",
        beside: setup => {
            cutFromStore(setup);
            setup.coordinator.state.isDeaf = true;
            setup.world.after(20_000, () => healStore(setup));
        },
        unservedMilliseconds: 0,
    },
    {
        title: "to a coordinator that was deposed in the lost time and does not know its successor",
        lost: isolateCoordinator,
        lostMilliseconds: 6_000,
        beside: setup => setup.world.after(1_000, () => healStore(setup)),
        unservedMilliseconds: 500,
    },
    {
        title: "and the successor that moved keys in the lost time is cut off",
        lost: setup => {
            isolateCoordinator(setup);
            setup.world.after(3_500, () => leave(setup));
        },
        lostMilliseconds: 4_500,
        beside: isolateSuccessor,
        unservedMilliseconds: 2_500,
    },
    {
        title: "and the successor that gave keys to a new target in the lost time is cut off",
        prepare: ({ shared }) => shared.remove("servers", "c"),
        lost: setup => {
            isolateCoordinator(setup);
            setup.world.after(3_500, () => setup.register("c"));
        },
        lostMilliseconds: 4_500,
        beside: setup => {
            isolateSuccessor(setup);
            setup.world.after(2_500, () => setup.register("c"));
        },
        unservedMilliseconds: 1_500,
    },
    {
        title: "and forgets a new target, which registers again 5 s later",
        prepare: ({ shared }) => shared.remove("servers", "c"),
        lost: ({ register }) => register("c"),
        beside: ({ world, register }) => world.after(6_000, () => register("c")),
        unservedMilliseconds: 500,
    },
    {
        title: "as all hosts end and another starts",
        beside: setup => {
            setup.hosts.forEach(host => host.kill());
            setup.world.after(1_500, () => startAnother(setup));
        },
        unservedMilliseconds: 11_000,
    },
    {
        title: "as all hosts end but the coordinator, which is cut off, and another starts",
        lost: leave,
        beside: setup => {
            cutFromStore(setup);
            setup.coordinator.state.isDeaf = true;
            setup.hosts.filter(host => host !== setup.coordinator).forEach(host => host.kill());
            setup.world.after(1_500, () => startAnother(setup));
            setup.world.after(20_000, () => healStore(setup));
        },
        unservedMilliseconds: 3_500,
    },
    {
        title: "while a target is silent",
        beside: ({ world, targets }) => {
            targets.get("b").fault = "silent";
            world.after(6_000, () => targets.get("b").fault = "none");
        },
        unservedMilliseconds: 3_500,
    },
    {
        title: "after 4 s while a target is silent",
        awayMilliseconds: 4_000,
        beside: ({ world, targets }) => {
            targets.get("b").fault = "silent";
            world.after(9_000, () => targets.get("b").fault = "none");
        },
        unservedMilliseconds: 6_500,
    },
    {
        title: "and writes of the coordinator are carried out afterwards",
        lost: setup => {
            setup.coordinator.access.fault = "writes-late";
            leave(setup);
        },
        lostMilliseconds: 800,
        beside: setup => setup.world.after(1_500, () => healStore(setup)),
        unservedMilliseconds: 500,
    },
    {
        title: "twice in a row",
        beside: setup => {
            setup.world.after(2_000, () => returnStore(setup, setup.shared.copy(), 1_000));
        },
        unservedMilliseconds: 0,
    },
    {
        title: "twice in a row, the second time before the first has ended",
        awayMilliseconds: 4_000,
        beside: setup => {
            setup.world.after(4_600, () => returnStore(setup, setup.shared.copy(), 500));
        },
        unservedMilliseconds: 0,
    },
];

for (
    const { title, prepare, lost, lostMilliseconds = 2_500, awayMilliseconds = 1_000, beside, unservedMilliseconds }
        of cases
) {
    for (const size of [2, 5]) {
        test(`the store comes back from a copy ${title}: one owner at most, unserved for ${unservedMilliseconds} ms at most, ${size} hosts`, async t => {
            const setup = await setUp(new Array<number>(size).fill(1));
            const { hosts, shared, targets, register } = setup;
            if (prepare !== undefined) {
                prepare(setup);
                await setup.world.advance(15_000);
            }
            t.deepEqual(targets.unheld(), []);
            const copy = shared.copy();
            lost?.(setup);
            const before = await unservedDuring(setup, lostMilliseconds);
            beside?.(setup);
            returnStore(setup, copy, awayMilliseconds);
            const after = await unservedDuring(setup, 25_000);
            t.log(`unserved for ${Math.max(before, after)} ms`);
            t.deepEqual(targets.violations.slice(0, 3), []);
            t.true(Math.max(before, after) <= unservedMilliseconds, `${before} and ${after} ms`);
            t.deepEqual(targets.unheld(), []);
            t.is(hosts.filter(host => !host.hasEnded() && host.controller.isCoordinator()).length, 1);
            // The keys go on being moved.
            register("b", false);
            register("c", true);
            await unservedDuring(setup, 6_000);
            t.deepEqual(targets.sampledKeys.filter(targets.get("c").holds), []);
            t.deepEqual(targets.unheld(), []);
            t.deepEqual(targets.violations.slice(0, 3), []);
            hosts.forEach(host => host.kill());
        });
    }
}

/** Guards against clearing only the targets that are seen, while a former coordinator renews the grants of others. */
test("a process without memory that finds a copy from before the pool's first ownership waits for all former holds", async t => {
    const setup = await setUp();
    const { world, shared, hosts, coordinator, register, targets } = setup;
    const copy = shared.copy();
    [...copy.objects.keys()].filter(key => /^(ownership|coordination)\/|^servers\/c$/.test(key))
        .forEach(key => copy.objects.delete(key));
    cutFromStore(setup);
    coordinator.state.isDeaf = true;
    hosts.filter(host => host !== coordinator).forEach(host => host.kill());
    returnStore(setup, copy, 500);
    world.after(600, () => startAnother(setup));
    world.after(4_600, () => register("c"));
    world.after(20_000, () => healStore(setup));
    await unservedDuring(setup, 25_000);
    t.deepEqual(targets.violations.slice(0, 3), []);
    t.deepEqual(targets.unheld(), []);
    hosts.forEach(host => host.kill());
});

const readOwnership = ({ shared }: Setup, era: number): Ownership =>
    ownershipSchema.parse(shared.read("ownership", poolObjectName("stock", era))?.value);

/** Guards against objects of one name in all eras: a late write matches by chance, since revisions are given out again. */
test("a plan that was sent before the return and is carried out after it changes only what no coordinator uses", async t => {
    const setup = await setUp();
    const { world, shared, coordinator, targets } = setup;
    const before = readOwnership(setup, firstEra);
    const copy = shared.copy();
    coordinator.access.fault = "writes-late";
    leave(setup);
    await world.advance(500);
    t.deepEqual(readOwnership(setup, firstEra), before, "not carried out yet");
    returnStore(setup, copy, 500);
    coordinator.access.fault = "silent";
    world.after(500, () => healStore(setup));
    await world.advance(1_400);
    t.deepEqual(readOwnership(setup, firstEra), before, "not carried out before the new era had a coordinator");
    const next = readOwnership(setup, firstEra + 1);
    await world.advance(2_000);
    const late = readOwnership(setup, firstEra);
    t.notDeepEqual(late.ranges, before.ranges, "carried out");
    t.is(readOwnership(setup, firstEra + 1).term, next.term);
    t.true(isLater(readOwnership(setup, firstEra + 1).nextFence, late.nextFence));
    t.deepEqual(targets.unheld(), []);
    t.deepEqual(targets.violations, []);
    setup.hosts.forEach(host => host.kill());
});

test("terms and fences of each era are above those of all earlier ones", async t => {
    const setup = await setUp();
    const { world, shared } = setup;
    const copy = shared.copy();
    const eras = [readOwnership(setup, firstEra)];
    for (const era of [2, 3, 4]) {
        // Each return forgets the era before.
        returnStore(setup, copy, 500);
        await world.advance(6_000);
        eras.push(readOwnership(setup, era));
    }
    for (const [index, { term, nextFence, ranges }] of eras.slice(1).entries()) {
        const earlier = eras[index];
        t.true(isLater(term, earlier.term));
        t.true(ranges.every(({ fence }) => isLater(fence, earlier.nextFence) && isLater(nextFence, fence)));
    }
    t.deepEqual(setup.targets.unheld(), []);
    t.deepEqual(setup.targets.violations, []);
    setup.hosts.forEach(host => host.kill());
});

const namesOf = ({ shared }: Setup, kind: string): string[] =>
    [...shared.copy().objects.keys()].filter(key => key.startsWith(`${kind}/`)).map(key => key.slice(kind.length + 1));

/** Advances the clock and returns the greatest number of the pool's objects of a kind at any time. */
const mostObjectsDuring = async (setup: Setup, milliseconds: number): Promise<number> => {
    let most = 0;
    for (let passed = 0; passed < milliseconds; passed += 1_000) {
        await setup.world.advance(1_000);
        most = Math.max(most, namesOf(setup, "ownership").length, namesOf(setup, "coordination").length);
    }
    return most;
};

const returnPauseMilliseconds = 18_000;
/** Those of the first era, for hosts of earlier versions, of the era before and of the present one. */
const maxObjects = 3;

/** Guards against objects that add up until hosts have no room for the current ownership. */
test("objects of earlier eras do not add up with each return of the store", async t => {
    const setup = await setUp();
    let most = 0;
    for (let returns = 0; returns < 7; returns += 1) {
        returnStore(setup, setup.shared.copy(), 500);
        most = Math.max(most, await mostObjectsDuring(setup, returnPauseMilliseconds));
    }
    t.true(most <= maxObjects, `${most} objects of a kind`);
    const last = poolObjectName("stock", firstEra + 7);
    t.deepEqual(namesOf(setup, "ownership").sort(), ["stock", last]);
    t.deepEqual(namesOf(setup, "coordination").sort(), ["stock", last]);
    t.deepEqual(setup.targets.unheld(), []);
    t.deepEqual(setup.targets.violations, []);
    setup.hosts.forEach(host => host.kill());
});

for (const fault of ["writes-late", "answers-lost", "refusing"] as const) {
    for (const kind of ["ownership", "coordination"]) {
        test(`objects of earlier eras are removed in the end when calls for ${kind} are ${fault} meanwhile`, async t => {
            const setup = await setUp();
            returnStore(setup, setup.shared.copy(), 500);
            await setup.world.advance(4_000);
            returnStore(setup, setup.shared.copy(), 500);
            await setup.world.advance(9_000);
            setup.hosts.forEach(host => host.access.kindFaults.set(kind, fault));
            await setup.world.advance(6_000);
            setup.hosts.forEach(host => host.access.kindFaults.clear());
            await setup.world.advance(20_000);
            t.deepEqual(namesOf(setup, "ownership").sort(), ["stock", poolObjectName("stock", firstEra + 2)]);
            t.deepEqual(namesOf(setup, "coordination").sort(), ["stock", poolObjectName("stock", firstEra + 2)]);
            t.deepEqual(setup.targets.unheld(), []);
            t.deepEqual(setup.targets.violations, []);
            setup.hosts.forEach(host => host.kill());
        });
    }
}

/** Guards against an owner that a process without memory does not know of, since the copy's newest object was removed. */
test("a removal that is carried out after a return to a copy from before the era costs time, not a second owner", async t => {
    const setup = await setUp();
    const { world, shared, targets } = setup;
    const earlier = poolObjectName("stock", firstEra + 1);
    returnStore(setup, shared.copy(), 500);
    await world.advance(6_000);
    const copy = shared.copy();
    returnStore(setup, copy, 500);
    await world.advance(6_000);
    setup.hosts.forEach(({ access }) => {
        access.kindFaults.set("ownership", "writes-late");
        access.lateMilliseconds = 2_500;
    });
    await world.advance(6_500);
    t.true(namesOf(setup, "ownership").includes(earlier), "not carried out yet");
    setup.hosts.forEach(host => host.kill());
    shared.returnFrom(copy);
    world.after(600, () => startAnother(setup));
    await world.advance(1_500);
    t.deepEqual(namesOf(setup, "ownership"), ["stock"], "carried out before the next ownership");
    await world.advance(30_000);
    t.deepEqual(targets.unheld(), []);
    t.deepEqual(targets.violations, []);
    setup.hosts.forEach(host => host.kill());
});
