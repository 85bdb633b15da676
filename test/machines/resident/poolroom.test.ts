/**
 * Chooses targets for two routes that share a pool. Guards against a less urgent route that takes the queue of an urgent
 * one, also while its requests wait for a connection, and against a log that does not tell which rule refused.
 */
import test from "ava";
import { createPace } from "../../../src/decisions/pace.ts";
import { createRouteIndex } from "../../../src/decisions/routetable.ts";
import { createTargetLoad } from "../../../src/decisions/targetload.ts";
import { type Log, type LogFields, silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createConnectionQueue } from "../../../src/machines/resident/connectionqueue.ts";
import { createOwnershipCache } from "../../../src/machines/resident/ownershipcache.ts";
import type { RequestContext } from "../../../src/machines/resident/requestcontext.ts";
import { createTargetChooser } from "../../../src/machines/resident/targetchooser.ts";
import type { TargetState, TargetStates } from "../../../src/machines/resident/targetstates.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { noLimits, noNotices } from "./nonotices.ts";

const pool = { name: "stock", maxConnections: 100, isSharded: true, coldKeysMilliseconds: 0 };
const routeOf = (name: string, priority: number) => ({
    name,
    host: "stock.example",
    prefix: `/${name}/`,
    kind: "idempotent" as const,
    timeoutMilliseconds: 2_000,
    objectiveMilliseconds: 600,
    priority,
    maxAttempts: 2,
    shares: [{ pool: "stock", weight: 1 }],
});
const routes = [routeOf("order", 0), routeOf("report", 1)];

/** A target of two slots and 100 ms of service time, at which other hosts have the given number of requests. */
const setUp = (others: number, connections: number, used = routes) => {
    const clock = createVirtualClock();
    const { signal } = new AbortController();
    const targetState = {
        target: {
            name: "a",
            incarnation: "1",
            pool: "stock",
            address: "10.0.0.1:1",
            zone: "z",
            slots: 2,
            leaving: false,
            warmupMilliseconds: 0,
        },
        load: createTargetLoad(2),
        failureShare: 0,
        blockedUntil: 0,
        pausedUntil: 0,
        limitedUntil: 0,
        warmupEndsAt: 0,
        pace: createPace({ slots: 2, typicalMilliseconds: () => undefined }),
        restartSuspectedAt: -Infinity,
        gone: false,
    } as unknown as TargetState;
    const targetStates = {
        ofPool: () => [targetState],
        get: () => targetState,
        maxConnections: () => connections,
        wantConnections: () => undefined,
        coldLimit: () => undefined,
        limitsColdTargets: () => false,
        connectionQueue: createConnectionQueue(clock),
    } as unknown as TargetStates;
    const ownerships = createOwnershipCache(clock, silentLog, signal);
    const owner = { target: "a", incarnation: "1" };
    const ranges = [{ from: 0, to: 65_535, owner, fence: 1, predecessors: [] }];
    ownerships.put({ name: "stock", revision: 1, value: { term: 1, coordinator: "h/1", nextFence: 2, ranges } });
    const refusals: LogFields[] = [];
    const log: Log = {
        ...silentLog,
        info: (event, fields = {}) => event === "placement-refused" && refusals.push(fields),
    };
    const metrics = createMetrics();
    const limits = { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 };
    const index = createRouteIndex({ version: 1, routes: used, pools: new Map([["stock", pool]]), limits });
    const chooser = createTargetChooser({
        targetStates,
        ownerships,
        requestsOfOthers: () => others,
        zone: "z",
        random: () => 0.5,
        clock,
        notices: noNotices,
        limits: noLimits,
        remaining: () => 2_000,
        log,
        metrics,
    });
    let keys = 0;
    const choose = async (name: string): Promise<string> => {
        keys += 1;
        const route = index.match("stock.example", `/${name}/`);
        const request = { id: "r", key: keys, receivedAt: 0, hangUp: { happened: false, listener: undefined } };
        const context = {
            request,
            route,
            pool,
            poolUse: index.poolUse("stock", name),
            failedTargets: new Set(),
            refusedBy: new Set(),
            runs: 0,
        } as unknown as RequestContext;
        const chosen = await chooser.choose(context);
        return "kind" in chosen ? chosen.reason : chosen.name;
    };
    return { choose, refusals, metrics };
};

const cases: Array<[name: string, others: number, route: string, expected: string, rule?: string]> = [
    ["a less urgent route uses its share of the queue", 4, "report", "a"],
    ["it is refused beyond its share", 5, "report", "deadline-unreachable", "priority"],
    ["the urgent route uses the whole queue", 5, "order", "a"],
    ["the urgent route is refused by its objective only", 6, "order", "deadline-unreachable", "objective"],
];
for (const [name, others, route, expected, rule] of cases) {
    test(name, async t => {
        const { choose, refusals, metrics } = setUp(others, 4);
        await choose("order");
        refusals.length = 0;
        t.is(await choose(route), expected);
        t.is(refusals[0]?.rule, rule);
        const counted = metrics.snapshot()["room-refusals{pool=stock,route=report,reason=priority}"] ?? 0;
        t.is(counted, rule === "priority" ? 1 : 0);
    });
}

test("a less urgent request does not wait for a connection beyond its share", async t => {
    const { choose, refusals } = setUp(5, 0);
    await choose("order");
    refusals.length = 0;
    t.is(await choose("report"), "deadline-unreachable");
    t.is(refusals[0].rule, "priority");
});

test("a route that uses the pool alone has no share", async t => {
    const { choose, refusals } = setUp(5, 4, [routes[1]]);
    t.is(await choose("report"), "a");
    t.is(refusals.length, 0);
});
