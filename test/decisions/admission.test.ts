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

const queueOf = (concurrency: number, queueLength: number, latencyMilliseconds = 0): AdmissionQueue => {
    const limit = createConcurrencyLimit({ concurrency, rampMilliseconds: 1_000 }, {
        share: 1,
        connections: concurrency,
    });
    if (latencyMilliseconds > 0) {
        limit.recordLatency(latencyMilliseconds, false, 0);
    }
    return createAdmissionQueue(limit, queueLength);
};

const arrive = (queue: AdmissionQueue, arrivals: Arrival[]): { at: string[]; decided: string[] } => {
    const decided: string[] = [];
    const at = arrivals.map(({ name, priority = priorities.interactive, deadlineAt = never }) => {
        const decide = (verdict: Verdict): void => {
            decided.push(`${name} ${verdict}`);
        };
        const request: QueuedRequest = { priority, deadlineAt, decide };
        return queue.submit(request, 0);
    });
    return { at, decided };
};

const cases: Array<{
    title: string;
    queue: AdmissionQueue;
    arrivals: Arrival[];
    at: string[];
    act: (queue: AdmissionQueue) => void;
    decided: string[];
}> = [
    {
        title: "requests up to the limit are admitted, and each completion admits a waiting one",
        queue: queueOf(2, 4),
        arrivals: [{ name: "a" }, { name: "b" }, { name: "c" }],
        at: ["admitted", "admitted", "waiting"],
        act: queue => queue.complete(1),
        decided: ["c admitted"],
    },
    {
        title: "waiting requests are admitted by priority, then by deadline, and deferrable ones last",
        queue: queueOf(1, 9),
        arrivals: [
            { name: "first" },
            { name: "archive", priority: priorities.deferrable, deadlineAt: 100 },
            { name: "late", deadlineAt: 900 },
            { name: "soon", deadlineAt: 500 },
            { name: "order", priority: priorities.once },
        ],
        at: ["admitted", "waiting", "waiting", "waiting", "waiting"],
        act: queue => [1, 2, 3, 4].forEach(now => queue.complete(now)),
        decided: ["order admitted", "soon admitted", "late admitted", "archive admitted"],
    },
    {
        title: "a full queue refuses the request that would be admitted last",
        queue: queueOf(1, 1),
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
        title: "a request that cannot finish before its deadline is refused at once",
        queue: queueOf(1, 9, 100),
        arrivals: [{ name: "first" }, { name: "second", deadlineAt: 150 }, { name: "third", deadlineAt: 400 }],
        at: ["admitted", "deadline-unreachable", "waiting"],
        act: () => undefined,
        decided: [],
    },
    {
        title: "a waiting request that can no longer finish before its deadline is refused instead of admitted",
        queue: queueOf(1, 9, 100),
        arrivals: [{ name: "first" }, { name: "second", deadlineAt: 300 }],
        at: ["admitted", "waiting"],
        act: queue => queue.complete(260),
        decided: ["second deadline-unreachable"],
    },
    {
        title: "nothing is admitted to a target that shed a request until its back-off has ended",
        queue: queueOf(2, 9),
        arrivals: [{ name: "first" }],
        at: ["admitted"],
        act: queue => {
            queue.backOffUntil(50);
            arrive(queue, [{ name: "second" }]);
            queue.complete(10);
        },
        decided: [],
    },
    {
        title: "waiting requests are routed again when the owner changes",
        queue: queueOf(1, 9),
        arrivals: [{ name: "first" }, { name: "second" }],
        at: ["admitted", "waiting"],
        act: queue => queue.rerouteAll(),
        decided: ["second dispersed"],
    },
];

for (const { title, queue, arrivals, at, act, decided } of cases) {
    test(title, t => {
        const result = arrive(queue, arrivals);
        t.deepEqual(result.at, at);
        act(queue);
        t.deepEqual(result.decided, decided);
    });
}

test("after the back-off waiting requests are admitted", t => {
    const queue = queueOf(2, 9);
    queue.backOffUntil(50);
    const { decided } = arrive(queue, [{ name: "a" }, { name: "b" }]);
    t.is(queue.nextAdvanceAt(10), 50);
    queue.advance(49);
    t.deepEqual(decided, []);
    queue.advance(50);
    t.deepEqual(decided, ["a admitted", "b admitted"]);
});
