/**
 * State spreads from a few readers: every host must learn of each change in time, whatever happens to its reader, no
 * host may go back to an older state, and the calls to the store must not grow with the number of hosts.
 */
import test from "ava";
import type { ObjectStore } from "../../../src/contracts/objectstore.ts";
import { statePath } from "../../../src/contracts/statemessages.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { storeKinds } from "../../../src/machines/resident/coordination.ts";
import { createStateCache } from "../../../src/machines/resident/statecache.ts";
import { createStatePaces } from "../../../src/machines/resident/statepaces.ts";
import type { ReadPace } from "../../../src/machines/resident/statereading.ts";
import { createStateServer } from "../../../src/machines/resident/stateserver.ts";
import { createStateSource, type StateSource } from "../../../src/machines/resident/statesource.ts";
import { createStoreWatcher, type StoreWatcher } from "../../../src/machines/resident/storewatcher.ts";
import { digestHash } from "../../../src/zones/digesthash.ts";
import { chooseReaders, type ReaderCandidate } from "../../../src/zones/readers.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";
import { createFakeStore, type FakeStore } from "./fakestore.ts";

const kind = "config";
const configPaces = { [kind]: { pauseMilliseconds: 50, maxWaitMilliseconds: 600, maxAgeMilliseconds: 1_400 } };

/** As hosts read the kinds. */
const productPaces = createStatePaces({ targetKind: "servers", tableKind: kind });

type TestHost = {
    host: ReaderCandidate;
    access: FakeStore;
    source: StateSource;
    watcher: StoreWatcher;
    /** The newest version that the host has, and whether it ever went back. */
    version: () => number | undefined;
    hasRegressed: () => boolean;
    calls: Record<string, number>;
    end: () => void;
};

/** Counts the calls of a host to the store by name. */
const countCalls = (store: ObjectStore, calls: Record<string, number>): ObjectStore => ({
    ...store,
    list: (...given) => {
        calls.list = (calls.list ?? 0) + 1;
        return store.list(...given);
    },
    watch: (...given) => {
        calls.watch = (calls.watch ?? 0) + 1;
        return store.watch(...given);
    },
});

const setUp = (hostCount: number, zoneCount = 1, paces: Readonly<Record<string, ReadPace>> = configPaces) => {
    const clock = createVirtualClock();
    const shared = createFakeStore(clock);
    const network = createFakeNetwork(clock);
    const kinds = Object.keys(paces);
    const candidates: ReaderCandidate[] = Array.from({ length: hostCount }, (...[, index]) => ({
        name: `h${index}`,
        zone: `z${index % zoneCount}`,
        address: `10.0.0.${index}:1`,
        processor: 1,
    }));

    const start = (host: ReaderCandidate): TestHost => {
        const lifetime = new AbortController();
        const { signal } = lifetime;
        const access = shared.access();
        const calls: Record<string, number> = {};
        const cache = createStateCache();
        const common = { clock, log: silentLog, metrics: createMetrics(), signal };
        let version: number | undefined;
        let regressed = false;
        const record = (value: unknown): void => {
            regressed ||= (version ?? 0) > (value as number);
            version = value as number;
        };
        const source = createStateSource({
            self: host.name,
            store: countCalls(access.store, calls),
            cache,
            paces,
            patches: {},
            hostsKnown: Promise.resolve(),
            choose: () => chooseReaders(digestHash, host, candidates),
            dial: network.dialerOf(host.address),
            onLoads: () => undefined,
            onSourceChange: () => undefined,
            onChange: () => {
                server.announce();
                watchers?.forEach(watcher => watcher.retryNow());
            },
            random: () => 0.5,
            ...common,
        });
        const server = createStateServer({
            store: access.store,
            cache,
            kinds,
            patches: {},
            isCurrent: source.isCurrent,
            ages: source.ages,
            onLoads: () => undefined,
            wholeLoads: () => ({ kind: "loads", whole: true, loads: [] }),
            ...common,
        });
        network.listen(host.address, { [statePath]: server.service });
        const watchers: StoreWatcher[] | undefined = kinds.map(watched =>
            createStoreWatcher({
                store: source,
                kind: watched,
                waitMilliseconds: 3_000,
                maxPauseMilliseconds: 500,
                onList: objects => watched === kind && objects.forEach(object => record(object.value)),
                onChanges: events => watched === kind && events.forEach(event => record(event.object.value)),
                onRecovered: () => undefined,
                ...common,
            })
        );
        return {
            host,
            access,
            source,
            watcher: watchers[0],
            version: () => version,
            hasRegressed: () => regressed,
            calls,
            end: () => {
                lifetime.abort();
                network.kill(host.address);
            },
        };
    };

    const hosts = candidates.map(start);
    const readers = (): TestHost[] => hosts.filter(({ source }) => source.name() === "store");
    const followers = (): TestHost[] => hosts.filter(({ source }) => source.name() !== "store");
    return { clock, shared, network, hosts, start, readers, followers };
};

