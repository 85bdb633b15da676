/**
 * Loops of a host of the fleet. Guards against a host that goes on after one of them ended by an exception, and no longer
 * renews, reports or follows anything, and against a process that ends by one.
 */
import test from "ava";
import type { Assignment } from "../../src/contracts/assignment.ts";
import type { HostStatus, StoredObject } from "../../src/contracts/objects.ts";
import { poolSchema } from "../../src/contracts/pool.ts";
import { settingsSchema } from "../../src/contracts/settings.ts";
import { priorities } from "../../src/decisions/admission.ts";
import { defaultProbeOptions } from "../../src/decisions/detect.ts";
import { createSlotHash } from "../../src/decisions/hash.ts";
import { createIsolation } from "../../src/decisions/isolation.ts";
import { createRevisionTracker } from "../../src/decisions/revisiontracker.ts";
import type { HostLinks } from "../../src/links/hosts.ts";
import { type Log, type LogFields, silentLog } from "../../src/links/logs.ts";
import { createMetrics, type Metrics } from "../../src/links/metrics.ts";
import type { PlatformLink } from "../../src/links/platform.ts";
import type { TargetLink } from "../../src/links/targets.ts";
import { createAdmission } from "../../src/machines/admission.ts";
import { createClaimKeeper } from "../../src/machines/claimkeeper.ts";
import { createCoordinator } from "../../src/machines/coordinator.ts";
import { createFleet } from "../../src/machines/fleet.ts";
import { createFollower } from "../../src/machines/follower.ts";
import { startGauges } from "../../src/machines/gauges.ts";
import { createHeartbeat } from "../../src/machines/heartbeat.ts";
import { createLeases } from "../../src/machines/leases.ts";
import { createLoadCounter } from "../../src/machines/loads.ts";
import { startLoadShedding } from "../../src/machines/loadshedding.ts";
import { startMajorityPoll } from "../../src/machines/majoritypoll.ts";
import { createMoveTracker } from "../../src/machines/movetracker.ts";
import { createObjectView, type ObjectView } from "../../src/machines/objects.ts";
import { createPeers, type Peers } from "../../src/machines/peers.ts";
import { startProber } from "../../src/machines/prober.ts";
import { createRenewer } from "../../src/machines/renewer.ts";
import { createReplica } from "../../src/machines/replica.ts";
import type { TargetView } from "../../src/machines/target.ts";
import { startWitness } from "../../src/machines/witness.ts";
import { createVirtualClock, type VirtualClock } from "./fakes/clock.ts";
import { createFakePlatform } from "./fakes/platform.ts";

type Common = { clock: VirtualClock; log: Log; metrics: Metrics; signal: AbortSignal };

const setUp = () => {
    const clock = createVirtualClock();
    const failed: string[] = [];
    const log: Log = {
        ...silentLog,
        error: (event: string, fields: LogFields = {}) => void failed.push(`${event} ${String(fields["task"])}`),
    };
    const metrics = createMetrics();
    const lifetime = new AbortController();
    const common: Common = { clock, log, metrics, signal: lifetime.signal };
    return { clock, failed, metrics, lifetime, common };
};

