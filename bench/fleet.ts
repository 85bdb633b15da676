/**
 * The fleet of a case: the platform's and the targets' stand-ins and the hosts, each in a process of its own.
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

/** Bundled programs of one state of the source. */
export type Programs = { folder: string; host: string; standIns: string; load: string; networkProxy: string };

export type FleetHost = {
    name: string;
    zone: string;
    /** The loopback address of the host alone, at which it listens and from which its connections come. */
    address: string;
    callerAddress: string;
    settingsFile: string;
    child: Child;
    isPaused: boolean;
    /** How each process that ran under the name ended. */
    ends: string[];
    status: () => Promise<HostReport | undefined>;
    readUsage: () => ProcessUsage | undefined;
};

export type Fleet = {
    customer: Customer;
    platformUrl: string;
    platform: StandInsWorker;
    targets: StandInsWorker;
    /** Through which the hosts dial one another. */
    networkProxy: BenchWorker<NetworkProxyQuestion, NetworkProxyAnswer>;
    hosts: FleetHost[];
    /** Starts the process of a host again. */
    startHost: (host: FleetHost) => void;
    close: () => Promise<void>;
};

const callersPort = 8_080;
const peersPort = 8_081;
const operatorsPort = 8_082;
/** Loopback networks among which benches that run at the same time are spread. */
const networks = 250;
const stopLimitMilliseconds = 10_000;
const statusTimeoutMilliseconds = 500;

/** Bundles the programs. Hosts come from `tree`, another state of the source, when it is given. */
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

const setAt = (settings: Record<string, unknown>, path: string, value: unknown): void => {
    const names = path.split(".");
    let current = settings;
    for (const name of names.slice(0, -1)) {
        current[name] = current[name] ?? {};
        current = current[name] as Record<string, unknown>;
    }
    current[names[names.length - 1]] = value;
};

/** The customer's pools at the sizes of the case. */
export const scalePools = (customer: Customer, benchCase: BenchCase): PoolShape[] =>
    customer.pools.map(shape => ({
        ...shape,
        targets: Math.max(1, Math.round(shape.targets * benchCase.targetFactor)),
        serviceMilliseconds: shape.serviceMilliseconds * benchCase.serviceFactor,
    }));

/** The requests a second of a pool: its share of the case's rate by capacity. */
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

/** Starts the fleet of a case. Logs of the hosts go to the programs' folder. */
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
        const own = started.targets?.filter(({ name }) => name.startsWith(`${shape.name}-`)) ?? [];
        const value = { ...createPool(shape, own), slotCount: benchCase.slotCount };
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
    const network = 1 + process.pid % networks;
    const places = [...Array(benchCase.hosts).keys()].map(index => {
        const zoneIndex = index % customer.zones.length;
        return {
            name: `host-${String(index + 1).padStart(2, "0")}`,
            zone: customer.zones[zoneIndex],
            address: `127.${network}.${zoneIndex + 1}.${index + 1}`,
        };
    });
    const { addresses } = await networkProxy.ask({
        kind: "start",
        hosts: places.map(({ zone, address }) => ({
            zone,
            sourceAddress: address,
            listens: { host: address, port: peersPort },
        })),
    });

    const createFleetHost = async (index: number): Promise<FleetHost> => {
        const { name, zone, address } = places[index];
        const settings: Record<string, unknown> = {
            host: { name, zone, address, sourceAddress: address },
            platform: { url: platformUrl },
            callers: { port: callersPort },
            peers: { port: peersPort, announcedAddress: addresses[index], keyFiles: [keyFile] },
            operators: { port: operatorsPort },
        };
        Object.entries(benchCase.settings).forEach(([path, value]) => setAt(settings, path, value));
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

    const endHost = async ({ child }: FleetHost): Promise<void> => {
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
            await Promise.all(hosts.filter(host => host.child.isRunning()).map(endHost));
            const parts: Child[] = [targets, platform, networkProxy];
            parts.forEach(part => part.signal("SIGKILL"));
            await Promise.all(parts.map(part => part.exited));
        },
    };
};

/** Removes the bundled programs and the hosts' logs. */
export const removePrograms = (programs: Programs): Promise<void> =>
    rm(programs.folder, { recursive: true, force: true });
