/**
 * The fleet of a case: hosts, a stand-in of the platform, stand-ins of the targets and a network proxy. Each host runs in
 * a process of its own, and so do the platform, all targets together and the proxy.
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bundleProgram } from "../scripts/bundle.ts";
import type { HostReport } from "../src/machines/host.ts";
import type { BenchCase } from "./case.ts";
import { type BenchWorker, type Child, type ProcessUsage, startProgram, startWorker } from "./children.ts";
import {
    createAllowance,
    createPlan,
    createPool,
    type Customer,
    customers,
    poolCapacity,
    type PoolShape,
    targetSpeed,
} from "./customers.ts";
import type { NetworkProxyAnswer, NetworkProxyQuestion } from "./relaypart.ts";
import type { StandInsAnswer, StandInsQuestion } from "./standinspart.ts";

export type StandInsWorker = BenchWorker<StandInsQuestion, StandInsAnswer>;

/** Paths of the programs that were bundled from one source tree, and of the folder that holds them. */
export type Programs = { folder: string; host: string; standIns: string; load: string; networkProxy: string };

export type FleetHost = {
    name: string;
    zone: string;
    /** Loopback address that only this host uses, to listen and as the source of its connections. */
    address: string;
    callerAddress: string;
    settingsFile: string;
    child: Child;
    isPaused: boolean;
    /** Exit code, or name of the signal, of each process of this host that ended. */
    ends: string[];
    status: () => Promise<HostReport | undefined>;
    readUsage: () => ProcessUsage | undefined;
};

export type Fleet = {
    customer: Customer;
    platformUrl: string;
    platform: StandInsWorker;
    targets: StandInsWorker;
    /** Proxy through which the hosts connect to one another. */
    networkProxy: BenchWorker<NetworkProxyQuestion, NetworkProxyAnswer>;
    hosts: FleetHost[];
    /** Starts a new process for a host. */
    startHost: (host: FleetHost) => void;
    close: () => Promise<void>;
};

const callersPort = 8_080;
const peersPort = 8_081;
const operatorsPort = 8_082;
/** Loopback networks; each run takes one by its process id, so that runs at the same time rarely share addresses. */
const loopbackNetworkCount = 250;
const stopLimitMilliseconds = 10_000;
const statusTimeoutMilliseconds = 500;

/** Bundles the programs. The program of the hosts is built from the source tree in the folder `tree`. */
export const bundlePrograms = async (tree = "."): Promise<Programs> => {
    const folder = await mkdtemp(join(tmpdir(), "carobpier-bench-"));
    const programs = {
        folder,
        host: join(folder, "host.cjs"),
        standIns: join(folder, "standins.cjs"),
        load: join(folder, "load.cjs"),
        networkProxy: join(folder, "relay.cjs"),
    };
    await bundleProgram(join(tree, "src/main.ts"), programs.host);
    await bundleProgram("bench/standinspart.ts", programs.standIns);
    await bundleProgram("bench/loadpart.ts", programs.load);
    await bundleProgram("bench/relaypart.ts", programs.networkProxy);
    return programs;
};

const setByPath = (settings: Record<string, unknown>, path: string, value: unknown): void => {
    const names = path.split(".");
    let current = settings;
    for (const name of names.slice(0, -1)) {
        current[name] = current[name] ?? {};
        current = current[name] as Record<string, unknown>;
    }
    current[names[names.length - 1]] = value;
};

/** The customer's pools with the number of targets and the service time of the case. */
export const scalePools = (customer: Customer, benchCase: BenchCase): PoolShape[] =>
    customer.pools.map(shape => ({
        ...shape,
        targets: Math.max(1, Math.round(shape.targets * benchCase.targetFactor)),
        serviceMilliseconds: shape.serviceMilliseconds * benchCase.serviceFactor,
    }));

/** Requests a second to one pool: its share of the case's rate, in proportion to its capacity. */
export const poolRequestsPerSecond = (shapes: PoolShape[], shape: PoolShape, perSecond: number): number =>
    perSecond * poolCapacity(shape) / shapes.reduce((sum, other) => sum + poolCapacity(other), 0);

const fetchStatus = async (address: string): Promise<HostReport | undefined> => {
    try {
        const limit = AbortSignal.timeout(statusTimeoutMilliseconds);
        const response = await fetch(`http://${address}/status`, { signal: limit });
        return await response.json() as HostReport;
    }
    catch {
        return undefined;
    }
};

