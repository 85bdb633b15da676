/**
 * Plays requests of many hosts at targets of different speeds, with the shared loads and measures of the product, in
 * virtual time and without a network between followers and readers.
 */
import { createRandom } from "../../../bench/random.ts";
import { type LoadsMessage, loadsPath, loadsSchema, type MeasureTuple } from "../../../src/contracts/statemessages.ts";
import { placeRequest } from "../../../src/decisions/placement.ts";
import { createTargetLoad, type TargetLoad } from "../../../src/decisions/targetload.ts";
import { estimateServiceMilliseconds, type ServiceFigure } from "../../../src/decisions/targetmeasures.ts";
import { decodeFrame, deflateFrame, encodeFrame } from "../../../src/links/frames.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createSharedLoads, type SharedLoads } from "../../../src/machines/resident/sharedloads.ts";
import { measuresField } from "../../../src/machines/resident/sharedmeasures.ts";
import type { ReaderCandidate } from "../../../src/zones/readers.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";

export type SpeedsPlay = {
    hosts: number;
    targets: number;
    perSecond: number;
    /** Service time of the fastest targets; every third one takes twice, every fifth one three times as long. */
    workMilliseconds: number;
    /** Whether the target of a request is fixed by its key. */
    isKeyed: boolean;
    /** Whether targets tell their load. */
    tellsLoad: boolean;
    /** `own` is the estimate of version 281829f: this host's mean, limited to twice the median. */
    estimate: "own" | "fleet";
    /** Changes of the play at some time. */
    fault?: "false-figures" | "reader-lost";
    seconds?: number;
    seed: number;
};

export type SpeedsFigures = {
    inTime: number;
    late: number;
    refused: number;
    /** Of all requests, those refused although a slot of the target was free. */
    refusedAtFree: number;
    /** Mean of |ln(estimate / true service time)| over the placements of requests. */
    error: number;
    /** Bytes a second that measures add to what one host sends or receives on the links of a zone, on average. */
    measureBytes: number;
    /** The same for the loads. */
    loadBytes: number;
    /** Messages a second between a reader and one follower, both ways. */
    messages: number;
};

const slots = 3;
const maxQueue = 12;
const limits = { objectiveMilliseconds: 1_200, remainingMilliseconds: 8_000 };
const compared = 8;
const warmupMilliseconds = 5_000;
const medianValidMilliseconds = 200;
const maxOwnFactor = 2;
const minDeflatedBytes = 1_024;
const falseFactor = 8;

const bytesOf = (message: LoadsMessage): number => {
    const frame = encodeFrame(message);
    return frame.length < minDeflatedBytes ? frame.length : deflateFrame(frame).length;
};

