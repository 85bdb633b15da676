/**
 * Measures how fast a change is in force everywhere and what it costs: `npx tsx bench/spread.ts 3 10 40`, where each
 * number is a count of hosts. The platform's stand-in runs here, the hosts in up to ten processes beside it.
 */
import { execFileSync } from "node:child_process";
import { mkdir, writeFile } from "node:fs/promises";
import { availableParallelism, loadavg } from "node:os";
import { fileURLToPath } from "node:url";
import { createPlatformStandIn, type PlatformStandIn } from "../stand-ins/platform.ts";
import { machineMilliseconds } from "../stand-ins/target.ts";
import { type BenchWorker, startWorker } from "./children.ts";
import { createRandom, type Random } from "./random.ts";
import type { Acceptance, SpreadAnswer, SpreadQuestion } from "./spreadpart.ts";

type Part = BenchWorker<SpreadQuestion, SpreadAnswer>;
type Run = { platform: PlatformStandIn; parts: Part[]; size: number; random: Random };
type Row = Record<string, string | number>;

const zoneCount = 4;
const maxProcesses = 10;
const planCount = 20;
const restMilliseconds = 8_000;
const changes = 40;
const slowChanges = 10;
const slowMilliseconds = 300;
const pauseMilliseconds = 4_000;
const outageMilliseconds = 8_000;
const partFile = fileURLToPath(new URL("./spreadpart.ts", import.meta.url));

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

const planOf = (index: number) => ({
    customer: `customer-${index}`,
    tokenHashes: [String(index % 10).repeat(64), String((index + 1) % 10).repeat(64)],
    rate: { perSecond: 100 + index, burst: 20 },
});

const start = async (size: number): Promise<Run> => {
    const platform = await createPlatformStandIn();
    for (let index = 0; index < planCount; index += 1) {
        platform.write("plans", `plan-${index}`, planOf(index));
        platform.write("allowances", `plan-${index}`, { uses: [{ pool: "orders" }] });
    }
    const parts = Array.from(
        { length: Math.min(size, maxProcesses) },
        () => startWorker<SpreadQuestion, SpreadAnswer>(partFile),
    );
    const hosts = [...Array(size).keys()].map(index => ({
        name: `host-${String(index).padStart(3, "0")}`,
        zone: `zone-${index % zoneCount}`,
    }));
    await Promise.all(parts.map((part, place) =>
        part.ask({
            kind: "start",
            url: platform.url,
            hosts: hosts.filter(host => hosts.indexOf(host) % parts.length === place),
        })
    ));
    return { platform, parts, size, random: createRandom(size) };
};

const askAll = async (run: Run, kind: "standing" | "accepted" | "stop"): Promise<SpreadAnswer[]> =>
    Promise.all(run.parts.filter(part => part.isRunning()).map(part => part.ask({ kind })));

const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0);

const untilReady = async (run: Run): Promise<void> => {
    for (;;) {
        const answers = await askAll(run, "standing");
        const linked = sum(answers.map(answer => answer.links)) === run.size * (run.size - 1);
        if (linked && sum(answers.map(answer => answer.ready)) === run.size) {
            return;
        }
        await pause(200);
    }
};

type Costs = {
    at: number;
    calls: number;
    platformBytes: number;
    peerBytes: number;
    objectBytes: number;
    cpuSeconds: number;
};

const costsOf = async (run: Run): Promise<Costs> => {
    const answers = await askAll(run, "standing");
    const { bytes } = run.platform.records();
    return {
        at: machineMilliseconds(),
        calls: sum(Object.values(run.platform.calls)),
        platformBytes: bytes.received + bytes.sent,
        peerBytes: sum(answers.map(answer => answer.peerBytes)),
        objectBytes: sum(answers.map(answer => answer.objectBytes)),
        cpuSeconds: sum(run.parts.map(part => part.readUsage()?.cpuSeconds ?? 0)),
    };
};

