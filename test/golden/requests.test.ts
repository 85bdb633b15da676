import test from "ava";
import { runOutcomes } from "../../stand-ins/work.ts";
import { type CallOptions, type CallResult, startSystem, type System, testPool, until } from "../system.ts";
import { createTranscript } from "./transcript.ts";

const describe = (result: CallResult): string =>
    `${result.statusCode} outcome=${result.outcome} reason=${result.reason}`;

const orderCall = (key: string, id: string, attempt: number): CallOptions => ({
    method: "POST",
    key,
    headers: { "idempotency-key": id, "carobpier-attempt": String(attempt) },
});

const countRuns = (system: System, id: string): number =>
    system.targets.flatMap(target => target.executions)
        .filter(run => run.idempotencyKey === id && run.outcome !== runOutcomes.rolledBack).length;

const countStarts = (system: System): number =>
    system.targets.reduce((sum, target) => sum + target.executions.length, 0);

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

const startServing = async (options: Parameters<typeof startSystem>[0]): Promise<System> => {
    const system = await startSystem(options);
    for (const host of system.hosts) {
        await system.untilAnswered(host, { key: "warm-up" });
    }
    return system;
};

test("the owner is lost while a request that may run once is in flight", async t => {
    const transcript = createTranscript();
    const system = await startServing({ targetCount: 3, target: { serviceMilliseconds: 200 } });
    t.teardown(system.close);
    const [host] = system.hosts;
    const before = countStarts(system);
    const inFlight = system.call(host, orderCall("tray-7", "order-1", 1));
    await until(() => countStarts(system) > before);
    const owner = system.targets.find(target => target.executions.some(run => run.idempotencyKey === "order-1"));
    await owner?.changeFaults({ crashed: true });
    transcript.note(`order-1 attempt 1 -> ${describe(await inFlight)}`);
    transcript.note(`order-1 attempt 2 -> ${describe(await system.call(host, orderCall("tray-7", "order-1", 2)))}`);
    transcript.note(`order-2 attempt 1 -> ${describe(await system.call(host, orderCall("tray-7", "order-2", 1)))}`);
    transcript.note(`runs: order-1 ${countRuns(system, "order-1")}, order-2 ${countRuns(system, "order-2")}`);
    await transcript.compare(t, "owner-lost-once");
});

test("an id is sent again through another host", async t => {
    const transcript = createTranscript();
    const system = await startServing({ hostNames: ["host-a", "host-b", "host-c"] });
    t.teardown(system.close);
    const [firstHost, secondHost, thirdHost] = system.hosts;
    await until(() => system.hosts.every(host => host.report().peers.length === 2));
    const answered = await system.call(firstHost, orderCall("tray-7", "order-1", 1));
    transcript.note(`order-1 attempt 1, host-a -> ${describe(answered)}`);
    for (const [name, host] of [["host-b", secondHost], ["host-c", thirdHost]] as const) {
        const result = await system.call(host, orderCall("tray-7", "order-1", 2));
        transcript.note(`order-1 attempt 2, ${name} -> ${describe(result)}`);
    }
    const otherKey = await system.call(secondHost, orderCall("tray-8", "order-1", 2));
    transcript.note(`order-1 with another key, host-b -> ${describe(otherKey)}`);
    const together = await Promise.all(system.hosts.map(host => system.call(host, orderCall("tray-7", "order-2", 1))));
    const outcomes = together.map(result => result.outcome).filter(outcome => outcome === "answered");
    transcript.note(
        `order-2 through three hosts together: ${outcomes.length <= 1 ? "at most one" : "several"} answered`,
    );
    transcript.note(
        `runs: order-1 ${countRuns(system, "order-1")}, order-2 at most 1: ${countRuns(system, "order-2") <= 1}`,
    );
    await transcript.compare(t, "resend-other-host");
});

