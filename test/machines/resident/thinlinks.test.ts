/**
 * Hosts behind thin links: every host must have a confirmed manifest in time, however large it is, and however many came
 * before it.
 */
import test from "ava";
import { setMaxListeners } from "node:events";
import { createRandom } from "../../../bench/random.ts";
import { loadsPath, statePath } from "../../../src/contracts/statemessages.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createStateSpread } from "../../../src/machines/resident/statespread.ts";
import { createStoreWatcher } from "../../../src/machines/resident/storewatcher.ts";
import type { ReaderCandidate } from "../../../src/zones/readers.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";
import { createFakeStore } from "./fakestore.ts";

const objects = { tableKind: "config", targetKind: "servers" };

type Manifest = { version: string; routes: Record<string, unknown>; services: unknown; limits: unknown };

/** Returns a manifest with this number of routes, whose names share little. */
const createManifest = (routeCount: number): Manifest => {
    const random = createRandom(routeCount);
    const word = (): string => random.uniform().toString(36).slice(2, 10);
    const routes = Array.from({ length: routeCount }, () => [word(), {
        host: `${word()}.example`,
        pathPrefix: `/${word()}/${word()}/`,
        kind: "safe",
        timeout: "6024ms",
        targetLatency: "1004ms",
        priority: random.integerBelow(3),
        maxAttempts: 3,
        service: `service-${random.integerBelow(3)}`,
    }]);
    return { version: "r1", routes: Object.fromEntries(routes) as Manifest["routes"], services: {}, limits: {} };
};

/** @param fastHosts places of hosts whose links are twenty times as fast. */
const setUp = (hostCount: number, bytesPerMillisecond: number, fastHosts: readonly number[] = []) => {
    const clock = createVirtualClock();
    const shared = createFakeStore(clock);
    const network = createFakeNetwork(clock);
    const hosts: ReaderCandidate[] = Array.from({ length: hostCount }, (...[, index]) => ({
        name: `h${index}`,
        zone: "z",
        address: `10.0.0.${index}:1`,
        processor: 1,
        linkMegabits: fastHosts.includes(index) ? 200 : 10,
    }));
    const { signal } = new AbortController();
    setMaxListeners(0, signal);

    const start = (self: ReaderCandidate) => {
        const access = shared.access();
        const speed = bytesPerMillisecond * (self.linkMegabits ?? 0) / 10;
        access.bytesPerMillisecond = speed;
        const metrics = createMetrics();
        const common = { clock, log: silentLog, metrics, signal };
        let held: unknown;
        const { source, server, sharedLoads } = createStateSpread({
            self,
            store: access.store,
            objects,
            processes: { known: Promise.resolve(), hosts: () => hosts },
            isStopping: () => false,
            onSourceChange: () => watcher?.retryNow(),
            dial: network.dialerOf(self.address),
            random: () => 0.5,
            ...common,
        });
        network.listen(self.address, { [statePath]: server.service, [loadsPath]: sharedLoads.service });
        network.thin(self.address, speed);
        const watchers = ["servers", "config", "ownership", "coordination", "hosts"].map(kind =>
            createStoreWatcher({
                store: source,
                kind,
                waitMilliseconds: 3_000,
                maxPauseMilliseconds: 500,
                onList: listed => {
                    held = kind === objects.tableKind ? listed[0]?.value : held;
                },
                onChanges: events => {
                    held = kind === objects.tableKind ? events.at(-1)?.object.value ?? held : held;
                },
                onRecovered: () => undefined,
                ...common,
            })
        );
        const [watcher] = watchers;
        const sourceChanges = (): number =>
            Object.entries(metrics.snapshot()).filter(([name]) => name.startsWith("state-source-changes"))
                .reduce((sum, [, count]) => sum + count, 0);
        return { source: source.name, sourceChanges, manifest: () => held as Manifest };
    };

    return { clock, shared, hosts: hosts.map(start) };
};

type Case = {
    title: string;
    routes: number;
    changes: number;
    gapMilliseconds: number;
    change: (before: Manifest) => Manifest;
};

