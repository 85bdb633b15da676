import test from "ava";
import { type HostVersionReport, judgeRollout } from "../../src/decisions/rollout.ts";

const names = ["a", "b", "c", "d", "e"];
const members = names.map(name => ({ name, incarnation: `${name}-1`, isolationMilliseconds: 10_000 }));
const requiredMilliseconds = 11_000;

const reportOf = (
    name: string,
    inForce: number,
    changes: Partial<HostVersionReport> = {},
): [string, HostVersionReport] => [
    name,
    { incarnation: `${name}-1`, admits: true, inForce, ...changes },
];

const current = (...hosts: string[]): Array<[string, HostVersionReport]> => hosts.map(name => reportOf(name, 7));

type Case = {
    title: string;
    words: Array<[string, HostVersionReport]>;
    waitedMilliseconds?: number;
    everywhere: boolean;
    majority: boolean;
    lastHostState: string;
};

const cases: Case[] = [
    {
        title: "all hosts have the version in force",
        words: current(...names),
        everywhere: true,
        majority: true,
        lastHostState: "in-force",
    },
    {
        title: "all hosts have a later version in force",
        words: names.map(name => reportOf(name, 9)),
        everywhere: true,
        majority: true,
        lastHostState: "in-force",
    },
    {
        title: "one host still admits by an older version",
        words: [...current("a", "b", "c", "d"), reportOf("e", 6)],
        waitedMilliseconds: 60_000,
        everywhere: false,
        majority: true,
        lastHostState: "behind",
    },
    { title: "no host answers", words: [], everywhere: false, majority: false, lastHostState: "unreachable" },
    {
        title: "one host does not answer, and its isolation time has not passed",
        words: current("a", "b", "c", "d"),
        waitedMilliseconds: requiredMilliseconds - 1,
        everywhere: false,
        majority: true,
        lastHostState: "unreachable",
    },
    {
        title: "one host does not answer, and its isolation time has passed",
        words: current("a", "b", "c", "d"),
        waitedMilliseconds: requiredMilliseconds,
        everywhere: true,
        majority: true,
        lastHostState: "cut-off",
    },
    {
        title: "without a majority, hosts that do not answer are never taken for cut off",
        words: current("a", "b"),
        everywhere: false,
        majority: false,
        lastHostState: "unreachable",
    },
    {
        title: "a host that does not admit may resume by the older version before its isolation time has passed",
        words: [...current("a", "b", "c", "d"), reportOf("e", 6, { admits: false })],
        waitedMilliseconds: 0,
        everywhere: false,
        majority: true,
        lastHostState: "behind",
    },
    {
        title: "a host that does not admit is cut off after its isolation time",
        words: [...current("a", "b", "c", "d"), reportOf("e", 6, { admits: false })],
        waitedMilliseconds: requiredMilliseconds,
        everywhere: true,
        majority: true,
        lastHostState: "cut-off",
    },
    {
        title: "a report of another incarnation does not count for the announced one",
        words: [...current("a", "b", "c", "d"), reportOf("e", 7, { incarnation: "e-2" })],
        waitedMilliseconds: 0,
        everywhere: false,
        majority: true,
        lastHostState: "unreachable",
    },
];

for (const { title, words, waitedMilliseconds, everywhere, majority, lastHostState } of cases) {
    test(title, t => {
        const verdict = judgeRollout({
            version: 7,
            members,
            majorityHosts: new Set(names),
            words: new Map(words),
            majoritySince: waitedMilliseconds === undefined ? undefined : 1_000,
            now: 1_000 + (waitedMilliseconds ?? 60_000),
        });
        t.is(verdict.everywhere, everywhere);
        t.is(verdict.majority, majority);
        t.is(verdict.states.get("e"), lastHostState as never);
    });
}

test("hosts outside majorityHosts do not count for the majority, but must have the version or be cut off", t => {
    const view = {
        version: 7,
        members,
        majorityHosts: new Set(["a", "b", "c"]),
        words: new Map(current("a", "d", "e")),
        majoritySince: undefined,
        now: 0,
    };
    const verdict = judgeRollout(view);
    t.deepEqual([verdict.majority, verdict.everywhere], [false, false]);
});

test("a host whose isolation time is unknown is never taken for cut off", t => {
    const verdict = judgeRollout({
        version: 7,
        members: [...members.slice(0, 4), { name: "e", incarnation: "unknown", isolationMilliseconds: Infinity }],
        majorityHosts: new Set(names),
        words: new Map(current("a", "b", "c", "d")),
        majoritySince: 0,
        now: Number.MAX_SAFE_INTEGER,
    });
    t.is(verdict.states.get("e"), "unreachable");
});
