/**
 * Keys of evacuated targets: the coordinator must move them with handover and give no others to such targets, whatever
 * fails meanwhile. A key must never have two owners, and one whose only possible owners are evacuated stays granted.
 */
import test from "ava";
import { type Setup, setUp, zoneOf } from "./controllers.ts";

const stepMilliseconds = 50;
const kind = "evacuations";

const evacuate = ({ shared }: Setup, ...targets: string[]): void =>
    targets.forEach(name => shared.put(kind, zoneOf(name), {}));
const restore = ({ shared }: Setup, ...targets: string[]): void =>
    targets.forEach(name => shared.remove(kind, zoneOf(name)));

/** Returns the targets that own keys, as the store has it. */
const ownersOf = ({ hosts }: Setup): string[] => {
    const host = hosts.find(({ hasEnded }) => !hasEnded());
    return [...new Set(host?.ownership()?.ranges.map(({ owner }) => owner.target))].sort();
};

type Case = {
    title: string;
    /** What happens to three targets of which each is alone in its zone and owns keys. */
    steps: Array<{ run: (setup: Setup) => void; milliseconds: number; owners: string[] }>;
    /** Longest allowed time for which any key is held by no target. */
    unservedMilliseconds: number;
    /** States that former owners hand over, among others. */
    handovers?: string[];
};

const silence = ({ hosts }: Setup): void => hosts.forEach(({ access }) => access.fault = "silent");
const heal = ({ hosts }: Setup): void => hosts.forEach(({ access }) => access.fault = "none");
const evacuateOne = { run: (setup: Setup) => evacuate(setup, "b"), milliseconds: 2_000, owners: ["a", "c"] };
const copies = new WeakMap<Setup, ReturnType<Setup["shared"]["copy"]>>();

const cases: Case[] = [
    {
        title: "a zone is evacuated and restored",
        steps: [
            evacuateOne,
            { run: () => undefined, milliseconds: 10_000, owners: ["a", "c"] },
            { run: setup => restore(setup, "b"), milliseconds: 5_000, owners: ["a", "b", "c"] },
        ],
        unservedMilliseconds: 500,
        handovers: ["b-state"],
    },
    {
        title: "the evacuated target still works on its keys",
        steps: [{
            ...evacuateOne,
            run: setup => {
                setup.targets.get("b").fault = "working";
                evacuate(setup, "b");
            },
        }],
        unservedMilliseconds: 2_500,
        handovers: ["b-state"],
    },
    {
        title: "two zones of three are evacuated, one after the other",
        steps: [evacuateOne, { run: setup => evacuate(setup, "a"), milliseconds: 2_000, owners: ["c"] }],
        unservedMilliseconds: 500,
        handovers: ["b-state", "a-state"],
    },
    {
        title: "all zones are evacuated: all keys stay granted until the zones are restored",
        steps: [
            { run: setup => evacuate(setup, "a", "b", "c"), milliseconds: 15_000, owners: ["a", "b", "c"] },
            { run: setup => restore(setup, "a", "b", "c"), milliseconds: 3_000, owners: ["a", "b", "c"] },
        ],
        unservedMilliseconds: 0,
    },
    {
        title: "all zones are evacuated and one is restored",
        steps: [
            { run: setup => evacuate(setup, "a", "b", "c"), milliseconds: 5_000, owners: ["a", "b", "c"] },
            { run: setup => restore(setup, "c"), milliseconds: 2_000, owners: ["c"] },
        ],
        unservedMilliseconds: 500,
        handovers: ["a-state", "b-state"],
    },
    {
        title: "an evacuated target crashes and registers again with another incarnation",
        steps: [evacuateOne, {
            run: ({ world, targets, register }) => {
                targets.get("b").crash();
                world.after(1_000, () => {
                    targets.get("b").restart("2");
                    register("b");
                });
            },
            milliseconds: 6_000,
            owners: ["a", "c"],
        }],
        unservedMilliseconds: 500,
    },
    {
        title: "a target both leaves and is evacuated, and its zone is restored",
        steps: [
            {
                run: setup => {
                    evacuate(setup, "b");
                    setup.register("b", true);
                },
                milliseconds: 3_000,
                owners: ["a", "c"],
            },
            { run: setup => restore(setup, "b"), milliseconds: 5_000, owners: ["a", "c"] },
        ],
        unservedMilliseconds: 500,
        handovers: ["b-state"],
    },
    {
        title: "the coordinator ends while its successor has to move the keys",
        steps: [{
            run: setup => {
                evacuate(setup, "b");
                setup.coordinator.kill();
            },
            milliseconds: 8_000,
            owners: ["a", "c"],
        }],
        unservedMilliseconds: 500,
    },
    {
        title: "the store is silent for 8 s during an evacuation",
        steps: [
            evacuateOne,
            { run: silence, milliseconds: 8_000, owners: ["a", "c"] },
            { run: heal, milliseconds: 5_000, owners: ["a", "c"] },
        ],
        unservedMilliseconds: 0,
    },
    {
        title: "the store refuses writes of the ownership for 5 s, so that the evacuated target's grants are renewed",
        steps: [
            {
                run: setup => {
                    setup.hosts.forEach(({ access }) => access.kindFaults.set("ownership", "refusing"));
                    evacuate(setup, "b");
                },
                milliseconds: 5_000,
                owners: ["a", "b", "c"],
            },
            {
                run: ({ hosts }) => hosts.forEach(({ access }) => access.kindFaults.clear()),
                milliseconds: 5_000,
                owners: ["a", "c"],
            },
        ],
        unservedMilliseconds: 500,
        handovers: ["b-state"],
    },
    {
        title: "the zone is evacuated right before the store is silent for 4 s",
        steps: [
            {
                run: setup => {
                    evacuate(setup, "b");
                    silence(setup);
                },
                milliseconds: 4_000,
                owners: ["a", "b", "c"],
            },
            { run: heal, milliseconds: 5_000, owners: ["a", "c"] },
        ],
        unservedMilliseconds: 500,
    },
    {
        title: "the store returns from a copy without the evacuation",
        steps: [
            {
                run: setup => {
                    copies.set(setup, setup.shared.copy());
                    evacuate(setup, "b");
                },
                milliseconds: 3_000,
                owners: ["a", "c"],
            },
            {
                run: setup => setup.shared.returnFrom(copies.get(setup) ?? setup.shared.copy()),
                milliseconds: 15_000,
                owners: ["a", "b", "c"],
            },
        ],
        unservedMilliseconds: 1_000,
    },
];