const peers: Peers = {
    connected: () => [],
    tell: () => true,
    ask: () => Promise.resolve(undefined),
    handle: () => undefined,
};
const links: HostLinks = {
    ...peers,
    address: "127.0.0.1:1",
    setPeers: () => undefined,
    incarnationOf: () => undefined,
    onChange: () => undefined,
    traffic: () => ({ sentBytes: 0, receivedBytes: 0, sentByKind: {} }),
};
const platformOf = (clock: VirtualClock): PlatformLink => ({
    ...createFakePlatform(clock).linkOf(clock, () => false),
    watch: () => Promise.reject(new Error("not used")),
    hosts: () => Promise.resolve([]),
    callCounts: () => ({}),
    close: () => Promise.resolve(),
});
const settings = settingsSchema.parse({
    host: { name: "h1", zone: "z1" },
    platform: { url: "http://127.0.0.1:1" },
});
const { freshnessMilliseconds } = settings.ownership;
const timing = { ...settings.ownership, longestDeadlineMilliseconds: 1_000 };
const slotHash = await createSlotHash();
const status: HostStatus = {
    zone: "z1",
    incarnation: "i1",
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
    size: 1,
    state: "live",
    isolationMilliseconds: 2_000,
};
const target = { name: "t1", address: "127.0.0.1:3", zone: "z1", connections: 1, concurrency: 1 };
const pool = poolSchema.parse({
    customer: "hallam",
    division: "by-key",
    checksGrants: true,
    slotCount: 4,
    targets: [target],
    routes: [{ name: "main", method: "*", path: "/", kind: "idempotent" }],
});
const assignment: Assignment = {
    revision: 1,
    targets: ["t1"],
    owners: [0, 0, 0, 0],
    hotKeys: [],
    moves: [],
    renewers: { t1: ["h1"] },
    witnesses: ["h2"],
    keepers: [],
};
const stored = (kind: StoredObject["kind"], name: string, value: unknown): StoredObject => ({
    kind,
    name,
    version: 1,
    writeId: "w",
    deleted: false,
    value,
});
/** Objects that hold the pools and their assignments; `onList` is called for each list of the kind. */
const createObjects = (names: string[], kind?: string, onList: () => void = () => undefined): ObjectView => {
    const objects = createObjectView();
    for (const name of names) {
        objects.accept(stored("pools", name, pool));
        objects.accept(stored("assignments", name, assignment));
    }
    const list: ObjectView["list"] = listed => {
        if (listed === kind) {
            onList();
        }
        return objects.list(listed);
    };
    return { ...objects, list };
};
const createHostReplica = ({ clock }: Common) =>
    createReplica({
        objects: createObjectView(),
        revisionTracker: createRevisionTracker(),
        isolation: createIsolation({ isolationMilliseconds: 2_000, pauseMilliseconds: 1_000 }),
        freshnessMilliseconds,
        isolationMilliseconds: 2_000,
        maxAnswerBytes: 1_000,
        clock,
    });
const startFleet = (common: Common, changes: { links?: HostLinks; onSleep?: (milliseconds: number) => void }) => {
    const fleet = createFleet({
        ...common,
        settings,
        incarnation: "i1",
        platform: platformOf(common.clock),
        objects: createObjectView(),
        revisionTracker: createRevisionTracker(),
        links: changes.links ?? links,
        slotHash,
        ownStatus: () => status,
        clock: {
            ...common.clock,
            sleep: (milliseconds, signal) => {
                changes.onSleep?.(milliseconds);
                return common.clock.sleep(milliseconds, signal);
            },
        },
    });
    void fleet.start();
};
const startProbes = (common: Common, probedTargets: () => []) =>
    startProber({ ...common, probedTargets, coordinatorOf: () => undefined, peers, probe: defaultProbeOptions });
const startLeases = (common: Common, hearsNoHost: () => boolean, ranking = (): string[] => [], names = ["p"]) =>
    createLeases({
        ...common,
        host: "h1",
        incarnation: "i1",
        platform: platformOf(common.clock),
        objects: createObjects(names),
        heartbeat: { heardHosts: () => new Set(), isLost: () => false, hearsNoHost },
        ranking,
    });
const startCoordinator = (common: Common, objects: ObjectView, holds: (pool: string) => boolean) =>
    createCoordinator({
        ...common,
        host: "h1",
        platform: platformOf(common.clock),
        objects,
        revisionTracker: createRevisionTracker(),
        peers,
        leases: { holds, holder: () => undefined, waitingReason: () => undefined },
        candidates: () => [],
        slotOf: () => 0,
        timing,
    });
const targetLink: TargetLink = {
    send: () => ({ abort: () => undefined }),
    grant: () => Promise.resolve(undefined),
    health: () => Promise.resolve(undefined),
    load: () => Promise.resolve(undefined),
    cancel: () => Promise.resolve(),
    close: () => Promise.resolve(),
} as unknown as TargetLink;
const createView = (link: TargetLink): TargetView => ({
    pool: "p",
    target: pool.targets[0],
    link,
    incarnation: undefined,
    clockReading: 0,
    outstanding: 0,
    grantedRevision: 0,
    lastAnswerAt: undefined,
    failures: 0,
    failingSince: undefined,
    drainingRefusalAt: undefined,
    state: "ready",
    probe: { unansweredSince: undefined, failures: 0, answerMilliseconds: 0 },
    reportedQueueRatio: undefined,
});
const startRenewer = (common: Common, objects: ObjectView, link = targetLink) => {
    const view = createView(link);
    return createRenewer({
        ...common,
        ...settings.ownership,
        host: "h1",
        objects,
        views: { of: () => view, close: () => Promise.resolve() },
        revisionTracker: createRevisionTracker(),
        peers,
        slotOf: () => 0,
    });
};
const startWitnessOf = (common: Common, objects: ObjectView, ask: Peers["ask"] = peers.ask) =>
    startWitness({
        ...common,
        host: "h1",
        objects,
        unfinishedBelow: () => 0,
        timing,
        revisionTracker: createRevisionTracker(),
        peers: { ...peers, ask },
        freshnessMilliseconds,
        onAssignmentAccepted: () => undefined,
    });
