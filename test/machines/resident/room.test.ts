/**
 * Plays hosts that share targets: what they serve of what all slots allow, and whether a target resets connections
 * beyond its limit.
 */
import test from "ava";
import { playRoom, type RoomPlay, utilization } from "./roomplay.ts";

const plays: Array<RoomPlay & { minServed: number }> = [
    { hosts: 1, targets: 1, slots: 50, accepted: 100, minServed: 0.98, seconds: 20 },
    { hosts: 1, targets: 3, slots: 50, accepted: 100, minServed: 0.98, seconds: 20 },
    { hosts: 3, targets: 3, slots: 50, accepted: 100, minServed: 0.98, seconds: 20 },
    { hosts: 10, targets: 1, slots: 50, accepted: 100, minServed: 0.98, seconds: 20 },
    { hosts: 10, targets: 10, slots: 50, accepted: 100, minServed: 0.98, seconds: 10 },
    { hosts: 10, joining: 7, targets: 10, slots: 10, accepted: 100, minServed: 0.98, seconds: 20 },
    { hosts: 93, targets: 40, slots: 10, accepted: 100, minServed: 0.98, seconds: 10 },
    { hosts: 93, targets: 40, slots: 10, accepted: 100, isSharded: true, minServed: 0.9, seconds: 10 },
    { hosts: 300, targets: 40, slots: 10, accepted: 100, minServed: 0.98, seconds: 10 },
    { hosts: 300, targets: 40, slots: 10, accepted: 100, isSharded: true, minServed: 0.9, seconds: 10 },
    { hosts: 93, targets: 1, slots: 50, accepted: 100, minServed: 0.98, seconds: 10 },
    { hosts: 300, targets: 1, slots: 50, accepted: 100, minServed: 0.98, seconds: 10 },
    { hosts: 300, targets: 1, slots: 50, accepted: 1_200, minServed: 0.98, seconds: 10 },
];

for (const options of plays) {
    const { hosts, joining = 0, targets, slots, accepted, isSharded = false, minServed } = options;
    const title = `${hosts} hosts${joining > 0 ? ` and ${joining} that join` : ""}, ${targets} targets `
        + `${isSharded ? "that own keys, " : ""}of ${slots} slots and ${accepted} connections`;
    test.serial(`${title}: served at ${utilization} of the capacity, and no connection beyond the limit`, async t => {
        const figures = await playRoom(options);
        t.log(JSON.stringify(figures));
        t.is(figures.resets, 0);
        t.true(figures.served >= minServed, `${figures.served}`);
    });
}
