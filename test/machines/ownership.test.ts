import test from "ava";
import { createFakeFleet, type FakeFleet, type FakeHost, poolName } from "./fakes/fleet.ts";
import type { FakeTarget } from "./fakes/target.ts";

type Scenario = {
    title: string;
    /** Causes the faults. All times are virtual milliseconds. */
    run: (fleet: FakeFleet) => Promise<void>;
    /** Time for which the fleet is observed after `run`. */
    watchMilliseconds: number;
    /** Maximum time for which a slot may be unserved, in virtual milliseconds. */
    unservedLimit: number;
};

const hostOtherThanCoordinator = (fleet: FakeFleet): FakeHost =>
    fleet.hosts.find(host => host !== fleet.coordinator()) ?? fleet.hosts[0];

const targetLossLimit = 1_000;
const moveLimit = 50;
/** A take-over takes a second, and a renewer that can not be asked delays a move by freshness and time to live. */
const doubleLossLimit = 4_000;

const scenarios: Scenario[] = [
    { title: "no fault", run: async () => undefined, watchMilliseconds: 2_000, unservedLimit: 0 },
    {
        title: "a target freezes",
        run: async fleet => fleet.busiestTarget().freeze(),
        watchMilliseconds: 3_000,
        unservedLimit: targetLossLimit,
    },
    ...[300, 500, 700, 2_000].map(thawMilliseconds => ({
        title: `a target freezes and thaws after ${thawMilliseconds} ms`,
        run: async (fleet: FakeFleet) => {
            const target = fleet.busiestTarget();
            target.freeze();
            fleet.clock.after(thawMilliseconds, target.thaw);
        },
        watchMilliseconds: 6_000,
        unservedLimit: targetLossLimit,
    })),
    ...[50, 500, 2_000].map(returnMilliseconds => ({
        title: `a target crashes and returns after ${returnMilliseconds} ms`,
        run: async (fleet: FakeFleet) => {
            const target = fleet.busiestTarget();
            target.crash();
            fleet.clock.after(returnMilliseconds, target.restart);
        },
        watchMilliseconds: 6_000,
        unservedLimit: targetLossLimit,
    })),
    {
        title: "a target freezes while every host is paused, and all are resumed",
        run: async fleet => {
            fleet.busiestTarget().freeze();
            fleet.hosts.forEach(host => host.clock.pause());
            fleet.clock.after(3_000, () => fleet.hosts.forEach(host => host.clock.resume()));
            fleet.clock.after(3_200, fleet.busiestTarget().thaw);
        },
        watchMilliseconds: 8_000,
        unservedLimit: 5_000,
    },
    {
        title: "a host is cut off from the others but not from the platform and the targets",
        run: async fleet => {
            const alone = hostOtherThanCoordinator(fleet);
            fleet.hosts.forEach(host => fleet.cut(alone.name, host.name, true));
        },
        watchMilliseconds: 12_000,
        unservedLimit: 100,
    },
    {
        title: "the platform is unreachable, and a host is replaced",
        run: async fleet => {
            fleet.platform.setUnreachable(true);
            await fleet.clock.advance(3_000);
            fleet.hosts[1].kill();
            await fleet.addHost(fleet.hosts[1].name, "zone-1");
        },
        watchMilliseconds: 10_000,
        unservedLimit: 0,
    },
    {
        title: "a target crashes",
        run: async fleet => fleet.busiestTarget().crash(),
        watchMilliseconds: 3_000,
        unservedLimit: targetLossLimit,
    },
    {
        title: "a host is lost",
        run: async fleet => hostOtherThanCoordinator(fleet).kill(),
        watchMilliseconds: 8_000,
        unservedLimit: 0,
    },
    {
        title: "the coordinator is lost",
        run: async fleet => fleet.coordinator().kill(),
        watchMilliseconds: 8_000,
        unservedLimit: 0,
    },
    {
        title: "the platform is unreachable",
        run: async fleet => fleet.platform.setUnreachable(true),
        watchMilliseconds: 20_000,
        unservedLimit: 0,
    },
    {
        title: "the platform is unreachable and a host is lost",
        run: async fleet => {
            fleet.platform.setUnreachable(true);
            await fleet.clock.advance(3_000);
            fleet.hosts[1].kill();
        },
        watchMilliseconds: 10_000,
        unservedLimit: 0,
    },
    {
        title: "a host is cut off from all targets",
        run: async fleet => fleet.targets.forEach(target => fleet.cut(fleet.hosts[0].name, target.target.name, true)),
        watchMilliseconds: 4_000,
        unservedLimit: 0,
    },
    {
        title: "a host is paused for 5 s",
        run: async fleet => {
            const host = hostOtherThanCoordinator(fleet);
            host.clock.pause();
            fleet.clock.after(5_000, host.clock.resume);
        },
        watchMilliseconds: 8_000,
        unservedLimit: 0,
    },
    {
        title: "the coordinator is paused for 5 s",
        run: async fleet => {
            const host = fleet.coordinator();
            host.clock.pause();
            fleet.clock.after(5_000, host.clock.resume);
        },
        watchMilliseconds: 8_000,
        unservedLimit: 0,
    },
    {
        title: "a target is slow",
        run: async fleet => fleet.busiestTarget().slow(60),
        watchMilliseconds: 4_000,
        unservedLimit: 0,
    },
    {
        title: "a target reports that it is draining",
        run: async fleet => fleet.busiestTarget().drain(),
        watchMilliseconds: 4_000,
        unservedLimit: moveLimit,
    },
    {
        title: "a target is marked as leaving",
        run: async fleet => {
            const leaving = fleet.busiestTarget();
            leaving.target.leaving = true;
            fleet.writePool(fleet.targets);
        },
        watchMilliseconds: 4_000,
        unservedLimit: moveLimit,
    },
    {
        title: "the coordinator is lost and then a target",
        run: async fleet => {
            fleet.coordinator().kill();
            await fleet.clock.advance(8_000);
            fleet.busiestTarget().freeze();
        },
        watchMilliseconds: 4_000,
        unservedLimit: targetLossLimit,
    },
    {
        title: "the coordinator and a target are lost at the same time",
        run: async fleet => {
            fleet.coordinator().kill();
            fleet.busiestTarget().freeze();
        },
        watchMilliseconds: 6_000,
        unservedLimit: doubleLossLimit,
    },
    {
        title: "the reply to the write of the assignment is lost",
        run: async fleet => {
            fleet.platform.loseReply("assignments");
            fleet.busiestTarget().crash();
        },
        watchMilliseconds: 4_000,
        unservedLimit: targetLossLimit + 500,
    },
];

