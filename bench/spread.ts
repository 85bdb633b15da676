/**
 * Measures how long a change takes until it is in force on all hosts, and what it costs. Run with
 * `npx tsx bench/spread.ts 3 10 40`, where each number is a number of hosts. The stand-in of the platform runs in this
 * process, the hosts in up to ten worker processes.
 */
import { execFileSync } from "node:child_process";
import { mkdir, writeFile } from "node:fs/promises";
import { availableParallelism, loadavg } from "node:os";
import { fileURLToPath } from "node:url";
import { createPlatformStandIn, type PlatformStandIn } from "../stand-ins/platform.ts";
import { monotonicMilliseconds } from "../stand-ins/target.ts";
import { type BenchWorker, startWorker } from "./children.ts";
import { createRandom, type Random } from "./random.ts";
import type { Acceptance, SpreadAnswer, SpreadQuestion } from "./spreadpart.ts";

type HostsWorker = BenchWorker<SpreadQuestion, SpreadAnswer>;
type Run = { platform: PlatformStandIn; workers: HostsWorker[]; size: number; random: Random };
type Row = Record<string, string | number>;

const zoneCount = 4;
const maxProcesses = 10;
const planCount = 20;
const restMilliseconds = 8_000;
const changeCount = 40;
const slowChangeCount = 10;
const slowMilliseconds = 300;
const pauseMilliseconds = 4_000;
const outageMilliseconds = 8_000;
const partFile = fileURLToPath(new URL("./spreadpart.ts", import.meta.url));

const delay = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

const createPlan = (index: number) => ({
    customer: `customer-${index}`,
    tokenHashes: [String(index % 10).repeat(64), String((index + 1) % 10).repeat(64)],
    rate: { perSecond: 100 + index, burst: 20 },
});

const startRun = async (size: number): Promise<Run> => {
    const platform = await createPlatformStandIn();
    for (let index = 0; index < planCount; index += 1) {
        platform.write("plans", `plan-${index}`, createPlan(index));
        platform.write("allowances", `plan-${index}`, { uses: [{ pool: "orders" }] });
    }
    const workers = Array.from(
        { length: Math.min(size, maxProcesses) },
        () => startWorker<SpreadQuestion, SpreadAnswer>(partFile),
    );
    const hosts = [...Array(size).keys()].map(index => ({
        name: `host-${String(index).padStart(3, "0")}`,
        zone: `zone-${index % zoneCount}`,
    }));
    await Promise.all(workers.map((worker, workerIndex) =>
        worker.ask({
            kind: "start",
            url: platform.url,
            hosts: hosts.filter(host => hosts.indexOf(host) % workers.length === workerIndex),
        })
    ));
    return { platform, workers, size, random: createRandom(size) };
};

const askWorkers = async (run: Run, kind: "standing" | "accepted" | "stop"): Promise<SpreadAnswer[]> =>
    Promise.all(run.workers.filter(worker => worker.isRunning()).map(worker => worker.ask({ kind })));

const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0);

