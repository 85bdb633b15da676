/**
 * Requests while targets are evacuated: none is sent to such a target, not even one that waits for a connection to it;
 * others take them, and where there are none the caller is refused at once and told when to try again.
 */
import test from "ava";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import type { CallerAnswer } from "../../../src/links/callers.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createVirtualHosts, type PlayOptions } from "./virtualhosts.ts";

const workMilliseconds = 500;
const evacuated: Partial<RegisteredTarget> = { evacuated: true };
const both: Partial<RegisteredTarget> = { evacuated: true, leaving: true };
const leaving: Partial<RegisteredTarget> = { leaving: true };

type Case = {
    title: string;
    options?: Partial<PlayOptions>;
    /** What the entries of the targets say from the evacuation on; there are as many targets. */
    entries: Array<Partial<RegisteredTarget>>;
    /** Requests at the same time, sent this long before the evacuation, or after it where that is negative. */
    requests: number;
    earlierMilliseconds: number;
    ended: Record<string, number>;
    /** Requests that run at the targets from the evacuation on, where that is not what ran before. */
    ran: number[];
    /** Time until the last one has ended, from when they were sent. */
    withinMilliseconds: number;
};

const cases: Case[] = [
    {
        title: "other targets take the requests",
        entries: [evacuated, {}],
        requests: 4,
        earlierMilliseconds: -1,
        ended: { answered: 4 },
        ran: [0, 4],
        withinMilliseconds: 510,
    },
    {
        title: "requests that run are answered",
        entries: [evacuated],
        requests: 4,
        earlierMilliseconds: 100,
        ended: { answered: 4 },
        ran: [4],
        withinMilliseconds: 510,
    },
    {
        title: "requests on their way to a connection go to another target",
        entries: [evacuated, {}],
        requests: 4,
        earlierMilliseconds: 0,
        ended: { answered: 4 },
        ran: [0, 4],
        withinMilliseconds: 510,
    },
    {
        title: "requests on their way to a connection are withdrawn where no other target is",
        entries: [evacuated],
        requests: 4,
        earlierMilliseconds: 0,
        ended: { "target-evacuated": 4 },
        ran: [0],
        withinMilliseconds: 10,
    },
    {
        title: "requests that wait for a connection are withdrawn",
        entries: [evacuated],
        requests: 12,
        earlierMilliseconds: 100,
        ended: { answered: 6, "target-evacuated": 6 },
        ran: [6],
        withinMilliseconds: 510,
    },
    {
        title: "all targets of a pool are evacuated, or leave",
        entries: [evacuated, both, leaving],
        requests: 4,
        earlierMilliseconds: -1,
        ended: { "target-evacuated": 4 },
        ran: [0, 0, 0],
        withinMilliseconds: 0,
    },
    {
        title: "a target both leaves and is evacuated",
        entries: [both],
        requests: 4,
        earlierMilliseconds: 0,
        ended: { "no-target": 4 },
        ran: [0],
        withinMilliseconds: 10,
    },
    {
        title: "requests for a key wait for another owner while there may be one, and are refused in the end",
        options: { isSharded: true },
        entries: [evacuated, {}],
        requests: 4,
        earlierMilliseconds: -1,
        ended: { "no-owner": 4 },
        ran: [0, 0],
        withinMilliseconds: 1_000,
    },
    {
        title: "requests for a key that are on their way to its owner do not reach it",
        options: { isSharded: true },
        entries: [evacuated, {}],
        requests: 4,
        earlierMilliseconds: 0,
        ended: { "no-owner": 4 },
        ran: [0, 0],
        withinMilliseconds: 1_000,
    },
    {
        title: "requests for a key whose only possible owners are evacuated are refused at once",
        options: { isSharded: true },
        entries: [evacuated, evacuated, leaving],
        requests: 4,
        earlierMilliseconds: -1,
        ended: { "target-evacuated": 4 },
        ran: [0, 0, 0],
        withinMilliseconds: 0,
    },
];

for (const { title, options, entries, requests, earlierMilliseconds, ended, ran, withinMilliseconds } of cases) {
    test(`evacuated targets: ${title}`, async t => {
        const clock = createVirtualClock();
        const { start, targets } = createVirtualHosts({
            clock,
            targets: entries.length,
            slots: 50,
            queue: 20,
            accepted: 10,
            workMilliseconds: () => workMilliseconds,
            isSharded: false,
            objectiveMilliseconds: 1_000,
            timeoutMilliseconds: 2_000,
            random: () => 0.5,
            ...options,
        });
        const host = start({ count: 1, place: 0, isSettled: true });
        await Promise.all([clock.advance(1_000), ...entries.map((...[, index]) => host.serve(index))]);
        const most = targets.map(() => 0);
        const answers: CallerAnswer[] = [];
        let sentAt = 0;
        let lastAt = 0;
        const send = async (): Promise<void> => {
            sentAt = clock.now();
            for (let number = 0; number < requests; number += 1) {
                void host.serve(number).then(answer => {
                    answers.push(answer);
                    lastAt = clock.now();
                });
                await clock.advance(0);
            }
        };
        const evacuate = (): void =>
            entries.forEach((fields, index) => {
                const state = host.states.get(`t${index}`)!;
                state.target = { ...state.target, ...fields };
            });
        if (earlierMilliseconds < 0) {
            evacuate();
            await send();
        }
        else {
            await send();
            await clock.advance(earlierMilliseconds);
            evacuate();
        }
        for (let passed = 0; passed < 3_000; passed += 10) {
            targets.forEach(({ running }, index) => most[index] = Math.max(most[index], running));
            await clock.advance(10);
        }
        const counts: Record<string, number> = {};
        for (const answer of answers) {
            const reason = answer.kind === "refusal" ? answer.reason : "answered";
            counts[reason] = (counts[reason] ?? 0) + 1;
        }
        t.deepEqual(counts, ended);
        t.deepEqual(most, ran);
        t.true(lastAt - sentAt <= withinMilliseconds, `${lastAt - sentAt} ms`);
        const refusals = answers.filter(answer => answer.kind === "refusal");
        t.true(refusals.every(({ retryAfterMilliseconds }) => (retryAfterMilliseconds ?? 0) > 0));
    });
}
