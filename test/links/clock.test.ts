/**
 * Timers of the running process that end with a signal. Guards against timers that outlast it, and against a listener on the
 * signal for each of them.
 */
import test from "ava";
import { getEventListeners } from "node:events";
import { setTimeout as wait } from "node:timers/promises";
import { systemClock } from "../../src/links/clock.ts";

test("an abort ends all sleeps and timers of its signal and of no other, with one listener", async t => {
    const [ending, lasting] = [new AbortController(), new AbortController()];
    const fired: string[] = [];
    const sleeps = [1, 2, 3].map(() => systemClock.sleep(60_000, ending.signal));
    const other = systemClock.sleep(60_000, lasting.signal).then(() => fired.push("other"));
    systemClock.after(30, () => fired.push("aborted"), ending.signal);
    const cancel = systemClock.after(30, () => fired.push("cancelled"), lasting.signal);
    systemClock.after(30, () => fired.push("due"), lasting.signal);
    cancel();
    t.is(getEventListeners(ending.signal, "abort").length, 1);
    ending.abort();
    await Promise.all(sleeps);
    await systemClock.sleep(60_000, ending.signal);
    systemClock.after(1, () => fired.push("too late"), ending.signal);
    await wait(100);
    t.deepEqual(fired, ["due"]);
    lasting.abort();
    await other;
    t.deepEqual(fired, ["due", "other"]);
});
