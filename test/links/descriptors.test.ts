/**
 * Counts of descriptors, and the process's limit on them.
 */
import test from "ava";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { buildConnector } from "undici";
import { countConnections, createDescriptors, readOpenFilesLimit } from "../../src/links/descriptors.ts";
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

const shortLimits = { process: 1_024, stated: 4_100, files: 48 };

for (const code of ["EMFILE", "ENFILE", "ECONNREFUSED"]) {
    test(`the parts shrink with an error ${code} only if it tells of descriptors, and are kept until they fit`, async t => {
        const [metrics, clock] = [createMetrics(), createVirtualClock()];
        const descriptors = createDescriptors({ limits: shortLimits, clock, log: silentLog, metrics });
        const open = Array.from({ length: 500 }, () => descriptors.open("callers"));
        descriptors.onExcess("callers", () => open.splice(-100).forEach(release => release()));
        descriptors.recordError(Object.assign(new Error("failed"), { code }));
        descriptors.report();
        const isShort = code !== "ECONNREFUSED";
        t.is(metrics.snapshot()["descriptor-limit"], isShort ? 500 : 4_100);
        t.is(metrics.snapshot()["descriptor-shortages{by=error}"] ?? 0, Number(isShort));
        t.is(descriptors.inUse("callers"), isShort ? 400 : 500);
        await clock.advance(1_000);
        t.is(descriptors.inUse("callers"), isShort ? 100 : 500);
        t.is(descriptors.isFull("callers"), false);
        await clock.advance(3_600_000);
        descriptors.report();
        t.is(metrics.snapshot()["descriptor-limit"], 4_100);
    });
}

const rises: Array<[title: string, free: number, limit: number]> = [
    ["by ever larger steps while files can be opened", 5_000, 4_100],
    ["by small steps once they can not", 1_000, 1_657],
];

for (const [title, free, expected] of rises) {
    test(`after a shortage the limit rises ${title}`, async t => {
        const [metrics, clock] = [createMetrics(), createVirtualClock()];
        const canOpen = (files: number): boolean => files <= free;
        const descriptors = createDescriptors({ limits: shortLimits, clock, log: silentLog, metrics, canOpen });
        Array.from({ length: 500 }, () => descriptors.open("callers"));
        descriptors.recordError(Object.assign(new Error("failed"), { code: "EMFILE" }));
        await clock.advance(105_000);
        descriptors.report();
        t.is(metrics.snapshot()["descriptor-limit"], expected);
    });
}

test("a lowered limit is no longer checked once the start that it belongs to is over", async t => {
    const [metrics, clock] = [createMetrics(), createVirtualClock()];
    const lifetime = new AbortController();
    const { signal } = lifetime;
    const descriptors = createDescriptors({ limits: shortLimits, clock, log: silentLog, metrics, signal });
    Array.from({ length: 500 }, () => descriptors.open("callers"));
    let checks = 0;
    descriptors.onExcess("callers", () => {
        checks += 1;
    });
    descriptors.recordError(Object.assign(new Error("failed"), { code: "EMFILE" }));
    await clock.advance(1_000);
    const before = checks;
    t.true(before > 1);
    lifetime.abort();
    await clock.advance(3_600_000);
    t.is(checks, before);
    descriptors.report();
    t.is(metrics.snapshot()["descriptor-limit"], 500);
});

test("files are opened to check for descriptors rarely, and the parts shrink when that fails", t => {
    const [metrics, clock] = [createMetrics(), createVirtualClock()];
    let checks = 0;
    const canOpen = (files: number): boolean => {
        checks += 1;
        return descriptors.inUse("callers") + files <= 1_000;
    };
    const descriptors = createDescriptors({ limits: shortLimits, clock, log: silentLog, metrics, canOpen });
    while (!descriptors.isFull("callers")) {
        descriptors.open("callers");
    }
    t.is(descriptors.inUse("callers"), 960);
    t.is(checks, 15);
    t.true(descriptors.limitOf("callers") < 500);
});

test("a connection that fails for want of a descriptor lowers the limit", async t => {
    const metrics = createMetrics();
    const descriptors = createDescriptors({
        limits: shortLimits,
        clock: createVirtualClock(),
        log: silentLog,
        metrics,
    });
    Array.from({ length: 100 }, () => descriptors.open("callers"));
    const error = Object.assign(new Error("failed"), { code: "EMFILE" });
    const fail: buildConnector.connector = (...[, callback]) => process.nextTick(callback, error);
    const connect = countConnections(fail, "store", descriptors);
    await new Promise<void>(resolve => connect({ hostname: "h", protocol: "http:", port: "1" }, () => resolve()));
    descriptors.report();
    t.is(metrics.snapshot()["descriptor-limit"], 101);
    t.is(descriptors.inUse("store"), 0);
});
