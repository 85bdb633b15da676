/**
 * Simulates the load of a pool whose keys are owned by targets of different speed. Guards against plans that leave busy
 * keys on slow targets, so that answers come late, or that move too many keys.
 */
import test from "ava";
import { createRandom, type Random } from "../../bench/random.ts";
import { findRangeOfKey, maxKey, type Ownership } from "../../src/contracts/ownership.ts";
import { createKeyLoads, type KeyLoads } from "../../src/decisions/keyload.ts";
import { applyMoves, mergeRanges, planRanges, type RangeTarget } from "../../src/decisions/rangeplan.ts";
import { createServiceTimes, type ServiceTimes } from "../../src/decisions/servicetimes.ts";

const slots = 3;
const meanWorkMilliseconds = 120;
const objectiveMilliseconds = 400;
const speeds = [0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6];
const targetNames = speeds.map((...[, index]) => `target-${index}`);
const planMilliseconds = 400;
const settleMilliseconds = 1_500;
const warmUpMilliseconds = 20_000;

const normal = (random: Random): number =>
    Math.sqrt(2 * random.exponential(1)) * Math.cos(2 * Math.PI * random.uniform());

const itemCount = 60_000;
/** Exponent of the power law of the items' popularity. */
const skew = 0.727;
const busiestKey = 30_000;

/** Change of the load or of the targets during the measured time. */
type Disturbance = {
    /** Share of the requests that go to a few adjacent keys. */
    hotShare: number;
    /** Factor on the service time at two of the targets. */
    slowFactor: number;
};
const undisturbed: Disturbance = { hotShare: 0, slowFactor: 1 };
const hotKey = 10_000;
const hotKeys = 200;
const slowTargets = ["target-4", "target-5"];

/** Draws a key by a power law, with the busy keys close to one another. */
const drawKey = (random: Random, hotShare: number): number =>
    random.uniform() < hotShare
        ? hotKey + random.integerBelow(hotKeys)
        : (busiestKey + Math.floor(itemCount * random.uniform() ** (1 / (1 - skew)))) % (maxKey + 1);

const spread = 0.7;
const drawWork = (random: Random, speed: number): number =>
    meanWorkMilliseconds / speed * Math.exp(spread * normal(random) - spread * spread / 2);

type Figures = { inTime: number; movedKeys: number };

type SimulatedPool = { ownership: Ownership; loads: KeyLoads; work: ServiceTimes };

const planOnce = (simulated: SimulatedPool, now: number, movedAt: Map<number, number>): number => {
    const { ownership, loads, work } = simulated;
    const targets: RangeTarget[] = targetNames.map(name => ({
        owner: { target: name, incarnation: "1" },
        capacity: work.capacity(name, slots),
        slots,
    }));
    const moves = planRanges({
        ranges: ownership.ranges,
        targets,
        segments: loads.segments(now),
        sampleCount: loads.sampleCount(now),
        maxSplits: 2,
        isMovable: range => now - (movedAt.get(range.fence) ?? -Infinity) >= settleMilliseconds,
    });
    const next = applyMoves(ownership, moves);
    moves.forEach(move => movedAt.set(findRangeOfKey(next.ranges, move.from)?.fence ?? 0, now));
    simulated.ownership = mergeRanges({
        ...next,
        ranges: next.ranges.map(range => ({ ...range, predecessors: [] })),
    });
    return moves.reduce((sum, move) => sum + move.to - move.from + 1, 0);
};

