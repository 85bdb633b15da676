import test from "ava";
import { createSlotHash } from "../../src/decisions/hash.ts";
import {
    allRelays,
    choosePeers,
    hostsServedBy,
    majorityHosts,
    maxFullMeshHosts,
    relaysAskedBy,
    relaysOfZone,
    type ZonedHost,
} from "../../src/zones/relays.ts";

const hash = await createSlotHash();

const fleet = (zones: number, hostsPerZone: number): ZonedHost[] =>
    [...Array(zones * hostsPerZone).keys()].map(index => ({
        name: `host-${String(index).padStart(4, "0")}`,
        zone: `zone-${index % zones}`,
    }));

const names = (hosts: ZonedHost[]): string[] => hosts.map(host => host.name).sort();

const counts: Array<{ zones: number; hostsPerZone: number; relays: number }> = [
    { zones: 1, hostsPerZone: 1, relays: 1 },
    { zones: 3, hostsPerZone: 1, relays: 3 },
    { zones: 3, hostsPerZone: 3, relays: 3 },
    { zones: 3, hostsPerZone: 4, relays: 6 },
    { zones: 17, hostsPerZone: 212, relays: 34 },
];

for (const { zones, hostsPerZone, relays } of counts) {
    test(`${zones} zones of ${hostsPerZone} hosts have ${relays} relays, and each other host is served once`, t => {
        const hosts = fleet(zones, hostsPerZone);
        const chosen = allRelays(hash, hosts);
        t.is(chosen.length, relays);
        const served = chosen.flatMap(relay => names(hostsServedBy(hash, relay, hosts)));
        t.deepEqual([...served, ...names(chosen)].sort(), names(hosts));
        const [asked] = relaysAskedBy(hash, hosts[0], hosts);
        if (!chosen.some(relay => relay.name === hosts[0].name)) {
            t.true(names(hostsServedBy(hash, asked, hosts)).includes(hosts[0].name));
        }
    });
}

test("the loss of a host changes the relays only if it was one of them", t => {
    const hosts = fleet(1, 10);
    const before = relaysOfZone(hash, "zone-0", hosts);
    for (const lost of hosts) {
        const after = relaysOfZone(hash, "zone-0", hosts.filter(host => host !== lost));
        t.is(after.length, 2);
        t.deepEqual(before.filter(relay => relay !== lost).filter(relay => !after.includes(relay)), []);
    }
});

test("hosts that are not relays serve no other host", t => {
    const hosts = fleet(1, 10);
    const relays = names(relaysOfZone(hash, "zone-0", hosts));
    const others = hosts.filter(host => !relays.includes(host.name));
    t.deepEqual(others.flatMap(host => hostsServedBy(hash, host, hosts)), []);
});

test("in a small fleet every two hosts keep a link", t => {
    const hosts = fleet(4, maxFullMeshHosts / 4);
    const peers = choosePeers(hash, { self: hosts[0], members: hosts, live: hosts, requiredPeers: new Set() });
    t.is(peers.length, maxFullMeshHosts - 1);
    t.is(majorityHosts(hash, hosts).length, maxFullMeshHosts);
});

test("in a large fleet hosts keep links to relays and to their required peers", t => {
    const hosts = fleet(17, 212);
    const relays = new Set(names(allRelays(hash, hosts)));
    const others = hosts.filter(host => !relays.has(host.name));
    const needed = new Set([others[5].name, "unknown"]);
    const ofOther = choosePeers(hash, { self: others[0], members: hosts, live: hosts, requiredPeers: needed });
    t.true(ofOther.includes(others[5].name));
    t.false(ofOther.includes("unknown"));
    t.true(ofOther.length <= 4);
    const relay = hosts.find(host => relays.has(host.name)) as ZonedHost;
    const ofRelay = choosePeers(hash, { self: relay, members: hosts, live: hosts, requiredPeers: new Set() });
    t.true(ofRelay.length < 212 + 2 * 34);
    t.is(majorityHosts(hash, hosts).length, 34);
});
