import test from "ava";
import type { KeeperGroup } from "../../src/contracts/assignment.ts";
import type { Candidate } from "../../src/decisions/hostselection.ts";
import { chooseKeepers, keeperGroupCount } from "../../src/decisions/keepers.ts";

const hostsOf = (count: number, zones = 3): Candidate[] =>
    [...Array(count).keys()].map(index => ({ name: `host-${index}`, zone: `zone-${index % zones}` }));

const zoneOf = (candidates: Candidate[], name: string): string | undefined =>
    candidates.find(candidate => candidate.name === name)?.zone;

const groupCounts = (groups: KeeperGroup[], candidates: Candidate[]): number[] =>
    candidates.map(({ name }) => groups.filter(group => group.hosts.includes(name)).length);

const fleets: Array<{ title: string; candidates: Candidate[]; zones: number }> = [
    { title: "one host", candidates: hostsOf(1), zones: 1 },
    { title: "two hosts of one zone", candidates: hostsOf(2, 1), zones: 1 },
    { title: "three hosts", candidates: hostsOf(3), zones: 2 },
    { title: "ten hosts of four zones", candidates: hostsOf(10, 4), zones: 2 },
];

for (const { title, candidates, zones } of fleets) {
    test(`${title}: each group has two keepers, in different zones where possible, spread evenly over the hosts`, t => {
        const groups = chooseKeepers([], candidates, 1);
        t.is(groups.length, keeperGroupCount);
        for (const group of groups) {
            t.is(new Set(group.hosts).size, Math.min(2, candidates.length));
            t.is(new Set(group.hosts.map(host => zoneOf(candidates, host))).size, zones);
        }
        const counts = groupCounts(groups, candidates);
        t.true(Math.max(...counts) - Math.min(...counts) <= 2);
    });
}

test("the groups stay the same while the hosts do", t => {
    const groups = chooseKeepers([], hostsOf(10), 1);
    t.deepEqual(chooseKeepers(groups, hostsOf(10), 2), groups);
});

test("a lost host is replaced in its groups only, and the live keeper stays", t => {
    const groups = chooseKeepers([], hostsOf(10), 1);
    const left = hostsOf(10).filter(candidate => candidate.name !== "host-3");
    const next = chooseKeepers(groups, left, 2);
    for (const [index, group] of next.entries()) {
        const before = groups[index];
        if (!before.hosts.includes("host-3")) {
            t.is(group, before);
            continue;
        }
        t.deepEqual(group.previous, before.hosts);
        t.is(group.previousSince, before.since);
        t.is(group.since, 2);
        const kept = before.hosts.filter(host => host !== "host-3");
        t.true(group.hosts.includes(kept[0]));
    }
});

test("new hosts take over few groups at a time, and one keeper per group", t => {
    let groups = chooseKeepers([], hostsOf(3), 1);
    const candidates = hostsOf(9);
    for (let revision = 2; revision < 40; revision += 1) {
        const next = chooseKeepers(groups, candidates, revision);
        const moved = next.filter((group, index) => group !== groups[index]);
        t.true(moved.length <= 4);
        for (const group of moved) {
            t.is(group.hosts.filter(host => group.previous.includes(host)).length, 1);
        }
        groups = next;
    }
    const counts = groupCounts(groups, candidates);
    t.true(Math.max(...counts) - Math.min(...counts) <= 5);
});

test("the groups stay the same when there is no host", t => {
    const groups = chooseKeepers([], hostsOf(3), 1);
    t.deepEqual(chooseKeepers(groups, [], 2), groups);
});
