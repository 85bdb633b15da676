import test from "ava";
import { type HostVersionReport, judgeRollout } from "../../src/decisions/rollout.ts";

const names = ["a", "b", "c", "d", "e"];
const members = names.map(name => ({ name, incarnation: `${name}-1`, isolationMilliseconds: 10_000 }));
const needed = 11_000;

const word = (name: string, inForce: number, changes: Partial<HostVersionReport> = {}): [string, HostVersionReport] => [
    name,
    { incarnation: `${name}-1`, admits: true, inForce, ...changes },
];

const current = (...hosts: string[]): Array<[string, HostVersionReport]> => hosts.map(name => word(name, 7));

type Case = {
    title: string;
    words: Array<[string, HostVersionReport]>;
    waited?: number;
    everywhere: boolean;
    majority: boolean;
    last: string;
};

const cases: Case[] = [
    { title: "all have it", words: current(...names), everywhere: true, majority: true, last: "in-force" },
    {
        title: "all have a later one",
        words: names.map(name => word(name, 9)),
        everywhere: true,
        majority: true,
        last: "in-force",
    },
    {
        title: "one is behind",
        words: [...current("a", "b", "c", "d"), word("e", 6)],
        waited: 60_000,
        everywhere: false,
        majority: true,
        last: "behind",
    },
    { title: "nobody answers", words: [], everywhere: false, majority: false, last: "unreachable" },
    {
        title: "one does not answer",
        words: current("a", "b", "c", "d"),
        waited: needed - 1,
        everywhere: false,
        majority: true,
        last: "unreachable",
    },
    {
        title: "it has certainly stopped",
        words: current("a", "b", "c", "d"),
        waited: needed,
        everywhere: true,
        majority: true,
        last: "cut-off",
    },
    {
        title: "two of five have it: nothing follows for the others, however long it takes",
        words: current("a", "b"),
        everywhere: false,
        majority: false,
        last: "unreachable",
    },
    {
        title: "one that does not admit may still return by the older one",
        words: [...current("a", "b", "c", "d"), word("e", 6, { admits: false })],
        waited: 0,
        everywhere: false,
        majority: true,
        last: "behind",
    },
    {
        title: "until its time is over",
        words: [...current("a", "b", "c", "d"), word("e", 6, { admits: false })],
        waited: needed,
        everywhere: true,
        majority: true,
        last: "cut-off",
    },
    {
        title: "another process under the name does not speak for it",
        words: [...current("a", "b", "c", "d"), word("e", 7, { incarnation: "e-2" })],
        waited: 0,
        everywhere: false,
        majority: true,
        last: "unreachable",
    },
];

for (const { title, words, waited, everywhere, majority, last } of cases) {
    test(title, t => {
        const verdict = judgeRollout({
            version: 7,
            members,
            majorityHosts: new Set(names),
            words: new Map(words),
            majoritySince: waited === undefined ? undefined : 1_000,
            now: 1_000 + (waited ?? 60_000),
        });
        t.is(verdict.everywhere, everywhere);
        t.is(verdict.majority, majority);
        t.is(verdict.states.get("e"), last as never);
    });
}

test("hosts beside the majority's do not make one, and must be settled all the same", t => {
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

test("a host whose isolation time is not known is never taken for cut off", t => {
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
