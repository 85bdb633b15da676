/**
 * Evacuated zones: every host must mark the targets of a zone in time, whatever happens to the store, the readers or the
 * targets, and must take none of them for a leaving one, since those never come back into use.
 */
import test from "ava";
import type { StoreEvent, StoreObject } from "../../../src/contracts/objectstore.ts";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import { placeOf } from "../../../src/contracts/storehistory.ts";
import type { Log, LogFields } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createEvacuations } from "../../../src/machines/resident/evacuations.ts";
import { createStatePaces } from "../../../src/machines/resident/statepaces.ts";
import { createTargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { coldMilliseconds, setUpStateHosts, type StateHost, targetKind } from "./statehosts.ts";

const createRegistry = () => {
    const clock = createVirtualClock();
    const lines: Array<[string, LogFields]> = [];
    const write = (event: string, fields: LogFields = {}): void => void lines.push([event, fields]);
    const log: Log = { debug: write, info: write, warn: write, error: write, child: () => log };
    const metrics = createMetrics();
    const evacuations = createEvacuations({
        countTargets: zone => registry.ofZone(zone).length,
        coldMilliseconds: pool => pool === "stock" ? coldMilliseconds : 0,
        clock,
        log,
        metrics,
    });
    const registry = createTargetRegistry({
        decode: object => object.value as RegisteredTarget,
        reachableSince: () => -10_000,
        evacuations,
        clock,
        log,
        signal: new AbortController().signal,
    });
    const told: string[] = [];
    registry.onChange(({ name, evacuated, warmupMilliseconds }, gone) =>
        told.push(`${name} ${gone ? "gone" : evacuated === true ? "evacuated" : warmupMilliseconds}`)
    );
    const zoneLines = (): Array<[string, LogFields]> => lines.filter(([event]) => event.startsWith("zone-"));
    return { clock, evacuations, registry, told, zoneLines, metrics };
};

type Play = ReturnType<typeof createRegistry>;

const entry = (name: string, fields: Partial<RegisteredTarget> = {}, revision = 1): StoreObject => ({
    name,
    revision,
    value: {
        name,
        incarnation: "1",
        pool: "stock",
        address: "127.0.0.1:1",
        zone: "z1",
        slots: 3,
        leaving: false,
        warmupMilliseconds: 0,
        ...fields,
    },
});
const put = (object: StoreObject): StoreEvent => ({ object, removed: false });
const drop = (name: string): StoreEvent => ({ object: { name, revision: 1, value: undefined }, removed: true });
const zone = (name: string, value: unknown = {}, revision = 5): StoreObject => ({ name, revision, value });
const nextEra = (revision: number): number => placeOf(1, revision);

type Case = {
    title: string;
    /** What happens after targets a and b of zone z1 and c of z2 were listed, and then that no zone is evacuated. */
    steps: (play: Play) => void | Promise<void>;
    /** Targets that may get requests, and those that leave, at the end. */
    open: string[];
    leaving?: string[];
    /** What listeners were told since the start. */
    told: string[];
};

const cases: Case[] = [
    {
        title: "a zone is evacuated",
        steps: ({ evacuations }) => evacuations.applyChanges([put(zone("z1"))], 5),
        open: ["c"],
        told: ["a evacuated", "b evacuated"],
    },
    {
        title: "an object names a zone that has no targets",
        steps: ({ evacuations }) => evacuations.applyChanges([put(zone("z9"))], 5),
        open: ["a", "b", "c"],
        told: [],
    },
    {
        title: "the object is marked as being deleted and written again, and is still there",
        steps: ({ evacuations }) => {
            evacuations.applyChanges([put(zone("z1"))], 5);
            evacuations.applyChanges([put(zone("z1", { other: 1 }, 6))], 6);
            evacuations.applyChanges([put(zone("z1", undefined, 7))], 7);
        },
        open: ["c"],
        told: ["a evacuated", "b evacuated"],
    },
    {
        title: "a target registers while its zone is evacuated",
        steps: ({ evacuations, registry }) => {
            evacuations.applyChanges([put(zone("z1"))], 5);
            registry.applyChanges([put(entry("d"))]);
        },
        open: ["c"],
        told: ["a evacuated", "b evacuated", "d evacuated"],
    },
    {
        title: "the zone is lost while it is evacuated and its targets register again",
        steps: ({ evacuations, registry }) => {
            evacuations.applyChanges([put(zone("z1"))], 5);
            registry.applyChanges([drop("a"), drop("b")]);
            registry.applyChanges([put(entry("a", { incarnation: "2" }))]);
        },
        open: ["c"],
        told: ["a evacuated", "b evacuated", "a gone", "b gone", "a evacuated"],
    },
    {
        title: "all zones are evacuated",
        steps: ({ evacuations }) => evacuations.applyChanges([put(zone("z1")), put(zone("z2"))], 5),
        open: [],
        told: ["a evacuated", "b evacuated", "c evacuated"],
    },
    {
        title: "a zone is restored: its targets are as cold as after a start",
        steps: ({ evacuations }) => {
            evacuations.applyChanges([put(zone("z1"))], 5);
            evacuations.applyChanges([drop("z1")], 6);
        },
        open: ["a", "b", "c"],
        told: ["a evacuated", "b evacuated", "a 3000", "b 3000"],
    },
    {
        title: "entries that come after the restoration do not shorten the warm-up time, and may prolong it",
        steps: async ({ evacuations, registry, clock }) => {
            evacuations.applyChanges([put(zone("z1"))], 5);
            evacuations.applyChanges([drop("z1")], 6);
            await clock.advance(1_000);
            registry.applyChanges([put(entry("a", {}, 7)), put(entry("b", { warmupMilliseconds: 2_500 }, 8))]);
            await clock.advance(2_000);
            registry.applyChanges([put(entry("a", {}, 9))]);
        },
        open: ["a", "b", "c"],
        told: ["a evacuated", "b evacuated", "a 3000", "b 3000", "a 2000", "b 2500", "a 0"],
    },
    {
        title: "a target of a pool that does not limit cold targets is restored",
        steps: ({ evacuations, registry }) => {
            registry.applyChanges([put(entry("d", { pool: "orders", zone: "z3" }))]);
            evacuations.applyChanges([put(zone("z3"))], 5);
            evacuations.applyChanges([drop("z3")], 6);
        },
        open: ["a", "b", "c", "d"],
        told: ["d 0", "d evacuated", "d 0"],
    },
    {
        title: "a target both leaves and is evacuated, and its zone is restored",
        steps: ({ evacuations, registry }) => {
            evacuations.applyChanges([put(zone("z1"))], 5);
            registry.markLeaving("a", "1");
            registry.applyChanges([put(entry("b", { leaving: true }))]);
            evacuations.applyChanges([drop("z1")], 6);
        },
        open: ["c"],
        leaving: ["a", "b"],
        told: ["a evacuated", "b evacuated", "a evacuated", "b evacuated", "a 3000", "b 3000"],
    },
    {
        title: "the store returns from a copy without the evacuation",
        steps: ({ evacuations, registry }) => {
            evacuations.applyChanges([put(zone("z1"))], 5);
            registry.applyList([entry("a"), entry("b"), entry("c", { zone: "z2" })], nextEra(2));
            evacuations.applyList([], nextEra(2));
        },
        open: ["a", "b", "c"],
        told: ["a evacuated", "b evacuated", "a evacuated", "b evacuated", "c 0", "a 3000", "b 3000"],
    },
    {
        title: "the store returns from a copy with an evacuation that had ended",
        steps: ({ evacuations }) => {
            evacuations.applyChanges([put(zone("z1"))], 5);
            evacuations.applyChanges([drop("z1")], 6);
            evacuations.applyList([zone("z1")], nextEra(5));
        },
        open: ["c"],
        told: ["a evacuated", "b evacuated", "a 3000", "b 3000", "a evacuated", "b evacuated"],
    },
    {
        title: "entries of an evacuated zone are lost in a return and written again by the same targets",
        steps: async ({ evacuations, registry, clock }) => {
            evacuations.applyChanges([put(zone("z1"))], 5);
            registry.applyList([entry("c", { zone: "z2" })], nextEra(2));
            evacuations.applyList([zone("z1")], nextEra(2));
            await clock.advance(2_000);
            registry.applyChanges([put(entry("a", {}, nextEra(3))), put(entry("b", {}, nextEra(3)))]);
            evacuations.applyChanges([drop("z1")], nextEra(4));
        },
        open: ["a", "b", "c"],
        told: [
            "a evacuated",
            "b evacuated",
            "c 0",
            "a gone",
            "b gone",
            "a evacuated",
            "b evacuated",
            "a 3000",
            "b 3000",
        ],
    },
];

for (const { title, steps, open, leaving = [], told } of cases) {
    test(`${title}: targets are marked as evacuated, never as leaving`, async t => {
        const play = createRegistry();
        play.registry.applyList([entry("a"), entry("b"), entry("c", { zone: "z2" })], 1);
        play.evacuations.applyList([], 1);
        play.told.length = 0;
        await steps(play);
        const targets = ["stock", "orders"].flatMap(play.registry.ofPool);
        const namesOf = (isListed: (target: RegisteredTarget) => boolean): string[] =>
            targets.filter(isListed).map(({ name }) => name).sort();
        t.deepEqual(namesOf(target => target.evacuated !== true && !target.leaving), open);
        t.deepEqual(namesOf(target => target.leaving), leaving);
        t.deepEqual(play.told, told);
    });
}

test("before the first list no target may get requests, and those of sound zones are not cold after it", t => {
    const { evacuations, registry, told } = createRegistry();
    registry.applyList([entry("a"), entry("c", { zone: "z2" })], 1);
    t.deepEqual(told, ["a evacuated", "c evacuated"]);
    evacuations.applyList([zone("z1")], 1);
    t.deepEqual(told.slice(2), ["c 0"]);
});

test("an evacuation and its end are logged with zone, revision and targets, and counted", t => {
    const { evacuations, registry, zoneLines, metrics } = createRegistry();
    registry.applyList([entry("a"), entry("b")], 1);
    evacuations.applyList([], 1);
    evacuations.applyChanges([put(zone("z1", {}, 5))], 6);
    evacuations.applyChanges([put(zone("z1", {}, 7)), drop("z9")], 7);
    t.is(metrics.snapshot()["zones-evacuated"], 1);
    evacuations.applyChanges([drop("z1")], 8);
    t.is(metrics.snapshot()["zones-evacuated"], 0);
    t.deepEqual(zoneLines(), [
        ["zone-evacuated", { zone: "z1", revision: 5, targets: 2 }],
        ["zone-restored", { zone: "z1", revision: 8, targets: 2 }],
    ]);
});

const objectKinds = { targetKind, tableKind: "config" };
const withoutEvacuations = Object.keys(createStatePaces(objectKinds));

for (
    const { within, maxWaitMilliseconds, maxAgeMilliseconds } of [
        { within: 5_000, maxWaitMilliseconds: 2_000, maxAgeMilliseconds: 3_200 },
        { within: 1_000, maxWaitMilliseconds: 1_000, maxAgeMilliseconds: 1_800 },
        { within: 60_000, maxWaitMilliseconds: 3_000, maxAgeMilliseconds: 6_000 },
    ]
) {
    test(`evacuations that have to be in force within ${within} ms are read at most ${maxAgeMilliseconds} ms late`, t => {
        const paces = createStatePaces(objectKinds, { kind: "evacuations", withinMilliseconds: within });
        t.deepEqual(paces["evacuations"], { pauseMilliseconds: 100, maxWaitMilliseconds, maxAgeMilliseconds });
        t.deepEqual(Object.keys(paces), [...withoutEvacuations, "evacuations"]);
    });
}

const kind = "evacuations";
const withinMilliseconds = 5_000;
type Hosts = ReturnType<typeof setUpStateHosts>;

type SpreadCase = {
    title: string;
    /** What happens right before the zone is evacuated. */
    start: (setup: Hosts, readers: StateHost[]) => void;
    /** Hosts that end or are cut off from all others. */
    excluded?: (host: StateHost, readers: StateHost[]) => boolean;
    boundMilliseconds: number;
};

const spreadCases: SpreadCase[] = [
    { title: "nothing fails", start: () => undefined, boundMilliseconds: 100 },
    {
        title: "a reader ends",
        start: (...[, [reader]]) => reader.end(),
        excluded: (host, [reader]) => host === reader,
        boundMilliseconds: 500,
    },
    {
        title: "all readers end",
        start: (...[, readers]) => readers.forEach(reader => reader.end()),
        excluded: (host, readers) => readers.includes(host),
        boundMilliseconds: 1_500,
    },
    {
        title: "a reader is silent to others",
        start: ({ network }, [reader]) => network.silence(reader.host.address),
        boundMilliseconds: 1_600,
    },
    {
        title: "the store is silent for all readers",
        start: (...[, readers]) => readers.forEach(({ access }) => access.fault = "silent"),
        boundMilliseconds: withinMilliseconds,
    },
    {
        title: "the store loses a reader's calls for this kind alone",
        start: (...[, [reader]]) => reader.access.kindFaults.set(kind, "silent"),
        boundMilliseconds: withinMilliseconds,
    },
    {
        title: "the store loses all readers' calls for this kind alone",
        start: (...[, readers]) => readers.forEach(({ access }) => access.kindFaults.set(kind, "silent")),
        boundMilliseconds: withinMilliseconds,
    },
    {
        title: "what a reader hears of this kind arrives 4 s late",
        start: (...[, [reader]]) => reader.access.kindFaults.set(kind, "slow"),
        boundMilliseconds: withinMilliseconds,
    },
    {
        title: "the store loses its history",
        start: ({ shared }) => shared.forgetHistory(),
        boundMilliseconds: 500,
    },
];

const names = ["i-1", "i-2", "i-3"];
const isEvacuated = ({ registry }: StateHost, name = names[0]): boolean => registry.get(name)?.evacuated === true;

/** Hosts that know of two targets of zone t1 and one of t2, neither evacuated. */
const setUpHosts = async (): Promise<Hosts> => {
    const setup = setUpStateHosts(12, 2, withinMilliseconds);
    names.forEach((name, index) => setup.shared.put(targetKind, name, { zone: index < 2 ? "t1" : "t2" }));
    await setup.clock.advance(5_000);
    return setup;
};

/** Advances until the condition holds and returns the time that it took. */
const timeUntil = async ({ clock }: Hosts, condition: () => boolean): Promise<number> => {
    const startedAt = clock.now();
    while (!condition() && clock.now() - startedAt < 20_000) {
        await clock.advance(20);
    }
    return clock.now() - startedAt;
};

for (const { title, start, excluded = () => false, boundMilliseconds } of spreadCases) {
    test(`${title}: all hosts of two zones know of an evacuation within ${boundMilliseconds} ms`, async t => {
        const setup = await setUpHosts();
        const { shared, hosts } = setup;
        const readers = hosts.filter(({ source }) => source.name() === "store");
        t.is(readers.length, 2);
        t.false(hosts.some(host => isEvacuated(host)));
        start(setup, readers);
        shared.put(kind, "t1", {});
        const others = hosts.filter(host => !excluded(host, readers));
        const milliseconds = await timeUntil(setup, () => others.every(host => isEvacuated(host)));
        t.log(`${milliseconds} ms`);
        t.true(milliseconds <= boundMilliseconds, `${milliseconds} ms`);
        t.true(others.every(host => !isEvacuated(host, names[2]) && host.registry.get(names[0])?.leaving === false));
    });
}

test("while the store is out a zone stays evacuated, and hosts learn of its end within 5 s of the outage's", async t => {
    const setup = await setUpHosts();
    const { clock, shared, hosts } = setup;
    shared.put(kind, "t1", {});
    await clock.advance(500);
    hosts.forEach(({ access }) => access.fault = "refusing");
    shared.remove(kind, "t1");
    await clock.advance(20_000);
    t.true(hosts.every(host => isEvacuated(host)));
    hosts.forEach(({ access }) => access.fault = "none");
    const milliseconds = await timeUntil(setup, () => !hosts.some(host => isEvacuated(host)));
    t.log(`${milliseconds} ms`);
    t.true(milliseconds <= withinMilliseconds, `${milliseconds} ms`);
    t.true(hosts.every(({ registry }) => (registry.get(names[0])?.warmupMilliseconds ?? 0) >= coldMilliseconds));
});

for (const isInCopy of [true, false]) {
    test(`the store returns from a copy ${isInCopy ? "with" : "without"} an evacuation, and its list applies`, async t => {
        const setup = await setUpHosts();
        const { clock, shared, hosts } = setup;
        if (isInCopy) {
            shared.put(kind, "t1", {});
        }
        const copy = shared.copy();
        if (isInCopy) {
            shared.remove(kind, "t1");
        }
        else {
            shared.put(kind, "t1", {});
        }
        await clock.advance(1_000);
        t.true(hosts.every(host => isEvacuated(host) === !isInCopy));
        shared.returnFrom(copy);
        await clock.advance(withinMilliseconds);
        t.true(hosts.every(host => isEvacuated(host) === isInCopy));
        t.false(hosts.some(({ registry }) => registry.ofPool("stock").some(({ leaving }) => leaving)));
    });
}

/** Guards against a host that sends to targets of an evacuated zone since it has not read the kind yet. */
test("a host that starts is not ready and uses no target before it has read which zones are evacuated", async t => {
    const setup = await setUpHosts();
    const { clock, shared, hosts, network, start } = setup;
    shared.put(kind, "t1", {});
    await clock.advance(500);
    hosts.forEach(({ host }) => network.silence(host.address));
    const late = start({ name: "h99", zone: "z0", address: "10.0.0.99:1", processor: 1 });
    late.access.kindFaults.set(kind, "refusing");
    await clock.advance(15_000);
    t.false(late.isSynced());
    t.true(late.registry.ofPool("stock").every(({ evacuated }) => evacuated === true));
    late.access.kindFaults.clear();
    await clock.advance(5_000);
    t.true(late.isSynced());
    t.deepEqual(names.map(name => isEvacuated(late, name)), [true, true, false]);
});

/** Guards against hosts that trust readers which do not follow the kind, as while the setting comes into force. */
test("hosts with the setting learn of evacuations though all readers are without it, which serve the others as before", async t => {
    const setup = setUpStateHosts(12, 2);
    const { clock, shared, hosts, start } = setup;
    shared.put(targetKind, names[0], { zone: "t1" });
    await clock.advance(5_000);
    const following = [1, 2, 3].map(index =>
        start({ name: `h9${index}`, zone: "z0", address: `10.0.0.9${index}:1`, processor: 1 }, withinMilliseconds)
    );
    await clock.advance(5_000);
    t.true(following.every(host => host.isSynced()));
    shared.put(kind, "t1", {});
    const milliseconds = await timeUntil(setup, () => following.every(host => isEvacuated(host)));
    t.log(`${milliseconds} ms, read from ${following.map(({ source }) => source.name()).join(", ")}`);
    t.true(milliseconds <= withinMilliseconds, `${milliseconds} ms`);
    shared.put(targetKind, names[1], { zone: "t1" });
    await clock.advance(500);
    t.true([...hosts, ...following].every(({ registry }) => registry.get(names[1]) !== undefined));
    t.false(hosts.some(host => isEvacuated(host)));
});
