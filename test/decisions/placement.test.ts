/**
 * Placing and refusing under load, played without a network: many hosts share targets of different speed, know their
 * load late, and callers that were refused come back. Checked is what callers get.
 */
import test from "ava";
import { Heap } from "mnemonist";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { placeRequest, retryAfterMilliseconds } from "../../src/decisions/placement.ts";
import { createTargetLoad, type TargetLoad } from "../../src/decisions/targetload.ts";

const createUnit = (seed: number): () => number => {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
};

type Target = { speed: number; running: number; queue: Array<() => void> };
type Event = { at: number; order: number; run: () => void };

type Outcome = { asked: number; inTime: number; late: number; refused: number };

type Play = {
    hosts: number;
    speeds: number[];
    requestsPerSecond: number;
    /** Chooses a target, or refuses with a wait. */
    choose: (loads: TargetLoad[], now: number, unit: () => number) => { index: number } | { waitMilliseconds: number };
};

const slots = 3;
const queueLength = 12;
const workMilliseconds = 150;
const objectiveMilliseconds = 500;
const timeoutMilliseconds = 1_500;
const playMilliseconds = 30_000;
const maxRefusals = 2;

/** Plays half a minute and tells what callers got. */
const play = ({ hosts, speeds, requestsPerSecond, choose }: Play): Outcome => {
    const unit = createUnit(7);
    const targets: Target[] = speeds.map(speed => ({ speed, running: 0, queue: [] }));
    const views = [...new Array(hosts).keys()].map(() => speeds.map(() => createTargetLoad(slots)));
    const events = new Heap<Event>((left, right) => left.at - right.at || left.order - right.order);
    const outcome: Outcome = { asked: 0, inTime: 0, late: 0, refused: 0 };
    let now = 0;
    let order = 0;

    const at = (time: number, run: () => void): void => {
        order += 1;
        events.push({ at: time, order, run });
    };
    const start = (target: Target, done: () => void): void => {
        target.running += 1;
        const work = workMilliseconds * target.speed * (0.3 + 1.4 * unit());
        at(now + work, () => {
            target.running -= 1;
            done();
            target.queue.shift()?.();
        });
    };
    const ask = (askedAt: number, refusals: number): void => {
        const loads = views[Math.floor(unit() * hosts)];
        const chosen = choose(loads, now, unit);
        const comeBack = (waitMilliseconds: number): void => {
            if (refusals >= maxRefusals || now + waitMilliseconds > askedAt + timeoutMilliseconds) {
                outcome.refused += 1;
                return;
            }
            at(now + waitMilliseconds, () => ask(askedAt, refusals + 1));
        };
        if ("waitMilliseconds" in chosen) {
            comeBack(chosen.waitMilliseconds);
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
            outcome[now - askedAt <= objectiveMilliseconds ? "inTime" : "late"] += 1;
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
            comeBack(retryAfterMilliseconds(workMilliseconds, unit));
        }
    };

    for (let time = 0; time < playMilliseconds; time += 1_000 / requestsPerSecond) {
        outcome.asked += 1;
        at(time, () => ask(now, 0));
    }
    for (let event = events.pop(); event !== undefined; event = events.pop()) {
        now = event.at;
        event.run();
    }
    return outcome;
};

const limits = { objectiveMilliseconds, remainingMilliseconds: timeoutMilliseconds };

const byExpectedWait: Play["choose"] = (loads, now, unit) => {
    const candidates = loads.map((load, index) => ({
        name: String(index),
        index,
        penaltyMilliseconds: 0,
        slots,
        load: load.expectedRequests(now),
        serviceMilliseconds: load.serviceMilliseconds() ?? workMilliseconds,
    }));
    const placement = placeRequest(candidates, limits, unit);
    return placement.verdict === "placed"
        ? { index: placement.candidate.index }
        : { waitMilliseconds: placement.retryAfterMilliseconds };
};

const atRandom: Play["choose"] = (loads, ...[, unit]) => ({ index: Math.floor(unit() * loads.length) });

const byLeastOwn: Play["choose"] = (loads, ...[, unit]) => {
    const least = Math.min(...loads.map(load => load.ownRequests()));
    const ties = [...loads.keys()].filter(index => loads[index].ownRequests() === least);
    return { index: ties[Math.floor(unit() * ties.length)] };
};

const byTwoChoices: Play["choose"] = (loads, now, unit) => {
    const [first, second] = [0, 0].map(() => Math.floor(unit() * loads.length));
    return { index: loads[first].expectedRequests(now) <= loads[second].expectedRequests(now) ? first : second };
};

const speeds = [0.7, 0.7, 1.6, 0.7, 1, 1.6];
const capacityPerSecond = speeds.reduce((sum, speed) => sum + slots * 1_000 / (workMilliseconds * speed), 0);
const goodputOf = ({ inTime, late, asked }: Outcome): number => (inTime + 0.3 * late) / asked;

const others = { "at random": atRandom, "by least own load": byLeastOwn, "by two choices": byTwoChoices };

for (const [name, choose] of Object.entries(others)) {
    test(`at nine tenths of capacity, expected wait serves callers better than choice ${name}`, t => {
        const setting = { hosts: 10, speeds, requestsPerSecond: capacityPerSecond * 0.9 };
        const ours = goodputOf(play({ ...setting, choose: byExpectedWait }));
        const theirs = goodputOf(play({ ...setting, choose }));
        t.log(`expected wait ${ours.toFixed(3)}, ${name} ${theirs.toFixed(3)}`);
        t.true(ours > theirs);
    });
}

const overloads = [1.5, 2, 3];
/** What the targets can serve in time, of what is asked at their capacity. */
const goodputShareOfPeak = 0.95;

const servedPerSecond = (factor: number): number => {
    const requestsPerSecond = capacityPerSecond * factor;
    return goodputOf(play({ hosts: 10, speeds, requestsPerSecond, choose: byExpectedWait })) * requestsPerSecond;
};

for (const factor of overloads) {
    test(`at ${factor} times the capacity, goodput stays at ${goodputShareOfPeak} of its peak`, t => {
        const peak = Math.max(...[0.9, 1, ...overloads].map(servedPerSecond));
        const served = servedPerSecond(factor);
        t.log(`${served.toFixed(1)} of ${peak.toFixed(1)} a second`);
        t.true(served >= peak * goodputShareOfPeak);
    });
}

test("callers that were refused come back spread out, and not before the excess is worked off", t => {
    const unit = createUnit(3);
    const waits = [...new Array(100).keys()].map(() => retryAfterMilliseconds(200, unit));
    t.true(Math.min(...waits) >= 200);
    t.true(Math.max(...waits) - Math.min(...waits) >= 80);
});
