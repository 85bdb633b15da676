/**
 * Counts of descriptors, and the process's limit on them.
 */
import test from "ava";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createDescriptors, readOpenFilesLimit } from "../../src/links/descriptors.ts";
import { silentLog } from "../../src/links/logs.ts";
import { createMetrics } from "../../src/links/metrics.ts";
import { createVirtualClock } from "../machines/fakes/clock.ts";

const limitFiles: Array<[string, string, number | undefined]> = [
    [
        "a limit",
        "Limit  Soft Limit  Hard Limit  Units\nMax open files            3075                 4096    files\n",
        3_075,
    ],
    ["no limit", "Max open files            unlimited            unlimited            files\n", undefined],
    ["another text", "", undefined],
];

for (const [title, text, expected] of limitFiles) {
    test(`the process's limit is read from a file with ${title}`, t => {
        const file = join(mkdtempSync(join(tmpdir(), "carobpier-")), "limits");
        writeFileSync(file, text);
        t.is(readOpenFilesLimit(file), expected);
    });
}

test("a descriptor counts in its part until it is closed, once", t => {
    const metrics = createMetrics();
    const limits = { process: 100, stated: undefined, files: 20 };
    const descriptors = createDescriptors({ limits, clock: createVirtualClock(), log: silentLog, metrics });
    const close = descriptors.open("targets");
    descriptors.open("hosts");
    close();
    close();
    descriptors.report();
    const parts = ["callers", "health", "hosts", "metrics", "store", "targets"].map(part =>
        `descriptors{part=${part}}`
    );
    t.deepEqual(parts.map(name => metrics.snapshot()[name]), [0, 0, 1, 0, 0, 0]);
    t.is(metrics.snapshot()["descriptor-limit"], 100);
});
