/**
 * Results that are kept while the argument stays the same object. Guards against rankings of former hosts.
 */
import test from "ava";
import { keepLastResult } from "../../../src/machines/resident/lastresult.ts";

test("a result is kept for the same object only", t => {
    let calls = 0;
    const count = keepLastResult((list: readonly string[]) => {
        calls += 1;
        return list.length;
    });
    const first = ["a"];
    const second = ["a", "b"];
    t.deepEqual([count(first), count(first), count(second), count(first)], [1, 1, 2, 1]);
    t.is(calls, 3);
});
