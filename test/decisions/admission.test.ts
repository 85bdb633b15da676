import test from "ava";
import {
    type AdmissionQueue,
    createAdmissionQueue,
    priorities,
    type Priority,
    type QueuedRequest,
    type Verdict,
} from "../../src/decisions/admission.ts";
import { createConcurrencyLimit } from "../../src/decisions/concurrencylimit.ts";

const never = 1_000_000;

type Arrival = { name: string; priority?: Priority; deadlineAt?: number };

const laneOf = (concurrency: number, queueLength: number, latencyMilliseconds = 0): AdmissionQueue => {
    const limit = createConcurrencyLimit({ concurrency, rampMilliseconds: 1_000 }, {
        share: 1,
        connections: concurrency,
    });
    if (latencyMilliseconds > 0) {
        limit.recordLatency(latencyMilliseconds, false, 0);
    }
    return createAdmissionQueue(limit, queueLength);
};

const arrive = (lane: AdmissionQueue, arrivals: Arrival[]): { at: string[]; decided: string[] } => {
    const decided: string[] = [];
    const at = arrivals.map(({ name, priority = priorities.interactive, deadlineAt = never }) => {
        const decide = (verdict: Verdict): void => {
            decided.push(`${name} ${verdict}`);
        };
        const entrant: QueuedRequest = { priority, deadlineAt, decide };
        return lane.submit(entrant, 0);
    });
    return { at, decided };
};

const cases: Array<{
    title: string;
    lane: AdmissionQueue;
    arrivals: Arrival[];
    at: string[];
    act: (lane: AdmissionQueue) => void;
    decided: string[];
}> = [
    {
        title: "the limit admits, the rest waits, and each that leaves lets one in",
        lane: laneOf(2, 4),
        arrivals: [{ name: "a" }, { name: "b" }, { name: "c" }],
        at: ["admitted", "admitted", "waiting"],
        act: lane => lane.complete(1),
        decided: ["c admitted"],
    },
    {
        title: "by priority, then by deadline; deferrable ones last",
        lane: laneOf(1, 9),
        arrivals: [
            { name: "first" },
            { name: "archive", priority: priorities.deferrable, deadlineAt: 100 },
            { name: "late", deadlineAt: 900 },
            { name: "soon", deadlineAt: 500 },
            { name: "order", priority: priorities.once },
        ],
        at: ["admitted", "waiting", "waiting", "waiting", "waiting"],
        act: lane => [1, 2, 3, 4].forEach(now => lane.complete(now)),
        decided: ["order admitted", "soon admitted", "late admitted", "archive admitted"],
    },
    {
        title: "a full queue refuses the least urgent",
        lane: laneOf(1, 1),
        arrivals: [
            { name: "first" },
            { name: "archive", priority: priorities.deferrable },
            { name: "check" },
            { name: "archive-2", priority: priorities.deferrable },
        ],
        at: ["admitted", "waiting", "waiting", "queue-full"],
        act: () => undefined,
        decided: ["archive queue-full"],
    },
    {
        title: "what can not finish in time is refused at once",
        lane: laneOf(1, 9, 100),
        arrivals: [{ name: "first" }, { name: "second", deadlineAt: 150 }, { name: "third", deadlineAt: 400 }],
        at: ["admitted", "deadline-unreachable", "waiting"],
        act: () => undefined,
        decided: [],
    },
    {
        title: "what has become too late is refused when its turn comes",
        lane: laneOf(1, 9, 100),
        arrivals: [{ name: "first" }, { name: "second", deadlineAt: 300 }],
        at: ["admitted", "waiting"],
        act: lane => lane.complete(260),
        decided: ["second deadline-unreachable"],
    },
    {
        title: "a target that shed gets nothing until its back-off is over",
        lane: laneOf(2, 9),
        arrivals: [{ name: "first" }],
        at: ["admitted"],
        act: lane => {
            lane.backOffUntil(50);
            arrive(lane, [{ name: "second" }]);
            lane.complete(10);
        },
        decided: [],
    },
    {
        title: "waiting ones are sent back when the owner changes",
        lane: laneOf(1, 9),
        arrivals: [{ name: "first" }, { name: "second" }],
        at: ["admitted", "waiting"],
        act: lane => lane.rerouteAll(),
        decided: ["second dispersed"],
    },
];

for (const { title, lane, arrivals, at, act, decided } of cases) {
    test(title, t => {
        const result = arrive(lane, arrivals);
        t.deepEqual(result.at, at);
        act(lane);
        t.deepEqual(result.decided, decided);
    });
}

test("after the back-off the lane goes on", t => {
    const lane = laneOf(2, 9);
    lane.backOffUntil(50);
    const { decided } = arrive(lane, [{ name: "a" }, { name: "b" }]);
    t.is(lane.nextAdvanceAt(10), 50);
    lane.advance(49);
    t.deepEqual(decided, []);
    lane.advance(50);
    t.deepEqual(decided, ["a admitted", "b admitted"]);
});
