import test from "ava";
import { createIsolation, type Isolation } from "../../src/decisions/isolation.ts";

const options = { isolationMilliseconds: 10_000, pauseMilliseconds: 1_000 };

/** Ticks every 500 milliseconds from one time to another. */
const tickUntil = (isolation: Isolation, from: number, until: number): void => {
    for (let now = from; now <= until; now += 500) {
        isolation.tick(now);
    }
};

type Case = { title: string; steps: (isolation: Isolation) => void; now: number; block: string | undefined };

const hosts = ["a", "b", "c", "d", "e"];

const cases: Case[] = [
    {
        title: "a host that has not announced itself does not admit, though confirmed",
        steps: isolation => isolation.confirm(0, 10_000),
        now: 1,
        block: "starting",
    },
    {
        title: "an announced host does not admit before it is confirmed",
        steps: isolation => isolation.noteAnnounced(0),
        now: 1,
        block: "starting",
    },
    {
        title: "an answer to a question sent before the announcement does not confirm",
        steps: isolation => {
            isolation.noteAnnounced(5);
            isolation.confirm(4, 10_000);
        },
        now: 6,
        block: "starting",
    },
    {
        title: "a confirmed host admits",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            tickUntil(isolation, 0, 9_500);
        },
        now: 9_999,
        block: undefined,
    },
    {
        title: "a host is isolated at its deadline",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            tickUntil(isolation, 0, 9_500);
        },
        now: 10_000,
        block: "isolated",
    },
    {
        title: "a host that was paused does not admit before a new confirmation",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            isolation.tick(100);
        },
        now: 1_200,
        block: "paused",
    },
    {
        title: "an answer to a question sent before the end of the pause does not count",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            isolation.tick(100);
            isolation.tick(1_200);
            isolation.confirm(1_199, 10_000);
        },
        now: 1_201,
        block: "paused",
    },
    {
        title: "an answer to a question sent after the pause counts",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            isolation.tick(100);
            isolation.tick(1_200);
            isolation.confirm(1_200, 10_000);
        },
        now: 1_201,
        block: undefined,
    },
    {
        title: "a host that was paused for ten minutes does not admit before a new confirmation",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            isolation.tick(100);
        },
        now: 600_000,
        block: "paused",
    },
    {
        title: "answers from a majority extend the deadline",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            tickUntil(isolation, 0, 15_000);
            isolation.noteAnswer("b", 9_000);
            isolation.noteAnswer("c", 9_500);
            isolation.extendByMajority(hosts, "a", 9_600);
        },
        now: 15_001,
        block: undefined,
    },
    {
        title: "the extension counts from the oldest answer of the majority",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            isolation.noteAnswer("b", 9_000);
            isolation.noteAnswer("c", 9_500);
            isolation.extendByMajority(hosts, "a", 9_600);
            tickUntil(isolation, 9_600, 19_000);
        },
        now: 19_000,
        block: "isolated",
    },
    {
        title: "answers from less than a majority do not extend the deadline",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            isolation.noteAnswer("b", 9_500);
            isolation.extendByMajority(hosts, "a", 9_600);
            tickUntil(isolation, 9_600, 10_000);
        },
        now: 10_000,
        block: "isolated",
    },
    {
        title: "a single host does not extend its own deadline",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            isolation.extendByMajority(["a"], "a", 9_600);
            tickUntil(isolation, 9_600, 10_000);
        },
        now: 10_000,
        block: "isolated",
    },
    {
        title: "answers from a majority do not replace the first confirmation",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.noteAnswer("b", 10);
            isolation.noteAnswer("c", 10);
            isolation.extendByMajority(hosts, "a", 20);
        },
        now: 20,
        block: "starting",
    },
    {
        title: "a host whose announcement was removed does not admit",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            isolation.noteAnnouncementRemoved();
            isolation.confirm(10, 10_000);
        },
        now: 20,
        block: "starting",
    },
    {
        title: "a replaced host never admits again",
        steps: isolation => {
            isolation.noteAnnounced(0);
            isolation.confirm(0, 10_000);
            isolation.noteReplaced();
            isolation.confirm(10, 10_000);
        },
        now: 20,
        block: "replaced",
    },
];

for (const { title, steps, now, block } of cases) {
    test(title, t => {
        const isolation = createIsolation(options);
        steps(isolation);
        t.is(isolation.admissionBlock(now), block as never);
        t.is(isolation.remaining(now) > 0, block === undefined);
    });
}