const addRoute = ({ routes, ...rest }: Manifest): Manifest => {
    const count = Object.keys(routes).length;
    return { ...rest, routes: { ...routes, [`added-${count}`]: { host: "added.example", pathPrefix: `/${count}/` } } };
};

const cases: Case[] = [
    { title: "25 versions of 150 routes in 2.7 s", routes: 150, changes: 25, gapMilliseconds: 110, change: addRoute },
    {
        title: "six versions of 1,520 routes in 6 s",
        routes: 1_520,
        changes: 6,
        gapMilliseconds: 1_000,
        change: addRoute,
    },
    {
        title: "a version with 1,400 routes more",
        routes: 120,
        changes: 1,
        gapMilliseconds: 0,
        change: ({ routes, ...rest }) => ({ ...rest, routes: { ...routes, ...createManifest(1_400).routes } }),
    },
];

/** Bound of the time from the acknowledgement of a manifest until it is in force. */
const applyMilliseconds = 2_000;

/** Hosts of a zone, and what their links take: seven tenths of 10 and of 20 Mbit/s. */
const zones = [
    { hostCount: 17, bytesPerMillisecond: 875 },
    { hostCount: 40, bytesPerMillisecond: 1_750 },
];
const plays = zones.flatMap(zone => cases.map(play => ({ ...zone, ...play })));

for (const { title, hostCount, bytesPerMillisecond, routes, changes, gapMilliseconds, change } of plays) {
    test(`${hostCount} hosts behind thin links have the last one in time, and stay with their reader: ${title}`, async t => {
        const { clock, shared, hosts } = setUp(hostCount, bytesPerMillisecond);
        const sourceChanges = (): number => hosts.reduce((sum, host) => sum + host.sourceChanges(), 0);
        let manifest = createManifest(routes);
        shared.put(objects.tableKind, "main", manifest);
        await clock.advance(20_000);
        t.true(hosts.every(host => host.manifest().version === "r1"));
        t.is(hosts.filter(host => host.source() === "store").length, 2);
        const changedBefore = sourceChanges();
        for (let version = 2; version <= changes + 1; version += 1) {
            await clock.advance(gapMilliseconds);
            manifest = { ...change(manifest), version: `r${version}` };
            shared.put(objects.tableKind, "main", manifest);
        }
        let last = 0;
        const isEverywhere = (): boolean => hosts.every(host => host.manifest().version === manifest.version);
        while (!isEverywhere() && last < 20_000) {
            await clock.advance(20);
            last += 20;
        }
        t.log(`the last host after ${last} ms, ${sourceChanges() - changedBefore} changes of the source`);
        t.is(sourceChanges(), changedBefore);
        t.true(last <= applyMilliseconds, `the last host after ${last} ms`);
        hosts.forEach(host => t.deepEqual(host.manifest(), manifest));
    });
}

/** Guards against a reader with a thin link in a zone that has hosts with fast ones. */
for (const fastHosts of [[0, 1], [2, 9], [5, 14], [8, 16]]) {
    test(`manifests that are new as a whole are in force in time where hosts ${fastHosts.join(" and ")} of a zone have fast links`, async t => {
        const { clock, shared, hosts } = setUp(17, 875, fastHosts);
        shared.put(objects.tableKind, "main", createManifest(150));
        await clock.advance(20_000);
        const before = hosts.reduce((sum, host) => sum + host.sourceChanges(), 0);
        let manifest = createManifest(0);
        for (let version = 2; version <= 4; version += 1) {
            manifest = { ...createManifest(3_000 + version), version: `r${version}` };
            shared.put(objects.tableKind, "main", manifest);
            await clock.advance(1_000);
        }
        await clock.advance(applyMilliseconds - 1_000);
        const late = hosts.filter(host => host.manifest().version !== manifest.version).length;
        const left = hosts.reduce((sum, host) => sum + host.sourceChanges(), 0) - before;
        t.deepEqual({ late, left }, { late: 0, left: 0 });
    });
}
