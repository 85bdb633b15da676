/**
 * Simulates placement and refusal under load without a network: many hosts share targets of different speed, learn
 * their load with a delay, and refused callers retry. Guards against a loss of answers in time, at high load compared
 * with simpler ways to choose a target, and above the capacity.
 */
import test from "ava";
import { Heap } from "mnemonist";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { placeRequest, retryAfterMilliseconds } from "../../src/decisions/placement.ts";
import { createRetryTimes, type RetryTimes } from "../../src/decisions/retrytimes.ts";
import { createTargetLoad, type TargetLoad } from "../../src/decisions/targetload.ts";

const createRandom = (seed: number): () => number => {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
};

type Target = { speed: number; running: number; queue: Array<() => void> };
type Event = { at: number; order: number; run: () => void };

type Outcome = { requests: number; inTime: number; late: number; refused: number };

type Simulation = {
    hosts: number;
    speeds: number[];
    requestsPerSecond: number;
    /** Chooses a target, or refuses the request with a time to wait. */
    choose: (
        loads: TargetLoad[],
        now: number,
        random: () => number,
    ) => { index: number } | { waitMilliseconds: number };
};

const slots = 3;
const queueLength = 12;
const workMilliseconds = 150;
const objectiveMilliseconds = 500;
const timeoutMilliseconds = 1_500;
const simulatedMilliseconds = 30_000;
const maxRefusals = 2;

/** Simulates half a minute and returns the outcomes of the requests. */
const simulate = ({ hosts, speeds, requestsPerSecond, choose }: Simulation): Outcome => {
    const random = createRandom(7);
    const targets: Target[] = speeds.map(speed => ({ speed, running: 0, queue: [] }));
    const views = [...new Array(hosts).keys()].map(() => speeds.map(() => createTargetLoad(slots)));
    const events = new Heap<Event>((left, right) => left.at - right.at || left.order - right.order);
    const outcome: Outcome = { requests: 0, inTime: 0, late: 0, refused: 0 };
    let now = 0;
    let order = 0;

    const at = (time: number, run: () => void): void => {
        order += 1;
        events.push({ at: time, order, run });
    };
    const start = (target: Target, done: () => void): void => {
        target.running += 1;
        const work = workMilliseconds * target.speed * (0.3 + 1.4 * random());
        at(now + work, () => {
            target.running -= 1;
            done();
            target.queue.shift()?.();
        });
    };
    const sendRequest = (requestedAt: number, refusals: number): void => {
        const loads = views[Math.floor(random() * hosts)];
        const chosen = choose(loads, now, random);
        const retryLater = (waitMilliseconds: number): void => {
            if (refusals >= maxRefusals || now + waitMilliseconds > requestedAt + timeoutMilliseconds) {
                outcome.refused += 1;
                return;
            }
            at(now + waitMilliseconds, () => sendRequest(requestedAt, refusals + 1));
        };
        if ("waitMilliseconds" in chosen) {
            retryLater(chosen.waitMilliseconds);
            return;
        }
        const target = targets[chosen.index];
        const load = loads[chosen.index];
        const sentAt = now;
        const sentAtLoad = load.expectedRequests(now);
        load.recordSent();
        const done = (): void => {
            load.recordFinished(now - sentAt, sentAtLoad);
            load.recordReport(now, { running: target.running, waiting: target.queue.length });
            outcome[now - requestedAt <= objectiveMilliseconds ? "inTime" : "late"] += 1;
        };
        if (target.running < slots) {
            start(target, done);
        }
        else if (target.queue.length < queueLength) {
            target.queue.push(() => start(target, done));
        }
        else {
            load.recordFinished(undefined, sentAtLoad);
            load.recordReport(now, { running: target.running, waiting: target.queue.length });
            retryLater(retryAfterMilliseconds(workMilliseconds, random));
        }
    };

    for (let time = 0; time < simulatedMilliseconds; time += 1_000 / requestsPerSecond) {
        outcome.requests += 1;
        at(time, () => sendRequest(now, 0));
    }
    for (let event = events.pop(); event !== undefined; event = events.pop()) {
        now = event.at;
        event.run();
    }
    return outcome;
};

const limits = { objectiveMilliseconds, remainingMilliseconds: timeoutMilliseconds };

