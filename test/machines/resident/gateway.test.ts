/**
 * Callers that hang up while their request waits in a resident host: a request that was not sent yet must not be sent.
 * Targets that refuse a request: one that may run once only is not sent to the same target again.
 */
import test from "ava";
import type { ResidentRequest, TargetProtocol } from "../../../src/contracts/resident.ts";
import type { RouteTable } from "../../../src/contracts/routing.ts";
import type { ColdLimit } from "../../../src/decisions/coldlimit.ts";
import { createPace } from "../../../src/decisions/pace.ts";
import { createRouteIndex } from "../../../src/decisions/routetable.ts";
import { createTargetLoad } from "../../../src/decisions/targetload.ts";
import type { CallerAnswer } from "../../../src/links/callers.ts";
import type { AnswerReceiver } from "../../../src/links/exchange.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createConnectionQueue } from "../../../src/machines/resident/connectionqueue.ts";
import { createGateway } from "../../../src/machines/resident/gateway.ts";
import { createOwnershipCache } from "../../../src/machines/resident/ownershipcache.ts";
import type { TargetState, TargetStates } from "../../../src/machines/resident/targetstates.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { noLimits, noNotices } from "./nonotices.ts";
import { noSuspicions } from "./nosuspicions.ts";

const target = {
    name: "a",
    incarnation: "1",
    pool: "stock",
    address: "10.0.0.1:1",
    zone: "z",
    slots: 2,
    leaving: false,
    warmupMilliseconds: 0,
};

const tableOf = (kind: "idempotent" | "once", isSharded: boolean): RouteTable => ({
    version: 1,
    routes: [{
        name: "r",
        host: "stock.example",
        prefix: "/",
        kind,
        timeoutMilliseconds: 2_000,
        objectiveMilliseconds: 600,
        priority: 1,
        maxAttempts: 2,
        shares: [{ pool: "stock", weight: 1 }],
    }],
    pools: new Map([["stock", { name: "stock", maxConnections: 100, isSharded: isSharded, coldKeysMilliseconds: 0 }]]),
    limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
});

const protocol: TargetProtocol = {
    buildRequestHeaders: () => [],
    readAnswer: statusCode => ({
        outcome: statusCode === 503 ? "not-run" : "answered",
        requestId: "r1",
        load: undefined,
        notice: undefined,
    }),
    buildAnswerHeaders: () => ({}),
    buildCheckHeaders: () => [],
    isAnswerOf: () => true,
};

const setUp = (kind: "idempotent" | "once", ownsKeys: boolean, limits = noLimits, limit?: number, cold?: ColdLimit) => {
    const clock = createVirtualClock();
    const { signal } = new AbortController();
    const receivers: AnswerReceiver[] = [];
    const unreachable: string[] = [];
    const failed: string[] = [];
    const targetState: TargetState = {
        target,
        load: createTargetLoad(target.slots),
        link: {
            applyLimit: () => undefined,
            close: () => undefined,
            send: (...[, receiver]) => {
                receivers.push(receiver);
                return {
                    resume: () => undefined,
                    abort: () => receiver.onFailure("unsent", new Error("aborted")),
                };
            },
        },
        failureShare: 0,
        blockedUntil: 0,
        pausedUntil: 0,
        limitedUntil: 0,
        answeredSentAt: -Infinity,
        connectFailures: 0,
        warmupEndsAt: 0,
        restartSuspectedAt: -Infinity,
        pace: createPace({ slots: 2, typicalMilliseconds: () => undefined }),
        gone: false,
    };
    const targetStates: TargetStates = {
        ofPool: () => [targetState],
        get: () => targetState,
        recordFailure: ({ target: { name } }) => failed.push(name),
        recordSuccess: () => undefined,
        recordConnectFailure: ({ target: { name } }) => unreachable.push(name),
        recordMeasure: () => undefined,
        recordConnectionLost: () => undefined,
        limitsColdTargets: () => cold !== undefined,
        coldLimit: () => cold,
        coldCount: () => 0,
        block: () => undefined,
        maxConnections: () => 4,
        wantConnections: () => undefined,
        grantConnections: () => 0,
        isWithinPart: () => true,
        applyLimit: () => undefined,
        connectionQueue: createConnectionQueue(clock),
        applyLimits: () => undefined,
    };
    const ownerships = createOwnershipCache(clock, silentLog, signal);
    const table = tableOf(kind, ownsKeys);
    const gateway = createGateway({
        routeTable: {
            current: () => ({ table, index: createRouteIndex(table) }),
            onChange: () => undefined,
            put: () => undefined,
        },
        targetStates,
        ownerships,
        protocol,
        suspicions: noSuspicions,
        notices: { ...noNotices, limitOf: () => limit },
        limits,
        zone: "z",
        retryRatio: 0.2,
        retrySlack: () => 10,
        recordKey: () => undefined,
        recordWork: () => undefined,
        requestsOfOthers: () => undefined,
        random: () => 0.5,
        clock,
        log: silentLog,
        metrics: createMetrics(),
    });
    const request: ResidentRequest = {
        id: "r1",
        method: "GET",
        host: "stock.example",
        path: "/x",
        headers: {},
        body: undefined,
        key: 7,
        receivedAt: clock.now(),
        deadlineAt: clock.now() + 2_000,
        callerAddress: "10.9.0.1",
        hangUp: { happened: false, listener: undefined },
    };
    const hangUp = (): void => {
        request.hangUp.happened = true;
        request.hangUp.listener?.();
    };
    const assignKeys = (): void => {
        const owner = { target: "a", incarnation: "1" };
        const ranges = [{ from: 0, to: 65_535, owner, fence: 1, predecessors: [] }];
        ownerships.put({ name: "stock", revision: 1, value: { term: 1, coordinator: "h/1", nextFence: 2, ranges } });
    };
    return { gateway, request, receivers, unreachable, failed, targetState, hangUp, assignKeys, clock };
};