type Setup = ReturnType<typeof setUp>;

/** Returns the reader that hosts follow, the other one, and the followers. */
const findFollowed = ({ hosts, readers }: Setup) => {
    const isFollowed = ({ host }: TestHost): boolean => hosts.some(({ source }) => source.name() === host.name);
    const [reader, other] = readers().sort((left, right) => Number(isFollowed(right)) - Number(isFollowed(left)));
    return { reader, other, followers: hosts.filter(({ source }) => source.name() === reader.host.name) };
};

const totalCalls = (hosts: TestHost[], name: string): number =>
    hosts.reduce((sum, { calls }) => sum + (calls[name] ?? 0), 0);

test("200 hosts in 5 zones: ten readers read the store, and every host has a change within 100 ms", async t => {
    const { clock, shared, hosts, readers } = setUp(200, 5);
    shared.put(kind, "main", 1);
    await clock.advance(3_000);
    t.is(readers().length, 10);
    t.true(hosts.every(host => host.version() === 1));
    t.is(totalCalls(hosts, "list"), 10);
    const before = totalCalls(hosts, "watch");
    for (let version = 2; version <= 11; version += 1) {
        shared.put(kind, "main", version);
        await clock.advance(100);
        t.true(hosts.every(host => host.version() === version));
    }
    await clock.advance(9_000);
    t.true(totalCalls(hosts, "watch") - before <= 10 * (11 + 10_000 / 600));
    t.false(hosts.some(host => host.hasRegressed()));
});

type Fault = { title: string; start: (setup: Setup, readers: TestHost[]) => void; boundMilliseconds: number };

const faults: Fault[] = [
    {
        title: "one reader ends",
        start: (...[, [reader]]) => reader.end(),
        boundMilliseconds: 500,
    },
    {
        title: "all readers end",
        start: (...[, readers]) => readers.forEach(reader => reader.end()),
        boundMilliseconds: 1_500,
    },
    {
        title: "one reader is silent",
        start: ({ network }, [reader]) => network.silence(reader.host.address),
        boundMilliseconds: 1_600,
    },
    {
        title: "all readers are silent",
        start: ({ network }, readers) => readers.forEach(reader => network.silence(reader.host.address)),
        boundMilliseconds: 1_900,
    },
    {
        title: "the store refuses one reader",
        start: (...[, [reader]]) => {
            reader.access.fault = "refusing";
        },
        boundMilliseconds: 1_500,
    },
    {
        title: "the store refuses all hosts but one reader",
        start: ({ hosts }, [, served]) => {
            hosts.filter(host => host !== served).forEach(host => {
                host.access.fault = "refusing";
            });
        },
        boundMilliseconds: 1_500,
    },
    {
        title: "the store is silent for one reader",
        start: (...[, [reader]]) => {
            reader.access.fault = "silent";
        },
        boundMilliseconds: 1_900,
    },
    {
        title: "the store is silent for all readers",
        start: (...[, readers]) =>
            readers.forEach(reader => {
                reader.access.fault = "silent";
            }),
        boundMilliseconds: 1_900,
    },
    {
        title: "the store loses its history",
        start: ({ shared }) => shared.forgetHistory(),
        boundMilliseconds: 700,
    },
];

for (const { title, start, boundMilliseconds } of faults) {
    test(`${title}: every sound host has a change within ${boundMilliseconds} ms and none goes back`, async t => {
        const setup = setUp(20);
        const { clock, shared, hosts, readers } = setup;
        shared.put(kind, "main", 1);
        await clock.advance(3_000);
        const before = readers();
        t.is(before.length, 2);
        start(setup, before);
        shared.put(kind, "main", 2);
        await clock.advance(boundMilliseconds);
        const sound = hosts.filter(host => host.access.fault === "none" && !before.includes(host));
        const served = hosts.filter(host => host.access.fault === "refusing");
        t.true([...sound, ...served].every(host => host.version() === 2));
        t.false(hosts.some(host => host.hasRegressed()));
    });
}

test("a reader that the store refuses follows the other one, and reads the store again when it is served", async t => {
    const { clock, shared, readers } = setUp(20);
    shared.put(kind, "main", 1);
    await clock.advance(3_000);
    const [refused, other] = readers();
    refused.access.fault = "refusing";
    await clock.advance(2_000);
    t.is(refused.source.name(), other.host.name);
    shared.put(kind, "main", 2);
    await clock.advance(200);
    t.is(refused.version(), 2);
    refused.access.fault = "none";
    await clock.advance(3_000);
    t.is(refused.source.name(), "store");
});

