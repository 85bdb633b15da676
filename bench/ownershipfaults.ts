/**
 * Measures ownership under faults. Hosts run as processes of their own; stand-ins of the targets and of the platform run in
 * this process. `tsx bench/ownershipfaults.ts CASE RUNS` prints one line for each run and a summary.
 *
 * The load requests every key of the pool at a fixed interval through the running hosts. A key counts as unserved from one
 * answer to the next, less the interval. Owners at the same time are counted by the targets' own records.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent } from "undici";
import { createSlotHash } from "../src/decisions/hash.ts";
import type { HostReport } from "../src/machines/host.ts";
import { createPlatformStandIn, type PlatformStandIn } from "../stand-ins/platform.ts";
import { monotonicMilliseconds, type OwnedSpan, type TargetStandIn } from "../stand-ins/target.ts";
import { createAllowance, createPlan, createPool, hallam, startTargets } from "./customers.ts";

type HostProcess = { name: string; process: ChildProcess; callers: number; operators: number; isUp: boolean };

type Fleet = {
    platform: PlatformStandIn;
    targets: TargetStandIn[];
    hosts: HostProcess[];
    agent: Agent;
    folder: string;
};

/** Injects a fault and resolves with a function that undoes it. */
type Fault = (fleet: Fleet, run: number) => Promise<() => Promise<void>>;

type RunResult = { unserved: number; refused: number; owners: number; writes: number };

const shape = hallam.pools[0];
const keyCount = 40;
const requestIntervalMilliseconds = 40;
const faultMilliseconds = 2_500;
const settleMilliseconds = 1_500;
const deadlineMilliseconds = 400;
const hostCount = 5;
const keys = [...Array(keyCount).keys()].map(index => `key-${index}`);

const delay = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

const formatSettings = (index: number, platform: string): string =>
    [
        `host: { name: host-${index + 1}, zone: ${hallam.zones[index % 3]} }`,
        `platform: { url: "${platform}" }`,
        `callers: { port: ${21_000 + index} }`,
        `peers: { port: ${22_000 + index}, keyFiles: [peer.key] }`,
        `operators: { port: ${23_000 + index} }`,
        `logs: { level: ${process.env["BENCH_LOGS"] ?? "warn"} }`,
    ].join("\n");

const startHost = (fleet: Pick<Fleet, "platform" | "folder">, index: number): HostProcess => {
    const file = join(fleet.folder, `host-${index + 1}.yaml`);
    writeFileSync(file, formatSettings(index, fleet.platform.url));
    const child = spawn("dist/carobpier", ["run", "--settings", file], { stdio: ["ignore", "inherit", "inherit"] });
    process.once("exit", () => child.kill("SIGKILL"));
    return {
        name: `host-${index + 1}`,
        process: child,
        callers: 21_000 + index,
        operators: 23_000 + index,
        isUp: true,
    };
};

const reasons = new Map<string, number>();

const requestKey = async (agent: Agent, host: HostProcess, key: string): Promise<boolean> => {
    try {
        const response = await agent.request({
            origin: `http://127.0.0.1:${host.callers}`,
            method: "GET",
            path: `/${shape.name}/item`,
            headers: {
                authorization: `Bearer ${hallam.token}`,
                "carobpier-key": key,
                "carobpier-deadline": String(deadlineMilliseconds),
            },
            headersTimeout: 2_000,
        });
        await response.body.dump();
        const reason = response.headers["carobpier-reason"] ?? "answered";
        reasons.set(String(reason), (reasons.get(String(reason)) ?? 0) + 1);
        return response.headers["carobpier-outcome"] === "answered";
    }
    catch {
        return false;
    }
};

const fetchStatus = async (fleet: Fleet): Promise<HostReport[]> => {
    const reports: HostReport[] = [];
    for (const host of fleet.hosts.filter(candidate => candidate.isUp)) {
        const response = await fleet.agent.request({
            origin: `http://127.0.0.1:${host.operators}`,
            method: "GET",
            path: "/status",
        });
        reports.push(await response.body.json() as HostReport);
    }
    return reports;
};

const waitUntilServed = async (fleet: Fleet): Promise<void> => {
    const endAt = performance.now() + 30_000;
    for (const host of fleet.hosts) {
        for (const key of keys) {
            while (!await requestKey(fleet.agent, host, key)) {
                if (performance.now() > endAt) {
                    throw new Error(`Host "${host.name}" does not serve key "${key}".`);
                }
                await delay(50);
            }
        }
    }
};

type KeyState = { lastAnswerAt: number; longestGap: number };

