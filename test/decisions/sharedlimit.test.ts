/**
 * The count of requests under a target's limit: never more than the limit and its burst, no less than the limit where
 * enough is asked for, and times to come back at which there is room.
 */
import test from "ava";
import { createSharedLimit } from "../../src/decisions/sharedlimit.ts";

const cases = [0.5, 1.9, 8.8, 50].flatMap(limit => [1, 5, 50].map(factor => ({ limit, factor })));

for (const { limit, factor } of cases) {
    test(`a limit of ${limit} a second, asked for ${factor} times`, t => {
        const shared = createSharedLimit(0);
        const allowed: number[] = [];
        const step = 1_000 / (limit * factor);
        for (let now = 0; now < 60_000; now += step) {
            if (shared.take(limit, 1, now).allowed) {
                allowed.push(now);
            }
        }
        const most = Math.max(
            ...allowed.map(from => allowed.filter(at => at >= from && at < from + 4_000).length),
        );
        t.true(most <= 4.5 * limit + 2, `${most} in 4 s`);
        t.true(allowed.length >= 60 * limit * 0.9, `${allowed.length} in a minute`);
    });
}

test("requests that come back when they were told to find room", t => {
    const limit = 4;
    const shared = createSharedLimit(0);
    const due: number[] = [];
    for (let request = 0; request < 12; request += 1) {
        const verdict = shared.take(limit, 1, 0);
        due.push(verdict.allowed ? 0 : verdict.retryAfterMilliseconds);
    }
    const found = due.filter(at => shared.take(limit, 1, at + 1).allowed).length;
    t.is(found, due.length);
    t.true(Math.max(...due) <= 12 * 1_000 / limit + 1);
});
