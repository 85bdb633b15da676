/**
 * One host gets most of the requests while the others leave their parts of the targets unused. Guards against requests
 * that are refused or late for want of a connection while targets have free slots.
 */
import test from "ava";
import { type Disturbance, playRoom, type RoomPlay } from "./roomplay.ts";

const plays: Array<RoomPlay & { minServed: number }> = [
    { hosts: 3, targets: 3, slots: 50, accepted: 100, seconds: 20, hotShare: 0.5, minServed: 0.9 },
    { hosts: 10, targets: 10, slots: 10, accepted: 100, seconds: 20, hotShare: 0.5, minServed: 0.9 },
    { hosts: 10, targets: 10, slots: 50, accepted: 100, seconds: 6, hotShare: 0.5, minServed: 0.8 },
    { hosts: 3, targets: 3, slots: 50, accepted: 100, seconds: 20, hotShare: 0.8, minServed: 0.85 },
    { hosts: 10, targets: 10, slots: 10, accepted: 100, seconds: 20, hotShare: 0.8, minServed: 0.9 },
    { hosts: 10, targets: 10, slots: 10, accepted: 100, seconds: 20, hotShare: 0.8, isSharded: true, minServed: 0.9 },
    { hosts: 10, targets: 10, slots: 10, accepted: 100, seconds: 20, hotShare: 1, minServed: 0.9 },
    { hosts: 10, targets: 10, slots: 10, accepted: 100, seconds: 20, hotShare: 1, isSharded: true, minServed: 0.9 },
    { hosts: 10, targets: 10, slots: 50, accepted: 100, seconds: 6, hotShare: 0.8, minServed: 0.5 },
];

for (const { minServed, ...play } of plays) {
    const { hosts, targets, slots, isSharded = false, hotShare } = play;
    const title = `${hosts} hosts, ${targets} targets ${isSharded ? "that own keys, " : ""}of ${slots} slots, `
        + `${hotShare} of the requests at one host`;
    test.serial(`${title}: served, and no connection beyond the limit`, async t => {
        const { served, ended, mostOpen, resets } = await playRoom(play);
        t.log(JSON.stringify({ served, ended, mostOpen, resets }));
        t.is(resets, 0);
        t.true(served >= minServed, `${served}`);
    });
}

/** Pressed so that all hosts use all that they may, before and after the requests leave the host that has borrowed. */
const pressed = { hosts: 10, targets: 1, slots: 100, accepted: 100, load: 1.5, hotShare: 0.95, seconds: 18 };
const cutOffBorrower = ({ running }: Disturbance): void => running[0].moveTo(1);
const lentWhile: Array<{ title: string; disturb: (play: Disturbance) => void }> = [
    { title: "the requests turn to the lenders", disturb: ({ turnAway }) => turnAway() },
    {
        title: "the requests turn to the lenders, which are cut off from the borrower",
        disturb: play => {
            cutOffBorrower(play);
            play.turnAway();
        },
    },
    { title: "the borrower is cut off and stays busy", disturb: cutOffBorrower },
    {
        title: "the borrower is cut off for two seconds",
        disturb: play => {
            cutOffBorrower(play);
            play.clock.after(2_000, () => play.running[0].moveTo(0));
        },
    },
    {
        title: "hosts are cut off in two groups",
        disturb: ({ running }) => running.forEach((host, index) => host.moveTo(index % 2)),
    },
];

for (const { title, disturb } of lentWhile) {
    for (const seed of [1, 2, 3]) {
        test.serial(`parts are lent while ${title}, seed ${seed}: no connection beyond the parts`, async t => {
            const { served, ended, mostOpen } = await playRoom({ ...pressed, seed, disturb });
            t.log(JSON.stringify({ served, ended, mostOpen }));
            t.true(mostOpen <= 65, `${mostOpen}`);
        });
    }
}