const startTracker = (common: Common, changes: Partial<Peers>, routersReadAfter: () => string[] = () => []) =>
    createMoveTracker({
        ...common,
        pool: "p",
        host: "h1",
        peers: { ...peers, ...changes },
        timing,
        routersReadAfter,
        onReleased: () => undefined,
    });
const startFollower = (common: Common, sources: () => { isRelay: boolean; relays: string[] }, ask = peers.ask) =>
    createFollower({
        ...common,
        replica: createHostReplica(common),
        platform: platformOf(common.clock),
        links: { ...links, ask },
        sources: () => ({ retriesFaster: false, ...sources() }),
        onDepartures: () => undefined,
        freshnessMilliseconds,
        platformTimeoutMilliseconds: 1_000,
        random: () => 0.5,
    }).start();
const startKeeper = (common: Common, objects: ObjectView) =>
    createClaimKeeper({
        ...common,
        host: "h1",
        objects,
        hosts: peers,
        revisionTracker: createRevisionTracker(),
        ready: Promise.resolve(),
        claimEntries: 10,
        claimAgeMilliseconds: 1_000,
        lapseMilliseconds: 1_000,
    });

/** Starts a loop, which calls `step` at its turns. */
const tasks: Array<{ task: string; start: (step: () => void, common: Common) => unknown }> = [
    {
        task: "heartbeat",
        start: (step, common) =>
            createHeartbeat({ ...common, host: "h1", peers: { ...peers, connected: () => (step(), []) } }),
    },
    { task: "gauges", start: (step, common) => startGauges({ ...common, takeReadings: () => (step(), []) }) },
    {
        task: "load-reports",
        start: (step, common) => {
            const loads = createLoadCounter({
                ...common,
                coordinatorOf: () => {
                    loads.count("p", 1, "k");
                    step();
                    return undefined;
                },
                peers,
            });
            loads.count("p", 1, "k");
        },
    },
    {
        task: "lateness",
        start: (step, common) =>
            startLoadShedding({
                ...common,
                latenessMilliseconds: 100,
                random: () => 0.5,
                clock: {
                    ...common.clock,
                    sleep: milliseconds => (step(), common.clock.sleep(milliseconds)),
                },
            }),
    },
    {
        task: "majority-poll",
        start: (step, common) =>
            startMajorityPoll({
                ...common,
                self: "h1",
                replica: createHostReplica(common),
                isolation: createIsolation({ isolationMilliseconds: 2_000, pauseMilliseconds: 1_000 }),
                links,
                hosts: () => (step(), []),
                isolationMilliseconds: 2_000,
            }),
    },
    { task: "leases", start: (step, common) => startLeases(common, () => (step(), false)) },
    {
        task: "coordination",
        start: (step, common) => startCoordinator(common, createObjects(["p"], "pools", step), () => false),
    },
    { task: "move-offers", start: (step, common) => startTracker(common, { connected: () => (step(), []) }) },
    { task: "probe-reports", start: (step, common) => startProbes(common, () => (step(), [])) },
    {
        task: "target-health",
        start: (step, common) => {
            let isReport = true;
            startProbes(common, () => {
                if (!isReport) {
                    step();
                }
                isReport = false;
                return [];
            });
        },
    },
    {
        task: "grant-renewal",
        start: (step, common) => startRenewer(common, createObjects(["p"], "assignments", step)),
    },
    { task: "witness", start: (step, common) => startWitnessOf(common, createObjects(["p"], "assignments", step)) },
    { task: "claim-keeper", start: (step, common) => startKeeper(common, createObjects(["p"], "pools", step)) },
    { task: "follower", start: (step, common) => startFollower(common, () => (step(), { isRelay: true, relays: [] })) },
    {
        task: "object-updates",
        start: (step, common) => startFleet(common, { links: { ...links, setPeers: () => step() } }),
    },
    {
        task: "peers",
        start: (step, common) => {
            let isUpdate = true;
            const setPeers = (): void => {
                if (!isUpdate) {
                    step();
                }
                isUpdate = false;
            };
            startFleet(common, { links: { ...links, setPeers } });
        },
    },
    ...[
        { task: "ticks", isOf: (milliseconds: number) => milliseconds === 250 },
        { task: "host-list", isOf: (milliseconds: number) => milliseconds >= 4_000 },
    ].map(({ task, isOf }) => ({
        task,
        start: (step: () => void, common: Common) =>
            startFleet(common, {
                onSleep: milliseconds => {
                    if (isOf(milliseconds)) {
                        step();
                    }
                },
            }),
    })),
    {
        task: "admission",
        start: (step, common) => {
            const admission = createAdmission({ ...common, queueLength: 2, rampMilliseconds: 1_000 });
            const view = createView(targetLink);
            const { queue } = admission.of(view);
            const { advance } = queue;
            queue.advance = now => {
                step();
                advance(now);
            };
            const entrant = { priority: priorities.interactive, deadlineAt: common.clock.now() + 10_000 };
            admission.block(view, 500);
            void admission.admit(view, entrant, { happened: false, listener: undefined });
        },
    },
    // Work that a loop starts and does not wait for.
    {
        task: "grant-renewal",
        start: (step, common) => {
            const health = (): Promise<undefined> => (step(), Promise.resolve(undefined));
            startRenewer(common, createObjects(["p"]), { ...targetLink, health });
        },
    },
    {
        task: "witness",
        start: (step, common) =>
            startWitnessOf(common, createObjects(["p"]), async () => {
                step();
                return undefined;
            }),
    },
    {
        task: "follower",
        start: (step, common) =>
            startFollower(common, () => ({ isRelay: false, relays: ["h2"] }), async () => {
                step();
                return undefined;
            }),
    },
    {
        task: "move-offers",
        start: (step, common) => {
            const ask = async (): Promise<undefined> => step() as undefined;
            startTracker(common, { ask }).track(assignment, stored("assignments", "p", assignment), true);
        },
    },
    {
        task: "move-releases",
        start: (step, common) => {
            const moving = { ...assignment, moves: [{ since: 1, from: "t1", to: "t2", slots: [1], keys: [] }] };
            const tracker = startTracker(common, {}, () => (step(), []));
            tracker.track(moving, stored("assignments", "p", moving), false);
        },
    },
];

