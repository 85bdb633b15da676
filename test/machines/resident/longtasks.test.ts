/**
 * Tasks that run as long as the host does. Guards against a host that goes on after one of them ended by an exception, and
 * no longer reports, renews or follows anything.
 */
import test from "ava";
import type { Log, LogFields } from "../../../src/links/logs.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics, type Metrics } from "../../../src/links/metrics.ts";
import type { PeerConnection, PeerDialer, PeerListener } from "../../../src/links/peers.ts";
import { keepRunning, type LongTaskOptions } from "../../../src/machines/longtasks.ts";
import { createEventLoopMonitor } from "../../../src/machines/resident/eventloopmonitor.ts";
import { createLoadReporter } from "../../../src/machines/resident/loadreporter.ts";
import { createPeerLinks } from "../../../src/machines/resident/peerlinks.ts";
import { createSharedLoads } from "../../../src/machines/resident/sharedloads.ts";
import { createStateCache } from "../../../src/machines/resident/statecache.ts";
import { createStateFollow } from "../../../src/machines/resident/statefollow.ts";
import { createStateServer } from "../../../src/machines/resident/stateserver.ts";
import { createStateSource } from "../../../src/machines/resident/statesource.ts";
import { createStoreWatcher } from "../../../src/machines/resident/storewatcher.ts";
import { createVirtualClock, type VirtualClock } from "../fakes/clock.ts";
import { createFakeStore } from "./fakestore.ts";

const setUp = () => {
    const clock = createVirtualClock();
    const failed: string[] = [];
    const log: Log = {
        ...silentLog,
        error: (event: string, fields: LogFields = {}) => void failed.push(`${event} ${String(fields["task"])}`),
    };
    const metrics = createMetrics();
    const lifetime = new AbortController();
    const common = { clock, log, metrics, signal: lifetime.signal };
    return { clock, failed, metrics, lifetime, common };
};
type Common = { clock: VirtualClock; log: Log; metrics: Metrics; signal: AbortSignal };

const connection: PeerConnection = {
    isOpen: () => true,
    queuedBytes: () => 0,
    send: () => undefined,
    sendFrame: () => undefined,
    close: () => undefined,
};
const dial: PeerDialer = () => connection;
const reader = { name: "h2", zone: "z1", address: "10.0.0.2:1", processor: 1 };

/** Starts a task, which calls `step` at each of its turns. */
const tasks: Array<{ task: string; start: (step: () => void, common: Common) => unknown }> = [
    {
        task: "lateness",
        start: (step, common) =>
            createEventLoopMonitor({
                ...common,
                processorMilliseconds: () => 0,
                metrics: { ...common.metrics, timing: step },
            }),
    },
    {
        task: "load-reports",
        start: (step, common) => {
            const reporter = createLoadReporter({
                ...common,
                dial,
                coordinatorAddress: () => {
                    reporter.recordKey("p", 1, true);
                    step();
                    return undefined;
                },
                measure: (...[, run]) => run(),
            });
            reporter.recordKey("p", 1, true);
            // A report that failed is dropped, so that there is one at the next turn only with new requests.
            common.clock.after(1_000, () => reporter.recordKey("p", 2, true));
        },
    },
    {
        task: "shared-loads",
        start: (step, common) =>
            createSharedLoads({
                ...common,
                isReader: () => {
                    step();
                    return false;
                },
                otherReaders: () => [],
                dial,
                sendToReader: () => true,
                sendToFollowers: () => undefined,
            }),
    },
    {
        task: "reader-status",
        start: (step, common) => {
            const server = createStateServer({
                ...common,
                store: createFakeStore(common.clock).store,
                cache: createStateCache(),
                kinds: ["k"],
                patches: {},
                isCurrent: () => true,
                ages: () => ({}),
                onLoads: () => undefined,
                wholeLoads: () => ({ kind: "loads", whole: true, loads: [] }),
            });
            const listener: PeerListener = server.service({ ...connection, queuedBytes: () => (step(), 0) });
            listener.onFrame({ kind: "follow", host: "h3", positions: {} });
        },
    },
    ...["links", "beats"].map(name => ({
        task: `${name} /x`,
        start: (step: () => void, common: Common) => {
            const links = createPeerLinks({
                ...common,
                path: "/x",
                dial,
                groups: () => {
                    if (name === "links") {
                        step();
                    }
                    return new Map();
                },
                beatMilliseconds: 1_000,
                beat: name === "beats" ? step : () => undefined,
                onOpen: () => undefined,
                onFrame: () => true,
                onClose: () => undefined,
            });
            return links;
        },
    })),
    {
        task: "reader-silence",
        start: (step, common) => {
            let isOpen = false;
            const now = (): number => {
                if (isOpen) {
                    step();
                }
                return 0;
            };
            createStateFollow({
                ...common,
                clock: { ...common.clock, now },
                self: "h1",
                reader,
                store: createFakeStore(common.clock).store,
                cache: createStateCache(),
                kinds: [],
                patches: {},
                dial,
                onChange: () => undefined,
                onLoads: () => undefined,
            });
            isOpen = true;
        },
    },
    {
        task: "reader-search",
        start: (step, common) =>
            createStateSource({
                ...common,
                self: "h1",
                store: createFakeStore(common.clock).store,
                cache: createStateCache(),
                paces: { k: { pauseMilliseconds: 100, maxWaitMilliseconds: 1_000, maxAgeMilliseconds: 1_400 } },
                patches: {},
                hostsKnown: Promise.resolve(),
                choose: () => {
                    step();
                    return { isReader: true, candidates: [], refuges: [] };
                },
                dial,
                onChange: () => undefined,
                onLoads: () => undefined,
                onSourceChange: () => undefined,
                random: () => 0.5,
            }),
    },
    {
        task: "store-watch k",
        start: (step, common) => {
            const fake = createFakeStore(common.clock);
            let calls = 0;
            createStoreWatcher({
                ...common,
                log: { ...common.log, warn: step },
                store: {
                    ...fake.store,
                    watch: (...watch) => {
                        calls += 1;
                        if (calls === 1) {
                            return Promise.reject(new Error("refused"));
                        }
                        step();
                        return fake.store.watch(...watch);
                    },
                },
                kind: "k",
                waitMilliseconds: 1_000,
                maxPauseMilliseconds: 500,
                onList: () => undefined,
                onChanges: () => undefined,
                onRecovered: () => undefined,
            });
        },
    },
];

