import test from "ava";
import {
    acknowledgeRevision,
    answerOf,
    confirmByHost,
    confirmByPlatform,
    confirmByWitnesses,
    emptyRecord,
    mayRenew,
    remainingOf,
    type RevisionRecord,
} from "../../src/decisions/revisiontracker.ts";
import { formerWitnessesAfter, majoritySince, vouchesFor } from "../../src/decisions/witness.ts";

const startedAt = 1_000;
const read = confirmByPlatform(emptyRecord, 7, 2_000, 500);
const toldByHost = (revision: number, remainingMilliseconds: number, readAgeMilliseconds?: number): RevisionRecord =>
    confirmByHost(emptyRecord, { revision, remainingMilliseconds, readAgeMilliseconds }, 2_000, startedAt);
const vouchedBy = (vouchers: string[]): RevisionRecord =>
    confirmByWitnesses(emptyRecord, 7, vouchers, ["a", "b", "c"], 2_000, 500);

const records: Array<{ title: string; record: RevisionRecord; remaining: number; renews: boolean }> = [
    { title: "read from the platform", record: read, remaining: 400, renews: true },
    {
        title: "told by a host that read before this host's start",
        record: toldByHost(7, 150, 1_000),
        remaining: 50,
        renews: false,
    },
    {
        title: "told by a host that read after this host's start",
        record: toldByHost(7, 150, 999),
        remaining: 50,
        renews: true,
    },
    { title: "told by a host that never read", record: toldByHost(7, 150), remaining: 50, renews: false },
    { title: "told by a host that is not current", record: toldByHost(7, 0, 0), remaining: 0, renews: false },
    { title: "vouched for by a majority", record: vouchedBy(["a", "c"]), remaining: 400, renews: false },
    { title: "vouched for by too few", record: vouchedBy(["a"]), remaining: 0, renews: false },
    {
        title: "vouched for by hosts that are not witnesses",
        record: vouchedBy(["x", "y"]),
        remaining: 0,
        renews: false,
    },
    { title: "acknowledged a higher revision", record: acknowledgeRevision(read, 8), remaining: 0, renews: false },
    { title: "acknowledged a lower revision", record: acknowledgeRevision(read, 6), remaining: 400, renews: true },
    {
        title: "vouched for below the acknowledged revision",
        record: confirmByWitnesses(acknowledgeRevision(read, 8), 7, ["a", "b"], ["a", "b", "c"], 2_000, 500),
        remaining: 0,
        renews: false,
    },
];

for (const { title, record, remaining, renews } of records) {
    test(`a host that is ${title}`, t => {
        t.is(remainingOf(record, 7, 2_100), remaining);
        t.is(mayRenew(record, 7, 2_100), renews);
    });
}

test("an answer passes on only the time that is left", t => {
    t.deepEqual(answerOf(read, 2_100), { revision: 7, remainingMilliseconds: 400, readAgeMilliseconds: 100 });
    t.deepEqual(answerOf(read, 2_600), { revision: 7, remainingMilliseconds: 0, readAgeMilliseconds: 600 });
});

const vouching: Array<{ title: string; record: RevisionRecord; reachable: boolean; vouches: boolean }> = [
    { title: "that read the revision from the platform", record: read, reachable: false, vouches: true },
    { title: "that can reach the platform", record: read, reachable: true, vouches: false },
    {
        title: "that restarted and learned the revision from another host",
        record: toldByHost(7, 500),
        reachable: false,
        vouches: false,
    },
    {
        title: "that acknowledged a higher revision",
        record: acknowledgeRevision(read, 8),
        reachable: false,
        vouches: false,
    },
    {
        title: "that read a lower revision and acknowledged this one",
        record: acknowledgeRevision(confirmByPlatform(emptyRecord, 6, 2_000, 500), 7),
        reachable: false,
        vouches: true,
    },
];

for (const { title, record, reachable, vouches } of vouching) {
    test(`a witness ${title} ${vouches ? "vouches" : "does not vouch"}`, t => {
        t.is(vouchesFor(record, 7, reachable), vouches);
    });
}

const majorities: Array<{ hosts: string[]; times: Record<string, number>; since: number | undefined }> = [
    { hosts: [], times: {}, since: undefined },
    { hosts: ["a"], times: { a: 5 }, since: 5 },
    { hosts: ["a", "b"], times: { a: 5 }, since: undefined },
    { hosts: ["a", "b", "c"], times: { a: 9, b: 5 }, since: 9 },
    { hosts: ["a", "b", "c"], times: { a: 9, b: 5, c: 7 }, since: 7 },
    { hosts: ["a", "b", "c", "d"], times: { a: 1, b: 2, c: 3, d: 4 }, since: 3 },
];

for (const { hosts, times, since } of majorities) {
    test(`majority of ${hosts.length} at ${JSON.stringify(times)}`, t => {
        t.is(majoritySince(hosts, host => times[host]), since);
    });
}

test("former witnesses stay until a majority of them has acknowledged the change", t => {
    t.deepEqual(formerWitnessesAfter(["a", "b", "c"], host => host === "a"), ["a", "b", "c"]);
    t.is(formerWitnessesAfter(["a", "b", "c"], host => host !== "a"), undefined);
});