type Rates = { calls: number; platformBytes: number; peerBytes: number; objectBytes: number; cpuPercent: number };

const ratesBetween = (before: Costs, after: Costs): Rates => {
    const seconds = (after.at - before.at) / 1_000;
    return {
        calls: (after.calls - before.calls) / seconds,
        platformBytes: (after.platformBytes - before.platformBytes) / seconds,
        peerBytes: (after.peerBytes - before.peerBytes) / seconds,
        objectBytes: (after.objectBytes - before.objectBytes) / seconds,
        cpuPercent: (after.cpuSeconds - before.cpuSeconds) / seconds * 100,
    };
};

type Change = { plan: string; version: number; at: number };

/** Writes changes at seeded moments. */
const writeChanges = async (run: Run, count: number, gapMilliseconds: number) => {
    const written: Change[] = [];
    for (let index = 0; index < count; index += 1) {
        const value = { ...planOf(index), rate: { perSecond: 1_000 + run.random.integerBelow(1_000), burst: 20 } };
        const plan = `plan-${run.random.integerBelow(planCount)}`;
        const { version } = run.platform.write("plans", plan, value);
        written.push({ plan, version, at: machineMilliseconds() });
        await pause(gapMilliseconds * (0.5 + run.random.uniform()));
    }
    return written;
};

/** For each change the time until the last of the hosts held it or a later one of the plan; infinite for never. */
const everywhereAfter = (written: Change[], acceptances: Acceptance[], hostCount: number): number[] =>
    written.map(({ plan, version, at }) => {
        const first = new Map<string, number>();
        for (const entry of acceptances) {
            if (entry.plan === plan && entry.version >= version) {
                first.set(entry.host, Math.min(first.get(entry.host) ?? Infinity, entry.at - at));
            }
        }
        return first.size < hostCount ? Infinity : Math.max(...first.values());
    }).sort((left, right) => left - right);

const figuresOf = (times: number[]): Row => ({
    "median-ms": times[Math.floor(times.length / 2)].toFixed(0),
    "worst-ms": times[times.length - 1].toFixed(0),
});

const acceptancesOf = async (run: Run): Promise<Acceptance[]> =>
    (await askAll(run, "accepted")).flatMap(answer => answer.acceptances);

const measureChanges = async (run: Run, count: number, gapMilliseconds: number): Promise<Row> => {
    await askAll(run, "accepted");
    const written = await writeChanges(run, count, gapMilliseconds);
    await pause(3_000);
    return { changes: count, ...figuresOf(everywhereAfter(written, await acceptancesOf(run), run.size)) };
};

const measureRest = async (run: Run): Promise<{ row: Row; rates: Rates }> => {
    const before = await costsOf(run);
    await pause(restMilliseconds);
    const rates = ratesBetween(before, await costsOf(run));
    const relays = sum((await askAll(run, "standing")).map(answer => answer.relays));
    const megabytes = sum(run.parts.map(part => part.readUsage()?.residentMegabytes ?? 0));
    return {
        rates,
        row: {
            relays,
            "platform-calls-per-s": rates.calls.toFixed(1),
            "platform-body-bytes-per-s": rates.platformBytes.toFixed(0),
            "peer-bytes-per-s-per-host": (rates.peerBytes / run.size).toFixed(0),
            "object-bytes-per-s-per-host": (rates.objectBytes / run.size).toFixed(0),
            "cpu-percent-per-host": (rates.cpuPercent / run.size).toFixed(2),
            "megabytes-per-process": (megabytes / run.parts.length).toFixed(0),
            processes: run.parts.length,
        },
    };
};

/** What changes add to the rates at rest, for each change. */
const measureCost = async (run: Run, rest: Rates): Promise<Row> => {
    const before = await costsOf(run);
    await writeChanges(run, changes, 250);
    const after = await costsOf(run);
    const seconds = (after.at - before.at) / 1_000;
    const rates = ratesBetween(before, after);
    const added = (name: "calls" | "platformBytes" | "objectBytes"): string =>
        ((rates[name] - rest[name]) * seconds / changes).toFixed(name === "calls" ? 2 : 0);
    return {
        "calls-per-change": added("calls"),
        "platform-body-bytes-per-change": added("platformBytes"),
        "object-bytes-per-change-all-hosts": added("objectBytes"),
    };
};

