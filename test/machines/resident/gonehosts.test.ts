/**
 * Registrations of hosts that are gone. Guards against those that stay for good, with their parts of targets, and against the
 * removal of hosts that are there.
 */
import test from "ava";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import type { PeerDialer, PeerService } from "../../../src/links/peers.ts";
import {
    absentGossipKind,
    absentGossipSchema,
    createGoneHosts,
    presencePath,
    presentGossipKind,
    presentGossipSchema,
} from "../../../src/machines/resident/gonehosts.ts";
import { createGossip, gossipPath } from "../../../src/machines/resident/gossip.ts";
import { registerProcess } from "../../../src/machines/resident/processes.ts";
import { createStoreWatcher } from "../../../src/machines/resident/storewatcher.ts";
import { digestHash } from "../../../src/zones/digesthash.ts";
import { rankGossipPeers } from "../../../src/zones/gossippeers.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";
import { createFakeStore } from "./fakestore.ts";

const minuteMilliseconds = 60_000;

const kinds = { [absentGossipKind]: absentGossipSchema, [presentGossipKind]: presentGossipSchema };

const noAddress = "[";
const throwIt = (): never => {
    throw new SyntaxError("not an address");
};

/** A host that does not know a service closes the connection. */
const closingService: PeerService = connection => {
    connection.close();
    return { onFrame: () => false, onClose: () => undefined };
};

const setUp = async (names: string[]) => {
    const clock = createVirtualClock();
    const shared = createFakeStore(clock);
    const network = createFakeNetwork(clock);
    /** Pairs of addresses between which no link opens. */
    const cuts = new Set<string>();
    let writes = 0;

    const start = (name: string, address = `10.0.0.${name.slice(1)}:1`, process = `${name}/a`, isOlder = false) => {
        const lifetime = new AbortController();
        const { signal } = lifetime;
        const access = shared.access();
        const count = <Call extends (...given: never[]) => unknown>(call: Call) =>
            ((...given) => (writes += 1, call(...given))) as Call;
        const store = {
            ...access.store,
            create: count(access.store.create),
            replace: count(access.store.replace),
            remove: count(access.store.remove),
        };
        const host = { name, zone: "z1", address, processor: 1 };
        const common = { clock, log: silentLog, metrics: createMetrics(), signal };
        const processes = registerProcess({ store, self: process, host, ...common });
        createStoreWatcher({
            store,
            kind: "hosts",
            waitMilliseconds: 3_000,
            maxPauseMilliseconds: 3_000,
            onList: processes.applyList,
            onChanges: processes.applyChanges,
            onRecovered: () => undefined,
            ...common,
        });
        const connect = network.dialerOf(address);
        const dial: PeerDialer = (to, path, listener) =>
            to === noAddress && path === presencePath
                ? throwIt()
                : connect(
                    cuts.has(`${address} ${to}`) || cuts.has(`${to} ${address}`) ? "nowhere" : to,
                    path,
                    listener,
                );
        const gossip = createGossip({
            self: name,
            kinds: isOlder ? {} : kinds,
            peers: () => rankGossipPeers(digestHash, host, processes.hosts()),
            dial,
            ...common,
        });
        // The first host coordinates.
        const isResponsible = (): boolean => name === names[0];
        const { service } = createGoneHosts({ self: name, processes, isResponsible, gossip, dial, ...common });
        network.listen(address, {
            [gossipPath]: gossip.service,
            [presencePath]: isOlder ? closingService : service,
        });
        const end = (): void => {
            lifetime.abort();
            network.kill(address);
            network.silence(address);
        };
        return { name, address, access, processes, end };
    };
    const hosts = names.map(name => start(name));
    await clock.advance(20_000);
    const registered = (): string[] => names.filter(name => shared.read("hosts", name) !== undefined);
    const countWrites = async (milliseconds: number): Promise<number> => {
        const before = writes;
        await clock.advance(milliseconds);
        return writes - before;
    };
    return { clock, shared, network, cuts, start, hosts, registered, countWrites };
};

const names = ["h1", "h2", "h3", "h4"];

test("the registration of a host that is gone is removed by one write, after ten minutes", async t => {
    const { clock, hosts, registered, countWrites } = await setUp(names);
    hosts[3].end();
    await clock.advance(9 * minuteMilliseconds);
    t.deepEqual(registered(), names);
    t.is(await countWrites(8 * minuteMilliseconds), 1);
    t.deepEqual(registered(), ["h1", "h2", "h3"]);
    for (const { processes } of hosts.slice(0, 3)) {
        t.is(processes.hostCount(), 3);
        t.deepEqual([...processes.hostNames()].sort(), ["h1", "h2", "h3"]);
        t.false(processes.hosts().some(({ name }) => name === "h4"));
    }
});

