/**
 * What gossip sends when hosts tell more facts than a host holds. Guards against entries that hosts send to each other again
 * and again, which filled the links of hosts and made them late with all else.
 */
import test from "ava";
import { z } from "zod";
import { encodeFrame } from "../../../src/links/frames.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import type { PeerDialer, PeerListener, PeerService } from "../../../src/links/peers.ts";
import { createGossip, gossipPath } from "../../../src/machines/resident/gossip.ts";
import { digestHash } from "../../../src/zones/digesthash.ts";
import { rankGossipPeers } from "../../../src/zones/gossippeers.ts";
import type { ReaderCandidate } from "../../../src/zones/readers.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";

const hostCount = 30;
const lifetimeMilliseconds = 300_000;
/** As long as that of a crash with its request and its sender. */
const value = "x".repeat(180);

const hosts: ReaderCandidate[] = Array.from({ length: hostCount }, (...[, index]) => ({
    name: `h${index}`,
    zone: `z${index % 3}`,
    address: `10.0.0.${index}:1`,
    processor: 1,
}));

/** Counts the bytes of all frames that hosts receive. */
const countReceived = (add: (bytes: number) => void) => {
    const listen = <Listener extends PeerListener>(listener: Listener): Listener => ({
        ...listener,
        onFrame: (frame: unknown) => {
            add(encodeFrame(frame).length);
            return listener.onFrame(frame);
        },
    });
    const dial = (dialer: PeerDialer): PeerDialer => (address, path, listener) =>
        dialer(address, path, listen(listener));
    const serve = (service: PeerService): PeerService => connection => listen(service(connection));
    return { dial, serve };
};

const start = () => {
    const clock = createVirtualClock();
    const network = createFakeNetwork(clock);
    let bytes = 0;
    const counter = countReceived(received => {
        bytes += received;
    });
    const known = hosts.map(() => new Set<string>());
    const gossips = hosts.map((host, index) => {
        const gossip = createGossip({
            self: host.name,
            kinds: { fact: z.string() },
            peers: () => rankGossipPeers(digestHash, host, hosts),
            dial: counter.dial(network.dialerOf(host.address)),
            clock,
            log: silentLog,
            metrics: createMetrics(),
            signal: new AbortController().signal,
        });
        gossip.onChange("fact", name => known[index].add(name));
        network.listen(host.address, { [gossipPath]: counter.serve(gossip.service) });
        return gossip;
    });
    const tell = (teller: number, name: string): void => {
        gossips[teller].put("fact", name, value, lifetimeMilliseconds);
        known[teller].add(name);
    };
    const takeBytes = (): number => {
        const taken = bytes;
        bytes = 0;
        return taken;
    };
    return { clock, network, tell, known, takeBytes };
};

const plays = [
    { title: "fewer facts than a host holds", perSecond: 50, seconds: 10 },
    { title: "twice as many facts as a host holds", perSecond: 200, seconds: 10 },
];

for (const { title, perSecond, seconds } of plays) {
    test(`hosts that tell ${title} send each of them a few times and are quiet afterwards`, async t => {
        const { clock, tell, known, takeBytes } = start();
        await clock.advance(5_000);
        takeBytes();
        const count = perSecond * seconds;
        for (let fact = 0; fact < count; fact += 1) {
            tell(fact % hostCount, `fact-${fact}`);
            await clock.advance(1_000 / perSecond);
        }
        const told = takeBytes();
        await clock.advance(12_000);
        takeBytes();
        await clock.advance(5_000);
        const afterwards = takeBytes();
        const perFactAndHost = told / count / hostCount;
        t.log(
            `${Math.round(perFactAndHost)} bytes a fact and host, ${
                Math.round(afterwards / 5)
            } bytes a second afterwards`,
        );
        known.forEach((names, index) => t.is(names.size, count, `host ${index}`));
        // Two links a host each way, and what hubs send to other zones.
        t.true(perFactAndHost < 6 * 300, "a fact is sent over each link once, and now and then again");
        t.true(afterwards / 5 / hostCount < 1_000, "beats alone are below 1 KB a second and host");
    });
}

test("a host that was cut off for seconds is told what it missed, and no more than that", async t => {
    const { clock, network, tell, known, takeBytes } = start();
    await clock.advance(5_000);
    network.silence(hosts[4].address);
    const names = Array.from({ length: 60 }, (...[, fact]) => `fact-${fact}`);
    for (const name of names) {
        tell(0, name);
        await clock.advance(30);
    }
    network.heal(hosts[4].address);
    takeBytes();
    await clock.advance(6_000);
    t.is(known[4].size, names.length);
    t.true(takeBytes() < 1_000_000, "the other hosts do not send again what they all hold");
});
