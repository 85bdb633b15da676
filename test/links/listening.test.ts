/**
 * Failures of a start: which ones are waited for, and how long. Guards against processes that end by themselves because
 * something comes a moment later than they do.
 */
import test from "ava";
import { listenWithRetries } from "../../src/links/listening.ts";
import { type Log, type LogFields, silentLog } from "../../src/links/logs.ts";
import { createMetrics } from "../../src/links/metrics.ts";
import { createVirtualClock } from "../machines/fakes/clock.ts";

const address = { name: "callers", address: "192.0.2.1:1" };
const systemError = (code: string): Error => Object.assign(new Error(code), { code });

const eventsOfCodes = {
    EADDRINUSE: "address-in-use",
    EADDRNOTAVAIL: "address-not-there-yet",
    EMFILE: "start-short-of-resources",
    ENFILE: "start-short-of-resources",
    ENOBUFS: "start-short-of-resources",
    ENOMEM: "start-short-of-resources",
    EACCES: "address-refused",
    EPERM: "address-refused",
    EINVAL: "address-refused",
    EAFNOSUPPORT: "address-refused",
    ENOTFOUND: "address-refused",
    ERR_SOCKET_BAD_PORT: "address-refused",
};

/** Each opens after the time, unless it is over before. */
const cases = Object.entries(eventsOfCodes).flatMap(([code, event]) => [
    { code, event, opensAfter: 5_000, ends: "opened", lines: 1 },
    { code, event, opensAfter: 60_000, ends: "opened", lines: 2 },
    { code, event, opensAfter: Infinity, ends: "stopped", lines: 3 },
]);

type Line = { event: string; fields: LogFields | undefined };

/** Keeps the lines. */
const createLinesLog = (): { log: Log; lines: Line[] } => {
    const lines: Line[] = [];
    return { log: { ...silentLog, warn: (event, fields) => void lines.push({ event, fields }) }, lines };
};

for (const { code, event, opensAfter, ends, lines: expectedLines } of cases) {
    test(`an address that gives ${code} for ${opensAfter} ms is ${ends}`, async t => {
        const clock = createVirtualClock();
        const stop = new AbortController();
        const opensAt = clock.now() + opensAfter;
        const open = (): Promise<string> =>
            clock.now() >= opensAt ? Promise.resolve("opened") : Promise.reject(systemError(code));
        const { log, lines } = createLinesLog();
        const options = { clock, log, metrics: createMetrics(), signal: stop.signal };
        const outcome = listenWithRetries(address, open, options)
            .catch(() => stop.signal.aborted ? "stopped" : "failed");
        await clock.advance(70_000);
        stop.abort();
        await clock.advance(1_000);
        t.is(await outcome, ends);
        t.deepEqual(lines.map(line => line.event), new Array<string>(expectedLines).fill(event));
    });
}

const alternations = [
    { title: "two codes", codes: ["EADDRNOTAVAIL", "EADDRINUSE"], lines: 6, told: ["EADDRINUSE", "EADDRNOTAVAIL"] },
    { title: "ever new codes", codes: [...new Array(100).keys()].map(index => `E${index}`), lines: 24 },
];

for (const { title, codes, lines: expectedLines, told } of alternations) {
    test(`an address that alternates between ${title} is waited for, and the log tells it within bounds`, async t => {
        const clock = createVirtualClock();
        const { log, lines } = createLinesLog();
        const until = clock.now() + 80_000;
        let attempts = 0;
        const open = (): Promise<string> => {
            attempts += 1;
            const error = systemError(codes[attempts % codes.length]);
            return clock.now() > until ? Promise.resolve("opened") : Promise.reject(error);
        };
        const { signal } = new AbortController();
        const opened = listenWithRetries(address, open, { clock, log, metrics: createMetrics(), signal });
        await clock.advance(82_000);
        t.is(await opened, "opened");
        t.is(lines.length, expectedLines);
        t.true(Number(lines.at(-1)?.fields?.["changes"]) > 100);
        if (told !== undefined) {
            t.deepEqual([...new Set(lines.map(line => String(line.fields?.["error"])))].sort(), told);
        }
    });
}

test("an exception without a code is a fault of the program, at which the start ends", async t => {
    const options = { clock: createVirtualClock(), log: silentLog, metrics: createMetrics() };
    const open = (): Promise<string> => Promise.reject(new Error("unexpected"));
    const { signal } = new AbortController();
    await t.throwsAsync(listenWithRetries(address, open, { ...options, signal }), { message: "unexpected" });
});