/** Simulates requests that arrive at random; only those after the warm-up are counted. */
const simulate = (
    requestsPerSecond: number,
    plannedUntil: number,
    seed: number,
    { hotShare, slowFactor } = undisturbed,
    measuredMilliseconds = 30_000,
): Figures => {
    const random = createRandom(seed);
    const freeAt = new Map(targetNames.map(name => [name, new Array<number>(slots).fill(0)]));
    const movedAt = new Map<number, number>();
    const simulated: SimulatedPool = {
        ownership: { term: 1, coordinator: "host/1", nextFence: 1, ranges: [] },
        loads: createKeyLoads(),
        work: createServiceTimes(),
    };
    planOnce(simulated, 0, movedAt);
    let nextPlanAt = planMilliseconds;
    let answered = 0;
    let inTime = 0;
    let movedKeys = 0;
    for (let now = 0; now < warmUpMilliseconds + measuredMilliseconds;) {
        now += random.exponential(1_000 / requestsPerSecond);
        for (; nextPlanAt <= Math.min(now, plannedUntil); nextPlanAt += planMilliseconds) {
            movedKeys += planOnce(simulated, nextPlanAt, movedAt);
        }
        const isDisturbed = now >= warmUpMilliseconds;
        const key = drawKey(random, isDisturbed ? hotShare : 0);
        const name = findRangeOfKey(simulated.ownership.ranges, key)?.owner.target ?? "";
        const slotsFreeAt = freeAt.get(name) ?? [];
        const slot = slotsFreeAt.indexOf(Math.min(...slotsFreeAt));
        const slowness = isDisturbed && slowTargets.includes(name) ? slowFactor : 1;
        const work = drawWork(random, speeds[targetNames.indexOf(name)]) * slowness;
        const endsAt = Math.max(now, slotsFreeAt[slot]) + work;
        slotsFreeAt[slot] = endsAt;
        simulated.loads.recordRequest(key, now);
        simulated.work.recordServiceTime(name, work);
        if (now >= warmUpMilliseconds) {
            answered += 1;
            inTime += endsAt - now <= objectiveMilliseconds ? 1 : 0;
        }
    }
    return { inTime: inTime / answered, movedKeys };
};

/** Share of the requests answered in time if none waits and each target gets requests in proportion to its speed. */
const inTimeWithoutWaiting = (seed: number): number => {
    const random = createRandom(seed);
    const draws = 2_000;
    const total = speeds.reduce((sum, speed) => sum + speed, 0);
    const parts = speeds.map(speed => {
        const inTime = [...new Array(draws).keys()].filter(() => drawWork(random, speed) <= objectiveMilliseconds);
        return speed / total * inTime.length / draws;
    });
    return parts.reduce((sum, part) => sum + part, 0);
};

/** Required goodput under every load, as a share of the goodput without waiting. */
const minGoodput = 0.95;
/** Utilization is the load as a share of the capacity of all targets together. */
const cases = [
    { title: "a light load", utilization: 0.31 },
    { title: "a usual load", utilization: 0.5 },
    { title: "a heavy load", utilization: 0.69 },
];

for (const { title, utilization } of cases) {
    test(`${title}: requests are answered in time with busy keys close together and targets of different speed`, t => {
        const capacity = speeds.reduce((sum, speed) => sum + speed, 0) * slots * 1_000 / meanWorkMilliseconds;
        for (const seed of [1, 2, 3, 4]) {
            const even = simulate(capacity * utilization, 0, seed);
            const planned = simulate(capacity * utilization, Infinity, seed);
            const least = inTimeWithoutWaiting(seed) * minGoodput;
            t.log(`in time: even ${even.inTime.toFixed(3)}, planned ${planned.inTime.toFixed(3)}`);
            t.true(planned.inTime >= least, `${planned.inTime}, and ${least} are required`);
            t.true(planned.movedKeys <= maxKey, `${planned.movedKeys} keys moved`);
        }
    });
}

const disturbances = [
    { title: "a third of the requests go to a few keys for 5 s", hotShare: 0.33, slowFactor: 1, milliseconds: 5_000 },
    { title: "two targets become slow for 9 s", hotShare: 0, slowFactor: 6, milliseconds: 9_000 },
];
/** Share of the answers in time lost to a disturbance that planning must recover while the disturbance lasts. */
const minRecoveredShare = 0.5;
for (const { title, milliseconds, ...disturbance } of disturbances) {
    test(`${title}: planning recovers at least half of the lost answers meanwhile`, t => {
        const results = [1, 2, 3, 4].map(seed => ({
            undisturbed: simulate(160, Infinity, seed, undisturbed, milliseconds).inTime,
            unplanned: simulate(160, warmUpMilliseconds, seed, disturbance, milliseconds).inTime,
            planned: simulate(160, Infinity, seed, disturbance, milliseconds).inTime,
        }));
        results.forEach(figures => t.log(JSON.stringify(figures)));
        const mean = (name: keyof typeof results[0]): number =>
            results.reduce((sum, figures) => sum + figures[name], 0) / results.length;
        const lost = mean("undisturbed") - mean("unplanned");
        t.true(mean("planned") - mean("unplanned") >= lost * minRecoveredShare);
    });
}
