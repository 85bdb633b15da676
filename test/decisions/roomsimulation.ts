/**
 * Simulates the requests of several routes at one pool without a network: many hosts send to targets of different speed,
 * learn what other hosts have at a target with a delay, and callers that are refused come back once.
 */
import { Heap } from "mnemonist";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { TableRoute } from "../../src/contracts/routing.ts";
import { expectedMilliseconds, maxUsefulMilliseconds, retryAfterMilliseconds } from "../../src/decisions/placement.ts";
import { createPoolRoom, poolUsesOf } from "../../src/decisions/poolroom.ts";
import { createRetryTimes } from "../../src/decisions/retrytimes.ts";

export const createRandom = (seed: number): () => number => {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
};

export type SimulatedRoute = {
    name: string;
    priority: number;
    /** Part of the requests. */
    share: number;
    workMilliseconds: number;
    objectiveMilliseconds: number;
    timeoutMilliseconds: number;
};

/** What a host decides about one request, from what it knows at that time. */
export type Choice = {
    host: number;
    route: SimulatedRoute;
    target: number;
    key: number;
    slots: number;
    serviceMilliseconds: number;
    /** Requests of this host at the target. */
    own: number;
    /** Requests of all hosts at the target, as this host knows them. */
    load: number;
    remainingMilliseconds: number;
    now: number;
    random: () => number;
};

/** Returns undefined to send the request, or the time to tell a refused caller. */
export type Decide = (choice: Choice) => number | undefined;

export type RouteOutcome = {
    requests: number;
    inTime: number;
    late: number;
    /** Requests without an answer, whose caller was refused last. */
    refused: number;
    /** Requests that were refused a second time. */
    refusedAgain: number;
};

export type Simulation = {
    hosts: number;
    /** Factor of the work at each target. */
    speeds: number[];
    /** Requests per second relative to the capacity of all targets. */
    load: number;
    routes: SimulatedRoute[];
    /** Returns the factor of a route's requests at a time: bursts. */
    factorOf?: (route: SimulatedRoute, now: number) => number;
    /** Work that the hot key alone brings to the first target, relative to its capacity. */
    hotKeyLoad?: number;
    seed: number;
    decide: Decide;
};

/** Number of a key range that gets the requests of the hot key. */
export const hotKey = -1;

/** By route; `hot` has those of the hot key, `beside` those of other keys of its owner, `away` those of other targets. */
export type Outcomes = Map<string, RouteOutcome>;

const slots = 2;
/** A target refuses requests when more than this wait. */
const queueLength = 24;
const tellMilliseconds = 150;
const simulatedMilliseconds = 60_000;
const honouredShareOfRemaining = 1 / 3;
const keysOfTarget = 8;
/** The weights of the targets' keys are drawn from 1 minus this to 1 plus this. */
const unevenness = 0.35;

type Target = {
    speed: number;
    running: number;
    queue: Array<() => void>;
    own: number[];
    history: Array<[number, number]>;
};
type Event = { at: number; order: number; run: () => void };

