/**
 * Tests the rules by which routes share a pool, and simulates three routes on one keyed pool. Guards against urgent
 * routes that are refused before less urgent ones, against routes that are starved, and against callers that are
 * refused because of another key.
 */
import test from "ava";
import type { TableRoute } from "../../src/contracts/routing.ts";
import { createPoolRoom, poolUsesOf } from "../../src/decisions/poolroom.ts";
import {
    createRandom,
    createRoomDecision,
    decideByObjective,
    hotKey,
    type Outcomes,
    simulateRoom,
    type Simulation,
    spreadSpeeds,
    sumOf,
    tableRouteOf,
    threeRoutes,
    worthOf,
} from "./roomsimulation.ts";

const [first, second, third] = threeRoutes.map(tableRouteOf);
const usesOf = (routes: TableRoute[], route: string): string | undefined =>
    poolUsesOf(routes).get("pool")?.get(route)?.moreUrgent.map(urgent => urgent.route).join(" ");

const useCases: Array<[name: string, routes: TableRoute[], route: string, expected: string | undefined]> = [
    ["a pool of one route has no rule", [first], "first", undefined],
    ["the most urgent route has none before it", [first, second, third], "first", ""],
    ["each other route has the more urgent ones before it", [third, second, first], "third", "second first"],
    ["routes of one priority have no rule", [first, { ...second, priority: 0 }], "second", undefined],
    [
        "equal priorities do not limit each other beside others",
        [first, { ...second, priority: 0 }, third],
        "second",
        "",
    ],
    [
        "a route that sends the pool nothing does not count",
        [{ ...first, shares: [{ pool: "pool", weight: 0 }, { pool: "other", weight: 1 }] }, second],
        "second",
        undefined,
    ],
];
for (const [name, routes, route, expected] of useCases) {
    test(name, t => t.is(usesOf(routes, route), expected));
}

const uses = poolUsesOf([first, second, third]).get("pool");
/** The first route accepts a queue of 0.4 * (1,034 - 234) = 320 ms. */
const serviceMilliseconds = 234;

/** Decides on requests with the given waits, 100 ms apart, and returns the rule for the last one. */
const lastRule = (requests: Array<[route: string, wait: number, key?: number]>, now = 0): string | undefined => {
    const room = createPoolRoom(() => 0);
    return requests.map(([route, wait, key = 1], index) => {
        const use = uses?.get(route);
        return use && room.decide({
            use,
            target: "a",
            key,
            serviceMilliseconds,
            expectedMilliseconds: serviceMilliseconds + wait,
            isRefused: wait > 320,
            now: index === requests.length - 1 ? index * 100 + now : index * 100,
        });
    }).at(-1)?.rule;
};
const hotRequests = new Array<[string, number, number]>(8).fill(["first", 400, 1]);

const ruleCases: Array<[name: string, requests: Parameters<typeof lastRule>[0], now: number, rule?: string]> = [
    ["the most urgent route uses all of its queue", [["first", 319]], 0],
    ["a less urgent route uses three quarters of it", [["first", 0], ["second", 239]], 0],
    ["a less urgent route is refused above that", [["first", 0], ["second", 241]], 0, "priority"],
    ["the share is of the shortest queue", [["second", 0], ["first", 0], ["third", 241]], 0, "priority"],
    ["an urgent route without requests limits no other", [["first", 0], ["second", 300]], 11_000],
    ["a key with most of the requests is refused first", [...hotRequests, ["first", 90, 1]], 0, "key-share"],
    ["such a key still gets a short queue", [...hotRequests, ["first", 70, 1]], 0],
    ["other keys of its owner keep the queue", [...hotRequests, ["first", 300, 2]], 0],
    ["a key whose requests are sent is not limited", [["first", 0], ["first", 0], ["first", 0], ["first", 300]], 0],
];
for (const [name, requests, now, rule] of ruleCases) {
    test(name, t => t.is(lastRule(requests, now), rule));
}

