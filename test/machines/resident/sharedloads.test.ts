/**
 * Plays the load of a zone with many hosts: without what other hosts heard of the targets, each host's view is old, so
 * that requests queue at busy targets until their answers are late while other targets are free.
 */
import test from "ava";
import { createRandom, type Random } from "../../../bench/random.ts";
import { readerMessageSchema } from "../../../src/contracts/statemessages.ts";
import { placeRequest } from "../../../src/decisions/placement.ts";
import { createTargetLoad, type TargetLoad } from "../../../src/decisions/targetload.ts";
import { decodeFrame, encodeFrame } from "../../../src/links/frames.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createSharedLoads, type SharedLoads } from "../../../src/machines/resident/sharedloads.ts";
import { createStateCache } from "../../../src/machines/resident/statecache.ts";
import { createStateServer } from "../../../src/machines/resident/stateserver.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";
import { setUpZones } from "./zonesofloads.ts";

const slots = 3;
const workMilliseconds = 400;
const limits = { objectiveMilliseconds: 1_200, remainingMilliseconds: 8_000 };
const maxQueue = 12;

type Knowledge = "own" | "shared" | "complete";
type Load = { title: string; hosts: number; targets: number; utilization: number };
type Figures = { inTime: number; late: number };

/** Delay until all hosts know of a request that one of them has sent: two intervals of messages at half each. */
const shareMilliseconds = 150;

/** Number of targets that one request compares, as the candidate selector draws them in a large pool. */
const compared = 8;
const drawSome = <Item>(items: Item[], random: Random): Item[] => {
    const left = [...items];
    return Array.from(
        { length: Math.min(compared, items.length) },
        () => left.splice(random.integerBelow(left.length), 1)[0],
    );
};

/** Plays requests at random hosts and returns how many of them were answered in time, and late, as shares. */
const play = ({ hosts, targets, utilization }: Load, knowledge: Knowledge, seed: number): Figures => {
    const random = createRandom(seed);
    const queues = Array.from({ length: targets }, () => new Array<number>(slots).fill(0));
    const ends: number[][] = queues.map(() => []);
    const views = Array.from({ length: hosts }, () => queues.map(() => createTargetLoad(slots)));
    /** Requests of all hosts, and of each host, as all know them. */
    const known = queues.map(() => 0);
    const knownOfHost = views.map(() => queues.map(() => 0));
    /** What hosts will learn, in the order of time. */
    const events: Array<{ at: number; apply: () => void }> = [];
    const schedule = (at: number, apply: () => void): void => {
        const index = events.findLastIndex(event => event.at <= at);
        events.splice(index + 1, 0, { at, apply });
    };
    const loadOf = (target: number, now: number): number => ends[target].filter(end => end > now).length;
    const arrivals = targets * slots * 1_000 / workMilliseconds * utilization;
    const figures = { asked: 0, inTime: 0, late: 0 };
    for (let now = 0; now < 30_000;) {
        now += random.exponential(1_000 / arrivals);
        while (events.length > 0 && events[0].at <= now) {
            events.shift()?.apply();
        }
        const host = random.integerBelow(hosts);
        const view = views[host];
        const loadKnown = (load: TargetLoad, target: number): number =>
            knowledge === "complete"
                ? loadOf(target, now)
                : knowledge === "shared"
                ? known[target] - knownOfHost[host][target] + load.ownRequests()
                : load.expectedRequests(now);
        const candidates = view.map((load, target) => ({
            name: String(target),
            target,
            penaltyMilliseconds: 0,
            slots,
            load: loadKnown(load, target),
            serviceMilliseconds: workMilliseconds,
        }));
        figures.asked += 1;
        const placement = placeRequest(drawSome(candidates, random), limits, () => random.uniform());
        if (placement.verdict === "refused") {
            continue;
        }
        const { target } = placement.candidate;
        const load = view[target];
        const report = (at: number): void => {
            const requests = loadOf(target, at);
            schedule(at, () => load.recordReport(at, { running: requests, waiting: 0 }));
        };
        const share = (at: number, change: number): void =>
            schedule(at + shareMilliseconds, () => {
                known[target] += change;
                knownOfHost[host][target] += change;
            });
        if (loadOf(target, now) >= slots + maxQueue) {
            report(now);
            continue;
        }
        const free = Math.min(...queues[target]);
        const end = Math.max(now, free) + random.exponential(workMilliseconds);
        queues[target][queues[target].indexOf(free)] = end;
        ends[target] = [...ends[target].filter(other => other > now), end];
        load.recordSent();
        schedule(end, () => load.recordFinished(end - now, 0));
        report(end);
        share(now, 1);
        share(end, -1);
        const isInTime = end - now <= limits.objectiveMilliseconds;
        figures.inTime += isInTime ? 1 : 0;
        figures.late += isInTime ? 0 : 1;
    }
    return { inTime: figures.inTime / figures.asked, late: figures.late / figures.asked };
};