const reasonOf = (answer: CallerAnswer): string => answer.kind === "refusal" ? answer.reason : answer.kind;

test("a request that waits for the owner of its key is not sent once its caller has hung up", async t => {
    const { gateway, request, receivers, hangUp, assignKeys } = setUp("idempotent", true);
    const answer = gateway.serve(request);
    hangUp();
    assignKeys();
    t.is(reasonOf(await answer), "cancelled");
    t.is(receivers.length, 0);
});

test("a request that waits for a place within its target's limit is not sent once its caller has hung up", async t => {
    let allow: () => void = () => undefined;
    const limits = {
        take: () =>
            new Promise<{ allowed: true }>(resolve => {
                allow = () => resolve({ allowed: true });
            }),
    };
    const { gateway, request, receivers, hangUp } = setUp("idempotent", false, limits, 2);
    const answer = gateway.serve(request);
    await new Promise(resolve => setImmediate(resolve));
    hangUp();
    allow();
    await new Promise(resolve => setImmediate(resolve));
    t.is(receivers.length, 0);
    t.is(reasonOf(await answer), "cancelled");
});

for (const kind of ["idempotent", "once"] as const) {
    test(`a request of route kind ${kind} that waits for a connection is not sent once its caller has hung up`, async t => {
        const { gateway, request, receivers, unreachable, hangUp } = setUp(kind, false);
        const answer = gateway.serve(request);
        await new Promise(resolve => setImmediate(resolve));
        t.is(receivers.length, 1);
        hangUp();
        t.false(receivers[0].mayStart());
        t.is(reasonOf(await answer), "cancelled");
        t.deepEqual(unreachable, []);
    });
}

const withdrawals: Array<{ title: string; apply: (state: TargetState) => void }> = [
    { title: "is gone", apply: state => void (state.gone = true) },
    { title: "leaves", apply: state => void (state.target = { ...target, leaving: true }) },
    { title: "asked for a pause", apply: state => void (state.pausedUntil = Infinity) },
];

for (const { title, apply } of withdrawals) {
    test(`a target that ${title} while a request waits for its connection is not blamed for a failure`, async t => {
        const { gateway, request, receivers, unreachable, failed, targetState, hangUp } = setUp("idempotent", false);
        const answer = gateway.serve(request);
        await new Promise(resolve => setImmediate(resolve));
        apply(targetState);
        t.false(receivers[0].mayStart());
        receivers[0].onFailure("unsent", new Error("withdrawn"));
        await new Promise(resolve => setImmediate(resolve));
        hangUp();
        await answer;
        t.deepEqual([unreachable, failed], [[], []]);
    });
}

test("a request of route kind once keeps running at its target when its caller hangs up", async t => {
    const { gateway, request, receivers, hangUp } = setUp("once", false);
    const answer = gateway.serve(request);
    await new Promise(resolve => setImmediate(resolve));
    t.true(receivers[0].mayStart());
    hangUp();
    receivers[0].onHead(200, {});
    receivers[0].onEnd();
    t.is(reasonOf(await answer), "answer");
});

for (const ownsKeys of [false, true]) {
    test(`a request of route kind once is not sent again to the target that refused it, ${ownsKeys ? "with" : "without"} key owners`, async t => {
        const { gateway, request, receivers, assignKeys, clock } = setUp("once", ownsKeys);
        assignKeys();
        const answer = gateway.serve(request);
        await new Promise(resolve => setImmediate(resolve));
        t.true(receivers[0].mayStart());
        receivers[0].onHead(503, {});
        receivers[0].onEnd();
        await clock.advance(1_000);
        t.is(receivers.length, 1);
        t.is(reasonOf(await answer), ownsKeys ? "no-owner" : "no-target");
    });
}

for (
    const { title, load, deadlineMilliseconds, detail } of [
        {
            title: "the objective",
            load: 8,
            deadlineMilliseconds: 60_000,
            detail: /of \d+ ms that the route's objective allows/,
        },
        { title: "the deadline", load: 2, deadlineMilliseconds: 60, detail: /of 60 ms left/ },
    ]
) {
    test(`a request that is refused for ${title} is told so`, async t => {
        const { gateway, request, targetState, clock } = setUp("idempotent", false);
        targetState.load.recordReport(clock.now(), { running: target.slots, waiting: load });
        request.deadlineAt = clock.now() + deadlineMilliseconds;
        const answer = await gateway.serve(request);
        t.is(reasonOf(answer), "deadline-unreachable");
        t.regex(answer.kind === "refusal" ? answer.detail : "", detail);
    });
}