for (const { task, start } of tasks) {
    test(`${task} goes on after an exception`, async t => {
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
    });
}

const throwAlways = (): never => {
    throw new Error("always");
};
const linksOptions = {
    path: "/x",
    dial,
    groups: () => new Map(),
    beatMilliseconds: 500,
    beat: () => "beat",
    onOpen: () => undefined,
    onFrame: () => true,
    onClose: () => undefined,
};

/** Starts a task for two of a kind, of which the first always fails, and calls `reached` when the second has its turn. */
const pairs: Array<{ title: string; start: (reached: () => void, common: Common) => unknown }> = [
    {
        title: "a pool",
        start: (reached, common) => {
            const reporter = createLoadReporter({
                ...common,
                dial,
                coordinatorAddress: pool => {
                    reporter.recordKey(pool, 1, true);
                    if (pool === "p") {
                        throw new Error("always");
                    }
                    reached();
                    return undefined;
                },
                measure: (...[, run]) => run(),
            });
            ["p", "q"].forEach(pool => reporter.recordKey(pool, 1, true));
        },
    },
    {
        title: "a follower",
        start: (reached, common) => {
            const server = createStateServer({
                ...common,
                store: createFakeStore(common.clock).store,
                cache: createStateCache(),
                kinds: ["k"],
                patches: {},
                isCurrent: () => true,
                ages: () => ({}),
                onLoads: () => undefined,
                wholeLoads: () => ({ kind: "loads", whole: true, loads: [] }),
            });
            const failing = (): never => {
                throw new Error("always");
            };
            const sends = [failing, reached];
            sends.map(send => server.service({ ...connection, queuedBytes: () => (send(), 0) })).forEach(
                (listener, index) => listener.onFrame({ kind: "follow", host: `h${index}`, positions: {} }),
            );
        },
    },
    {
        title: "a reader to tell",
        start: (reached, common) =>
            createSharedLoads({
                ...common,
                isReader: () => true,
                otherReaders: () => [[reader], [{ ...reader, name: "h3", address: "10.0.0.3:1" }]],
                dial: address => ({ ...connection, send: address === reader.address ? throwAlways : reached }),
                sendToReader: () => true,
                sendToFollowers: () => undefined,
            }),
    },
    {
        title: "a linked host",
        start: (reached, common) => {
            const links = createPeerLinks({ ...linksOptions, ...common });
            [throwAlways, reached].forEach(send => links.service({ ...connection, sendFrame: send }).onFrame(0));
        },
    },
    {
        title: "a host to link to",
        start: (reached, common) =>
            createPeerLinks({
                ...linksOptions,
                ...common,
                groups: () =>
                    new Map([["g", { candidates: [reader, { ...reader, name: "h3", address: "b" }], count: 2 }]]),
                dial: (address, ...[, listener]) => {
                    if (address !== "b") {
                        throwAlways();
                    }
                    common.clock.after(1, () => listener.onOpen?.());
                    return { ...connection, sendFrame: reached };
                },
            }),
    },
];

for (const { title, start } of pairs) {
    test(`${title} that always fails does not keep the next from its turns`, async t => {
        const { clock, failed, lifetime, common } = setUp();
        let turns = 0;
        start(() => {
            turns += 1;
        }, common);
        await clock.advance(20_000);
        t.true(turns >= 30, `${turns} turns`);
        t.true(failed.length > 0);
        lifetime.abort();
    });
}

const endings: Array<{ title: string; run: () => Promise<void> }> = [
    { title: "always fails", run: () => Promise.reject(new Error("always")) },
    { title: "always ends", run: () => Promise.resolve() },
];

for (const { title, run } of endings) {
    test(`a task that ${title} is started again with growing pauses, until the host stops`, async t => {
        const { clock, failed, lifetime, common } = setUp();
        let isOver = false;
        const options: LongTaskOptions = common;
        void keepRunning("x", run, options).then(() => {
            isOver = true;
        });
        await clock.advance(60_000);
        t.true(failed.length > 10 && failed.length < 25, `${failed.length} lines`);
        lifetime.abort();
        await clock.advance(6_000);
        t.true(isOver);
    });
}