export const simulateRoom = (
    { hosts, speeds, load, routes, factorOf = () => 1, hotKeyLoad = 0, seed, decide }: Simulation,
): Outcomes => {
    const random = createRandom(seed);
    const meanWork = routes.reduce((sum, route) => sum + route.share * route.workMilliseconds, 0);
    const targets: Target[] = speeds.map(speed => ({
        speed,
        running: 0,
        queue: [],
        own: new Array<number>(hosts).fill(0),
        history: [[-Infinity, 0]],
    }));
    const capacityOf = (target: Target): number => slots * 1_000 / (meanWork * target.speed);
    const capacity = targets.reduce((sum, target) => sum + capacityOf(target), 0);
    const weights = targets.map(target => capacityOf(target) * (1 + unevenness * (2 * random() - 1)));
    const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
    const outcomes: Outcomes = new Map();
    const outcomeOf = (name: string): RouteOutcome => {
        const outcome = outcomes.get(name) ?? { requests: 0, inTime: 0, late: 0, refused: 0, refusedAgain: 0 };
        outcomes.set(name, outcome);
        return outcome;
    };
    const events = new Heap<Event>((left, right) => left.at - right.at || left.order - right.order);
    let now = 0;
    let order = 0;
    const at = (time: number, run: () => void): void => {
        order += 1;
        events.push({ at: time, order, run });
    };
    const change = (target: Target, host: number, by: number): void => {
        target.own[host] += by;
        const [, last] = target.history[target.history.length - 1];
        target.history.push([now, last + by]);
        while (target.history.length > 1 && target.history[1][0] <= now - tellMilliseconds) {
            target.history.shift();
        }
    };
    const toldOf = (target: Target): number => {
        let told = target.history[0][1];
        for (const [time, requests] of target.history) {
            if (time > now - tellMilliseconds) {
                break;
            }
            told = requests;
        }
        return told;
    };
    const start = (target: Target, route: SimulatedRoute, done: () => void): void => {
        target.running += 1;
        at(now + route.workMilliseconds * target.speed * (0.4 + 1.2 * random()), () => {
            target.running -= 1;
            done();
            target.queue.shift()?.();
        });
    };
    const send = (route: SimulatedRoute, index: number, key: number, requestedAt: number, sends: number): void => {
        const target = targets[index];
        const place = index === 0 ? (key === hotKey ? "hot" : "beside") : "away";
        const groups = hotKeyLoad === 0 ? [route.name] : [route.name, place];
        const record = (kind: keyof RouteOutcome): void => groups.forEach(name => outcomeOf(name)[kind] += 1);
        if (sends === 0) {
            record("requests");
        }
        const host = Math.floor(random() * hosts);
        const own = target.own[host];
        const endAt = requestedAt + route.timeoutMilliseconds;
        const retryAfter = decide({
            host,
            route,
            target: index,
            key,
            slots,
            serviceMilliseconds: meanWork * target.speed,
            own,
            load: hosts === 1 ? own : Math.max(own, toldOf(target)),
            remainingMilliseconds: endAt - now,
            now,
            random,
        });
        const refuse = (milliseconds: number): void => {
            if (sends > 0) {
                record("refusedAgain");
                record("refused");
                return;
            }
            const wait = Math.min(milliseconds, (endAt - now) * honouredShareOfRemaining);
            at(now + wait, () => send(route, index, key, requestedAt, sends + 1));
        };
        if (retryAfter !== undefined) {
            refuse(retryAfter);
            return;
        }
        if (target.running >= slots && target.queue.length >= queueLength) {
            refuse(60 + 30 * random());
            return;
        }
        change(target, host, 1);
        const done = (): void => {
            change(target, host, -1);
            const took = now - requestedAt;
            if (took <= route.timeoutMilliseconds) {
                record(took <= route.objectiveMilliseconds ? "inTime" : "late");
            }
        };
        const begin = (): void => start(target, route, done);
        if (target.running < slots) {
            begin();
        }
        else {
            target.queue.push(begin);
        }
    };
    const drawTarget = (): number => {
        let left = random() * totalWeight;
        return Math.max(0, weights.findIndex(weight => (left -= weight) < 0));
    };
    const arrive = (route: SimulatedRoute, perSecond: number, pick: () => [number, number]): void => {
        const factor = factorOf(route, now);
        at(now - Math.log(1 - random()) * 1_000 / (perSecond * factor), () => {
            if (now < simulatedMilliseconds) {
                const [target, key] = pick();
                send(route, target, key, now, 0);
                arrive(route, perSecond, pick);
            }
        });
    };
    for (const route of routes) {
        arrive(route, capacity * load * route.share, () => [drawTarget(), Math.floor(random() * keysOfTarget)]);
        if (hotKeyLoad > 0) {
            arrive(route, capacityOf(targets[0]) * hotKeyLoad * route.share, () => [0, hotKey]);
        }
    }
    for (let event = events.pop(); event !== undefined; event = events.pop()) {
        now = event.at;
        event.run();
    }
    return outcomes;
};

