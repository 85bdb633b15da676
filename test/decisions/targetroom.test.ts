/**
 * Connections that hosts use at a target, summed over all hosts while each of them knows some of the others: beyond its
 * limit the target resets connections.
 */
import test from "ava";
import { connectionPart, type SharingHosts, sparseLimit } from "../../src/decisions/targetroom.ts";
import { orderHosts } from "../../src/machines/resident/sharinghosts.ts";

type State = { title: string; accepted: number; hosts: SharingHosts | undefined; connections: number };

const settled = (count: number, place = 0): SharingHosts => ({ count, place, isSettled: true });
const joining = (count: number, place = 0): SharingHosts => ({ count, place, isSettled: false });

const states: State[] = [
    { title: "no host is known, the store is away", accepted: 100, hosts: undefined, connections: 0 },
    { title: "one host", accepted: 100, hosts: settled(1), connections: 65 },
    { title: "one host that has just joined", accepted: 100, hosts: joining(1), connections: 7 },
    { title: "the first of three hosts", accepted: 100, hosts: settled(3), connections: 22 },
    { title: "the first of ten hosts", accepted: 100, hosts: settled(10), connections: 7 },
    { title: "the last of ten hosts", accepted: 100, hosts: settled(10, 9), connections: 6 },
    { title: "the first of ten hosts, which has just joined", accepted: 100, hosts: joining(10), connections: 4 },
    { title: "93 hosts, more than parts", accepted: 100, hosts: settled(93), connections: 0 },
    { title: "300 hosts at a large target", accepted: 1_200, hosts: settled(300, 299), connections: 2 },
    { title: "a table that has halved the limit", accepted: 50, hosts: settled(3), connections: 11 },
    { title: "a table that has lowered the limit to one", accepted: 1, hosts: settled(3), connections: 0 },
];

for (const { title, accepted, hosts, connections } of states) {
    test(`${title}: ${connections} of ${accepted} connections`, t => {
        t.is(connectionPart(accepted, 0, hosts), connections);
    });
}

const sparse = [
    { title: "93 hosts with few requests", accepted: 100, hosts: settled(93), requests: 79, limit: 2 },
    { title: "93 hosts with many requests", accepted: 100, hosts: settled(93), requests: 80, limit: 0 },
    { title: "a host that has just joined 93", accepted: 100, hosts: joining(93), requests: 19, limit: 1 },
    { title: "one that has just joined 93 busy ones", accepted: 100, hosts: joining(93), requests: 20, limit: 0 },
    { title: "one that knows no host", accepted: 100, hosts: undefined, requests: 79, limit: 1 },
    { title: "one that knows no host, at a busy target", accepted: 100, hosts: undefined, requests: 80, limit: 0 },
    { title: "a target that accepts one connection", accepted: 1, hosts: settled(3), requests: 0, limit: 1 },
    {
        title: "a target that accepts one connection, which is in use",
        accepted: 1,
        hosts: settled(3),
        requests: 1,
        limit: 0,
    },
];

for (const { title, accepted, hosts, requests, limit } of sparse) {
    test(`${title}: ${limit} connections for a host without a part`, t => {
        t.is(sparseLimit(accepted, hosts, requests), limit);
    });
}

const names = (from: number, to: number): string[] =>
    Array.from({ length: to - from }, (...[, index]) => `node-${from + index}`);

const known = (self: string, ordered: string[], isSettled: boolean): SharingHosts => ({
    count: ordered.length,
    place: ordered.indexOf(self),
    isSettled,
});

const fleets = [1, 3, 10, 93, 300];
const limits = [...Array.from({ length: 130 }, (...[, index]) => index + 1), 500, 1_200];
const offsets = Array.from({ length: 12 }, (...[, index]) => index * 977);

type Knowledge = {
    title: string;
    /** Whether hosts that were there before know those that join: none, all, or every second one. */
    before: "none" | "all" | "half";
    /** Whether those that join know only the ones before and themselves, all, or also count as settled. */
    joined: "themselves" | "all" | "settled";
};

const knowledge: Knowledge[] = [
    { title: "nobody knows another that joins", before: "none", joined: "themselves" },
    { title: "those that join know one another", before: "none", joined: "all" },
    { title: "half of the others know them", before: "half", joined: "all" },
    { title: "half of the others are cut off when they have settled", before: "half", joined: "settled" },
    { title: "all others are cut off when they have settled", before: "none", joined: "settled" },
    { title: "all know all", before: "all", joined: "settled" },
];

for (const { title, before, joined } of knowledge) {
    test(`three quarters as many hosts join and ${title}: never more connections than the target accepts`, t => {
        for (const count of fleets) {
            const old = orderHosts(names(0, count));
            const added = names(count, count + Math.max(1, Math.floor(count * 0.75)));
            const all = orderHosts([...old, ...added]);
            const views = [
                ...old.map((name, index) => {
                    const knowsAll = before === "all" || (before === "half" && index % 2 === 0);
                    return known(name, knowsAll ? all : old, true);
                }),
                ...added.map(name =>
                    known(name, joined === "themselves" ? orderHosts([...old, name]) : all, joined === "settled")
                ),
            ];
            for (const accepted of limits) {
                const sums = offsets.map(offset =>
                    views.reduce((sum, view) => sum + connectionPart(accepted, offset, view), 0)
                );
                const most = Math.max(...sums);
                t.true(most <= accepted, `${count} hosts, ${added.length} more: ${most} of ${accepted}`);
            }
        }
    });
}

test("hosts that start together before any knows another use no more than the target accepts, up to fourteen", t => {
    for (const accepted of limits) {
        const part = connectionPart(accepted, 0, joining(1));
        t.true(part * 14 <= accepted, `${part} of ${accepted}`);
    }
});
