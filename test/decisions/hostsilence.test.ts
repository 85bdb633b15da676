/**
 * How long hosts are silent. Guards against a host that counts as gone after few failures, or although it has registered
 * again.
 */
import test from "ava";
import { createHostSilence } from "../../src/decisions/hostsilence.ts";

const minuteMilliseconds = 60_000;
const host = (revision: number) => ({ name: "h", revision });

type Case = {
    title: string;
    /** Minutes at which the host was asked, all in vain, with the revision of its registration. */
    asked: Array<[minute: number, revision: number]>;
    heardAt?: number;
    isGone: boolean;
};

const every = (from: number, to: number, revision = 1): Array<[number, number]> =>
    Array.from({ length: to - from + 1 }, (...[, index]) => [from + index, revision]);

const cases: Case[] = [
    { title: "silent for ten minutes", asked: every(0, 10), isGone: true },
    { title: "silent for nine minutes", asked: every(0, 9), isGone: false },
    { title: "asked twice, ten minutes apart, by a process that was frozen", asked: [[0, 1], [11, 1]], isGone: false },
    { title: "that answered after nine minutes", asked: every(0, 12), heardAt: 9, isGone: false },
    { title: "that registered again after nine minutes", asked: [...every(0, 9), ...every(10, 12, 2)], isGone: false },
];

for (const { title, asked, heardAt, isGone } of cases) {
    test(`a host ${title} ${isGone ? "counts" : "does not count"} as gone`, t => {
        const silence = createHostSilence();
        for (const [minute, revision] of asked) {
            const now = minute * minuteMilliseconds;
            silence.due([host(revision)], now);
            if (minute === heardAt) {
                silence.recordHeard("h", now);
            }
            else {
                silence.recordSilent("h", revision, now);
            }
        }
        const [last] = asked[asked.length - 1];
        t.is(silence.isGone("h", last * minuteMilliseconds), isGone);
    });
}

test("every host is asked within five minutes, and one that was silent a minute later", t => {
    const silence = createHostSilence();
    const hosts = Array.from({ length: 300 }, (...[, index]) => ({ name: `h${index}`, revision: 1 }));
    const askedAt = new Map<string, number[]>();
    for (let now = 0; now < 6 * minuteMilliseconds; now += 1_000) {
        const name = silence.due(hosts, now);
        if (name !== undefined) {
            askedAt.set(name, [...askedAt.get(name) ?? [], now]);
            if (name === "h7") {
                silence.recordSilent(name, 1, now);
            }
            else {
                silence.recordHeard(name, now);
            }
        }
    }
    t.is(askedAt.size, hosts.length);
    t.true(Math.max(...hosts.map(({ name }) => askedAt.get(name)?.[0] ?? Infinity)) <= 5 * minuteMilliseconds + 10_000);
    const [first, second] = askedAt.get("h7") ?? [];
    t.true(second - first <= minuteMilliseconds + 2_000);
});