const waitUntilReady = async (run: Run): Promise<void> => {
    for (;;) {
        const answers = await askWorkers(run, "standing");
        const linked = sum(answers.map(answer => answer.links)) === run.size * (run.size - 1);
        if (linked && sum(answers.map(answer => answer.ready)) === run.size) {
            return;
        }
        await delay(200);
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

const readCosts = async (run: Run): Promise<Costs> => {
    const answers = await askWorkers(run, "standing");
    const { bytes } = run.platform.records();
    return {
        at: monotonicMilliseconds(),
        calls: sum(Object.values(run.platform.calls)),
        platformBytes: bytes.received + bytes.sent,
        peerBytes: sum(answers.map(answer => answer.peerBytes)),
        objectBytes: sum(answers.map(answer => answer.objectBytes)),
        cpuSeconds: sum(run.workers.map(worker => worker.readUsage()?.cpuSeconds ?? 0)),
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

/** Writes changes to plans at seeded times. */
const writeChanges = async (run: Run, count: number, gapMilliseconds: number) => {
    const written: Change[] = [];
    for (let index = 0; index < count; index += 1) {
        const value = { ...createPlan(index), rate: { perSecond: 1_000 + run.random.integerBelow(1_000), burst: 20 } };
        const plan = `plan-${run.random.integerBelow(planCount)}`;
        const { version } = run.platform.write("plans", plan, value);
        written.push({ plan, version, at: monotonicMilliseconds() });
        await delay(gapMilliseconds * (0.5 + run.random.uniform()));
    }
    return written;
};

/**
 * For each change, the milliseconds until the last host accepted it or a later version of the plan, in ascending order.
 * `Infinity` stands for a change that some host never accepted.
 */
const computeRolloutTimes = (written: Change[], acceptances: Acceptance[], hostCount: number): number[] =>
    written.map(({ plan, version, at }) => {
        const firstAcceptedAfter = new Map<string, number>();
        for (const entry of acceptances) {
            if (entry.plan === plan && entry.version >= version) {
                firstAcceptedAfter.set(
                    entry.host,
                    Math.min(firstAcceptedAfter.get(entry.host) ?? Infinity, entry.at - at),
                );
            }
        }
        return firstAcceptedAfter.size < hostCount ? Infinity : Math.max(...firstAcceptedAfter.values());
    }).sort((left, right) => left - right);

const summarizeTimes = (times: number[]): Row => ({
    "median-ms": times[Math.floor(times.length / 2)].toFixed(0),
    "worst-ms": times[times.length - 1].toFixed(0),
});

const readAcceptances = async (run: Run): Promise<Acceptance[]> =>
    (await askWorkers(run, "accepted")).flatMap(answer => answer.acceptances);

const measureChanges = async (run: Run, count: number, gapMilliseconds: number): Promise<Row> => {
    await askWorkers(run, "accepted");
    const written = await writeChanges(run, count, gapMilliseconds);
    await delay(3_000);
    return { changes: count, ...summarizeTimes(computeRolloutTimes(written, await readAcceptances(run), run.size)) };
};

const measureRest = async (run: Run): Promise<{ row: Row; rates: Rates }> => {
    const before = await readCosts(run);
    await delay(restMilliseconds);
    const rates = ratesBetween(before, await readCosts(run));
    const relays = sum((await askWorkers(run, "standing")).map(answer => answer.relays));
    const megabytes = sum(run.workers.map(worker => worker.readUsage()?.residentMegabytes ?? 0));
    return {
        rates,
        row: {
            relays,
            "platform-calls-per-s": rates.calls.toFixed(1),
            "platform-body-bytes-per-s": rates.platformBytes.toFixed(0),
            "peer-bytes-per-s-per-host": (rates.peerBytes / run.size).toFixed(0),
            "object-bytes-per-s-per-host": (rates.objectBytes / run.size).toFixed(0),
            "cpu-percent-per-host": (rates.cpuPercent / run.size).toFixed(2),
            "megabytes-per-process": (megabytes / run.workers.length).toFixed(0),
            processes: run.workers.length,
        },
    };
};

/** Measures what each change adds to the calls and bytes at rest. */
const measureCost = async (run: Run, rest: Rates): Promise<Row> => {
    const before = await readCosts(run);
    await writeChanges(run, changeCount, 250);
    const after = await readCosts(run);
    const seconds = (after.at - before.at) / 1_000;
    const rates = ratesBetween(before, after);
    const added = (name: "calls" | "platformBytes" | "objectBytes"): string =>
        ((rates[name] - rest[name]) * seconds / changeCount).toFixed(name === "calls" ? 2 : 0);
    return {
        "calls-per-change": added("calls"),
        "platform-body-bytes-per-change": added("platformBytes"),
        "object-bytes-per-change-all-hosts": added("objectBytes"),
    };
};

const measurePause = async (run: Run): Promise<Row> => {
    const paused = run.workers[run.workers.length - 1];
    const others = run.workers.filter(worker => worker !== paused);
    const pausedHosts = Math.floor(run.size / run.workers.length);
    await askWorkers(run, "accepted");
    paused.signal("SIGSTOP");
    await delay(500);
    const written = await writeChanges(run, 10, 250);
    await delay(pauseMilliseconds);
    const acceptancesBeforeResume = (await Promise.all(others.map(worker => worker.ask({ kind: "accepted" })))).flatMap(
        answer => answer.acceptances,
    );
    const resumedAt = monotonicMilliseconds();
    paused.signal("SIGCONT");
    await delay(3_000);
    const { acceptances } = await paused.ask({ kind: "accepted" });
    const catchUpMilliseconds = Math.max(...acceptances.map(entry => entry.at)) - resumedAt;
    return {
        "hosts-paused": pausedHosts,
        ...summarizeTimes(computeRolloutTimes(written, acceptancesBeforeResume, run.size - pausedHosts)),
        "paused-caught-up-ms": catchUpMilliseconds.toFixed(0),
    };
};

const measureOutage = async (run: Run): Promise<Row> => {
    run.platform.changeFaults({ down: true });
    await delay(outageMilliseconds);
    run.platform.changeFaults({ down: false });
    const { version } = run.platform.write("plans", "plan-0", createPlan(99));
    const at = monotonicMilliseconds();
    await delay(6_000);
    const perSecond = Object.entries(run.platform.records().callsBySecond)
        .filter(([second]) => (Number(second) + 1) * 1_000 > at)
        .map(([, byName]) => sum(Object.values(byName)));
    const times = computeRolloutTimes([{ plan: "plan-0", version, at }], await readAcceptances(run), run.size);
    return {
        "everywhere-after-return-ms": times[0].toFixed(0),
        "most-calls-in-one-second": Math.max(...perSecond),
    };
};

const formatLine = (size: number, caseName: string, row: Row): string =>
    [`hosts=${size}`, `case=${caseName}`, ...Object.entries(row).map(([name, value]) => `${name}=${value}`)].join(" ");

const measure = async (size: number, write: (text: string) => void): Promise<void> => {
    const run = await startRun(size);
    await waitUntilReady(run);
    await delay(1_000);
    write(formatLine(size, "machine", { cores: availableParallelism(), "load-average": loadavg()[0].toFixed(1) }));
    const { row, rates } = await measureRest(run);
    write(formatLine(size, "rest", row));
    write(formatLine(size, "changes", await measureChanges(run, changeCount, 300)));
    write(formatLine(size, "cost", await measureCost(run, rates)));
    run.platform.changeFaults({ slowMilliseconds });
    write(formatLine(size, `platform-slow-${slowMilliseconds}-ms`, await measureChanges(run, slowChangeCount, 600)));
    run.platform.changeFaults({ slowMilliseconds: 0 });
    await delay(1_000);
    write(formatLine(size, "one-process-paused", await measurePause(run)));
    write(formatLine(size, `platform-out-${outageMilliseconds / 1_000}-s`, await measureOutage(run)));
    await askWorkers(run, "stop");
    run.workers.forEach(worker => worker.signal("SIGTERM"));
    await Promise.all(run.workers.map(worker => worker.exited));
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
