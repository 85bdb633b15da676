/**
 * Hosts that have no part of a target. Guards against a request that waits in vain for a connection to an idle target.
 */
import test from "ava";
import { createVirtualClock } from "../fakes/clock.ts";
import { createVirtualHosts } from "./virtualhosts.ts";
const cases: Array<[accepted: number, isSettled: boolean]> = [
    [1, true],
    [2, true],
    [4, true],
    [8, true],
    [4, false],
    [8, false],
    [16, false],
    [100, true],
    [100, false],
];

for (const isSharded of [false, true]) {
    for (const [accepted, isSettled] of cases) {
        test(`one request of one of 300 hosts to an idle target of ${accepted} is answered at once, settled ${isSettled}, sharded ${isSharded}`, async t => {
            const clock = createVirtualClock();
            const hosts = createVirtualHosts({
                clock,
                targets: 1,
                slots: 2,
                queue: 4,
                accepted,
                workMilliseconds: () => 50,
                isSharded,
                objectiveMilliseconds: 500,
                timeoutMilliseconds: 2_000,
                random: () => 0.5,
            });
            const host = hosts.start({ count: 300, place: 0, isSettled });
            const startedAt = clock.now();
            const answered = host.serve(5).then(({ kind }) => ({ kind, milliseconds: clock.now() - startedAt }));
            await clock.advance(4_000);
            const { kind, milliseconds } = await answered;
            t.is(kind, "answer");
            t.true(milliseconds < 200, `${milliseconds} ms`);
        });
    }
}