/** Guards against a copy that is taken for a host that writes itself again, after which none is removed for an hour. */
test("the registration of a host that is gone is removed again when the store comes back from a copy that has it", async t => {
    const { clock, shared, hosts, registered } = await setUp(names);
    hosts[3].end();
    await clock.advance(9 * minuteMilliseconds);
    const copy = shared.copy();
    await clock.advance(8 * minuteMilliseconds);
    t.deepEqual(registered(), ["h1", "h2", "h3"]);
    shared.returnFrom(copy);
    t.deepEqual(registered(), names);
    await clock.advance(18 * minuteMilliseconds);
    t.deepEqual(registered(), ["h1", "h2", "h3"]);
    t.is(hosts[0].processes.hostCount(), 3);
});

test("thirty hosts that are gone are removed one after the other", async t => {
    const many = Array.from({ length: 32 }, (...[, index]) => `h${index + 1}`);
    const { clock, hosts, registered } = await setUp(many);
    hosts.slice(2).forEach(host => host.end());
    await clock.advance(50 * minuteMilliseconds);
    t.deepEqual(registered(), ["h1", "h2"]);
});

test("a host under a new name at the same address leaves no registration of the former name", async t => {
    const { clock, shared, network, hosts, start, registered } = await setUp(names);
    const { address } = hosts[3];
    hosts[3].end();
    network.heal(address);
    start("h5", address);
    await clock.advance(17 * minuteMilliseconds);
    t.deepEqual(registered(), ["h1", "h2", "h3"]);
    t.not(shared.read("hosts", "h5"), undefined);
});

test("a registration whose address is none is removed like others, and keeps no other from it", async t => {
    const { clock, shared, hosts, registered } = await setUp(names);
    shared.put("hosts", "h0", { process: "h0/x", zone: "z1", address: noAddress });
    hosts[3].end();
    await clock.advance(19 * minuteMilliseconds);
    t.deepEqual(registered(), ["h1", "h2", "h3"]);
    t.is(shared.read("hosts", "h0"), undefined);
});

type Sound = {
    title: string;
    disturb: (setup: Awaited<ReturnType<typeof setUp>>) => Promise<void> | void;
};

const sound: Sound[] = [
    { title: "runs", disturb: () => undefined },
    {
        title: "is away for nine minutes again and again",
        disturb: async ({ clock, network, hosts }) => {
            for (const address of [hosts[3].address, hosts[3].address, hosts[2].address]) {
                network.silence(address);
                await clock.advance(9 * minuteMilliseconds);
                network.heal(address);
                await clock.advance(6 * minuteMilliseconds);
            }
        },
    },
    {
        title: "can not be reached by the coordinator, but by others",
        disturb: ({ cuts, hosts }) => void cuts.add(`${hosts[0].address} ${hosts[3].address}`),
    },
    {
        title: "is of a version that does not tell its name",
        disturb: ({ hosts, start, network }) => {
            hosts[3].end();
            network.heal(hosts[3].address);
            start("h4", hosts[3].address, "h4/b", true);
        },
    },
    {
        title: "starts again after nine minutes, and the coordinator does not reach it",
        disturb: async ({ clock, hosts, network, start, cuts }) => {
            hosts[3].end();
            await clock.advance(9 * minuteMilliseconds);
            network.heal(hosts[3].address);
            cuts.add(`${hosts[0].address} ${hosts[3].address}`);
            start("h4", hosts[3].address, "h4/b");
        },
    },
];

for (const { title, disturb } of sound) {
    test(`a host that ${title} keeps its registration`, async t => {
        const setup = await setUp(names);
        const { shared, hosts, clock } = setup;
        await disturb(setup);
        await clock.advance(5_000);
        const revision = shared.read("hosts", "h4")?.revision;
        await clock.advance(40 * minuteMilliseconds);
        t.is(shared.read("hosts", "h4")?.revision, revision);
        t.not(revision, undefined);
        t.is(hosts[0].processes.hostCount(), 4);
    });
}

/** Guards against a coordinator that is cut off, and removes all others again and again. */
test("hosts that only the store reaches are removed once in an hour, and write themselves again at once", async t => {
    const { network, registered, countWrites, hosts } = await setUp(names);
    hosts.slice(1).forEach(({ address }) => network.silence(address));
    t.is(await countWrites(9 * minuteMilliseconds), 0);
    let writes = 0;
    for (let minute = 0; minute < 20; minute += 0.25) {
        const before = writes;
        writes += await countWrites(minuteMilliseconds / 4);
        t.true(registered().length === names.length || writes > before);
    }
    // The removal and the registration after it.
    t.is(writes, 2);
    t.deepEqual(registered(), names);
    hosts.forEach(({ processes }) => t.true(processes.isRegistered()));
    t.is(await countWrites(30 * minuteMilliseconds), 0);
});

test("a host whose registration was removed while the store refused it writes it when it is served again", async t => {
    const { clock, network, registered, hosts } = await setUp(names);
    hosts[3].access.fault = "refusing";
    network.silence(hosts[3].address);
    await clock.advance(17 * minuteMilliseconds);
    t.deepEqual(registered(), ["h1", "h2", "h3"]);
    t.is(hosts[0].processes.hostCount(), 3);
    hosts[3].access.fault = "none";
    network.heal(hosts[3].address);
    await clock.advance(10_000);
    t.deepEqual(registered(), names);
    t.is(hosts[0].processes.hostCount(), 4);
});