export const playSpeeds = async (play: SpeedsPlay): Promise<SpeedsFigures> => {
    const random = createRandom(play.seed);
    const clock = createVirtualClock();
    const network = createFakeNetwork(clock);
    const lifetime = new AbortController();
    const startedAt = clock.now();
    const seconds = play.seconds ?? 20;
    const endsAt = startedAt + warmupMilliseconds + seconds * 1_000;
    const isMeasuring = (): boolean => clock.now() >= startedAt + warmupMilliseconds;

    const targets = [...new Array<undefined>(play.targets).keys()].map(index => ({
        target: { name: `target-${index}`, incarnation: "1", pool: "p" },
        work: play.workMilliseconds * (index % 5 === 0 ? 3 : index % 3 === 0 ? 2 : 1),
        /** Requests that keys send here, in relation to the target's speed. */
        popularity: 0.5 + random.uniform(),
        slowUntil: 0,
        slowness: 1,
        freeAt: new Array<number>(slots).fill(0),
        running: 0,
    }));
    type Target = typeof targets[number];
    const workOf = (target: Target): number => target.work * (clock.now() < target.slowUntil ? target.slowness : 1);
    const totalPopularity = targets.reduce((sum, { popularity, work }) => sum + popularity / work, 0);
    const drawByKey = (): Target => {
        let left = random.uniform() * totalPopularity;
        return targets.find(({ popularity, work }) => (left -= popularity / work) <= 0) ?? targets[0];
    };

    const zoneNames = ["z1", "z2", "z3"];
    const readers = new Map<string, number>(zoneNames.map((zone, index) => [zone, index]));
    const zoneOf = (host: number): string => zoneNames[host % zoneNames.length];
    const readerOf = (zone: string): ReaderCandidate => ({
        name: `h${readers.get(zone)}`,
        zone,
        address: `h${readers.get(zone)}`,
        processor: 1,
    });
    const isReader = (host: number): boolean => readers.get(zoneOf(host)) === host;
    let bytes = 0;
    let loadBytes = 0;
    let messages = 0;
    const count = (message: LoadsMessage): void => {
        if (isMeasuring()) {
            messages += 1;
            const { measures = [], ...withoutMeasures } = message;
            const ofLoads = withoutMeasures.loads.length === 0 ? 0 : bytesOf(withoutMeasures);
            loadBytes += ofLoads;
            bytes += measures.length === 0 ? 0 : bytesOf(message) - ofLoads;
        }
    };
    const transfer = (message: LoadsMessage): LoadsMessage => loadsSchema.parse(decodeFrame(encodeFrame(message)));

    const createHost = (host: number) => {
        const zone = zoneOf(host);
        const shared: SharedLoads = createSharedLoads({
            isReader: () => isReader(host),
            otherReaders: () => zoneNames.filter(other => other !== zone).map(other => [readerOf(other)]),
            dial: network.dialerOf(`h${host}`),
            sendToReader: message => {
                const reader = readers.get(zone) ?? -1;
                if (reader === -1) {
                    return false;
                }
                count(message);
                hosts[reader].shared.receiveFollower(`h${host}`, transfer(message));
                return true;
            },
            sendToFollowers: (loads, measures) => {
                if (loads.length + measures.length > 0) {
                    const message: LoadsMessage = { kind: "loads", whole: false, loads, ...measuresField(measures) };
                    const received = transfer(message);
                    hosts.forEach((other, number) => {
                        if (number !== host && zoneOf(number) === zone) {
                            count(message);
                            other.shared.receiveTotals(received);
                        }
                    });
                }
            },
            clock,
            log: silentLog,
            metrics: createMetrics(),
            signal: lifetime.signal,
        });
        network.listen(`h${host}`, { [loadsPath]: shared.service });
        targets.forEach(({ target }) => shared.measures.setTarget(target, false));
        const loads: TargetLoad[] = targets.map(({ target }) =>
            createTargetLoad(slots, own => shared.record(target.name, own))
        );
        return { shared, loads, median: { milliseconds: 100, until: 0 } };
    };
    const hosts: Array<ReturnType<typeof createHost>> = [];
    for (let host = 0; host < play.hosts; host += 1) {
        hosts.push(createHost(host));
    }
    const isFollower = (host: number): boolean => !isReader(host);
    const introduce = (zone: string): void =>
        hosts.forEach(({ shared }, host) => {
            if (zoneOf(host) === zone && isFollower(host)) {
                shared.resetSource();
                shared.receiveTotals(transfer(hosts[readers.get(zone) ?? 0].shared.wholeTotals()));
            }
        });
    zoneNames.forEach(introduce);

    if (play.fault === "false-figures") {
        // The last host tells with each message that all targets are slower than they are.
        const sendFalse = (): void => {
            const measures = targets.map(({ target, work }): MeasureTuple => {
                const id = falseIds.get(target.name) ?? 0;
                return [id, 1_000, Math.round(1_000 * work * falseFactor)];
            });
            const host = play.hosts - 1;
            const reader = readers.get(zoneOf(host)) ?? 0;
            hosts[reader].shared.receiveFollower(`h${host}`, { kind: "loads", whole: false, loads: [], measures });
            clock.after(120, sendFalse);
        };
        const falseIds = idsOf(targets.map(({ target }) => target));
        clock.after(500, sendFalse);
    }
    if (play.fault === "reader-lost") {
        clock.after(warmupMilliseconds + seconds * 250, () => {
            readers.set("z1", -1);
            network.kill("h0");
            hosts.forEach(({ shared }, host) => zoneOf(host) === "z1" && shared.resetSource());
        });
        clock.after(warmupMilliseconds + seconds * 250 + 3_000, () => {
            readers.set("z1", 3);
            introduce("z1");
        });
    }

    const medianOf = (host: typeof hosts[number], figureOf: (index: number) => number | undefined): number => {
        if (clock.now() >= host.median.until) {
            const known = [...targets.keys()].map(figureOf).filter(figure => figure !== undefined)
                .sort((left, right) => left - right);
            host.median = {
                milliseconds: known[known.length >> 1] ?? 100,
                until: clock.now() + medianValidMilliseconds,
            };
        }
        return host.median.milliseconds;
    };
    const estimateOf = (host: typeof hosts[number], index: number): number => {
        const own = (target: number): number | undefined => host.loads[target].serviceMilliseconds();
        if (play.estimate === "own") {
            const typical = medianOf(host, own);
            return Math.min(typical * maxOwnFactor, Math.max(typical / maxOwnFactor, own(index) ?? typical));
        }
        const figure = (target: number): ServiceFigure | undefined =>
            host.shared.measures.figureOf(targets[target].target);
        const typical = medianOf(host, target => figure(target)?.milliseconds ?? own(target));
        const milliseconds = own(index);
        const answers = host.loads[index].serviceAnswers();
        return estimateServiceMilliseconds(
            figure(index),
            milliseconds === undefined ? undefined : { milliseconds, answers },
            typical,
        );
    };

    const figures = { asked: 0, inTime: 0, late: 0, refused: 0, refusedAtFree: 0, error: 0, placed: 0 };
    const add = (name: keyof typeof figures, amount = 1): void => {
        figures[name] += isMeasuring() ? amount : 0;
    };
    const serve = (): void => {
        const host = hosts[random.integerBelow(play.hosts)];
        const drawn = play.isKeyed
            ? [drawByKey()]
            : Array.from({ length: compared }, () => targets[random.integerBelow(play.targets)]);
        const candidates = drawn.map(target => {
            const index = targets.indexOf(target);
            const load = host.loads[index];
            const others = host.shared.requestsOfOthers(target.target.name);
            return {
                name: target.target.name,
                target,
                load: others === undefined ? load.expectedRequests(clock.now()) : load.ownRequests() + others,
                loadView: load,
                penaltyMilliseconds: 0,
                slots,
                serviceMilliseconds: estimateOf(host, index),
            };
        });
        add("asked");
        const placement = placeRequest(candidates, limits, random.uniform);
        const { target, loadView, serviceMilliseconds, load } = placement.candidate;
        add("error", Math.abs(Math.log(serviceMilliseconds / workOf(target))));
        add("placed");
        if (placement.verdict === "refused" || target.running >= slots + maxQueue) {
            add("refused");
            add("refusedAtFree", target.running < slots ? 1 : 0);
            return;
        }
        const sentAt = clock.now();
        const sentAtLoad = play.estimate === "fleet" ? load : loadView.expectedRequests(sentAt);
        const free = Math.min(...target.freeAt);
        const work = workOf(target) * (0.5 + random.exponential(0.5));
        const end = Math.max(sentAt, free) + work;
        target.freeAt[target.freeAt.indexOf(free)] = end;
        target.running += 1;
        loadView.recordSent();
        clock.after(end - sentAt, () => {
            target.running -= 1;
            if (play.tellsLoad) {
                loadView.recordReport(clock.now(), { running: target.running + 1, waiting: 0 });
            }
            const sample = loadView.recordFinished(clock.now() - sentAt, sentAtLoad);
            if (sample !== undefined && play.estimate === "fleet") {
                host.shared.measures.recordAnswer(target.target, sample);
            }
        });
        add(end - sentAt <= limits.objectiveMilliseconds ? "inTime" : "late");
    };
    const arrive = (): void => {
        serve();
        clock.after(random.exponential(1_000 / play.hosts / play.perSecond), arrive);
    };
    clock.after(500, arrive);
    /** At any time about one target in 25 takes 3 to 5 times as long for 4 s. */
    const slowDown = (): void => {
        const target = targets[random.integerBelow(play.targets)];
        target.slowness = 3 + 2 * random.uniform();
        target.slowUntil = clock.now() + 4_000;
        clock.after(random.exponential(100_000 / play.targets), slowDown);
    };
    clock.after(3_000, slowDown);
    await clock.advance(endsAt - clock.now());
    lifetime.abort();
    const share = (part: number): number => part / figures.asked;
    return {
        inTime: share(figures.inTime),
        late: share(figures.late),
        refused: share(figures.refused),
        refusedAtFree: share(figures.refusedAtFree),
        error: figures.error / figures.placed,
        measureBytes: bytes / seconds / play.hosts,
        loadBytes: loadBytes / seconds / play.hosts,
        messages: messages / seconds / (play.hosts - zoneNames.length),
    };
};

/** Returns the numbers under which the targets are measured, as a host sends them. */
const idsOf = (targets: Array<{ name: string; incarnation: string; pool: string }>): Map<string, number> => {
    const clock = createVirtualClock();
    const lifetime = new AbortController();
    const shared = createSharedLoads({
        isReader: () => true,
        otherReaders: () => [],
        dial: createFakeNetwork(clock).dialerOf("x"),
        sendToReader: () => false,
        sendToFollowers: () => undefined,
        clock,
        log: silentLog,
        metrics: createMetrics(),
        signal: lifetime.signal,
    });
    lifetime.abort();
    return new Map(targets.map(target => {
        shared.measures.recordAnswer(target, 1);
        return [target.name, shared.wholeTotals().measures?.at(-1)?.[0] ?? 0];
    }));
};
