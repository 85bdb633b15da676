/**
 * Hosts that use all that they may of a target while the store is away or while they are cut off from each other: beyond
 * its limit the target resets connections.
 */
import test from "ava";
import { type Disturbance, playRoom, type RoomPlay, settled } from "./roomplay.ts";

type Case = RoomPlay & { title: string; fails?: boolean };

/** More than the targets can serve, so that hosts use all their connections. */
const pressing = { targets: 1, slots: 100, accepted: 100, load: 1.5, seconds: 18 };
const awayMilliseconds = 10_000;
const knownMilliseconds = 1_000;
const settledMilliseconds = 4_000;

/** Hosts start while the store is away, and register when it is back; the others keep what they knew. */
const startWhileAway = (started: number) => ({ clock, running, start }: Disturbance): void => {
    const before = [...running];
    const all = before.length + started;
    const hosts = Array.from({ length: started }, () => start(undefined));
    const know = (isSettled: boolean): void =>
        hosts.forEach((host, index) => host.know({ count: all, place: before.length + index, isSettled }));
    clock.after(awayMilliseconds, () => know(false));
    clock.after(
        awayMilliseconds + knownMilliseconds,
        () => before.forEach((host, place) => host.know(settled(all, place))),
    );
    clock.after(awayMilliseconds + settledMilliseconds, () => know(true));
};

/** From now on hosts learn only of the requests of their group. */
const cutOff = (groups: number) => ({ running }: Disturbance): void =>
    running.forEach((host, index) => host.moveTo(index % groups));

/** Hosts join that every second one of the others never learns of, and settle. */
const joinWhileCutOff = (joining: number) => (play: Disturbance): void => {
    const before = [...play.running];
    const all = before.length + joining;
    const joined = Array.from(
        { length: joining },
        (...[, index]) => play.start({ count: all, place: before.length + index, isSettled: false }),
    );
    cutOff(2)(play);
    before.filter((...[, index]) => index % 2 === 0)
        .forEach((host, index) => host.know(settled(all, 2 * index)));
    play.clock.after(
        settledMilliseconds,
        () => joined.forEach((host, index) => host.know(settled(all, before.length + index))),
    );
};

const cases: Case[] = [
    { title: "3 hosts, and 2 that start while the store is away", hosts: 3, disturb: startWhileAway(2), ...pressing },
    { title: "10 hosts, and 7 that start while the store is away", hosts: 10, disturb: startWhileAway(7), ...pressing },
    { title: "10 hosts, cut off in two groups", hosts: 10, disturb: cutOff(2), ...pressing },
    { title: "10 hosts, and 7 that join half of them", hosts: 10, disturb: joinWhileCutOff(7), ...pressing },
    { title: "30 hosts, and 22 that join half of them", hosts: 30, disturb: joinWhileCutOff(22), ...pressing },
    {
        title: "93 hosts without parts, cut off in four groups",
        hosts: 93,
        disturb: cutOff(4),
        ...pressing,
        slots: 50,
    },
    {
        title: "93 hosts without parts, and 69 that start while the store is away",
        hosts: 93,
        disturb: startWhileAway(69),
        ...pressing,
        slots: 50,
    },
    {
        title: "93 hosts without parts at a target with a slot for each connection",
        hosts: 93,
        ...pressing,
    },
    {
        title: "300 hosts without parts at a target with a slot for each connection",
        hosts: 300,
        ...pressing,
        fails: true,
    },
    {
        title: "93 hosts without parts, cut off in two groups, at a target with a slot for each connection",
        hosts: 93,
        disturb: cutOff(2),
        ...pressing,
        fails: true,
    },
];

for (const { title, fails = false, ...play } of cases) {
    (fails ? test.serial.failing : test.serial)(`${title}: no connection beyond the limit`, async t => {
        const { served, ended, mostOpen, resets } = await playRoom(play);
        t.log(JSON.stringify({ served, ended, mostOpen, resets }));
        t.is(resets, 0);
    });
}