/** Guards against readers that stay blind because they ask only each other. */
test("two readers that the store refuses follow a host of the zone that reads the store", async t => {
    const { clock, shared, hosts, readers } = setUp(20);
    shared.put(kind, "main", 1);
    await clock.advance(3_000);
    const refused = readers();
    t.is(refused.length, 2);
    refused.forEach(({ access }) => {
        access.fault = "refusing";
    });
    await clock.advance(3_000);
    shared.put(kind, "main", 2);
    await clock.advance(200);
    t.true(hosts.every(host => host.version() === 2));
    refused.forEach(({ access }) => {
        access.fault = "none";
    });
    await clock.advance(10_000);
    t.deepEqual(readers().map(({ host }) => host.name).sort(), refused.map(({ host }) => host.name).sort());
});

/** Guards against followers that go on with a reader behind a thin link, whose word is seconds old. */
test("a reader whose word arrives ever later is left, and for a while not followed again", async t => {
    const setup = setUp(20);
    const { clock, shared, network } = setup;
    shared.put(kind, "main", 1);
    await clock.advance(3_000);
    const { reader, other, followers } = findFollowed(setup);
    t.true(followers.length > 0);
    network.slow(reader.host.address, 2_500);
    await clock.advance(3_000);
    for (let version = 2; version <= 8; version += 1) {
        shared.put(kind, "main", version);
        await clock.advance(1_000);
        t.true(followers.every(host => host.version() === version), `version ${version}`);
        t.true(followers.every(({ source }) => source.name() === other.host.name));
    }
});

/** What happens to the calls of a reader for the manifest, while its calls for other kinds are answered at once. */
const blindnesses: Array<{ title: string; start: (reader: TestHost) => void }> = [
    { title: "get no answers", start: ({ access }) => access.kindFaults.set(kind, "silent") },
    { title: "are refused", start: ({ access }) => access.kindFaults.set(kind, "refusing") },
    { title: "are answered slowly", start: ({ access }) => access.kindFaults.set(kind, "slow") },
];

/** Guards against a reader that counts as current while it is blind to one kind. */
for (const { title, start } of blindnesses) {
    test(`a reader whose calls for one kind ${title} is left: every host has a change within 2,000 ms`, async t => {
        const setup = setUp(20, 1, productPaces);
        const { clock, shared, hosts } = setup;
        Object.keys(productPaces).forEach(each => shared.put(each, "main", 1));
        await clock.advance(8_000);
        const { reader, followers } = findFollowed(setup);
        t.true(followers.length > 0);
        start(reader);
        shared.put(kind, "main", 2);
        for (let count = 0; count < 20; count += 1) {
            shared.put(storeKinds.coordination, "main", count);
            await clock.advance(100);
        }
        t.deepEqual(hosts.map(host => host.version()), hosts.map(() => 2));
    });
}

test("followers return to their reader after it has restarted, and an older reader takes none of them back", async t => {
    const setup = setUp(20);
    const { clock, shared, network, hosts, start } = setup;
    shared.put(kind, "main", 1);
    await clock.advance(3_000);
    const { reader, other, followers } = findFollowed(setup);
    t.true(followers.length > 0);
    reader.end();
    shared.put(kind, "main", 2);
    await clock.advance(3_000);
    t.true(followers.every(({ source }) => source.name() === other.host.name));
    const restarted = start(reader.host);
    await clock.advance(20_000);
    t.is(restarted.version(), 2);
    t.true(followers.every(({ source }) => source.name() === reader.host.name));
    network.silence(other.host.address);
    shared.put(kind, "main", 3);
    await clock.advance(200);
    t.true(followers.every(host => host.version() === 3));
    t.false(hosts.some(host => host.hasRegressed()));
});

test("an outage of the store: all hosts notice it, few call meanwhile, and all have the change soon after its return", async t => {
    const { clock, shared, hosts } = setUp(100, 5);
    shared.put(kind, "main", 1);
    await clock.advance(3_000);
    hosts.forEach(host => {
        host.access.fault = "refusing";
    });
    await clock.advance(8_000);
    t.true(hosts.every(host => host.watcher.reachableSince() === undefined));
    shared.put(kind, "main", 2);
    hosts.forEach(host => {
        host.access.fault = "none";
    });
    await clock.advance(1_000);
    t.true(hosts.every(host => host.version() === 2));
    await clock.advance(10_000);
    t.true(hosts.every(host => host.watcher.reachableSince() !== undefined));
    t.is(hosts.filter(({ source }) => source.name() === "store").length, 10);
});

/** Guards against a start that waits for one host after the other, all of them gone with their addresses. */
test("a host that starts beside silent ones has the state within a second", async t => {
    const { clock, shared, network, hosts, start } = setUp(31);
    shared.put(kind, "main", 1);
    await clock.advance(3_000);
    hosts.forEach(host => host.end());
    hosts.forEach(({ host }) => network.silence(host.address));
    // Whatever the rank of the host.
    for (const { host } of hosts) {
        network.heal(host.address);
        const late = start(host);
        await clock.advance(1_000);
        t.is(late.version(), 1, host.name);
        late.end();
        network.silence(host.address);
    }
});
