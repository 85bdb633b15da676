/**
 * Hosts in virtual time with all that they keep of the store's state: the route table in force, the targets and the
 * registered hosts, as they learn of them from the store or from each other.
 */
import type { PlatformObjects } from "../../../src/contracts/resident.ts";
import type { RegisteredTarget, RouteTable } from "../../../src/contracts/routing.ts";
import { loadsPath, statePath } from "../../../src/contracts/statemessages.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { storeKinds } from "../../../src/machines/resident/coordination.ts";
import { createEvacuations } from "../../../src/machines/resident/evacuations.ts";
import { type Processes, registerProcess } from "../../../src/machines/resident/processes.ts";
import { createRouteTableHolder } from "../../../src/machines/resident/routetableholder.ts";
import type { StateSource } from "../../../src/machines/resident/statesource.ts";
import { createStateSpread } from "../../../src/machines/resident/statespread.ts";
import { createStoreWatchers } from "../../../src/machines/resident/storewatchers.ts";
import { createTargetRegistry, type TargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import type { ReaderCandidate } from "../../../src/zones/readers.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";
import { createFakeStore, type FakeStore } from "./fakestore.ts";

export type StateHost = {
    host: ReaderCandidate;
    access: FakeStore;
    source: StateSource;
    processes: Processes;
    registry: TargetRegistry;
    /** Whether the host has read all kinds. */
    isSynced: () => boolean;
    /** Versions of the tables that were in force on this host, in order. */
    versions: number[];
    end: () => void;
};

export const tableKind = "config";
export const targetKind = "servers";

const emptyTable: RouteTable = {
    version: 0,
    routes: [],
    pools: new Map(),
    limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
};
const emptyTarget: RegisteredTarget = {
    name: "",
    incarnation: "1",
    pool: "stock",
    address: "127.0.0.1:1",
    zone: "z0",
    slots: 3,
    leaving: false,
    warmupMilliseconds: 0,
};
/** A table is its version, an entry what differs from a sound one. */
const objects: PlatformObjects = {
    tableKind,
    tableName: "main",
    evacuationKind: "evacuations",
    targetKind,
    decodeTable: ({ value }) => ({ ...emptyTable, version: value as number }),
    decodeTarget: ({ name, value }) => ({ ...emptyTarget, ...value as Partial<RegisteredTarget>, name }),
};

/** Time for which the targets of a zone count as cold once it is restored. */
export const coldMilliseconds = 3_000;

/** Starts hosts in as many zones. They differ in the random numbers that they draw. */
export const setUpStateHosts = (
    hostCount: number,
    zoneCount: number,
    /** Time within which an evacuation has to be in force; undefined where evacuations are not followed. */
    evacuationMilliseconds?: number,
) => {
    const clock = createVirtualClock();
    const shared = createFakeStore(clock);
    const network = createFakeNetwork(clock);
    let starts = 0;

    const start = (host: ReaderCandidate, withinMilliseconds = evacuationMilliseconds): StateHost => {
        starts += 1;
        const followed = withinMilliseconds === undefined
            ? undefined
            : { kind: objects.evacuationKind, withinMilliseconds };
        const drawn = starts / (hostCount + 1) % 1;
        const lifetime = new AbortController();
        const { signal } = lifetime;
        const access = shared.access();
        const { store } = access;
        const common = { clock, random: () => drawn, log: silentLog, metrics: createMetrics(), signal };
        const processes = registerProcess({ ...common, store, self: `${host.name}/${starts}`, host });
        const { source, server, sharedLoads } = createStateSpread({
            ...common,
            self: host,
            store,
            objects,
            evacuations: followed,
            processes,
            isStopping: () => false,
            onSourceChange: () => watchers.retryNow(),
            dial: network.dialerOf(host.address),
        });
        network.listen(host.address, { [statePath]: server.service, [loadsPath]: sharedLoads.service });
        const watchers = createStoreWatchers({ ...common, store: source });
        const routeTable = createRouteTableHolder({ decode: objects.decodeTable, log: silentLog });
        const versions: number[] = [];
        routeTable.onChange(({ version }) => versions.push(version));
        const evacuations = followed && createEvacuations({
            ...common,
            countTargets: zone => registry.ofZone(zone).length,
            coldMilliseconds: () => coldMilliseconds,
        });
        const registry = createTargetRegistry({
            ...common,
            evacuations,
            decode: objects.decodeTarget,
            reachableSince: () => targetWatcher.reachableSince(),
        });
        const targetWatcher = watchers.watch(targetKind, registry.applyList, registry.applyChanges);
        watchers.watchObjects(tableKind, routeTable.put);
        Object.values(storeKinds).forEach(kind => watchers.watchObjects(kind, () => undefined));
        watchers.watch("hosts", (all, position) => {
            processes.applyList(all, position);
            source.reconsider();
        }, (events, position) => {
            processes.applyChanges(events, position);
            source.reconsider();
        });
        if (evacuations !== undefined) {
            watchers.watch(objects.evacuationKind, evacuations.applyList, evacuations.applyChanges);
        }
        let synced = false;
        void watchers.synced().then(() => {
            synced = true;
        });
        const end = (): void => {
            lifetime.abort();
            network.kill(host.address);
        };
        return { host, access, source, processes, registry, isSynced: () => synced, versions, end };
    };

    const hosts = Array.from(
        { length: hostCount },
        (...[, index]) =>
            start({ name: `h${index}`, zone: `z${index % zoneCount}`, address: `10.0.0.${index}:1`, processor: 1 }),
    );
    return { clock, shared, network, hosts, start };
};
