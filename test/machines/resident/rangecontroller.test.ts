/**
 * Keepers of several hosts on one store, under faults of the store, of hosts and of targets: never two owners of a key,
 * and how long keys are unserved.
 */
import test from "ava";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import { createKeyLoads } from "../../../src/decisions/keyload.ts";
import { createTargetWork } from "../../../src/decisions/targetwork.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { registerProcess } from "../../../src/machines/resident/processes.ts";
import { createRangeController } from "../../../src/machines/resident/rangecontroller.ts";
import { createStoreWatcher } from "../../../src/machines/resident/storewatcher.ts";
import { createTargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createPausableClock, createVirtualClock } from "../fakes/clock.ts";
import { createFakeStore } from "./fakestore.ts";
import { createFakeTargets } from "./faketargets.ts";

const pool = "stock";
const targetNames = ["a", "b", "c"];

const setUp = async (processors = [1, 1, 1]) => {
    const world = createVirtualClock();
    const shared = createFakeStore(world);
    const targets = createFakeTargets(targetNames, world);
    const metrics = createMetrics();

    const register = (name: string, leaving = false): void => {
        const { incarnation } = targets.get(name);
        const address = `10.0.0.1:${name.charCodeAt(0)}`;
        const entry: RegisteredTarget = {
            name,
            incarnation,
            pool,
            address,
            zone: "z",
            slots: 3,
            leaving,
            warmupMilliseconds: 0,
        };
        shared.put("servers", name, entry);
    };

    const startHost = (process: string, processor = 1) => {
        const lifetime = new AbortController();
        const { signal } = lifetime;
        const clock = createPausableClock(world);
        const access = shared.access();
        const state = { cut: false, plans: 0 };
        const loads = createKeyLoads();
        const common = { clock, log: silentLog, signal };
        const follow = { store: access.store, waitMilliseconds: 3_000, onRecovered: () => undefined, ...common };
        const registry = createTargetRegistry({
            decode: object => object.value as RegisteredTarget,
            reachableSince: () => entries.reachableSince(),
            ...common,
        });
        const entries = createStoreWatcher({
            ...follow,
            kind: "servers",
            onList: registry.applyList,
            onChanges: registry.applyChanges,
        });
        const beats = createStoreWatcher({
            ...follow,
            kind: "coordination",
            onList: objects => objects.forEach(object => keeper.applyCoordination(object)),
            onChanges: events =>
                events.forEach(event => keeper.applyCoordination(event.removed ? undefined : event.object)),
        });
        const keeper = createRangeController({
            pool,
            self: process,
            store: access.store,
            link: targets.linkOf(() => state.cut),
            registry,
            processes: registerProcess({ store: access.store, self: process, processor, ...common }),
            reportsAddress: "10.0.0.9:1",
            processor,
            loads: {
                ...loads,
                atoms: now => {
                    state.plans += 1;
                    return loads.atoms(now);
                },
            },
            work: createTargetWork(),
            incarnationOf: async target => {
                const object = await access.store.get("servers", target);
                return (object?.value as RegisteredTarget | undefined)?.incarnation;
            },
            reachableSince: () => beats.reachableSince(),
            maxHoldMilliseconds: 10_000,
            wallClock: world.now,
            measure: (...[, run]) => run(),
            random: () => 0.1,
            metrics,
            ...common,
        });
        return { process, clock, access, state, keeper, kill: () => lifetime.abort() };
    };

    targetNames.forEach(name => register(name));
    const hosts = processors.map((processor, index) => startHost(`h${index + 1}/x`, processor));
    await world.advance(6_000);
    const coordinator = hosts.find(host => host.keeper.isCoordinator()) ?? hosts[0];
    return { world, shared, targets, hosts, coordinator, register, startHost };
};

type World = Awaited<ReturnType<typeof setUp>>;

const stepMilliseconds = 50;

/** Advances and tells the longest time for which the keys of targets that are up were held by nobody. */
const unservedDuring = async ({ world, targets }: World, milliseconds: number): Promise<number> => {
    let unserved = 0;
    let longest = 0;
    for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
        await world.advance(stepMilliseconds);
        unserved = targets.unheld().length > 0 ? unserved + stepMilliseconds : 0;
        longest = Math.max(longest, unserved);
    }
    return longest;
};

type Case = {
    title: string;
    fault: (set: World) => void;
    heal?: (set: World) => void;
    faultMilliseconds: number;
    /** Bound on the time for which any key is unserved. */
    unservedMilliseconds: number;
};

/** The longest hold, a clock that is 2% slow, and the time to notice and to grant. */
const afterHold = 6_500;