test("a decision that can not be written is reported with its reason, and written when the platform is back", async t => {
    const fleet = await createFakeFleet(5, 4);
    fleet.platform.setUnreachable(true);
    await fleet.clock.advance(2_000);
    const lost = fleet.busiestTarget();
    lost.crash();
    await fleet.clock.advance(2_000);
    const report = fleet.coordinator().ownership.report().pools[poolName];
    t.deepEqual(report.assigner?.lost, [lost.target.name]);
    t.regex(report.waiting.join(" "), /^Revision \d+ can not be written: The platform did not answer\.$/);
    fleet.platform.setUnreachable(false);
    await fleet.clock.advance(3_000);
    t.deepEqual(fleet.coordinator().ownership.report().pools[poolName].waiting, []);
    t.false(fleet.assignment().owners.includes(fleet.assignment().targets.indexOf(lost.target.name)));
    fleet.hosts.forEach(host => host.kill());
});

const awayMilliseconds = 600;

const returningTargets: Array<
    { title: string; lose: (target: FakeTarget) => void; back: (target: FakeTarget) => void }
> = [
    { title: "freezes and thaws", lose: target => target.freeze(), back: target => target.thaw() },
    { title: "crashes and returns", lose: target => target.crash(), back: target => target.restart() },
];

for (const { title, lose, back } of returningTargets) {
    for (const outage of [false, true]) {
        const when = outage ? "since an outage of the platform" : "with the platform reachable";
        test(`slots are not left unserved for good: a target ${title} while one of five hosts is left, ${when}`, async t => {
            const fleet = await createFakeFleet(5, 2);
            const left = fleet.coordinator();
            fleet.platform.setUnreachable(outage);
            await fleet.clock.advance(3_000);
            fleet.hosts.filter(host => host !== left).forEach(host => host.kill());
            await fleet.clock.advance(2_000);
            fleet.platform.setUnreachable(false);
            await fleet.clock.advance(4_000);
            const target = fleet.busiestTarget();
            lose(target);
            fleet.clock.after(awayMilliseconds - 100, () => {
                const waiting = left.ownership.report().pools[poolName].waiting.join();
                t.regex(waiting, new RegExp(`^Slots can not move away from ${target.target.name}:`));
            });
            fleet.clock.after(awayMilliseconds, () => back(target));
            const { unservedMilliseconds, owners } = await fleet.observe(20_000);
            t.is(owners, 1);
            t.true(
                unservedMilliseconds <= awayMilliseconds + targetLossLimit,
                `unserved for ${unservedMilliseconds} virtual ms`,
            );
            t.deepEqual(left.ownership.report().pools[poolName].waiting, []);
            left.kill();
        });
    }
}

