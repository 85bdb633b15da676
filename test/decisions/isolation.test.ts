import test from "ava";
import { createIsolation, type Isolation } from "../../src/decisions/isolation.ts";

const options = { isolationMilliseconds: 10_000, pauseMilliseconds: 1_000 };

/** Turns of the process every half second from one time to another. */
const run = (isolation: Isolation, from: number, until: number): void => {
    for (let now = from; now <= until; now += 500) {
        isolation.tick(now);
    }
};

type Case = { title: string; steps: (isolation: Isolation) => void; now: number; bar: string | undefined };

const hosts = ["a", "b", "c", "d", "e"];

const cases: Case[] = [
    { title: "a host that has not announced itself starts", steps: i => i.confirm(0, 10_000), now: 1, bar: "starting" },
    { title: "an announced one is not confirmed yet", steps: i => i.noteAnnounced(0), now: 1, bar: "starting" },
    {
        title: "a question sent before the announcement does not confirm",
        steps: i => {
            i.noteAnnounced(5);
            i.confirm(4, 10_000);
        },
        now: 6,
        bar: "starting",
    },
    {
        title: "a confirmed one admits",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            run(i, 0, 9_500);
        },
        now: 9_999,
        bar: undefined,
    },
    {
        title: "it is isolated at its deadline",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            run(i, 0, 9_500);
        },
        now: 10_000,
        bar: "isolated",
    },
    {
        title: "after a pause it waits for a confirmation",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            i.tick(100);
        },
        now: 1_200,
        bar: "paused",
    },
    {
        title: "one asked for before the pause does not count",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            i.tick(100);
            i.tick(1_200);
            i.confirm(1_199, 10_000);
        },
        now: 1_201,
        bar: "paused",
    },
    {
        title: "one asked for after the pause does",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            i.tick(100);
            i.tick(1_200);
            i.confirm(1_200, 10_000);
        },
        now: 1_201,
        bar: undefined,
    },
    {
        title: "a return after ten minutes admits nothing before it has caught up",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            i.tick(100);
        },
        now: 600_000,
        bar: "paused",
    },
    {
        title: "a majority heard extends it",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            run(i, 0, 15_000);
            i.noteAnswer("b", 9_000);
            i.noteAnswer("c", 9_500);
            i.extendByMajority(hosts, "a", 9_600);
        },
        now: 15_001,
        bar: undefined,
    },
    {
        title: "it lasts from the oldest answer of the majority",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            i.noteAnswer("b", 9_000);
            i.noteAnswer("c", 9_500);
            i.extendByMajority(hosts, "a", 9_600);
            run(i, 9_600, 19_000);
        },
        now: 19_000,
        bar: "isolated",
    },
    {
        title: "less than a majority does not",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            i.noteAnswer("b", 9_500);
            i.extendByMajority(hosts, "a", 9_600);
            run(i, 9_600, 10_000);
        },
        now: 10_000,
        bar: "isolated",
    },
    {
        title: "a host that is alone does not extend itself",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            i.extendByMajority(["a"], "a", 9_600);
            run(i, 9_600, 10_000);
        },
        now: 10_000,
        bar: "isolated",
    },
    {
        title: "a majority does not make up for a first confirmation",
        steps: i => {
            i.noteAnnounced(0);
            i.noteAnswer("b", 10);
            i.noteAnswer("c", 10);
            i.extendByMajority(hosts, "a", 20);
        },
        now: 20,
        bar: "starting",
    },
    {
        title: "an announcement that is gone bars it",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            i.noteAnnouncementRemoved();
            i.confirm(10, 10_000);
        },
        now: 20,
        bar: "starting",
    },
    {
        title: "a replaced one is barred for good",
        steps: i => {
            i.noteAnnounced(0);
            i.confirm(0, 10_000);
            i.noteReplaced();
            i.confirm(10, 10_000);
        },
        now: 20,
        bar: "replaced",
    },
];

for (const { title, steps, now, bar } of cases) {
    test(title, t => {
        const isolation = createIsolation(options);
        steps(isolation);
        t.is(isolation.admissionBlock(now), bar as never);
        t.is(isolation.remaining(now) > 0, bar === undefined);
    });
}