/** Starts the fleet of a case. The hosts write their logs to the folder of the programs. */
export const startFleet = async (benchCase: BenchCase, programs: Programs): Promise<Fleet> => {
    const customer = customers.find(({ name }) => name === benchCase.customer) ?? customers[0];
    const shapes = scalePools(customer, benchCase);
    const targets: StandInsWorker = startWorker(programs.standIns);
    const platform: StandInsWorker = startWorker(programs.standIns);
    const started = await targets.ask({
        kind: "start-targets",
        targets: shapes.flatMap(shape =>
            [...Array(shape.targets).keys()].map(index => ({
                name: `${shape.name}-${index + 1}`,
                checksGrants: true,
                byKey: shape.byKey,
                slotCount: benchCase.slotCount,
                concurrency: shape.concurrency,
                connections: shape.connections,
                serviceMilliseconds: shape.serviceMilliseconds,
                faults: { slowFactor: 1 / targetSpeed(shape, index), networkMilliseconds: shape.networkMilliseconds },
            }))
        ),
    });
    const objects = shapes.map(shape => {
        const targetsOfPool = started.targets?.filter(({ name }) => name.startsWith(`${shape.name}-`)) ?? [];
        const value = { ...createPool(shape, targetsOfPool), slotCount: benchCase.slotCount };
        return { kind: "pools" as const, name: shape.name, value };
    });
    const { platformUrl = "" } = await platform.ask({
        kind: "start-platform",
        objects: [
            ...objects,
            { kind: "plans", name: customer.name, value: createPlan(customer) },
            { kind: "allowances", name: customer.name, value: createAllowance(customer) },
        ],
    });

    const keyFile = join(programs.folder, "peer.key");
    await writeFile(keyFile, "bench-key");

    const networkProxy: Fleet["networkProxy"] = startWorker(programs.networkProxy);
    const network = 1 + process.pid % loopbackNetworkCount;
    const hostLocations = [...Array(benchCase.hosts).keys()].map(index => {
        const zoneIndex = index % customer.zones.length;
        return {
            name: `host-${String(index + 1).padStart(2, "0")}`,
            zone: customer.zones[zoneIndex],
            address: `127.${network}.${zoneIndex + 1}.${index + 1}`,
        };
    });
    const { addresses } = await networkProxy.ask({
        kind: "start",
        hosts: hostLocations.map(({ zone, address }) => ({
            zone,
            sourceAddress: address,
            listens: { host: address, port: peersPort },
        })),
    });

    const createFleetHost = async (index: number): Promise<FleetHost> => {
        const { name, zone, address } = hostLocations[index];
        const settings: Record<string, unknown> = {
            host: { name, zone, address, sourceAddress: address },
            platform: { url: platformUrl },
            callers: { port: callersPort },
            peers: { port: peersPort, announcedAddress: addresses[index], keyFiles: [keyFile] },
            operators: { port: operatorsPort },
        };
        Object.entries(benchCase.settings).forEach(([path, value]) => setByPath(settings, path, value));
        const settingsFile = join(programs.folder, `${name}.yaml`);
        await writeFile(settingsFile, JSON.stringify(settings));
        const host: FleetHost = {
            name,
            zone,
            address,
            callerAddress: `${address}:${callersPort}`,
            settingsFile,
            child: undefined as unknown as Child,
            isPaused: false,
            ends: [],
            status: () => fetchStatus(`${address}:${operatorsPort}`),
            readUsage: () => host.child.readUsage(),
        };
        startHost(host);
        return host;
    };

    const startHost = (host: FleetHost): void => {
        const child = startProgram(
            programs.host,
            ["run", "--settings", host.settingsFile],
            join(programs.folder, `${host.name}.log`),
        );
        host.child = child;
        void child.exited.then(end => host.ends.push(end));
    };

    const hosts: FleetHost[] = [];
    for (let index = 0; index < benchCase.hosts; index += 1) {
        hosts.push(await createFleetHost(index));
    }

    const stopHost = async ({ child }: FleetHost): Promise<void> => {
        child.signal("SIGCONT");
        child.signal("SIGTERM");
        const limit = setTimeout(() => child.signal("SIGKILL"), stopLimitMilliseconds);
        await child.exited;
        clearTimeout(limit);
    };

    return {
        customer: { ...customer, pools: shapes },
        platformUrl,
        platform,
        targets,
        networkProxy,
        hosts,
        startHost,
        close: async () => {
            await Promise.all(hosts.filter(host => host.child.isRunning()).map(stopHost));
            const workers: Child[] = [targets, platform, networkProxy];
            workers.forEach(worker => worker.signal("SIGKILL"));
            await Promise.all(workers.map(worker => worker.exited));
        },
    };
};

/** Removes the bundled programs and the hosts' logs. */
export const removePrograms = (programs: Programs): Promise<void> =>
    rm(programs.folder, { recursive: true, force: true });