for (const { title, steps, unservedMilliseconds, handovers = [] } of cases) {
    test(`${title}: one owner at most, and evacuated targets get no keys`, async t => {
        const setup = await setUp([1, 1, 1], true);
        const { world, targets, hosts } = setup;
        t.deepEqual(targets.unheld(), []);
        t.deepEqual(ownersOf(setup), ["a", "b", "c"]);
        let unserved = 0;
        let longest = 0;
        for (const { run, milliseconds, owners } of steps) {
            run(setup);
            for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
                await world.advance(stepMilliseconds);
                unserved = targets.unheld().length > 0 ? unserved + stepMilliseconds : 0;
                longest = Math.max(longest, unserved);
            }
            t.deepEqual(ownersOf(setup), owners);
        }
        t.log(`unserved for ${longest} ms`);
        t.true(longest <= unservedMilliseconds, `unserved for ${longest} ms`);
        t.deepEqual(targets.violations, []);
        t.deepEqual(targets.unheld(), []);
        const handedOver = [...targets.handovers].map(text => text.split(" ")[0]);
        t.deepEqual(handovers.filter(state => !handedOver.includes(state)), []);
        hosts.forEach(host => host.kill());
    });
}

/** Guards against a coordinator that assigns keys before it has read which zones are evacuated. */
test("hosts that start while the kind can not be read assign no keys until it is", async t => {
    const setup = await setUp([1], true);
    const { world, targets, hosts: [first], startHost } = setup;
    evacuate(setup, "b");
    await world.advance(3_000);
    const second = startHost("h2/x");
    second.access.kindFaults.set(kind, "refusing");
    first.kill();
    await world.advance(12_000);
    t.true(second.controller.isCoordinator());
    t.deepEqual([...new Set(second.ownership()?.ranges.map(({ owner }) => owner.target))].sort(), ["a", "c"]);
    second.access.kindFaults.clear();
    restore(setup, "b");
    await world.advance(5_000);
    t.deepEqual([...new Set(second.ownership()?.ranges.map(({ owner }) => owner.target))].sort(), ["a", "b", "c"]);
    t.deepEqual(targets.violations, []);
    second.kill();
});