/** Requests every key at a fixed interval until `stop` is called, each time through the next running host. */
const startLoad = (fleet: Fleet): { stop: () => Promise<{ unserved: number; refused: number }> } => {
    const keyStates = new Map<string, KeyState>();
    const pending = new Set<Promise<void>>();
    let refused = 0;
    let running = true;
    let next = 0;

    const send = async (key: string): Promise<void> => {
        const hosts = fleet.hosts.filter(host => host.isUp);
        next += 1;
        const answered = await requestKey(fleet.agent, hosts[next % hosts.length], key);
        const now = performance.now();
        const keyState = keyStates.get(key) ?? { lastAnswerAt: now, longestGap: 0 };
        keyStates.set(key, keyState);
        if (!answered) {
            refused += 1;
            return;
        }
        keyState.longestGap = Math.max(keyState.longestGap, now - keyState.lastAnswerAt - requestIntervalMilliseconds);
        keyState.lastAnswerAt = now;
    };

    const requestRepeatedly = async (key: string, offset: number): Promise<void> => {
        await delay(offset);
        let nextAt = performance.now();
        while (running) {
            const request = send(key);
            pending.add(request);
            void request.then(() => pending.delete(request));
            nextAt += requestIntervalMilliseconds;
            await delay(Math.max(0, nextAt - performance.now()));
        }
    };

    const requestLoops = keys.map((key, index) =>
        requestRepeatedly(key, requestIntervalMilliseconds * index / keyCount)
    );
    return {
        stop: async () => {
            running = false;
            await Promise.all(requestLoops);
            await Promise.all(pending);
            return { unserved: Math.max(...[...keyStates.values()].map(keyState => keyState.longestGap)), refused };
        },
    };
};

/** Highest number of targets that owned one slot at the same time. */
const maxOwnersAtOnce = (targets: TargetStandIn[]): number => {
    const edges = new Map<string, Array<{ at: number; change: number }>>();
    const add = (span: OwnedSpan): void => {
        for (const slot of span.slots) {
            const poolSlot = `${span.pool}/${slot}`;
            const list = edges.get(poolSlot) ?? [];
            list.push({ at: span.from, change: 1 }, { at: Math.min(span.until, monotonicMilliseconds()), change: -1 });
            edges.set(poolSlot, list);
        }
    };
    targets.forEach(target => target.ownedSpans().filter(span => span.until > span.from).forEach(add));
    let highest = 0;
    for (const list of edges.values()) {
        list.sort((left, right) => left.at - right.at || left.change - right.change);
        let owners = 0;
        for (const edge of list) {
            owners += edge.change;
            highest = Math.max(highest, owners);
        }
    }
    return highest;
};

const killHost = (fleet: Fleet, index: number): () => Promise<void> => {
    fleet.hosts[index].isUp = false;
    fleet.hosts[index].process.kill("SIGKILL");
    return async () => {
        fleet.hosts[index] = startHost(fleet, index);
        fleet.hosts[index].isUp = false;
        await delay(2_000);
        fleet.hosts[index].isUp = true;
        await waitUntilServed(fleet);
    };
};

const findCoordinatorIndex = async (fleet: Fleet): Promise<number> => {
    const [report] = await fetchStatus(fleet);
    const name = report.ownership.pools[shape.name].coordinator;
    return fleet.hosts.findIndex(host => host.name === name);
};

const chooseOtherHost = (index: number, run: number): number => (index + 1 + run % (hostCount - 1)) % hostCount;

const findOwner = async (fleet: Fleet, run: number): Promise<TargetStandIn> => {
    const slotHash = await createSlotHash();
    const slot = slotHash(keys[run % keyCount], 1_024);
    const now = monotonicMilliseconds();
    const owner = fleet.targets.find(target =>
        target.ownedSpans().some(span => span.slots.includes(slot) && span.until > now)
    );
    return owner ?? fleet.targets[run % fleet.targets.length];
};

const restorePlatform = (fleet: Fleet) => async (): Promise<void> => {
    fleet.platform.faults.down = false;
    await delay(500);
};

