/**
 * A target that names a limit on the requests of all hosts, with callers that ask for far more at every host. The target
 * counts what arrives. It must get no more than the platform allows, and the limit must be used, whatever happens to the
 * hosts and the links between them. All hosts must also learn that a target leaves.
 */
import test from "ava";
import { createRandom } from "../../../bench/random.ts";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createGossip, gossipPath } from "../../../src/machines/resident/gossip.ts";
import { createTargetLimits, limitsPath } from "../../../src/machines/resident/targetlimits.ts";
import {
    createTargetNotices,
    leavingGossipKind,
    leavingGossipSchema,
    limitGossipKind,
    limitGossipSchema,
} from "../../../src/machines/resident/targetnotices.ts";
import type { TargetState } from "../../../src/machines/resident/targetstates.ts";
import { digestHash } from "../../../src/zones/digesthash.ts";
import { rankedBefore, rankGossipPeers } from "../../../src/zones/gossippeers.ts";
import type { ReaderCandidate } from "../../../src/zones/readers.ts";
import { createPausableClock, createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";

const pool = "stock";
const target: RegisteredTarget = {
    name: "a",
    incarnation: "1",
    pool,
    address: "10.0.0.1:1",
    zone: "z",
    slots: 1,
    leaving: false,
    warmupMilliseconds: 0,
};
/** Of a target's state only this is read here. */
const state = { target } as TargetState;
const priority = 1;
const windowMilliseconds = 4_000;
const graceMilliseconds = 3_000;
const answerMilliseconds = 100;

type Arrival = { at: number; host: string; priority: number; retryAfter: number | undefined };

const setUp = (hostCount: number, zoneCount: number) => {
    const clock = createVirtualClock();
    const network = createFakeNetwork(clock);
    const candidates: ReaderCandidate[] = Array.from({ length: hostCount }, (...[, index]) => ({
        name: `h${index}`,
        zone: `z${index % zoneCount}`,
        address: `10.0.0.${index}:1`,
        processor: 1,
    }));
    const arrivals: Arrival[] = [];
    const refusals: Arrival[] = [];
    /** What the target says; undefined for nothing. */
    const says: { limit: number | undefined; every: number } = { limit: undefined, every: 1 };
    let answers = 0;

    const start = (host: ReaderCandidate) => {
        const lifetime = new AbortController();
        const hostClock = createPausableClock(clock);
        const metrics = createMetrics();
        const common = {
            dial: network.dialerOf(host.address),
            clock: hostClock,
            log: silentLog,
            metrics,
            signal: lifetime.signal,
        };
        const gossip = createGossip({
            self: host.name,
            kinds: { [leavingGossipKind]: leavingGossipSchema, [limitGossipKind]: limitGossipSchema },
            peers: () => rankGossipPeers(digestHash, host, candidates),
            ...common,
        });
        const left = new Set<string>();
        const limits = createTargetLimits({
            rankedBefore: name => rankedBefore(digestHash, `limits/${name}`, host, candidates),
            ...common,
        });
        const notices = createTargetNotices({
            gossip,
            onLeaving: (...[, incarnation]) => left.add(incarnation),
            onLimit: limits.prepare,
            clock: hostClock,
            log: silentLog,
            metrics,
        });
        network.listen(host.address, { [gossipPath]: gossip.service, [limitsPath]: limits.service });
        return {
            host,
            clock: hostClock,
            notices,
            /** Incarnations of the target that leave, as the host knows. */
            left,
            /** Sends a request if the limit allows it. */
            send: async (urgency = priority): Promise<void> => {
                const perSecond = notices.limitOf(target);
                const verdict = perSecond === undefined
                    ? { allowed: true as const }
                    : await limits.take({ pool, target: "a#1", perSecond, priority: urgency });
                const arrival = { at: clock.now(), host: host.name, priority: urgency, retryAfter: undefined };
                if (!verdict.allowed) {
                    refusals.push({ ...arrival, retryAfter: verdict.retryAfterMilliseconds });
                    return;
                }
                arrivals.push(arrival);
                const sentAt = clock.now();
                await clock.sleep(answerMilliseconds);
                answers += 1;
                const limitPerSecond = answers % says.every === 0 ? says.limit ?? "none" : "none";
                if (!hostClock.isPaused()) {
                    notices.record(state, { leaving: false, limitPerSecond, pauseMilliseconds: undefined }, sentAt);
                }
            },
            end: () => {
                lifetime.abort();
                network.kill(host.address);
            },
        };
    };
    const hosts = candidates.map(start);
    return { clock, network, hosts, start, says, arrivals, refusals };
};

type Setup = ReturnType<typeof setUp>;
type TestHost = Setup["hosts"][number];

/** Sends requests of callers at random hosts for a while; hosts that are frozen or gone get none. */
const load = async (
    setup: Setup,
    perSecond: number,
    milliseconds: number,
    hosts: () => TestHost[],
    urgencyOf: (number: number) => number = () => priority,
): Promise<void> => {
    const random = createRandom(7);
    const end = setup.clock.now() + milliseconds;
    for (let number = 0; setup.clock.now() < end; number += 1) {
        const present = hosts();
        void present[random.integerBelow(present.length)].send(urgencyOf(number));
        await setup.clock.advance(random.exponential(1_000 / perSecond));
    }
};

const mostInWindow = (arrivals: Arrival[], since: number): number => {
    const counted = arrivals.filter(({ at }) => at >= since);
    return Math.max(
        0,
        ...counted.map(({ at: from }) =>
            counted.filter(({ at }) => at >= from && at < from + windowMilliseconds).length
        ),
    );
};

const allowedIn = (limit: number): number => 1.5 * limit * windowMilliseconds / 1_000 + 5;

/** The host that counts for the pool while all can be reached. */
const counterOf = (hosts: TestHost[]): TestHost => {
    const all = hosts.map(({ host }) => host);
    return hosts.find(({ host }) => rankedBefore(digestHash, `limits/${pool}`, host, all).length === 0) ?? hosts[0];
};

for (const [hostCount, zoneCount] of [[2, 1], [10, 3], [195, 3]]) {
    for (const limit of [0, 0.4, 1.9, 8.8, 40]) {
        test(`${hostCount} hosts keep a limit of ${limit} a second together, and use it`, async t => {
            const setup = setUp(hostCount, zoneCount);
            const { clock, hosts, says, arrivals, refusals } = setup;
            await clock.advance(2_000);
            await load(setup, 60, 1_000, () => hosts);
            says.limit = limit;
            const namedAt = clock.now();
            await load(setup, 80, 15_000, () => hosts);
            t.true(mostInWindow(arrivals, namedAt + graceMilliseconds) <= allowedIn(limit));
            const used = arrivals.filter(({ at }) => at >= namedAt + graceMilliseconds).length / 12;
            t.true(used >= limit * 0.85, `${used} of ${limit}`);
            const told = refusals.filter(({ at }) => at >= namedAt + graceMilliseconds);
            t.true(told.every(({ retryAfter = 0 }) => retryAfter > 0));
            says.limit = undefined;
            await load(setup, 80, 6_000, () => hosts);
            const open = arrivals.filter(({ at }) => at >= clock.now() - 1_000).length;
            t.true(limit < 1 || open > 60, `${open} requests in the last second after the limit was lifted`);
        });
    }
}

type Fault = {
    title: string;
    /** Strikes some hosts; returns those that can serve callers meanwhile. */
    strike: (struck: TestHost[], setup: Setup) => void;
    /** Whether the struck hosts still have callers. */
    areServing: boolean;
};

const faults: Fault[] = [
    { title: "end", strike: struck => struck.forEach(host => host.end()), areServing: false },
    { title: "freeze", strike: struck => struck.forEach(host => host.clock.pause()), areServing: false },
    {
        title: "are cut off from the others",
        strike: (struck, { network }) => struck.forEach(({ host }) => network.silence(host.address)),
        areServing: true,
    },
];

for (const { title, strike, areServing } of faults) {
    test(`the host that counts and a third of the others ${title}: the limit is kept by the rest, and used`, async t => {
        const setup = setUp(20, 3);
        const { clock, hosts, says, arrivals, network } = setup;
        const limit = 4;
        await clock.advance(2_000);
        says.limit = limit;
        await load(setup, 60, 6_000, () => hosts);
        const struck = [...new Set([counterOf(hosts), ...hosts.filter((...[, index]) => index % 3 === 1)])];
        const sound = hosts.filter(host => !struck.includes(host));
        const names = new Set(sound.map(({ host }) => host.name));
        const struckAt = clock.now();
        strike(struck, setup);
        await load(setup, 60, 8_000, () => areServing ? hosts : sound);
        const ofSound = (): Arrival[] => arrivals.filter(({ host }) => names.has(host));
        t.true(mostInWindow(ofSound(), struckAt - windowMilliseconds) <= allowedIn(limit));
        const used = ofSound().filter(({ at }) => at >= struckAt + 3_500).length / 4.5;
        t.true(used >= limit * 0.6, `${used} of ${limit}`);
        struck.forEach(({ host, clock: hostClock }) => {
            network.heal(host.address);
            hostClock.resume();
        });
        await load(setup, 60, 8_000, () => sound);
        t.true(mostInWindow(ofSound(), struckAt) <= allowedIn(limit));
    });
}

test("a host that starts later, or again, knows the limit before it has sent anything", async t => {
    const setup = setUp(10, 3);
    const { clock, hosts, says, start } = setup;
    await clock.advance(2_000);
    says.limit = 2;
    await load(setup, 60, 3_000, () => hosts);
    hosts[4].end();
    const again = start(hosts[4].host);
    await load(setup, 60, 1_500, () => hosts.filter(host => host !== hosts[4]));
    t.is(again.notices.limitOf(target), 2);
});

test("a limit that is left out of every second answer stays in force, and one that changes is the new one everywhere", async t => {
    const setup = setUp(10, 3);
    const { clock, hosts, says, arrivals } = setup;
    await clock.advance(2_000);
    says.limit = 5;
    says.every = 2;
    await load(setup, 60, 4_000, () => hosts);
    const since = clock.now();
    await load(setup, 60, 8_000, () => hosts);
    t.true(mostInWindow(arrivals, since) <= allowedIn(5));
    says.limit = 2;
    await load(setup, 60, 2_000, () => hosts);
    t.true(hosts.every(host => host.notices.limitOf(target) === 2));
});

for (const [hostCount, zoneCount] of [[2, 1], [195, 3]]) {
    test(`all of ${hostCount} hosts know within 100 ms that a target leaves, hosts that start later too`, async t => {
        const { clock, hosts, start, network } = setUp(hostCount, zoneCount);
        await clock.advance(2_000);
        const silenced = hosts.filter((...[, index]) => index % 7 === 6);
        silenced.forEach(({ host }) => network.silence(host.address));
        const notice = { leaving: true, limitPerSecond: "none", pauseMilliseconds: undefined } as const;
        hosts[0].notices.record(state, notice, clock.now());
        const knows = ({ left }: TestHost): boolean => left.has("1");
        await clock.advance(100);
        const known = hosts.filter(host => !silenced.includes(host) && knows(host)).length;
        t.true(known >= (hostCount - silenced.length) * 0.9, `${known} know at once, beside silent hosts`);
        await clock.advance(3_000);
        t.true(hosts.every(host => silenced.includes(host) || knows(host)));
        silenced.forEach(({ host }) => network.heal(host.address));
        hosts[1].end();
        const again = start(hosts[1].host);
        await clock.advance(5_000);
        t.true(hosts.slice(2).every(knows));
        t.true(knows(again));
    });
}

test("the more urgent requests come first", async t => {
    const setup = setUp(10, 3);
    const { clock, hosts, says, arrivals } = setup;
    await clock.advance(2_000);
    says.limit = 4;
    await load(setup, 40, 3_000, () => hosts);
    const since = clock.now();
    await load(setup, 40, 10_000, () => hosts, number => number % 4 === 0 ? 0 : 2);
    const late = arrivals.filter(({ at }) => at >= since + 1_000);
    const urgent = late.filter(arrival => arrival.priority === 0).length;
    t.true(urgent >= late.length * 0.9, `${urgent} of ${late.length}`);
});
