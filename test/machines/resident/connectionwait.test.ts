/**
 * Requests that find all connections of their host in use: refused though the target is idle, held in vain, or served
 * after less urgent ones.
 */
import test from "ava";
import type { CallerAnswer } from "../../../src/links/callers.ts";
import { createConnectionQueue } from "../../../src/machines/resident/connectionqueue.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createVirtualHosts, type PlayOptions } from "./virtualhosts.ts";

const workMilliseconds = 500;

/** One host with one target at which it may use six connections, and which has answered once. */
const setUp = async (options: Partial<PlayOptions>) => {
    const clock = createVirtualClock();
    const { start, targets: [target] } = createVirtualHosts({
        clock,
        targets: 1,
        slots: 50,
        queue: 20,
        accepted: 10,
        workMilliseconds: () => workMilliseconds,
        isSharded: false,
        objectiveMilliseconds: 1_000,
        timeoutMilliseconds: 2_000,
        random: () => 0.5,
        ...options,
    });
    const host = start({ count: 1, place: 0, isSettled: true });
    void host.serve();
    await clock.advance(1_000);
    return { clock, host, target };
};

const reasonOf = (answer: CallerAnswer): string => answer.kind === "refusal" ? answer.reason : "answered";

type Case = {
    title: string;
    options: Partial<PlayOptions>;
    pausedMilliseconds?: number;
    requests: number;
    ended: Record<string, number>;
    /** Time until the last one has ended. */
    withinMilliseconds: number;
};

const cases: Case[] = [
    { title: "wait at an idle target", options: {}, requests: 12, ended: { answered: 12 }, withinMilliseconds: 1_050 },
    {
        title: "wait at an idle owner of their keys",
        options: { isSharded: true },
        requests: 12,
        ended: { answered: 12 },
        withinMilliseconds: 1_050,
    },
    {
        title: "are refused at once where no connection is free in time",
        options: { timeoutMilliseconds: 600 },
        requests: 8,
        ended: { answered: 6, "connections-used": 2 },
        withinMilliseconds: 550,
    },
    {
        title: "are refused at once where the target's slots are full",
        options: { slots: 2 },
        requests: 8,
        ended: { answered: 2, "deadline-unreachable": 6 },
        withinMilliseconds: 550,
    },
    {
        title: "are refused where the target asked for a pause",
        options: {},
        pausedMilliseconds: 500,
        requests: 8,
        ended: { "target-paused": 8 },
        withinMilliseconds: 10,
    },
];

for (const { title, options, pausedMilliseconds = 0, requests, ended, withinMilliseconds } of cases) {
    test(`requests beyond the host's connections ${title}`, async t => {
        const { clock, host } = await setUp(options);
        const [state] = host.states.ofPool("p");
        state.pausedUntil = clock.now() + pausedMilliseconds;
        const counts: Record<string, number> = {};
        const startedAt = clock.now();
        let lastAt = startedAt;
        for (let number = 0; number < requests; number += 1) {
            void host.serve().then(answer => {
                const reason = reasonOf(answer);
                counts[reason] = (counts[reason] ?? 0) + 1;
                lastAt = clock.now();
            });
            await clock.advance(0);
        }
        await clock.advance(3_000);
        t.deepEqual(counts, ended);
        t.true(lastAt - startedAt <= withinMilliseconds, `${lastAt - startedAt} ms`);
    });
}

test("a request that waits for a connection is not sent once its caller has hung up", async t => {
    const { clock, host } = await setUp({});
    for (let number = 0; number < 6; number += 1) {
        void host.serve();
        await clock.advance(0);
    }
    const request = host.request();
    const answer = host.serveRequest(request);
    await clock.advance(100);
    request.hangUp.happened = true;
    await clock.advance(200);
    t.is(reasonOf(await answer), "cancelled");
});

test("the most urgent request gets a connection first, of equals the one that came first", async t => {
    const clock = createVirtualClock();
    const queue = createConnectionQueue(clock);
    const woken: string[] = [];
    const waiters = [
        { name: "late", priority: 1, receivedAt: 2 },
        { name: "early", priority: 1, receivedAt: 1 },
        { name: "urgent", priority: 0, receivedAt: 3 },
    ];
    for (const waiter of waiters) {
        void queue.wait("a", waiter, 1_000).then(() => woken.push(waiter.name));
    }
    t.is(queue.ahead("a", { priority: 1, receivedAt: 3 }), 3);
    t.is(queue.ahead("a", { priority: 0, receivedAt: 0 }), 0);
    t.is(queue.ahead("b", { priority: 1, receivedAt: 3 }), 0);
    queue.wakeFirst("b");
    queue.wakeFirst("a");
    queue.wakeFirst("a");
    await clock.advance(1);
    t.deepEqual(woken, ["urgent", "early"]);
    await clock.advance(1_000);
    t.deepEqual(woken, ["urgent", "early", "late"]);
});
