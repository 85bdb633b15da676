/**
 * Which connections to targets are closed in favour of new ones while the part of targets is used up.
 */
import test from "ava";
import { platformObjects } from "../../../platform/objects.ts";
import { systemClock } from "../../../src/links/clock.ts";
import { createDescriptors } from "../../../src/links/descriptors.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createTargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createTargetStates } from "../../../src/machines/resident/targetstates.ts";
import { headOf, startRawTarget } from "../../rawtarget.ts";

const targetCount = 5;

/** A host's view of five targets, with four descriptors for connections to them. */
const startTargets = async () => {
    const lifetime = new AbortController();
    const common = { clock: systemClock, log: silentLog, signal: lifetime.signal };
    const metrics = createMetrics();
    const limits = { process: 16, stated: undefined, files: 0 };
    const descriptors = createDescriptors({ limits, clock: systemClock, log: silentLog, metrics });
    const targets = await Promise.all(
        Array.from({ length: targetCount }, () =>
            startRawTarget([(socket, id) => {
                if (!id.startsWith("wait")) {
                    socket.write(headOf(id, "content-length: 0"));
                }
            }])),
    );
    const registry = createTargetRegistry({ decode: platformObjects.decodeTarget, reachableSince: () => 0, ...common });
    const states = createTargetStates({
        registry,
        findPool: () => undefined,
        sharingHosts: () => ({ count: 1, place: 0, isSettled: true }),
        requestsOfOthers: () => undefined,
        recordOwnRequests: () => undefined,
        descriptors,
        ...common,
    });
    registry.applyList(
        targets.map(({ address }, index) => ({
            name: `i-${index}`,
            revision: index + 1,
            value: { service: "orders", address, zone: "z", slots: 2, state: "ready", born: 1 },
        })),
        targets.length,
    );
    /** Resolves to `answered` or the code of the failure, or to `waits` after a while. */
    const send = (target: number, id: string): Promise<string> =>
        new Promise(resolve => {
            const timer = setTimeout(() => resolve("waits"), id.startsWith("wait") ? 200 : 5_000);
            const finish = (result: string): void => {
                clearTimeout(timer);
                resolve(result);
            };
            states.get(`i-${target}`)?.link.send(
                { method: "GET", path: "/", headers: ["request-id", id], body: undefined },
                {
                    mayStart: () => true,
                    onHead: () => undefined,
                    onBytes: () => true,
                    onEnd: () => finish("answered"),
                    onFailure: (...[, error]) => finish((error as NodeJS.ErrnoException).code ?? "failed"),
                },
            );
        });
    return {
        send,
        connections: () => targets.map(target => target.used()),
        inUse: () => descriptors.inUse("targets"),
        usedUp: (closed: string) => metrics.snapshot()[`descriptors-used-up{part=targets,closed=${closed}}`] ?? 0,
        close: async () => {
            lifetime.abort();
            await Promise.all(targets.map(target => target.close()));
        },
    };
};

type Case = {
    title: string;
    /** Target and id of each request, and what becomes of it. Those whose id begins with `wait` get no answer. */
    requests: Array<[target: number, id: string, result: string]>;
    /** Connections on which each target got a request. */
    connections: number[];
    closed: { idle: number; new: number };
};
const answeredByFour: Case["requests"] = [[0, "a", "answered"], [1, "b", "answered"], [2, "c", "answered"], [
    3,
    "d",
    "answered",
]];
const usedUp = "DESCRIPTORS_USED_UP";
const cases: Case[] = [
    {
        title: "the one that is idle longest",
        requests: [...answeredByFour, [0, "e", "answered"], [4, "f", "answered"], [0, "g", "answered"], [
            1,
            "h",
            "answered",
        ]],
        connections: [1, 2, 1, 1, 1],
        closed: { idle: 2, new: 0 },
    },
    {
        title: "none that waits for an answer",
        requests: [[0, "wait-a", "waits"], [1, "wait-b", "waits"], [2, "wait-c", "waits"], [3, "wait-d", "waits"], [
            4,
            "e",
            usedUp,
        ]],
        connections: [1, 1, 1, 1, 0],
        closed: { idle: 0, new: 1 },
    },
    {
        title: "the only idle one",
        requests: [[0, "wait-a", "waits"], [1, "wait-b", "waits"], [2, "c", "answered"], [3, "wait-d", "waits"], [
            4,
            "e",
            "answered",
        ]],
        connections: [1, 1, 1, 1, 1],
        closed: { idle: 1, new: 0 },
    },
];

for (const { title, requests, connections, closed } of cases) {
    test(`a connection to another target takes the place of ${title}`, async t => {
        const host = await startTargets();
        t.teardown(host.close);
        const results: string[] = [];
        for (const [target, id] of requests) {
            results.push(await host.send(target, id));
        }
        t.deepEqual(results, requests.map(([, , result]) => result));
        t.deepEqual(host.connections(), connections);
        t.is(host.inUse(), 4);
        t.deepEqual({ idle: host.usedUp("idle"), new: host.usedUp("new") }, closed);
    });
}
