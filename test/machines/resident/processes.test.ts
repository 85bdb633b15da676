/**
 * Each host counts the hosts by the processes that registered in the store.
 */
import test from "ava";
import { silentLog } from "../../../src/links/logs.ts";
import { registerProcess } from "../../../src/machines/resident/processes.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeStore } from "./fakestore.ts";

test("all hosts are counted soon after the start, new ones within seconds, and the count stays while the store is unreachable", async t => {
    const clock = createVirtualClock();
    const shared = createFakeStore(clock);
    const { signal } = new AbortController();
    const start = (self: string, processor = 1) => {
        const access = shared.access();
        return {
            access,
            processes: registerProcess({ store: access.store, self, processor, clock, log: silentLog, signal }),
        };
    };
    const first = start("h1/x");
    start("h2/x");
    t.is(first.processes.hostCount(), undefined);
    await clock.advance(4_000);
    t.is(first.processes.hostCount(), 2);
    t.is(first.processes.maxProcessor(), 1);
    start("h3/x", 2);
    await clock.advance(11_000);
    t.is(first.processes.hostCount(), 3);
    t.is(first.processes.maxProcessor(), 2);
    first.access.fault = "refusing";
    await clock.advance(11_000);
    t.is(first.processes.hostCount(), 3);
});