test("a route that only the priority refuses gets every tenth request through", t => {
    const room = createPoolRoom(createRandom(1));
    const decide = (route: string, key: number) => {
        const use = uses?.get(route);
        const expectedMilliseconds = serviceMilliseconds + 300;
        const target = `target-${key}`;
        return use && room.decide({
            use,
            target,
            key,
            serviceMilliseconds,
            expectedMilliseconds,
            isRefused: false,
            now: key,
        });
    };
    decide("first", 0);
    const sent = [...new Array(100).keys()].filter(index => decide("third", index + 1) === undefined);
    t.is(sent.length, 10);
});

test("a pool of one route has the thresholds of its own objective", t => {
    const random = createRandom(5);
    const [route] = threeRoutes;
    const decide = createRoomDecision([route]);
    for (let index = 0; index < 2_000; index += 1) {
        const choice = {
            host: 0,
            route,
            target: 0,
            key: hotKey,
            slots: 2,
            serviceMilliseconds: 100 + 400 * random(),
            own: 1,
            load: 12 * random(),
            remainingMilliseconds: 2_000 * random(),
            now: index,
            random,
        };
        t.is(decide(choice) === undefined, decideByObjective(choice) === undefined);
    }
});

const names = threeRoutes.map(route => route.name);
type Played = { before: Outcomes; after: Outcomes };

const play = (simulation: Pick<Simulation, "hosts" | "load"> & Partial<Simulation>): Played => {
    const setting = {
        speeds: spreadSpeeds(simulation.hosts === 1 ? 12 : 40),
        routes: threeRoutes,
        seed: 1,
        ...simulation,
    };
    return {
        before: simulateRoom({ ...setting, decide: decideByObjective }),
        after: simulateRoom({ ...setting, decide: createRoomDecision(threeRoutes) }),
    };
};
const refusedShare = (outcomes: Outcomes, name: string): number => {
    const { refused, requests } = sumOf(outcomes, [name]);
    return refused / requests;
};
const worth = (outcomes: Outcomes): number => worthOf(sumOf(outcomes, names));
const describe = (outcomes: Outcomes): string =>
    [...outcomes].map(([name, { requests, inTime, late, refused, refusedAgain }]) =>
        `${name} ${[inTime, late, refused, refusedAgain].map(count => (count / requests).toFixed(3)).join("/")}`
    ).join(", ") + `, worth ${worth(outcomes).toFixed(3)}`;

/** Worth that the less urgent routes may lose beyond what the urgent one gains; the rest is chance. */
const maxLoss = 0.01;

for (const hosts of [1, 20, 85]) {
    for (const load of [0.8, 1.1, 1.3]) {
        test(`${hosts} hosts, ${load} of the capacity: the urgent route is refused less, none is starved`, t => {
            const { before, after } = play({ hosts, load });
            t.log(`before: ${describe(before)}`);
            t.log(`after: ${describe(after)}`);
            t.true(refusedShare(after, "first") < refusedShare(before, "first") * 0.75);
            t.true(refusedShare(after, "first") < refusedShare(after, "second"));
            t.true(refusedShare(after, "second") < 0.6 && refusedShare(after, "third") < 0.6);
            t.true(worth(after) > worth(before) - maxLoss);
        });
    }
    test(`${hosts} hosts: a burst of a less urgent route does not refuse the urgent one`, t => {
        const isBurst = (now: number): boolean => now >= 20_000 && now < 30_000;
        const burst = {
            factorOf: ({ name }: { name: string }, now: number) => name === "second" && isBurst(now) ? 2.5 : 1,
        };
        const { before, after } = play({ hosts, load: 0.8, ...burst });
        t.log(`before: ${describe(before)}`);
        t.log(`after: ${describe(after)}`);
        t.true(refusedShare(after, "first") < refusedShare(before, "first") * 0.75);
        t.true(worth(after) > worth(before) - maxLoss);
    });
    test(`${hosts} hosts: a hot key of three times its owner's capacity leaves room for the owner's other keys`, t => {
        const { before, after } = play({ hosts, load: 0.6, hotKeyLoad: 3 });
        t.log(`before: ${describe(before)}`);
        t.log(`after: ${describe(after)}`);
        t.true(refusedShare(after, "beside") < refusedShare(before, "beside") / 2);
        t.true(refusedShare(after, "away") < refusedShare(before, "away") + maxLoss);
        t.true(worth(after) > worth(before) - maxLoss);
    });
}
