/**
 * Registrations of hosts that the store has lost, or brought back, in its return from an older copy.
 */
import test from "ava";
import type { StoreObject } from "../../../src/contracts/objectstore.ts";
import { eraOf, revisionOf } from "../../../src/contracts/storehistory.ts";
import { setUpStateHosts } from "./statehosts.ts";

const processOf = (record: StoreObject | undefined): unknown =>
    (record?.value as { process: string } | undefined)?.process;

/** Guards against hosts that write all at once when the store is back, and against a reader that each host takes itself for. */
test("60 hosts whose registrations are lost write them again one after the other, and know each other meanwhile", async t => {
    const setup = setUpStateHosts(60, 2);
    const { clock, shared, hosts } = setup;
    const copy = shared.copy();
    await clock.advance(4_000);
    t.true(hosts.every(({ processes }) => processes.isRegistered() && processes.hostCount() === 60));
    shared.returnFrom(copy);
    const written: number[] = [];
    for (let passed = 0; passed < 5_000; passed += 100) {
        await clock.advance(100);
        written.push(hosts.filter(({ host }) => shared.read("hosts", host.name) !== undefined).length);
        t.true(hosts.every(({ processes }) => processes.hostCount() === 60));
    }
    t.is(written.at(-1), 60);
    const most = Math.max(...written.map((count, index) => count - (written[index - 1] ?? 0)));
    t.true(most <= 15, `${most} in 100 ms`);
    t.true(hosts.every(({ processes }) => processes.isRegistered()));
    t.true(hosts.filter(({ source }) => source.name() === "store").length <= 4);
    const revisions = hosts.map(({ host }) => shared.read("hosts", host.name)!.revision);
    await clock.advance(10_000);
    t.deepEqual(hosts.map(({ host }) => shared.read("hosts", host.name)!.revision), revisions);
    t.true(hosts.every(({ processes }) => processes.hostCount() === 60));
});

test("a process is not registered in an era in which it has not read its record", async t => {
    const { clock, shared, hosts } = setUpStateHosts(3, 1);
    await clock.advance(4_000);
    const [host] = hosts;
    const copy = shared.copy();
    t.true(host.processes.isRegistered());
    hosts.forEach(({ access }) => Object.assign(access, { fault: "refusing" }));
    shared.returnFrom(copy);
    await clock.advance(1_000);
    t.is(host.access.store.era(), 1);
    t.false(host.processes.isRegistered());
    hosts.forEach(({ access }) => Object.assign(access, { fault: "none" }));
    const { revision } = shared.read("hosts", host.host.name)!;
    await clock.advance(3_000);
    t.true(host.processes.isRegistered());
    t.is(shared.read("hosts", host.host.name)!.revision, revision);
});

test("a process whose host's record names the process before again, after the return, writes its own", async t => {
    const { clock, shared, hosts, start } = setUpStateHosts(3, 1);
    await clock.advance(4_000);
    const copy = shared.copy();
    hosts[0].end();
    const restarted = start(hosts[0].host);
    await clock.advance(3_000);
    const current = processOf(shared.read("hosts", "h0"));
    t.true(restarted.processes.isRegistered());
    shared.returnFrom(copy);
    t.not(processOf(shared.read("hosts", "h0")), current);
    await clock.advance(3_000);
    t.is(processOf(shared.read("hosts", "h0")), current);
    t.true(restarted.processes.isRegistered());
});

/** Guards against a coordinator that is taken for ended since the copy names the process before it. */
test("a process has not ended because a copy names the one before, and has when a later one registers", async t => {
    const { clock, shared, hosts, start } = setUpStateHosts(3, 1);
    await clock.advance(4_000);
    const copy = shared.copy();
    hosts[0].end();
    const restarted = start(hosts[0].host);
    await clock.advance(3_000);
    const process = String(processOf(shared.read("hosts", "h0")));
    restarted.access.fault = "silent";
    shared.returnFrom(copy);
    await clock.advance(2_000);
    const { processes } = hosts[1];
    const hasEnded = async (): Promise<boolean> => {
        const ended = processes.hasEnded(process);
        await clock.advance(100);
        return ended;
    };
    t.false(await hasEnded());
    restarted.end();
    start(hosts[0].host);
    await clock.advance(3_000);
    t.true(await hasEnded());
});

test("a host that is gone, and whose registration is lost, is forgotten", async t => {
    const { clock, shared, hosts } = setUpStateHosts(4, 1);
    const copy = shared.copy();
    await clock.advance(4_000);
    hosts[3].end();
    shared.returnFrom(copy);
    await clock.advance(4_000);
    const rest = hosts.slice(0, 3);
    t.true(rest.every(({ processes }) => processes.hostCount() === 4));
    await clock.advance(4_000);
    t.true(rest.every(({ processes }) => processes.hostCount() === 3));
    t.true(rest.every(({ processes }) => processes.others().every(({ revision }) => eraOf(revision) === 1)));
});

test("registrations of an earlier era that arrive late are ignored", async t => {
    const { clock, shared, hosts: [host] } = setUpStateHosts(3, 1);
    await clock.advance(4_000);
    const copy = shared.copy();
    const late = shared.read("hosts", "h1")!;
    shared.returnFrom(copy);
    await clock.advance(3_000);
    const value = { ...late.value as object, address: "10.0.0.99:1" };
    host.processes.applyChanges([{ object: { ...late, value }, removed: false }], late.revision);
    host.processes.applyList([{ ...late, value }], late.revision + 1_000);
    const others = host.processes.others();
    t.deepEqual(others.map(({ name, address }) => [name, address]), [["h1", "10.0.0.1:1"], ["h2", "10.0.0.2:1"]]);
    t.true(others.every(({ revision }) => revisionOf(revision) > 0 && eraOf(revision) === 1));
});
