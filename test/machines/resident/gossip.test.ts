/**
 * Gossip at the start of a host. Guards against a host that takes requests before it knows what the others know, such as
 * which targets leave.
 */
import test from "ava";
import { z } from "zod";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createGossip, gossipPath } from "../../../src/machines/resident/gossip.ts";
import { digestHash } from "../../../src/zones/digesthash.ts";
import { rankGossipPeers } from "../../../src/zones/gossippeers.ts";
import type { ReaderCandidate } from "../../../src/zones/readers.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork, type FakeNetwork } from "./fakenetwork.ts";

const limitMilliseconds = 1_000;
const hostIn = (index: number, zone: string): ReaderCandidate => ({
    name: `h${index}`,
    zone,
    address: `10.0.0.${index}:1`,
    processor: 1,
});

const setUp = (hosts: ReaderCandidate[]) => {
    const clock = createVirtualClock();
    const network = createFakeNetwork(clock);
    /** Starts a host that knows the others; they do not know it. */
    const start = (host: ReaderCandidate) => {
        const told: string[] = [];
        const gossip = createGossip({
            self: host.name,
            kinds: { fact: z.string() },
            peers: () => rankGossipPeers(digestHash, host, hosts),
            dial: network.dialerOf(host.address),
            clock,
            log: silentLog,
            metrics: createMetrics(),
            signal: new AbortController().signal,
        });
        gossip.onChange("fact", (...[, value]) => told.push(String(value)));
        network.listen(host.address, { [gossipPath]: gossip.service });
        return { gossip, told };
    };
    return { clock, network, start, running: hosts.map(start) };
};

const zones = (count: number, zoneCount: number): ReaderCandidate[] =>
    Array.from({ length: count }, (...[, index]) => hostIn(index, `z${index % zoneCount}`));

type Case = {
    title: string;
    hosts: ReaderCandidate[];
    hasFacts?: boolean;
    disturb?: (network: FakeNetwork, hosts: ReaderCandidate[]) => void;
    boundMilliseconds: number;
};

const cases: Case[] = [
    { title: "two others", hosts: zones(2, 1), boundMilliseconds: 50 },
    { title: "two others that know nothing", hosts: zones(2, 1), hasFacts: false, boundMilliseconds: 50 },
    { title: "195 others", hosts: zones(195, 3), boundMilliseconds: 50 },
    { title: "others in other zones only", hosts: [hostIn(0, "z1"), hostIn(1, "z2")], boundMilliseconds: 50 },
    { title: "no others", hosts: [], hasFacts: false, boundMilliseconds: 0 },
    {
        title: "others that have ended, but for one",
        hosts: zones(5, 1),
        disturb: (network, hosts) => hosts.slice(1).forEach(({ address }) => network.kill(address)),
        boundMilliseconds: 50,
    },
    {
        title: "others that do not answer",
        hosts: zones(5, 1),
        hasFacts: false,
        disturb: (network, hosts) => hosts.forEach(({ address }) => network.silence(address)),
        boundMilliseconds: limitMilliseconds + 50,
    },
    {
        title: "30 others that are gone with their addresses",
        hosts: zones(30, 1),
        hasFacts: false,
        disturb: (network, hosts) => hosts.forEach(({ address }) => network.silence(address)),
        boundMilliseconds: 750,
    },
    {
        title: "30 others of which 29 are gone with their addresses",
        hosts: zones(30, 1),
        disturb: (network, hosts) => hosts.slice(1).forEach(({ address }) => network.silence(address)),
        boundMilliseconds: 450,
    },
];

for (const { title, hosts, hasFacts = true, disturb, boundMilliseconds } of cases) {
    test(`a host that starts beside ${title} knows what they know within ${boundMilliseconds} ms`, async t => {
        // Whatever the rank of the host, so that it can not rely on others that open links to it.
        for (const index of [300, 301, 302, 303, 304, 305]) {
            const { clock, network, start, running } = setUp(hosts);
            await clock.advance(3_000);
            if (hasFacts) {
                running[0].gossip.put("fact", "name", "told", 120_000);
            }
            await clock.advance(1_000);
            disturb?.(network, hosts);
            const late = start(hostIn(index, "z0"));
            const startedAt = clock.now();
            const waited = late.gossip.waitUntilTold(limitMilliseconds).then(() => clock.now() - startedAt);
            await clock.advance(2_000);
            const milliseconds = await waited;
            t.true(milliseconds <= boundMilliseconds, `${milliseconds} ms`);
            t.deepEqual(late.told, hasFacts ? ["told"] : []);
        }
    });
}
