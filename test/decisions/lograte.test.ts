/**
 * Rate limit for log lines.
 */
import test from "ava";
import { createLogRateLimit } from "../../src/decisions/lograte.ts";

test("a burst is limited, tokens refill with time, and dropped lines are reported once", t => {
    const limit = createLogRateLimit(10);
    const written = [...new Array(30).keys()].filter(() => limit.take(0).write).length;
    t.is(written, 10);
    t.deepEqual(limit.take(500), { write: true, leftOut: 20 });
    t.deepEqual(limit.take(500), { write: true, leftOut: 0 });
    limit.recordDropped();
    t.deepEqual(limit.take(500), { write: true, leftOut: 1 });
});