const measurePause = async (run: Run): Promise<Row> => {
    const paused = run.parts[run.parts.length - 1];
    const others = run.parts.filter(part => part !== paused);
    const pausedHosts = Math.floor(run.size / run.parts.length);
    await askAll(run, "accepted");
    paused.signal("SIGSTOP");
    await pause(500);
    const written = await writeChanges(run, 10, 250);
    await pause(pauseMilliseconds);
    const early = (await Promise.all(others.map(part => part.ask({ kind: "accepted" })))).flatMap(a => a.acceptances);
    const resumedAt = machineMilliseconds();
    paused.signal("SIGCONT");
    await pause(3_000);
    const { acceptances } = await paused.ask({ kind: "accepted" });
    const last = Math.max(...acceptances.map(entry => entry.at)) - resumedAt;
    return {
        "hosts-paused": pausedHosts,
        ...figuresOf(everywhereAfter(written, early, run.size - pausedHosts)),
        "paused-caught-up-ms": last.toFixed(0),
    };
};

const measureOutage = async (run: Run): Promise<Row> => {
    run.platform.change({ down: true });
    await pause(outageMilliseconds);
    run.platform.change({ down: false });
    const { version } = run.platform.write("plans", "plan-0", planOf(99));
    const at = machineMilliseconds();
    await pause(6_000);
    const perSecond = Object.entries(run.platform.records().callsBySecond)
        .filter(([second]) => (Number(second) + 1) * 1_000 > at)
        .map(([, byName]) => sum(Object.values(byName)));
    const times = everywhereAfter([{ plan: "plan-0", version, at }], await acceptancesOf(run), run.size);
    return {
        "everywhere-after-return-ms": times[0].toFixed(0),
        "most-calls-in-one-second": Math.max(...perSecond),
    };
};

const line = (size: number, what: string, row: Row): string =>
    [`hosts=${size}`, `case=${what}`, ...Object.entries(row).map(([name, value]) => `${name}=${value}`)].join(" ");

const measure = async (size: number, write: (text: string) => void): Promise<void> => {
    const run = await start(size);
    await untilReady(run);
    await pause(1_000);
    write(line(size, "machine", { cores: availableParallelism(), "load-average": loadavg()[0].toFixed(1) }));
    const { row, rates } = await measureRest(run);
    write(line(size, "rest", row));
    write(line(size, "changes", await measureChanges(run, changes, 300)));
    write(line(size, "cost", await measureCost(run, rates)));
    run.platform.change({ slowMilliseconds });
    write(line(size, `platform-slow-${slowMilliseconds}-ms`, await measureChanges(run, slowChanges, 600)));
    run.platform.change({ slowMilliseconds: 0 });
    await pause(1_000);
    write(line(size, "one-process-paused", await measurePause(run)));
    write(line(size, `platform-out-${outageMilliseconds / 1_000}-s`, await measureOutage(run)));
    await askAll(run, "stop");
    run.parts.forEach(part => part.signal("SIGTERM"));
    await Promise.all(run.parts.map(part => part.exited));
    await run.platform.close();
};

const sizes = process.argv.slice(2).map(Number);
const source = execFileSync("git", ["describe", "--always", "--dirty"], { encoding: "utf8" }).trim();
const lines = [`source=${source}`];
for (const size of sizes.length === 0 ? [3, 10, 40] : sizes) {
    await measure(size, text => {
        lines.push(text);
        process.stdout.write(`${text}\n`);
    });
}
await mkdir("bench/results", { recursive: true });
await writeFile("bench/results/spread.txt", `${lines.join("\n")}\n`);