const faults: Record<string, Fault> = {
    nothing: async () => async () => undefined,
    "target-frozen": async (fleet, run) => {
        const target = await findOwner(fleet, run);
        target.freeze();
        return async () => target.thaw();
    },
    "target-crashed": async (fleet, run) => {
        const target = await findOwner(fleet, run);
        await target.crash();
        return () => target.restart();
    },
    "target-restarted": async (fleet, run) => {
        const target = await findOwner(fleet, run);
        await target.crash();
        await target.restart();
        return async () => undefined;
    },
    "target-leaving": async (fleet, run) => {
        const leaving = await findOwner(fleet, run);
        const pool = createPool(shape, fleet.targets);
        const targets = pool.targets.map(target => ({ ...target, leaving: target.name === leaving.name }));
        fleet.platform.write("pools", shape.name, { ...pool, targets });
        return async () => {
            fleet.platform.write("pools", shape.name, pool);
            await delay(8_000);
        };
    },
    "host-lost": async (fleet, run) => killHost(fleet, chooseOtherHost(await findCoordinatorIndex(fleet), run)),
    "host-paused": async (fleet, run) => {
        const host = fleet.hosts[chooseOtherHost(await findCoordinatorIndex(fleet), run)];
        host.isUp = false;
        host.process.kill("SIGSTOP");
        await delay(5_000);
        host.process.kill("SIGCONT");
        await delay(1_000);
        host.isUp = true;
        return async () => undefined;
    },
    "coordinator-lost": async fleet => killHost(fleet, await findCoordinatorIndex(fleet)),
    "coordinator-paused": async fleet => {
        const host = fleet.hosts[await findCoordinatorIndex(fleet)];
        host.isUp = false;
        host.process.kill("SIGSTOP");
        await delay(5_000);
        host.process.kill("SIGCONT");
        await delay(1_000);
        host.isUp = true;
        return async () => undefined;
    },
    "platform-out": async fleet => {
        fleet.platform.faults.down = true;
        await delay(8_000);
        return restorePlatform(fleet);
    },
    "platform-out-host-lost": async (fleet, run) => {
        fleet.platform.faults.down = true;
        await delay(2_000);
        const restart = killHost(fleet, chooseOtherHost(await findCoordinatorIndex(fleet), run));
        await delay(4_000);
        return async () => {
            await restorePlatform(fleet)();
            await restart();
        };
    },
    "coordinator-and-target-lost": async (fleet, run) => {
        const restart = killHost(fleet, await findCoordinatorIndex(fleet));
        const target = await findOwner(fleet, run);
        await target.crash();
        return async () => {
            await target.restart();
            await restart();
        };
    },
};

const measureRun = async (fleet: Fleet, fault: Fault, run: number): Promise<RunResult> => {
    reasons.clear();
    const writesBefore = fleet.platform.writes.length;
    const load = startLoad(fleet);
    await delay(500);
    const undo = await fault(fleet, run);
    await delay(faultMilliseconds);
    const { unserved, refused } = await load.stop();
    await undo();
    await delay(settleMilliseconds);
    await waitUntilServed(fleet);
    return {
        unserved: Math.max(0, Math.round(unserved)),
        refused,
        owners: maxOwnersAtOnce(fleet.targets),
        writes: fleet.platform.writes.length - writesBefore,
    };
};

const startFleet = async (): Promise<Fleet> => {
    const folder = mkdtempSync(join(tmpdir(), "carobpier-"));
    writeFileSync(join(folder, "peer.key"), "bench-key");
    const platform = await createPlatformStandIn();
    const targets = await startTargets(shape);
    platform.write("pools", shape.name, createPool(shape, targets));
    platform.write("plans", hallam.name, createPlan(hallam));
    platform.write("allowances", hallam.name, createAllowance(hallam));
    const hosts = [...Array(hostCount).keys()].map(index => startHost({ platform, folder }, index));
    const fleet = { platform, targets, hosts, agent: new Agent({ connections: 128 }), folder };
    await delay(2_000);
    await waitUntilServed(fleet);
    return fleet;
};

const countPlatformCalls = (fleet: Fleet): number =>
    Object.values(fleet.platform.calls).reduce((sum, count) => sum + count, 0);

const runCase = async (name: string, runs: number): Promise<void> => {
    const fault = faults[name];
    if (fault === undefined) {
        throw new Error(`The case "${name}" does not exist: ${Object.keys(faults).join(", ")}.`);
    }
    const fleet = await startFleet();
    const results: RunResult[] = [];
    const startedAt = performance.now();
    const callsBefore = countPlatformCalls(fleet);
    for (let run = 0; run < runs; run += 1) {
        const result = await measureRun(fleet, fault, run);
        results.push(result);
        console.log(
            `${name} run=${run + 1} unserved=${result.unserved}ms refused=${result.refused} owners=${result.owners} `
                + `writes=${result.writes} ${[...reasons].map(([reason, count]) => `${reason}=${count}`).join(" ")}`,
        );
    }
    const calls = (countPlatformCalls(fleet) - callsBefore) / (performance.now() - startedAt) * 1_000;
    const sorted = results.map(result => result.unserved).sort((left, right) => left - right);
    console.log(
        `${name} runs=${runs} median=${sorted[Math.floor(runs / 2)]}ms worst=${sorted.at(-1)}ms `
            + `owners=${Math.max(...results.map(result => result.owners))} platform-calls=${calls.toFixed(1)}/s`,
    );
    if (process.env["BENCH_STATUS"] !== undefined) {
        console.log(JSON.stringify((await fetchStatus(fleet)).map(report => report.ownership), undefined, 1));
    }
    fleet.hosts.forEach(host => host.process.kill("SIGKILL"));
    await fleet.agent.destroy();
    await Promise.all(fleet.targets.map(target => target.close()));
    await fleet.platform.close();
};

process.once("SIGTERM", () => process.exit(1));
const [name = "target-frozen", runs = "3"] = process.argv.slice(2);
await runCase(name, Number(runs));
process.exit(0);
