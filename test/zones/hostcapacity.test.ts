/**
 * Ranking of hosts by capacity: a small host that comes first as often as a large one would be overloaded, and hosts that
 * disagree on the order of two hosts would count the same target twice.
 */
import test from "ava";
import { digestHash } from "../../src/zones/digesthash.ts";
import { rankedBeforeByCapacity } from "../../src/zones/gossippeers.ts";
import type { ReaderCandidate } from "../../src/zones/readers.ts";

const hosts: ReaderCandidate[] = Array.from({ length: 20 }, (...[, index]) => ({
    name: `h${index}`,
    zone: "z",
    address: `10.0.0.${index}:1`,
    processor: index % 2 === 0 ? 2 : 0.5,
    linkMegabits: index % 4 === 2 ? 5 : undefined,
}));
/** Two cores, less where the link of 5 Mbit/s counts as half a core. */
const weightOf = ({ processor, linkMegabits }: ReaderCandidate): number => linkMegabits === undefined ? processor : 0.5;
const tasks = Array.from({ length: 2_000 }, (...[, index]) => `limits/cold/p/z${index}`);

test("hosts come first in proportion to their capacity", t => {
    const total = hosts.reduce((sum, host) => sum + weightOf(host), 0);
    for (const host of hosts) {
        const first = tasks.filter(task => rankedBeforeByCapacity(digestHash, task, host, hosts).length === 0).length;
        const expected = tasks.length * weightOf(host) / total;
        t.true(Math.abs(first - expected) < 5 * Math.sqrt(expected), `${first} of ${expected}`);
    }
});

test("hosts that know different others agree on the order of those that both know", t => {
    for (const task of tasks.slice(0, 50)) {
        const orderOf = (self: ReaderCandidate, known: ReaderCandidate[]): string[] =>
            rankedBeforeByCapacity(digestHash, task, self, known).map(({ name }) => name);
        const all = orderOf(hosts[0], hosts);
        const some = hosts.filter((...[, index]) => index % 3 === 0);
        t.deepEqual(orderOf(hosts[0], some), all.filter(name => some.some(host => host.name === name)));
        const last = hosts.filter(({ name }) => !all.includes(name) && name !== "h0");
        t.true(last.every(host => orderOf(host, hosts).includes("h0")));
    }
});