const cases: Case[] = [
    { title: "nothing happens", fault: () => undefined, faultMilliseconds: 5_000, unservedMilliseconds: 0 },
    {
        title: "the store is silent for all hosts for 8 s",
        fault: ({ hosts }) => hosts.forEach(host => host.access.fault = "silent"),
        heal: ({ hosts }) => hosts.forEach(host => host.access.fault = "none"),
        faultMilliseconds: 8_000,
        unservedMilliseconds: 0,
    },
    {
        title: "the store refuses the coordinator for 9 s",
        fault: ({ coordinator }) => coordinator.access.fault = "refusing",
        heal: ({ coordinator }) => coordinator.access.fault = "none",
        faultMilliseconds: 9_000,
        unservedMilliseconds: 0,
    },
    {
        title: "the store loses the answers to all writes for 5 s",
        fault: ({ hosts }) => hosts.forEach(host => host.access.fault = "answers-lost"),
        heal: ({ hosts }) => hosts.forEach(host => host.access.fault = "none"),
        faultMilliseconds: 5_000,
        unservedMilliseconds: 1_500,
    },
    {
        title: "the coordinator is killed",
        fault: ({ coordinator }) => coordinator.kill(),
        faultMilliseconds: 5_000,
        unservedMilliseconds: 0,
    },
    {
        title: "the coordinator stops for 6 s and goes on as if nothing had happened",
        fault: ({ coordinator }) => coordinator.clock.pause(),
        heal: ({ coordinator }) => coordinator.clock.resume(),
        faultMilliseconds: 6_000,
        unservedMilliseconds: 0,
    },
    {
        title: "the coordinator is cut off from targets and store for 9 s",
        fault: ({ coordinator }) => {
            coordinator.access.fault = "silent";
            coordinator.state.cut = true;
        },
        heal: ({ coordinator }) => {
            coordinator.access.fault = "none";
            coordinator.state.cut = false;
        },
        faultMilliseconds: 9_000,
        unservedMilliseconds: 1_000,
    },
    {
        title: "a target leaves",
        fault: ({ register }) => register("b", true),
        faultMilliseconds: 4_000,
        unservedMilliseconds: 500,
    },
    {
        title: "a target vanishes from the registry and still serves",
        fault: ({ shared }) => shared.remove("servers", "b"),
        faultMilliseconds: 4_000,
        unservedMilliseconds: 500,
    },
    {
        title: "a target crashes for good",
        fault: ({ shared, targets }) => {
            targets.get("b").crash();
            shared.remove("servers", "b");
        },
        faultMilliseconds: 8_000,
        unservedMilliseconds: afterHold,
    },
    {
        title: "a target crashes and starts again under its name, empty",
        fault: ({ targets, register }) => {
            targets.get("b").crash();
            targets.get("b").restart("2");
            register("b");
        },
        faultMilliseconds: 4_000,
        unservedMilliseconds: 1_500,
    },
    {
        title: "a target that was down for 1 s starts again under its name, empty",
        fault: ({ world, targets, register }) => {
            targets.get("b").crash();
            world.after(1_000, () => {
                targets.get("b").restart("2");
                register("b");
            });
        },
        faultMilliseconds: 6_000,
        unservedMilliseconds: 2_500,
    },
    {
        title: "a target falls silent and comes back after its keys have moved",
        fault: ({ targets }) => targets.get("b").fault = "silent",
        heal: ({ targets }) => targets.get("b").fault = "none",
        faultMilliseconds: 9_000,
        unservedMilliseconds: afterHold,
    },
    {
        title: "a target carries grants out late and without an answer for 6 s",
        fault: ({ targets }) => targets.get("b").fault = "late",
        heal: ({ targets }) => targets.get("b").fault = "none",
        faultMilliseconds: 6_000,
        unservedMilliseconds: afterHold,
    },
    {
        title: "a target leaves before it has the keys of another that leaves and still works on them",
        fault: ({ world, targets, register }) => {
            targets.get("b").fault = "working";
            register("b", true);
            world.after(400, () => register("a", true));
        },
        faultMilliseconds: 5_000,
        unservedMilliseconds: 4_000,
    },
    {
        title: "the coordinator is killed while a target is silent",
        fault: ({ coordinator, targets, startHost }) => {
            targets.get("b").fault = "silent";
            coordinator.kill();
            startHost(coordinator.process.replace("/x", "/y"));
        },
        faultMilliseconds: 12_000,
        unservedMilliseconds: afterHold + 3_000,
    },
];

for (const { title, fault, heal, faultMilliseconds, unservedMilliseconds } of cases) {
    test(`${title}: one owner at most, unserved for ${unservedMilliseconds} ms at most`, async t => {
        const set = await setUp();
        t.deepEqual(set.targets.unheld(), []);
        fault(set);
        const during = await unservedDuring(set, faultMilliseconds);
        heal?.(set);
        const after = await unservedDuring(set, 8_000);
        t.log(`unserved for ${Math.max(during, after)} ms`);
        t.deepEqual(set.targets.violations, []);
        t.true(Math.max(during, after) <= unservedMilliseconds, `${during} and ${after} ms`);
        t.deepEqual(set.targets.unheld(), []);
        set.hosts.forEach(host => host.kill());
    });
}

const planMilliseconds = 400;

test("a coordinator whose moves are under way works out loads no more often than it balances", async t => {
    const set = await setUp();
    const { state } = set.coordinator;
    set.targets.get("b").fault = "working";
    set.register("b", true);
    await set.world.advance(1_000);
    state.plans = 0;
    await set.world.advance(planMilliseconds * 10);
    t.true(state.plans <= 10 + 1, `${state.plans} plans`);
    set.hosts.forEach(host => host.kill());
});

test("the host with the most processor coordinates, and the next one after its end", async t => {
    const set = await setUp([0.2, 0.5, 1.3]);
    const [small, middle, large] = set.hosts;
    t.is(set.coordinator, large);
    large.kill();
    const unserved = await unservedDuring(set, 6_000);
    t.true(middle.keeper.isCoordinator());
    middle.kill();
    const unservedAgain = await unservedDuring(set, 6_000);
    t.true(small.keeper.isCoordinator());
    t.deepEqual([unserved, unservedAgain], [0, 0]);
    t.deepEqual(set.targets.violations, []);
    small.kill();
});
