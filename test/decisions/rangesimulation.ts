/**
 * Simulates the load of a pool whose keys are owned by targets of different speed, without a network: requests arrive at
 * random, plans are made from what was observed, and each target serves its queue in order.
 */
import { createRandom, type Random } from "../../bench/random.ts";
import { findRangeOfKey, maxKey, type Ownership } from "../../src/contracts/ownership.ts";
import { createKeyLoads, type KeyLoads } from "../../src/decisions/keyload.ts";
import type { RangeTarget } from "../../src/decisions/rangeloads.ts";
import { applyMoves, mergeRanges } from "../../src/decisions/rangemoves.ts";
import { planRanges } from "../../src/decisions/rangeplan.ts";
import { createServiceTimes, type ServiceTimes } from "../../src/decisions/servicetimes.ts";

/** What is simulated: the pool and its usual load. */
export type Scenario = {
    /** Speed of each target; 1 is the speed at which the mean service time holds. */
    speeds: number[];
    slots: number;
    meanWorkMilliseconds: number;
    objectiveMilliseconds: number;
    requestsPerSecond: number;
    /** Most pieces that one plan splits off. */
    maxSplits: number;
    /** Time for which a moved range stays where it is. */
    settleMilliseconds: number;
    /** Load and disturbance before this time are not counted. */
    warmUpMilliseconds: number;
    measuredMilliseconds: number;
    /** No plan is made from this time on. */
    plannedUntil: number;
    seed: number;
    /** Queue per target, in requests; one that finds it full is refused. */
    maxQueue?: number;
};

/** Change of the load or of the targets during the measured time. */
export type Disturbance = {
    /** Share of the requests that go to a few adjacent keys. */
    hotShare: number;
    /** Number of these keys. */
    hotKeys: number;
    /** Factor on the service time at two of the targets. */
    slowFactor: number;
};

export const undisturbed: Disturbance = { hotShare: 0, hotKeys: 200, slowFactor: 1 };

export type Figures = {
    /** Share of the requests that are answered within the objective. */
    inTime: number;
    movedKeys: number;
};

const planMilliseconds = 400;
const slowTargets = ["target-4", "target-5"];

const normal = (random: Random): number =>
    Math.sqrt(2 * random.exponential(1)) * Math.cos(2 * Math.PI * random.uniform());

const itemCount = 60_000;
/** Exponent of the power law of the items' popularity. */
const skew = 0.727;
const busiestKey = 30_000;
const hotKey = 10_000;

/** Draws a key by a power law, with the busy keys close to one another. */
const drawKey = (random: Random, { hotShare, hotKeys }: Disturbance): number =>
    random.uniform() < hotShare
        ? hotKey + random.integerBelow(hotKeys)
        : (busiestKey + Math.floor(itemCount * random.uniform() ** (1 / (1 - skew)))) % (maxKey + 1);

const spread = 0.7;

/** Draws the service time of a request at a target of the given speed. */
export const drawWork = (random: Random, meanMilliseconds: number, speed: number): number =>
    meanMilliseconds / speed * Math.exp(spread * normal(random) - spread * spread / 2);

type SimulatedPool = { ownership: Ownership; loads: KeyLoads; work: ServiceTimes };

const planOnce = (
    { speeds, slots, maxSplits, settleMilliseconds }: Scenario,
    simulated: SimulatedPool,
    now: number,
    movedAt: Map<number, number>,
): number => {
    const { ownership, loads, work } = simulated;
    const targets: RangeTarget[] = speeds.map((...[, index]) => ({
        owner: { target: `target-${index}`, incarnation: "1" },
        capacity: work.capacity(`target-${index}`, slots),
        slots,
    }));
    const moves = planRanges({
        ranges: ownership.ranges,
        targets,
        segments: loads.segments(now),
        sampleCount: loads.sampleCount(now),
        knownShare: loads.knownShare(now),
        maxSplits,
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
export const simulateRanges = (scenario: Scenario, disturbance = undisturbed): Figures => {
    const { speeds, slots, requestsPerSecond, warmUpMilliseconds, meanWorkMilliseconds } = scenario;
    const random = createRandom(scenario.seed);
    const freeAt = new Map(
        speeds.map((
            ...[, index]
        ) => [`target-${index}`, { speed: speeds[index], slots: new Array<number>(slots).fill(0) }]),
    );
    const movedAt = new Map<number, number>();
    const simulated: SimulatedPool = {
        ownership: { term: 1, coordinator: "host/1", nextFence: 1, ranges: [] },
        loads: createKeyLoads(),
        work: createServiceTimes(),
    };
    planOnce(scenario, simulated, 0, movedAt);
    let nextPlanAt = planMilliseconds;
    let asked = 0;
    let inTime = 0;
    let movedKeys = 0;
    for (let now = 0; now < warmUpMilliseconds + scenario.measuredMilliseconds;) {
        now += random.exponential(1_000 / requestsPerSecond);
        for (; nextPlanAt <= Math.min(now, scenario.plannedUntil); nextPlanAt += planMilliseconds) {
            movedKeys += planOnce(scenario, simulated, nextPlanAt, movedAt);
        }
        const isMeasured = now >= warmUpMilliseconds;
        const current = isMeasured ? disturbance : undisturbed;
        const key = drawKey(random, current);
        const name = findRangeOfKey(simulated.ownership.ranges, key)?.owner.target ?? "";
        const target = freeAt.get(name);
        if (target === undefined) {
            throw new Error(`No target "${name}".`);
        }
        const earliest = Math.min(...target.slots);
        const slowness = slowTargets.includes(name) ? current.slowFactor : 1;
        const work = drawWork(random, meanWorkMilliseconds, target.speed) * slowness;
        const maxWait = (scenario.maxQueue ?? Infinity) * meanWorkMilliseconds / target.speed / slots;
        simulated.loads.recordRequest(key, now);
        asked += isMeasured ? 1 : 0;
        if (earliest - now > maxWait) {
            continue;
        }
        const endsAt = Math.max(now, earliest) + work;
        target.slots[target.slots.indexOf(earliest)] = endsAt;
        simulated.work.recordServiceTime(name, work);
        inTime += isMeasured && endsAt - now <= scenario.objectiveMilliseconds ? 1 : 0;
    }
    return { inTime: inTime / asked, movedKeys };
};