const loads: Load[] = [
    { title: "one busy target with three times its load, 40 hosts", hosts: 40, targets: 1, utilization: 3 },
    { title: "35 targets at 0.85 of their capacity, 40 hosts", hosts: 40, targets: 35, utilization: 0.85 },
    { title: "35 targets at 1.1 times their capacity, 40 hosts", hosts: 40, targets: 35, utilization: 1.1 },
];
/** Share of the answers in time, lost by knowing only the own reports, that sharing must recover. */
const minRecoveredShare = 0.5;

for (const load of loads) {
    test(`${load.title}: sharing recovers at least half of the answers in time that old views lose`, t => {
        const mean = (knowledge: Knowledge): number => {
            const all = [1, 2, 3].map(seed => play(load, knowledge, seed));
            t.log(
                `${knowledge}: ${
                    all.map(({ inTime, late }) => `${inTime.toFixed(3)} late ${late.toFixed(3)}`).join(", ")
                }`,
            );
            return all.reduce((sum, { inTime }) => sum + inTime, 0) / all.length;
        };
        const [own, shared, complete] = [mean("own"), mean("shared"), mean("complete")];
        t.true(shared - own >= (complete - own) * minRecoveredShare);
    });
}

const seenBy = (all: Map<string, SharedLoads>, target: string): Record<string, number | undefined> =>
    Object.fromEntries([...all].map(([name, shared]) => [name, shared.requestsOfOthers(target)]));

test("every host knows the requests of all others at a target, of its own zone and of other zones, soon after each change", async t => {
    const { clock, all } = setUpZones();
    await clock.advance(500);
    all.get("z1-a")?.record("t", 2);
    all.get("z2-b")?.record("t", 1);
    all.get("z3-reader")?.record("t", 4);
    await clock.advance(500);
    const seen = seenBy(all, "t");
    t.is(seen["z1-a"], 5);
    t.is(seen["z1-b"], 7);
    t.is(seen["z1-reader"], 7);
    t.is(seen["z2-b"], 6);
    t.is(seen["z3-reader"], 3);
    all.get("z1-a")?.record("t", 0);
    await clock.advance(500);
    t.is(seenBy(all, "t")["z3-a"], 5);
    t.is(seenBy(all, "t")["z1-a"], 5);
});

test("counts of a follower that is gone are dropped, those of a zone until its reader has connected again, and a new source starts unknown", async t => {
    const { clock, network, all, zones } = setUpZones();
    await clock.advance(500);
    all.get("z1-a")?.record("t", 2);
    all.get("z2-b")?.record("t", 1);
    await clock.advance(500);
    t.is(seenBy(all, "t")["z3-a"], 3);
    all.get("z1-reader")?.removeFollower("z1-a");
    await clock.advance(500);
    t.is(seenBy(all, "t")["z3-a"], 1);
    network.kill(zones[1].reader.address);
    await clock.advance(50);
    t.is(seenBy(all, "t")["z3-reader"], 1);
    await clock.advance(150);
    t.is(seenBy(all, "t")["z3-reader"], 0);
    await clock.advance(500);
    t.is(seenBy(all, "t")["z3-a"], 1);
    all.get("z3-a")?.resetSource();
    t.is(seenBy(all, "t")["z3-a"], undefined);
});

