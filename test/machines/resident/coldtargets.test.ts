/**
 * A target that restarts or becomes cold again under load, with the gateways of several hosts in virtual time. In any
 * second it must get no more requests than the bound allows, under partitions, with hosts that join, leave and hear late
 * of the restart, and with clocks that differ. The rate must be used.
 */
import test from "ava";
import { createRandom } from "../../../bench/random.ts";
import type { TargetProtocol } from "../../../src/contracts/resident.ts";
import type { RegisteredTarget, RouteTable } from "../../../src/contracts/routing.ts";
import { createRouteIndex } from "../../../src/decisions/routetable.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createGateway } from "../../../src/machines/resident/gateway.ts";
import { createOwnershipCache } from "../../../src/machines/resident/ownershipcache.ts";
import { createTargetLimits, limitsPath } from "../../../src/machines/resident/targetlimits.ts";
import { createTargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createTargetStates } from "../../../src/machines/resident/targetstates.ts";
import { digestHash } from "../../../src/zones/digesthash.ts";
import { rankedBeforeByCapacity } from "../../../src/zones/gossippeers.ts";
import type { ReaderCandidate } from "../../../src/zones/readers.ts";
import { createPausableClock, createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";
import { noNotices } from "./nonotices.ts";
import { noSuspicions } from "./nosuspicions.ts";

const coldMilliseconds = 3_000;
const rate = 2.5;
const bound = { factor: 1.5, slack: 8 };
const allowedPerSecond = rate * bound.factor + bound.slack;
const workMilliseconds = 100;
const newsMilliseconds = 600;

const protocol: TargetProtocol = {
    buildRequestHeaders: ({ id }) => ["id", id],
    readAnswer: (...[, { id }]) => ({ outcome: "answered", requestId: String(id), load: undefined, notice: undefined }),
    buildAnswerHeaders: () => ({}),
    buildCheckHeaders: () => [],
    isAnswerOf: () => true,
};

const failure = (code: string): Error => Object.assign(new Error(code), { code });

type Options = { hostCount: number; isSharded: boolean; hasLimit?: boolean };

const setUp = ({ hostCount, isSharded, hasLimit = true }: Options) => {
    const clock = createVirtualClock();
    const network = createFakeNetwork(clock);
    const random = createRandom(11);
    /** The target's process; 0 while it is down. */
    const process = { current: 1, lastBorn: 1, coldUntil: -Infinity };
    const arrivals: Array<{ at: number; process: number }> = [];
    /** Time that a new connection to the target takes. */
    const connecting = { milliseconds: 2 };
    const table: RouteTable = {
        version: 1,
        routes: [{
            name: "r",
            host: "h",
            prefix: "/",
            kind: "idempotent",
            timeoutMilliseconds: 2_000,
            objectiveMilliseconds: 600,
            priority: 1,
            maxAttempts: 2,
            shares: [{ pool: "p", weight: 1 }],
        }],
        pools: new Map([["p", {
            name: "p",
            maxConnections: 1_000,
            isSharded,
            coldKeysMilliseconds: 0,
            coldTargets: { milliseconds: coldMilliseconds, requestsPerSecond: rate },
        }]]),
        limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
    };
    const index = createRouteIndex(table);
    let revision = 1;
    let entry: RegisteredTarget = {
        name: "t",
        incarnation: "1",
        pool: "p",
        address: "t",
        zone: "z",
        slots: 8,
        leaving: false,
        warmupMilliseconds: 0,
    };
    const candidates: ReaderCandidate[] = [];
    let lastId = 0;

    const start = (number: number) => {
        const host: ReaderCandidate = {
            name: `h${number}`,
            zone: `z${number % 3}`,
            address: `10.0.0.${number}:1`,
            processor: 1 + number % 2,
        };
        candidates.push(host);
        const lifetime = new AbortController();
        const { signal } = lifetime;
        const pausable = createPausableClock(clock);
        const skew = number * 7_919;
        const hostClock = { ...pausable, now: () => pausable.now() + skew };
        const common = { clock: hostClock, log: silentLog, signal };
        const metrics = createMetrics();
        const registry = createTargetRegistry({
            decode: ({ value }) => value as RegisteredTarget,
            reachableSince: () => 0,
            ...common,
        });
        const limits = createTargetLimits({
            rankedBefore: group => rankedBeforeByCapacity(digestHash, `limits/${group}`, host, candidates),
            dial: network.dialerOf(host.address),
            metrics,
            ...common,
        });
        network.listen(host.address, { [limitsPath]: limits.service });
        const states = createTargetStates({
            registry,
            findPool: name => table.pools.get(name),
            sharingHosts: () => ({ count: 1, place: 0, isSettled: true }),
            requestsOfOthers: () => undefined,
            recordOwnRequests: () => undefined,
            coldBound: hasLimit ? bound : undefined,
            openLink: () => ({
                applyLimit: () => undefined,
                close: () => undefined,
                send: ({ headers }, receiver) => {
                    clock.after(connecting.milliseconds, () => {
                        const { current } = process;
                        if (current === 0) {
                            receiver.onFailure("unsent", failure("ECONNREFUSED"));
                            return;
                        }
                        if (!receiver.mayStart()) {
                            receiver.onFailure("unsent", new Error("aborted"));
                            return;
                        }
                        arrivals.push({ at: clock.now(), process: current });
                        clock.after(workMilliseconds, () => {
                            if (process.current !== current) {
                                receiver.onFailure("sent", failure("ECONNRESET"));
                                return;
                            }
                            receiver.onHead(200, { id: headers[1] });
                            receiver.onEnd();
                        });
                    });
                    return { resume: () => undefined, abort: () => undefined };
                },
            }),
            ...common,
        });
        const ownerships = createOwnershipCache(hostClock, silentLog, signal);
        const own = (): void => {
            const owner = { target: "t", incarnation: entry.incarnation };
            const ranges = [{ from: 0, to: 65_535, owner, fence: revision, predecessors: [] }];
            ownerships.put({ name: "p", revision, value: { term: 1, coordinator: "c/1", nextFence: 99, ranges } });
        };
        const gateway = createGateway({
            routeTable: { current: () => ({ table, index }), onChange: () => undefined, put: () => undefined },
            targetStates: states,
            ownerships,
            protocol,
            suspicions: noSuspicions,
            notices: noNotices,
            limits,
            zone: host.zone,
            retryRatio: 0.2,
            retrySlack: () => 1,
            recordKey: () => undefined,
            recordWork: () => undefined,
            requestsOfOthers: () => undefined,
            random: random.uniform,
            clock: hostClock,
            log: silentLog,
            metrics,
        });
        registry.applyList([{ name: "t", revision, value: entry }], revision);
        own();
        return {
            host,
            states,
            hear: (): void => {
                if (!signal.aborted) {
                    registry.applyChanges([{ object: { name: "t", revision, value: entry }, removed: false }]);
                    own();
                }
            },
            forget: () => registry.applyChanges([{ object: { name: "t", revision, value: entry }, removed: true }]),
            send: async () => {
                lastId += 1;
                const answer = await gateway.serve({
                    id: String(lastId),
                    method: "GET",
                    host: "h",
                    path: "/x",
                    headers: {},
                    body: undefined,
                    key: 7,
                    receivedAt: hostClock.now(),
                    deadlineAt: hostClock.now() + 2_000,
                    callerAddress: "10.9.0.1",
                    hangUp: { happened: false, listener: undefined },
                });
                return answer;
            },
            end: () => {
                lifetime.abort();
                network.kill(host.address);
                candidates.splice(candidates.indexOf(host), 1);
            },
        };
    };
    const hosts = Array.from({ length: hostCount }, (...[, number]) => start(number));

    /** Writes the target's entry. Each host hears of it after a delay of its own. */
    const write = (warmupMilliseconds: number): void => {
        revision += 1;
        entry = { ...entry, incarnation: String(process.lastBorn), warmupMilliseconds };
        hosts.forEach(host => clock.after(random.uniform() * newsMilliseconds, host.hear));
    };
    const crash = (): void => {
        process.current = 0;
    };
    const restart = (warmupMilliseconds = coldMilliseconds): void => {
        process.lastBorn += 1;
        process.current = process.lastBorn;
        process.coldUntil = clock.now() + coldMilliseconds;
        write(warmupMilliseconds);
    };
    /** Sends requests at random hosts for a while. */
    const load = async (perSecond: number, milliseconds: number): Promise<void> => {
        const end = clock.now() + milliseconds;
        while (clock.now() < end) {
            void hosts[random.integerBelow(hosts.length)].send();
            await clock.advance(random.exponential(1_000 / perSecond));
        }
    };
    /** Most requests in any second of the given time. */
    const mostInSecond = (from: number, to = Infinity): number => {
        const counted = arrivals.filter(({ at }) => at >= from && at <= to);
        return Math.max(
            0,
            ...counted.map(({ at }) => counted.filter(other => other.at >= at && other.at <= at + 1_000).length),
        );
    };
    return { clock, network, hosts, start, arrivals, connecting, write, crash, restart, load, mostInSecond };
};

type Setup = ReturnType<typeof setUp>;

const groupOf = (address: string): number => Number(/\.(\d+):/.exec(address)?.[1]) % 3;

type Case = { title: string; during: (setup: Setup) => Promise<void>; leastUsed: number };

const cases: Case[] = [
    { title: "is otherwise undisturbed", during: ({ load }) => load(60, coldMilliseconds), leastUsed: 5 },
    {
        title: "hosts are cut into three groups while it is down",
        during: async ({ network, load }) => {
            network.partition(groupOf);
            await load(60, coldMilliseconds);
        },
        leastUsed: 2,
    },
    {
        title: "hosts are cut into three groups while it is cold, and joined again",
        during: async ({ network, load }) => {
            await load(60, 1_000);
            network.partition(groupOf);
            await load(60, 1_200);
            network.partition(() => 0);
            await load(60, 800);
        },
        leastUsed: 2,
    },
    {
        title: "a third of the hosts end, and others start",
        during: async ({ hosts, start, load }) => {
            await load(60, 700);
            hosts.splice(0, Math.floor(hosts.length / 3)).forEach(host => host.end());
            await load(60, 700);
            hosts.push(start(100), start(101));
            await load(60, coldMilliseconds - 1_400);
        },
        leastUsed: 3,
    },
];

for (const hostCount of [3, 12, 40]) {
    for (const isSharded of [true, false]) {
        for (const { title, during, leastUsed } of cases) {
            const kind = isSharded ? "owns keys" : "owns no keys";
            test(`${hostCount} hosts keep the bound at a target that ${kind}, restarts, and ${title}`, async t => {
                const setup = setUp({ hostCount, isSharded });
                const { clock, crash, restart, load, arrivals, mostInSecond } = setup;
                await load(60, 3_000);
                crash();
                await load(60, 1_000);
                restart();
                const from = clock.now();
                await during(setup);
                t.true(mostInSecond(from, from + coldMilliseconds) <= allowedPerSecond);
                const used = arrivals.filter(({ at }) => at >= from && at <= from + coldMilliseconds).length;
                t.true(used >= leastUsed, `${used} requests while it was cold`);
                await load(60, 3_000);
                t.true(mostInSecond(clock.now() - 1_000) > allowedPerSecond);
            });
        }
    }
}

test("an entry that says 0 does not make a restarted target warm: it may have been written before", async t => {
    const { clock, crash, restart, load, mostInSecond } = setUp({ hostCount: 12, isSharded: true });
    await load(60, 2_000);
    crash();
    await load(60, 800);
    restart(0);
    const from = clock.now();
    await load(60, 2_900);
    t.true(mostInSecond(from, from + 2_900) <= allowedPerSecond);
});

test("a target that becomes cold again is limited once a host knows, also for requests that wait for a connection", async t => {
    const { clock, write, connecting, load, mostInSecond } = setUp({ hostCount: 12, isSharded: true });
    await load(60, 2_000);
    connecting.milliseconds = 400;
    write(6_000);
    await load(60, newsMilliseconds);
    connecting.milliseconds = 2;
    const from = clock.now();
    await load(60, 4_000);
    t.true(mostInSecond(from) <= allowedPerSecond);
    write(0);
    await load(60, 2_000);
    t.true(mostInSecond(clock.now() - 1_000) > allowedPerSecond);
});

for (const isCold of [false, true]) {
    test(`requests that wait for a connection to a target that ${isCold ? "is cold" : "becomes cold"} are not sent ${isCold ? "after their permits have expired" : "without a permit"}`, async t => {
        const { clock, hosts: [host], write, connecting, arrivals } = setUp({ hostCount: 1, isSharded: true });
        connecting.milliseconds = 400;
        if (isCold) {
            write(60_000);
            await clock.advance(newsMilliseconds);
            await host.send();
            await clock.advance(500);
        }
        const sent = Array.from({ length: 10 }, host.send);
        await clock.advance(1);
        if (!isCold) {
            write(60_000);
            host.hear();
        }
        await clock.advance(5_000);
        const reasons = (await Promise.all(sent)).map(answer =>
            answer.kind === "refusal" ? answer.reason : answer.kind
        );
        t.deepEqual([...new Set(reasons)], ["target-limited"]);
        t.is(arrivals.length, 0);
    });
}

/** Hosts that only count, without targets. */
const createCounters = (rankedBeforeOf: (self: string, others: ReaderCandidate[]) => ReaderCandidate[]) => {
    const clock = createVirtualClock();
    const network = createFakeNetwork(clock);
    const hosts = ["a", "b"].map(name => ({ name, zone: "z", address: `${name}:1`, processor: 1 }));
    const sent = { frames: 0 };
    const counters = hosts.map(({ name, address }) => {
        const dial = network.dialerOf(address);
        const limits = createTargetLimits({
            rankedBefore: () => rankedBeforeOf(name, hosts.filter(other => other.name !== name)),
            dial: (...given) => {
                const connection = dial(...given);
                const send = (value: unknown): void => {
                    sent.frames += Number(Object.hasOwn(Object(value) as object, "target"));
                    connection.send(value);
                };
                return { ...connection, send };
            },
            clock,
            log: silentLog,
            metrics: createMetrics(),
            signal: new AbortController().signal,
        });
        network.listen(address, { [limitsPath]: limits.service });
        return limits;
    });
    return { clock, counters, sent };
};

test("hosts that do not know yet that a target with a named limit is cold do not fill its bucket faster", async t => {
    const { clock, counters: [counter] } = createCounters(() => []);
    const question = { pool: "cold/p/z", target: "t", priority: 1, perSecond: 40 };
    await counter.take({ ...question, cold: { perSecond: rate, milliseconds: coldMilliseconds } });
    let allowed = 0;
    for (let now = 0; now < 2_000; now += 10) {
        allowed += Number((await counter.take(question)).allowed);
        await clock.advance(10);
    }
    t.true(allowed >= 4 && allowed <= 2 * rate, `${allowed} in 2 s`);
});

test("a question is not passed on without end by hosts that each rank the other first", async t => {
    const { clock, counters: [counter], sent } = createCounters((...[, others]) => others);
    const question = { pool: "cold/p/z", target: "t", priority: 1, perSecond: rate };
    counter.prepare(question.pool);
    void counter.take(question);
    await clock.advance(300);
    void counter.take(question);
    await clock.advance(300);
    sent.frames = 0;
    const asked = counter.take(question);
    await clock.advance(150);
    t.true(sent.frames >= 1 && sent.frames <= 4, `${sent.frames} questions`);
    t.false((await asked).allowed);
});

test("an entry that is read again later does not make its target cold again", async t => {
    const { clock, hosts, write, load } = setUp({ hostCount: 3, isSharded: true });
    write(coldMilliseconds);
    await load(60, 8_000);
    hosts.forEach(({ hear }) => hear());
    t.deepEqual(hosts.map(({ states }) => states.coldCount()), [0, 0, 0]);
    await clock.advance(10);
});

type TestHost = ReturnType<typeof setUp>["hosts"][number];

const reasons: Array<{ title: string; happen: (host: TestHost) => void }> = [
    {
        title: "whose entry was removed and comes back",
        happen: host => {
            host.forget();
            host.hear();
        },
    },
    {
        title: "to which a connection was lost",
        happen: ({ states }) => states.ofPool("p").forEach(states.recordConnectionLost),
    },
    {
        title: "to which no connection could be made",
        happen: ({ states }) => states.ofPool("p").forEach(states.recordConnectFailure),
    },
];

for (const { title, happen } of reasons) {
    test(`a target ${title} counts as cold for the time of its pool, though its entry says 0`, async t => {
        const { clock, hosts: [host] } = setUp({ hostCount: 1, isSharded: true });
        // Until the store has been reachable for a while, the registry keeps an entry that was removed.
        await clock.advance(2_000);
        t.is(host.states.coldCount(), 0);
        happen(host);
        t.is(host.states.coldCount(), 1);
        await clock.advance(coldMilliseconds - 1);
        t.is(host.states.coldCount(), 1);
        await clock.advance(1);
        t.is(host.states.coldCount(), 0);
    });
}

for (const hasLimit of [true, false]) {
    test(`a request for a restarted target is ${hasLimit ? "refused with a time at which there is a token" : "sent"} where cold targets have ${hasLimit ? "a" : "no"} limit`, async t => {
        const { clock, hosts, restart } = setUp({ hostCount: 1, isSharded: true, hasLimit });
        restart();
        await clock.advance(newsMilliseconds);
        const asked = hosts[0].send();
        await clock.advance(workMilliseconds * 2);
        const answer = await asked;
        t.is(answer.kind === "refusal" ? answer.reason : answer.kind, hasLimit ? "target-limited" : "answer");
        const wait = answer.kind === "refusal" ? answer.retryAfterMilliseconds ?? 0 : 400;
        t.true(wait >= 400 && wait <= 420, `${wait}`);
    });
}