const movesCutShort: Array<{ title: string; begin: (fleet: FakeFleet, target: FakeTarget) => void }> = [
    {
        title: "that is silent for a while",
        begin: (fleet, target) => {
            target.freeze();
            fleet.clock.after(awayMilliseconds, target.thaw);
        },
    },
    {
        title: "that crashes and returns",
        begin: (fleet, target) => {
            target.crash();
            fleet.clock.after(awayMilliseconds, target.restart);
        },
    },
    {
        title: "that has too large a share",
        begin: (fleet, target) => {
            fleet.targets.filter(other => other !== target).forEach(other => {
                other.target.speed = 4;
            });
            fleet.writePool(fleet.targets);
        },
    },
];

/** Kills all hosts but the coordinator as soon as a move has been written, and returns the names of the killed ones. */
const cutMoveShort = async (fleet: FakeFleet, begin: (target: FakeTarget) => void): Promise<string[]> => {
    begin(fleet.busiestTarget());
    while (fleet.assignment().moves.length === 0) {
        await fleet.clock.advance(1);
    }
    const lost = fleet.hosts.filter(host => host !== fleet.coordinator());
    lost.forEach(host => host.kill());
    return lost.map(host => host.name);
};

for (const { title, begin } of movesCutShort) {
    // Nobody who is left knows whether the move was released, so that it is not taken back (KNOWN-RED.txt).
    test.failing(`slots are not left unserved for good: four of five hosts are lost as slots leave a target ${title}`, async t => {
        const fleet = await createFakeFleet(5, 2);
        await cutMoveShort(fleet, target => begin(fleet, target));
        const { unservedMilliseconds } = await fleet.observe(20_000);
        fleet.hosts.forEach(host => host.kill());
        t.true(unservedMilliseconds <= doubleLossLimit, `unserved for ${unservedMilliseconds} virtual ms`);
    });

    test(`slots that leave a target ${title} never have two owners, and are served when lost hosts return`, async t => {
        const fleet = await createFakeFleet(5, 2);
        const names = await cutMoveShort(fleet, target => begin(fleet, target));
        const alone = await fleet.observe(5_000);
        for (const [index, name] of names.entries()) {
            await fleet.addHost(name, `zone-${index % 3}`);
        }
        const returning = await fleet.observe(doubleLossLimit);
        const settled = await fleet.observe(1_000);
        fleet.hosts.forEach(host => host.kill());
        t.is(Math.max(alone.owners, returning.owners, settled.owners), 1);
        t.true(settled.unservedMilliseconds <= moveLimit, `unserved for ${settled.unservedMilliseconds} virtual ms`);
    });
}