/** A reader, which serves its followers, and a follower whose connection holds bytes back while `queuedBytes` is set. */
const setUpFollower = () => {
    const clock = createVirtualClock();
    const { signal } = new AbortController();
    const common = { clock, log: silentLog, metrics: createMetrics(), signal };
    const sharedOptions = { otherReaders: () => [], dial: createFakeNetwork(clock).dialerOf("r"), ...common };
    const reader = createSharedLoads({
        ...sharedOptions,
        isReader: () => true,
        sendToReader: () => true,
        sendToFollowers: (changes, measures) => server.sendLoads(changes, measures),
    });
    const cache = createStateCache();
    const server = createStateServer({
        store: { era: () => 0, learnEra: () => undefined },
        cache,
        kinds: [],
        patches: {},
        isCurrent: () => true,
        ages: () => ({}),
        onLoads: () => undefined,
        wholeLoads: reader.wholeTotals,
        ...common,
    });
    const follower = createSharedLoads({
        ...sharedOptions,
        isReader: () => false,
        sendToReader: () => true,
        sendToFollowers: () => undefined,
    });
    const link = { queuedBytes: 0, loadMessages: 0 };
    const onFrame = (frame: Buffer): void => {
        const parsed = readerMessageSchema.parse(decodeFrame(frame));
        if (parsed.kind === "loads") {
            link.loadMessages += 1;
            follower.receiveTotals(parsed);
        }
    };
    const { onFrame: serve } = server.service({
        send: value => onFrame(encodeFrame(value)),
        sendFrame: onFrame,
        isOpen: () => true,
        queuedBytes: () => link.queuedBytes,
        close: () => undefined,
    });
    serve({ kind: "follow", host: "f", positions: {} });
    return { clock, reader, follower, link };
};

type Change = [target: string, requests: number];
const changesWhileQueued: Array<{ title: string; during: Change[]; after?: Change[]; seen: Record<string, number> }> = [
    { title: "more requests", during: [["t", 50]], seen: { t: 50, u: 3 } },
    { title: "no requests any more", during: [["t", 0]], seen: { t: 0, u: 3 } },
    { title: "requests at another target", during: [["v", 7]], seen: { t: 5, u: 3, v: 7 } },
    { title: "several changes", during: [["t", 50], ["v", 7], ["t", 20], ["u", 0]], seen: { t: 20, u: 0, v: 7 } },
    { title: "a change and one that follows", during: [["t", 50]], after: [["u", 9]], seen: { t: 50, u: 9 } },
    { title: "a change that the next one replaces", during: [["t", 50]], after: [["t", 1]], seen: { t: 1, u: 3 } },
];

for (const { title, during, after = [], seen } of changesWhileQueued) {
    test(`loads that change while bytes wait for a follower are told once none wait: ${title}`, async t => {
        const { clock, reader, follower, link } = setUpFollower();
        reader.record("t", 5);
        reader.record("u", 3);
        await clock.advance(500);
        t.is(follower.requestsOfOthers("t"), 5);
        link.queuedBytes = 100_000;
        const before = link.loadMessages;
        for (const [target, requests] of during) {
            reader.record(target, requests);
            await clock.advance(200);
        }
        t.is(link.loadMessages, before, "nothing is added to what waits");
        link.queuedBytes = 0;
        after.forEach(([target, requests]) => reader.record(target, requests));
        await clock.advance(200);
        t.deepEqual(
            Object.fromEntries(Object.keys(seen).map(target => [target, follower.requestsOfOthers(target)])),
            seen,
        );
        await clock.advance(1_000);
        t.is(link.loadMessages, before + 1, "they are told once");
    });
}

test("measures that wait while bytes wait for a follower are told once none wait, once and with their sum", async t => {
    const { clock, reader, follower, link } = setUpFollower();
    const target = { name: "t", incarnation: "1", pool: "p" };
    reader.measures.setTarget(target, false);
    follower.measures.setTarget(target, false);
    const told: number[] = [];
    follower.measures.onMeasure((...[, { answered, serviceMilliseconds }]) => told.push(answered, serviceMilliseconds));
    await clock.advance(500);
    link.queuedBytes = 100_000;
    for (const milliseconds of [100, 200, 300]) {
        reader.measures.recordAnswer(target, milliseconds);
        await clock.advance(700);
    }
    t.deepEqual(told, []);
    link.queuedBytes = 0;
    await clock.advance(2_000);
    t.deepEqual(told, [3, 600]);
});