export const threeRoutes: SimulatedRoute[] = [
    {
        name: "first",
        priority: 0,
        share: 0.65,
        workMilliseconds: 220,
        objectiveMilliseconds: 1_034,
        timeoutMilliseconds: 2_000,
    },
    {
        name: "second",
        priority: 1,
        share: 0.27,
        workMilliseconds: 290,
        objectiveMilliseconds: 1_237,
        timeoutMilliseconds: 2_500,
    },
    {
        name: "third",
        priority: 2,
        share: 0.08,
        workMilliseconds: 256,
        objectiveMilliseconds: 4_093,
        timeoutMilliseconds: 8_000,
    },
];

/** Speeds from 0.6 to 1.6, evenly spaced. */
export const spreadSpeeds = (count: number): number[] =>
    [...new Array(count).keys()].map(index => 0.6 + index / Math.max(1, count - 1));

/** Returns the expected time, and the longest one that the route's own objective and deadline allow. */
const ownBoundOf = (choice: Choice): { expected: number; longest: number } => {
    const { route, remainingMilliseconds, serviceMilliseconds } = choice;
    const limits = { objectiveMilliseconds: route.objectiveMilliseconds, remainingMilliseconds };
    const expected = expectedMilliseconds({ ...choice, name: "", penaltyMilliseconds: 0 });
    return { expected, longest: maxUsefulMilliseconds(limits, serviceMilliseconds) };
};

/** Decides by the route's own objective only, with a retry time from this one request. */
export const decideByObjective: Decide = choice => {
    const { expected, longest } = ownBoundOf(choice);
    return expected <= longest ? undefined : retryAfterMilliseconds(expected - longest, choice.random);
};

/** Returns the route as a route table has it. */
export const tableRouteOf = ({ name, priority, objectiveMilliseconds }: SimulatedRoute): TableRoute => ({
    name,
    host: "",
    prefix: "/",
    kind: "idempotent",
    timeoutMilliseconds: 0,
    objectiveMilliseconds,
    priority,
    maxAttempts: 1,
    shares: [{ pool: "pool", weight: 1 }],
});

/** Creates the decision that hosts make. Without `routes` that share the pool, only the retry times differ. */
export const createRoomDecision = (routes: SimulatedRoute[]): Decide => {
    const uses = poolUsesOf(routes.map(tableRouteOf)).get("pool");
    const hosts = new Map<number, ReturnType<typeof createHost>>();
    const createHost = (random: () => number) => ({
        room: createPoolRoom(random),
        retryTimes: createRetryTimes(random),
    });
    return choice => {
        const { route, target, key, slots, serviceMilliseconds, own, load, remainingMilliseconds, now, random } =
            choice;
        const host = hosts.get(choice.host) ?? createHost(random);
        hosts.set(choice.host, host);
        const { expected, longest } = ownBoundOf(choice);
        const use = uses?.get(route.name);
        const isRefused = expected > longest;
        const place = `target-${target}`;
        const refusal = use && host.room.decide({
            use,
            target: place,
            key,
            serviceMilliseconds,
            expectedMilliseconds: expected,
            isRefused,
            now,
        });
        const bound = isRefused ? longest : refusal?.longestMilliseconds;
        if (bound === undefined) {
            host.retryTimes.recordSent("pool", now);
            return undefined;
        }
        return host.retryTimes.next({
            pool: "pool",
            place,
            excessMilliseconds: expected - bound,
            spareMilliseconds: Math.max(0, Math.min(route.objectiveMilliseconds, remainingMilliseconds) - bound),
            intervalMilliseconds: serviceMilliseconds / slots,
            own,
            load,
            now,
        });
    };
};

/** Worth of what callers got, per request: a late answer counts a third. */
export const worthOf = ({ requests, inTime, late }: RouteOutcome): number => (inTime + late / 3) / requests;

/** Adds up the outcomes of all routes. */
export const sumOf = (outcomes: Outcomes, names: string[]): RouteOutcome => {
    const sum = { requests: 0, inTime: 0, late: 0, refused: 0, refusedAgain: 0 };
    for (const name of names) {
        const outcome = outcomes.get(name) ?? sum;
        (Object.keys(sum) as Array<keyof RouteOutcome>).forEach(kind => sum[kind] += outcome[kind]);
    }
    return sum;
};
