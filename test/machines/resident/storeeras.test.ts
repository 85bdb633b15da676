/**
 * The store comes back from an older copy: it has forgotten its last changes and gives their revisions out again. Every
 * host must learn of what comes after, whether revisions have passed those that it knew or not, and must go back to no
 * older table.
 */
import test from "ava";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import { setUpStateHosts, type StateHost, tableKind, targetKind } from "./statehosts.ts";

type Setup = ReturnType<typeof setUpStateHosts>;
const entry = (fields: Partial<RegisteredTarget> = {}): Partial<RegisteredTarget> => fields;
const targets = ["i-1", "i-2", "i-3"];

const versionOf = ({ versions }: StateHost): number | undefined => versions.at(-1);
const hasRegressed = ({ versions }: StateHost): boolean =>
    versions.some((version, index) => version < (versions[index - 1] ?? 0));

/** What happens beside the return, in which two targets register and table 5 becomes 9 after the copy. */
type Case = {
    title: string;
    /** Changes of the next era before any host reads it. */
    overtakes?: boolean;
    start?: (setup: Setup, reader: StateHost) => void;
    /** Ends what `start` began. */
    end?: (setup: Setup, reader: StateHost) => void;
    boundMilliseconds: number;
};

/** Writes objects that no host reads, each with a revision. */
const putOthers = ({ shared }: Setup, count: number): void =>
    Array.from({ length: count }).forEach((...[, index]) => shared.put("other", `o${index}`, index));

const fail = ({ access }: StateHost, fault: "none" | "refusing" | "silent"): void => {
    access.fault = fault;
};

const cases: Case[] = [
    { title: "it comes back", boundMilliseconds: 1_000 },
    { title: "it comes back, and revisions have passed the known ones", overtakes: true, boundMilliseconds: 1_000 },
    {
        title: "it comes back while it is silent for one reader",
        start: (...[, reader]) => fail(reader, "silent"),
        end: (...[, reader]) => fail(reader, "none"),
        boundMilliseconds: 2_000,
    },
    {
        title: "it comes back while it refuses one reader, and revisions have passed the known ones",
        overtakes: true,
        start: (...[, reader]) => fail(reader, "refusing"),
        end: (...[, reader]) => fail(reader, "none"),
        boundMilliseconds: 2_000,
    },
    {
        title: "it comes back while one reader is cut off from all",
        overtakes: true,
        start: ({ network }, reader) => {
            network.silence(reader.host.address);
            fail(reader, "silent");
        },
        end: ({ network }, reader) => {
            network.heal(reader.host.address);
            fail(reader, "none");
        },
        boundMilliseconds: 2_000,
    },
    {
        title: "it comes back while what one reader sends arrives ever later",
        overtakes: true,
        start: ({ network }, reader) => network.slow(reader.host.address, 2_500),
        boundMilliseconds: 2_000,
    },
];

for (const { title, overtakes, start, end, boundMilliseconds } of cases) {
    test(`${title}: hosts of two zones learn of later changes within ${boundMilliseconds} ms, and none goes back`, async t => {
        const setup = setUpStateHosts(12, 2);
        const { clock, shared, hosts } = setup;
        const name = targets[0];
        shared.put(tableKind, "main", 5);
        shared.put(targetKind, name, entry());
        await clock.advance(5_000);
        const readers = hosts.filter(({ source }) => source.name() === "store");
        t.is(readers.length, 2);
        const [reader] = readers;
        const copy = shared.copy();
        shared.put(tableKind, "main", 9);
        shared.put(targetKind, targets[1], entry());
        putOthers(setup, 30);
        await clock.advance(500);
        t.true(hosts.every(host => versionOf(host) === 9));
        start?.(setup, reader);
        const sound = hosts.filter(({ access }) => access.fault === "none");
        sound.forEach(host => fail(host, "refusing"));
        await clock.advance(1_000);
        shared.returnFrom(copy);
        shared.put(targetKind, targets[2], entry());
        if (overtakes === true) {
            putOthers(setup, 60);
        }
        sound.forEach(host => fail(host, "none"));
        await clock.advance(300);
        t.true(hosts.every(host => versionOf(host) === 9));
        shared.put(tableKind, "main", 10);
        shared.put(targetKind, targets[1], entry());
        await clock.advance(boundMilliseconds);
        const knows = (host: StateHost): boolean =>
            versionOf(host) === 10 && targets.every(target => host.registry.get(target) !== undefined);
        const isCutOff = (host: StateHost): boolean => host === reader && end !== undefined;
        t.deepEqual(hosts.filter(host => !knows(host) && !isCutOff(host)).map(({ host }) => host.name), []);
        end?.(setup, reader);
        await clock.advance(4_000);
        t.true(hosts.every(knows));
        t.false(hosts.some(hasRegressed));
        shared.put(tableKind, "main", 11);
        await clock.advance(500);
        t.true(hosts.every(host => versionOf(host) === 11));
    });
}

test("two returns in a row, the second before all hosts know of the first: hosts learn of later changes", async t => {
    const setup = setUpStateHosts(12, 2);
    const { clock, shared, hosts } = setup;
    shared.put(tableKind, "main", 5);
    await clock.advance(5_000);
    const copy = shared.copy();
    shared.put(tableKind, "main", 9);
    putOthers(setup, 30);
    await clock.advance(500);
    const [late] = hosts;
    fail(late, "silent");
    shared.returnFrom(copy);
    await clock.advance(700);
    shared.returnFrom(copy);
    fail(late, "none");
    shared.put(tableKind, "main", 10);
    await clock.advance(2_000);
    t.true(hosts.every(host => versionOf(host) === 10));
    t.true(hosts.every(({ access }) => access.store.era() === 2));
    t.false(hosts.some(hasRegressed));
});

test("a host that starts after the return takes what the store has, and later changes", async t => {
    const { clock, shared, hosts, start } = setUpStateHosts(6, 2);
    shared.put(tableKind, "main", 5);
    await clock.advance(5_000);
    const copy = shared.copy();
    shared.put(tableKind, "main", 9);
    await clock.advance(500);
    shared.returnFrom(copy);
    hosts[3].end();
    const started = start(hosts[3].host);
    await clock.advance(2_000);
    t.is(versionOf(started), 5);
    shared.put(tableKind, "main", 10);
    await clock.advance(1_000);
    t.is(versionOf(started), 10);
    t.true(hosts.filter(host => host !== hosts[3]).every(host => versionOf(host) === 10));
});

for (const what of ["holds an older table", "holds no table"]) {
    test(`the table in force stays until a later one is there when the copy ${what}`, async t => {
        const { clock, shared, hosts } = setUpStateHosts(6, 2);
        if (what === "holds an older table") {
            shared.put(tableKind, "main", 5);
        }
        await clock.advance(3_000);
        const copy = shared.copy();
        shared.put(tableKind, "main", 9);
        await clock.advance(2_000);
        shared.returnFrom(copy);
        await clock.advance(10_000);
        t.true(hosts.every(host => versionOf(host) === 9));
        shared.put(tableKind, "main", 9);
        shared.put(tableKind, "main", 12);
        await clock.advance(1_000);
        t.true(hosts.every(host => versionOf(host) === 12));
        t.false(hosts.some(hasRegressed));
    });
}