test("a target sheds, requests are retried, the budget is spent", async t => {
    const transcript = createTranscript();
    const system = await startServing({ targetCount: 1, settings: { requests: { retryBudgetRatio: 0 } } });
    t.teardown(system.close);
    const [host] = system.hosts;
    await system.targets[0].changeFaults({ shedding: true });
    for (let number = 1; number <= 4; number += 1) {
        transcript.note(`check ${number} -> ${describe(await system.call(host, { key: "tray-7" }))}`);
    }
    const { counters } = host.report();
    transcript.note(`retries: ${counters["retries{reason=target-shed}"]}`);
    transcript.note(`retries refused: ${counters["retries-refused{reason=budget-spent}"]}`);
    await system.targets[0].changeFaults({ shedding: false });
    transcript.note(`afterwards -> ${describe(await system.call(host, { key: "tray-7" }))}`);
    await transcript.compare(t, "shed-retry-budget");
});

test("a request that crashes its targets", async t => {
    const transcript = createTranscript();
    const system = await startServing({ hostNames: ["host-a", "host-b"], targetCount: 4 });
    t.teardown(system.close);
    const [firstHost, secondHost] = system.hosts;
    await until(() => system.hosts.every(host => host.report().peers.length === 1));
    for (const target of system.targets) {
        await target.changeFaults({ poisonKey: "poison" });
    }
    const crashed = (): number => system.targets.filter(target => target.faults().crashed).length;
    transcript.note(`first send, host-a -> ${describe(await system.call(firstHost, { key: "poison" }))}`);
    transcript.note(`crashed targets: ${crashed()}`);
    await until(() => secondHost.report().quarantine.some(entry => entry.quarantined));
    transcript.note(`second send, host-b -> ${describe(await system.call(secondHost, { key: "poison" }))}`);
    transcript.note(`another key, host-b -> ${describe(await system.untilAnswered(secondHost, { key: "tray-7" }))}`);
    transcript.note(`crashed targets: ${crashed()}`);
    const [entry] = firstHost.report().quarantine.filter(suspect => suspect.quarantined);
    transcript.note(`quarantined: pool=${entry.pool} crashes=${entry.crashes.length}`);
    await transcript.compare(t, "poison");
});

test("overload with three priorities", async t => {
    const transcript = createTranscript();
    const routes = [
        { name: "archive", method: "GET", path: "/archive", kind: "idempotent", deferrable: true },
        { name: "place", method: "POST", path: "/", kind: "once", deferrable: false },
        { name: "check", method: "GET", path: "/", kind: "idempotent", deferrable: false },
    ] as const;
    const settings = { requests: { queueLength: 4 } };
    const target = { serviceMilliseconds: 1_000 };
    const system = await startServing({ targetCount: 1, target, pool: { routes: [...routes] }, settings });
    t.teardown(system.close);
    const [host] = system.hosts;
    const arrivals: Array<{ name: string; options: CallOptions }> = [
        ...["running-1", "running-2", "running-3"].map(name => ({ name, options: { key: name } })),
        ...["archive-1", "archive-2"].map(name => ({
            name,
            options: { key: name, path: `/${testPool}/archive` },
        })),
        ...["check-1", "check-2"].map(name => ({ name, options: { key: name } })),
        { name: "order-1", options: orderCall("order-1", "order-1", 1) },
    ];
    const calls: Array<Promise<string>> = [];
    for (const { name, options } of arrivals) {
        calls.push(system.call(host, options).then(result => `${name} -> ${describe(result)}`));
        await pause(30);
    }
    (await Promise.all(calls)).forEach(transcript.note);
    // A run that loses its grant is rolled back and started again, so that only the first start shows the order.
    const starts = system.targets[0].executions.map(run => run.key).filter(key => key !== "warm-up");
    const order = [...new Set(starts)];
    transcript.note(`runs at once: ${order.slice(0, 3).sort().join(" ")}`);
    transcript.note(`runs next: ${order.slice(3, 6).sort().join(" ")}`);
    transcript.note(`runs last: ${order.slice(6).join(" ")}`);
    transcript.note(`runs of order-1: ${countRuns(system, "order-1")}`);
    await transcript.compare(t, "overload-priorities");
});