/** The retry times of each host, by its loads. */
const retryTimes = new WeakMap<TargetLoad[], RetryTimes>();

const byExpectedWait: Simulation["choose"] = (loads, now, random) => {
    const candidates = loads.map((load, index) => ({
        name: String(index),
        index,
        penaltyMilliseconds: 0,
        slots,
        load: load.expectedRequests(now),
        serviceMilliseconds: load.serviceMilliseconds() ?? workMilliseconds,
    }));
    const placement = placeRequest(candidates, limits, random);
    const times = retryTimes.get(loads) ?? createRetryTimes(random);
    retryTimes.set(loads, times);
    if (placement.verdict === "placed") {
        times.recordSent("pool", now);
        return { index: placement.candidate.index };
    }
    const { candidate, expectedMilliseconds, longestMilliseconds } = placement;
    const waitMilliseconds = times.next({
        pool: "pool",
        place: "pool",
        excessMilliseconds: expectedMilliseconds - longestMilliseconds,
        intervalMilliseconds: candidate.serviceMilliseconds / slots / loads.length,
        own: loads[candidate.index].ownRequests(),
        load: candidate.load,
        spareMilliseconds: Math.max(0, objectiveMilliseconds - longestMilliseconds),
        now,
    });
    return { waitMilliseconds };
};

const atRandom: Simulation["choose"] = (loads, ...[, random]) => ({ index: Math.floor(random() * loads.length) });

const byLeastOwn: Simulation["choose"] = (loads, ...[, random]) => {
    const least = Math.min(...loads.map(load => load.ownRequests()));
    const ties = [...loads.keys()].filter(index => loads[index].ownRequests() === least);
    return { index: ties[Math.floor(random() * ties.length)] };
};

const byTwoChoices: Simulation["choose"] = (loads, now, random) => {
    const [first, second] = [0, 0].map(() => Math.floor(random() * loads.length));
    return { index: loads[first].expectedRequests(now) <= loads[second].expectedRequests(now) ? first : second };
};

const speeds = [0.7, 0.7, 1.6, 0.7, 1, 1.6];
const capacityPerSecond = speeds.reduce((sum, speed) => sum + slots * 1_000 / (workMilliseconds * speed), 0);
const goodputOf = ({ inTime, late, requests }: Outcome): number => (inTime + 0.3 * late) / requests;

const others = { "at random": atRandom, "by least own load": byLeastOwn, "by two choices": byTwoChoices };

for (const [name, choose] of Object.entries(others)) {
    test(`at nine tenths of the capacity, choice by expected wait has a higher goodput than choice ${name}`, t => {
        const setting = { hosts: 10, speeds, requestsPerSecond: capacityPerSecond * 0.9 };
        const actual = goodputOf(simulate({ ...setting, choose: byExpectedWait }));
        const alternative = goodputOf(simulate({ ...setting, choose }));
        t.log(`expected wait ${actual.toFixed(3)}, ${name} ${alternative.toFixed(3)}`);
        t.true(actual > alternative);
    });
}

const overloads = [1.5, 2, 3];
/** Share of the peak goodput that must be kept above the capacity. */
const goodputShareOfPeak = 0.95;

const servedPerSecond = (factor: number): number => {
    const requestsPerSecond = capacityPerSecond * factor;
    return goodputOf(simulate({ hosts: 10, speeds, requestsPerSecond, choose: byExpectedWait })) * requestsPerSecond;
};

for (const factor of overloads) {
    test(`at ${factor} times the capacity, the goodput stays at ${goodputShareOfPeak} of its peak`, t => {
        const peak = Math.max(...[0.9, 1, ...overloads].map(servedPerSecond));
        const served = servedPerSecond(factor);
        t.log(`${served.toFixed(1)} of ${peak.toFixed(1)} a second`);
        t.true(served >= peak * goodputShareOfPeak);
    });
}

test("retries of refused callers are spread out, and none comes before the excess load has been served", t => {
    const random = createRandom(3);
    const waits = [...new Array(100).keys()].map(() => retryAfterMilliseconds(200, random));
    t.true(Math.min(...waits) >= 200);
    t.true(Math.max(...waits) - Math.min(...waits) >= 80);
});