// Nothing shows that the lost hosts renew no grants any more (KNOWN-RED.txt).
test.failing("slots are not left unserved for good: four of five hosts are replaced under other names, and then a target is lost", async t => {
    const fleet = await createFakeFleet(5, 2);
    const lost = fleet.hosts.filter(host => host !== fleet.coordinator());
    lost.forEach(host => host.kill());
    await fleet.clock.advance(5_000);
    for (const [index, { name }] of lost.entries()) {
        await fleet.addHost(`next-${name}`, `zone-${index % 3}`);
    }
    await fleet.clock.advance(10_000);
    fleet.busiestTarget().crash();
    const { unservedMilliseconds } = await fleet.observe(20_000);
    fleet.hosts.forEach(host => host.kill());
    t.true(unservedMilliseconds <= targetLossLimit, `unserved for ${unservedMilliseconds} virtual ms`);
});

const cutConnections = [
    { title: "from all targets", cutTargets: 4 },
    { title: "from one target", cutTargets: 1 },
];

for (const { title, cutTargets } of cutConnections) {
    test(`a host that is cut off ${title} moves no slot`, async t => {
        const fleet = await createFakeFleet(5, 4);
        const { owners } = fleet.assignment();
        for (const target of fleet.targets.slice(0, cutTargets)) {
            fleet.cut(fleet.assignment().renewers[target.target.name][0], target.target.name, true);
        }
        await fleet.clock.advance(5_000);
        t.deepEqual(fleet.assignment().owners, owners);
        fleet.hosts.forEach(host => host.kill());
    });
}

test("a flapping target is held down longer each time", async t => {
    const fleet = await createFakeFleet(3, 4);
    const target = fleet.busiestTarget();
    /** Crashes and restarts the target. Returns the time until it owns a slot again. */
    const heldDownMilliseconds = async (): Promise<number> => {
        target.crash();
        await fleet.clock.advance(1_000);
        target.restart();
        const restartedAt = fleet.clock.now();
        const owns = (): boolean => [...Array(64).keys()].some(target.owns);
        while (!owns() && fleet.clock.now() < restartedAt + 20_000) {
            await fleet.clock.advance(100);
        }
        return fleet.clock.now() - restartedAt;
    };
    const first = await heldDownMilliseconds();
    const second = await heldDownMilliseconds();
    const third = await heldDownMilliseconds();
    t.true(second > first, `${first} then ${second} virtual ms`);
    t.true(third > second, `${second} then ${third} virtual ms`);
    fleet.hosts.forEach(host => host.kill());
});

test("without changes no lease or assignment is written", async t => {
    const fleet = await createFakeFleet(5, 4);
    await fleet.clock.advance(10_000);
    const before = fleet.platform.writes("leases") + fleet.platform.writes("assignments");
    await fleet.clock.advance(30_000);
    t.is(fleet.platform.writes("leases") + fleet.platform.writes("assignments"), before);
    fleet.hosts.forEach(host => host.kill());
});

test("if targets do not check grants, a move waits until the requests of every router have ended", async t => {
    const fleet = await createFakeFleet(3, 4, false);
    const leaving = fleet.busiestTarget();
    const [host] = fleet.hosts;
    host.unfinished.count = 1;
    leaving.target.leaving = true;
    fleet.writePool(fleet.targets);
    await fleet.clock.advance(1_500);
    const waits = fleet.coordinator().ownership.report().pools[poolName].assigner?.unfinishedMoves ?? 0;
    t.true(waits > 0);
    host.unfinished.count = 0;
    await fleet.clock.advance(1_000);
    t.is(fleet.coordinator().ownership.report().pools[poolName].assigner?.unfinishedMoves, 0);
    fleet.hosts.forEach(other => other.kill());
});

for (const { title, run, watchMilliseconds, unservedLimit } of scenarios) {
    test(title, async t => {
        const fleet = await createFakeFleet(5, 4);
        await run(fleet);
        const { unservedMilliseconds, owners } = await fleet.observe(watchMilliseconds);
        t.is(owners, 1);
        t.true(unservedMilliseconds <= unservedLimit, `unserved for ${unservedMilliseconds} virtual ms`);
        fleet.hosts.forEach(host => host.kill());
    });
}