for (const [index, { task, start }] of tasks.entries()) {
    test(`${task} (${index}) goes on after an exception, until the host stops`, async t => {
        const { clock, failed, metrics, lifetime, common } = setUp();
        let turns = 0;
        start(() => {
            turns += 1;
            if (turns === 1) {
                throw new Error("once");
            }
        }, common);
        await clock.advance(20_000);
        t.true(turns > 1, `${turns} turns`);
        t.deepEqual(failed, [`task-failed ${task}`]);
        t.is(metrics.snapshot()[`task-failures{task=${task}}`], 1);
        lifetime.abort();
        await clock.advance(6_000);
        const turnsBefore = turns;
        await clock.advance(20_000);
        t.is(turns, turnsBefore);
    });
}

/** Starts a loop over two of a kind, of which the first always fails; calls `reached` at the turns of the second. */
const pairs: Array<{ title: string; start: (work: (name: string) => void, common: Common) => unknown }> = [
    {
        title: "coordination of a pool",
        start: (work, common) =>
            startCoordinator(common, createObjects(["p", "q"]), name => {
                work(name);
                return false;
            }),
    },
    {
        title: "lease of a pool",
        start: (work, common) => {
            const ranking = (...names: unknown[]): string[] => {
                work(String(names[0]));
                return [];
            };
            startLeases(common, () => false, ranking, ["p", "q"]);
        },
    },
    {
        title: "load report of a pool",
        start: (work, common) => {
            const loads = createLoadCounter({
                ...common,
                coordinatorOf: name => {
                    loads.count(name, 1, "k");
                    work(name);
                    return undefined;
                },
                peers,
            });
            ["p", "q"].forEach(name => loads.count(name, 1, "k"));
        },
    },
];

for (const { title, start } of pairs) {
    test(`${title} that always fails does not keep the next from its turns`, async t => {
        const { clock, failed, lifetime, common } = setUp();
        let turns = 0;
        start(name => {
            if (name === "p") {
                throw new Error("always");
            }
            turns += 1;
        }, common);
        await clock.advance(60_000);
        t.true(turns >= 10, `${turns} turns`);
        t.true(failed.length > 0);
        lifetime.abort();
    });
}

test("a handler that throws does not reject the message of a host to itself", async t => {
    const failed: string[] = [];
    const self = createPeers("h1", peers, { ...silentLog, error: event => void failed.push(event) });
    self.handle("heartbeat", () => {
        throw new Error("odd");
    });
    t.true(self.tell("h1", { kind: "heartbeat" }));
    t.is(await self.ask("h1", { kind: "heartbeat" }, 100), undefined);
    t.deepEqual(failed, ["peer-message-failed", "peer-message-failed"]);
});
