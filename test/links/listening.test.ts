/**
 * Failures of a start: which ones are waited for, and how long. Guards against processes that end by themselves because
 * something comes a moment later than they do.
 */
import test from "ava";
import { InputError } from "../../src/contracts/errors.ts";
import { listenWithRetries } from "../../src/links/listening.ts";
import { silentLog } from "../../src/links/logs.ts";
import { createMetrics } from "../../src/links/metrics.ts";
import { awaitResidentSettings } from "../../src/links/residentsettings.ts";
import { createVirtualClock } from "../machines/fakes/clock.ts";

const graceMilliseconds = 6_000;
const metrics = createMetrics();
const address = { name: "callers", address: "192.0.2.1:1" };
const systemError = (code: string): Error => Object.assign(new Error(code), { code });

/** Each opens after the time, unless it is over before. */
const cases: Array<{ code: string; opensAfter: number; ends: "opened" | "failed" | "stopped" }> = [
    { code: "EADDRINUSE", opensAfter: 5_000, ends: "opened" },
    { code: "EADDRINUSE", opensAfter: 9_000, ends: "failed" },
    ...["EADDRNOTAVAIL", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"].flatMap(code => [
        { code, opensAfter: 60_000, ends: "opened" } as const,
        { code, opensAfter: Infinity, ends: "stopped" } as const,
    ]),
    ...["EACCES", "EINVAL", "EAFNOSUPPORT", "ENOTFOUND"].map(code => (
        { code, opensAfter: 200, ends: "failed" } as const
    )),
];

for (const { code, opensAfter, ends } of cases) {
    test(`an address that gives ${code} for ${opensAfter} ms is ${ends}`, async t => {
        const clock = createVirtualClock();
        const stop = new AbortController();
        const opensAt = clock.now() + opensAfter;
        const open = (): Promise<string> =>
            clock.now() >= opensAt ? Promise.resolve("opened") : Promise.reject(systemError(code));
        const options = { waitMilliseconds: graceMilliseconds, clock, log: silentLog, metrics, signal: stop.signal };
        const outcome = listenWithRetries(address, open, options)
            .catch(() => stop.signal.aborted ? "stopped" : "failed");
        await clock.advance(70_000);
        stop.abort();
        await clock.advance(200);
        t.is(await outcome, ends);
    });
}

test("an address that comes late and is then in use gets the whole grace", async t => {
    const clock = createVirtualClock();
    const code = (): string => clock.now() < 30_000 ? "EADDRNOTAVAIL" : "EADDRINUSE";
    const open = (): Promise<string> =>
        clock.now() > 35_000 ? Promise.resolve("opened") : Promise.reject(systemError(code()));
    const { signal } = new AbortController();
    const options = { waitMilliseconds: graceMilliseconds, clock, log: silentLog, metrics, signal };
    const opened = listenWithRetries(address, open, options);
    await clock.advance(40_000);
    t.is(await opened, "opened");
});

const settingsCases = [
    { title: "no descriptors", error: systemError("EMFILE"), failsAfter: Infinity },
    { title: "findings", error: new InputError("host: expected object"), failsAfter: 2_000 },
];

for (const { title, error, failsAfter } of settingsCases) {
    test(`settings that cannot be read for ${title} fail after ${failsAfter} ms`, async t => {
        const clock = createVirtualClock();
        const stop = new AbortController();
        const findings: string[] = [];
        const read = (): never => {
            throw error;
        };
        const note = (finding: string): void => void findings.push(finding);
        const outcome = awaitResidentSettings("settings.yaml", 2_000, clock, stop.signal, note, read)
            .then(() => "stopped", () => "failed");
        await clock.advance(30_000);
        stop.abort();
        await clock.advance(200);
        t.is(await outcome, failsAfter === Infinity ? "stopped" : "failed");
        t.deepEqual(findings, [error.message]);
    });
}
