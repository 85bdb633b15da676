/**
 * A resident host: one process on the users' platform. It reads what there is from the platform's store, routes
 * callers' requests, and stands by as keeper of key ranges.
 */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { Clock } from "../../contracts/clock.ts";
import type { ObjectStore, StoreEvent, StoreObject } from "../../contracts/objectstore.ts";
import type { OwnershipLink, PlatformObjects, ResidentRequest, TargetProtocol } from "../../contracts/resident.ts";
import type { ResidentSettings } from "../../contracts/residentsettings.ts";
import type { RouteTable } from "../../contracts/routing.ts";
import { type CallerProtocol, createCallerLink } from "../../links/callers.ts";
import { openHttpEndpoint } from "../../links/httpendpoint.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { storeKinds } from "./coordination.ts";
import { createEventLoopMonitor } from "./eventloopmonitor.ts";
import { createGateway } from "./gateway.ts";
import { createLoadReporter } from "./loadreporter.ts";
import { createOwnershipCache } from "./ownershipcache.ts";
import { registerProcess } from "./processes.ts";
import { createRangeController, type RangeController } from "./rangecontroller.ts";
import { createRouteTableHolder } from "./routetableholder.ts";
import { createStoreWatcher, type StoreWatcher } from "./storewatcher.ts";
import { createTargetRegistry } from "./targetregistry.ts";
import { createTargetStates } from "./targetstates.ts";

export type ResidentHostOptions = {
    settings: ResidentSettings;
    store: ObjectStore;
    objects: PlatformObjects;
    callerProtocol: CallerProtocol<ResidentRequest>;
    targetProtocol: TargetProtocol;
    ownershipLink: OwnershipLink;
    clock: Clock;
    wallClock: () => number;
    /** Processor time of this process so far, in milliseconds. */
    processorMilliseconds: () => number;
    /** A number from 0 up to, not including, 1. */
    random: () => number;
    log: Log;
    metrics: Metrics;
    /** All metrics as text. */
    metricsText: () => string;
};

export type ResidentHost = {
    /** Finishes what is under way and ends; resolves when all is over or the grace is. */
    stop: () => Promise<void>;
};

/** A watch on a link that went silent is given up after this and the time-out of a call. */
const watchMilliseconds = 3_000;
/** Largest body that the host reads, whatever the table allows. */
const maxBodyBytes = 67_108_864;
const maxHeadBytes = 16_384;
/** The balancer takes a host out after two misses, a second apart. */
const balancerMilliseconds = 2_400;
/** Left of the grace when connections are closed whatever they do. */
const lastMilliseconds = 300;
/** Label of requests that a target answered. */
const noReason = "none";
const inFlightCheckMilliseconds = 50;
/** The slack of resends is shared by at least this many hosts, since some may not be counted yet. */
const minHostsPerSlack = 24;
/** Hosts see different parts of the load, so that each stays below the shared ratio. */
const retrySafety = 0.85;

/** Starts the host; resolves when it serves. */
export const startResidentHost = async (options: ResidentHostOptions): Promise<ResidentHost> => {
    const { settings, store, objects, clock, metrics, random: unit } = options;
    const { zone, processor: { share, speed } } = settings.host;
    const log = options.log.child({ host: settings.host.name });
    const lifetime = new AbortController();
    const { signal } = lifetime;
    setMaxListeners(0, signal);
    const self = `${settings.host.name}/${randomUUID().slice(0, 8)}`;
    let stopping = false;

    log.info("host-starting", { process: self, zone, listen: settings.callers.listen, store: settings.store.address });

    const { processorMilliseconds } = options;
    const { measure } = createEventLoopMonitor({ processorMilliseconds, clock, log, metrics, signal });

    const followers: StoreWatcher[] = [];
    const follow = (
        kind: string,
        onList: (all: StoreObject[]) => void,
        onChanges: (events: StoreEvent[]) => void,
    ): StoreWatcher => {
        const follower = createStoreWatcher({
            store,
            kind,
            waitMilliseconds: watchMilliseconds,
            onList,
            onChanges,
            onRecovered: () => followers.forEach(other => other.retryNow()),
            clock,
            log,
            signal,
        });
        followers.push(follower);
        return follower;
    };
    /** Follows a kind of which only what exists matters. */
    const followExisting = (kind: string, onObject: (object: StoreObject) => void): StoreWatcher =>
        follow(kind, all => all.forEach(onObject), events => {
            events.filter(event => !event.removed).forEach(event => onObject(event.object));
        });

    const processes = registerProcess({ store, self, processor: share * speed, clock, log, signal });
    const tables = createRouteTableHolder({ decode: objects.decodeTable, log });
    const putTable = (object: StoreObject): void => {
        if (object.name === objects.tableName) {
            measure("table", () => tables.put(object));
        }
    };
    const poolOf = (name: string) => tables.current()?.table.pools.get(name);

    const registry = createTargetRegistry({
        decode: objects.decodeTarget,
        reachableSince: () => targetFollower?.reachableSince(),
        clock,
        log,
        signal,
    });
    const keepers = new Map<string, RangeController>();
    const views = createTargetStates({ registry, findPool: poolOf, clock, signal });
    const ownerships = createOwnershipCache(clock, log, signal);
    const reporter = await createLoadReporter({
        listen: settings.reports.listen,
        coordinatorAddress: pool => {
            const keeper = keepers.get(pool);
            return keeper?.isCoordinator() === true ? "self" : keeper?.reportsAddress();
        },
        measure,
        clock,
        signal,
    });
    const lastCoordination = new Map<string, StoreObject>();

    const startKeeper = (pool: string): void => {
        const keeper = createRangeController({
            pool,
            self,
            store,
            link: options.ownershipLink,
            processes,
            registry,
            reportsAddress: settings.reports.listen,
            processor: share * speed,
            loads: reporter.loadsOf(pool),
            work: reporter.workOf(pool),
            incarnationOf: async (target, callSignal) => {
                const object = await store.get(objects.targetKind, target, callSignal);
                const decoded = object === undefined ? undefined : objects.decodeTarget(object);
                return typeof decoded === "object" ? decoded.incarnation : undefined;
            },
            reachableSince: () => coordinationFollower.reachableSince(),
            maxHoldMilliseconds: settings.ownership.maxHold,
            clock,
            wallClock: options.wallClock,
            measure,
            random: unit,
            log,
            metrics,
            signal,
        });
        keepers.set(pool, keeper);
        const known = lastCoordination.get(pool);
        if (known !== undefined) {
            keeper.applyCoordination(known);
        }
    };

    const putCoordination = (object: StoreObject, removed: boolean): void => {
        lastCoordination.set(object.name, object);
        keepers.get(object.name)?.applyCoordination(removed ? undefined : object);
    };

    const applyTable = (table: RouteTable): void => {
        const { idleTimeoutMilliseconds, headTimeoutMilliseconds } = table.limits;
        callers.setTimeouts(idleTimeoutMilliseconds, headTimeoutMilliseconds);
        for (const pool of table.pools.values()) {
            if (pool.ownsKeys && !keepers.has(pool.name)) {
                startKeeper(pool.name);
            }
        }
    };

    const gateway = createGateway({
        routeTable: tables,
        targetStates: views,
        ownerships,
        protocol: options.targetProtocol,
        zone,
        retryRatio: settings.retries.ratio * retrySafety,
        retrySlack: () => settings.retries.slack / Math.max(minHostsPerSlack, processes.hostCount() ?? 0),
        recordKey: reporter.recordKey,
        recordWork: reporter.recordWork,
        random: unit,
        clock,
        log,
        metrics,
    });

    const [callersHost, callersPort] = settings.callers.listen.split(":");
    const callers = await createCallerLink<ResidentRequest>({
        bindAddress: callersHost,
        settings: {
            port: Number(callersPort),
            maxHeadBytes,
            maxBodyBytes,
            maxBufferedBodyBytes: settings.callers.maxBufferedBodyBytes,
        },
        protocol: options.callerProtocol,
        clock,
        serve: gateway.serve,
        onDone: (request, outcome, reason) => {
            metrics.count("requests", { outcome, reason: reason ?? noReason });
            if (reason !== undefined) {
                log.info("request-ended", {
                    request: request.id,
                    outcome,
                    reason,
                    key: request.key,
                    version: tables.current()?.table.version,
                    afterMilliseconds: Math.round(clock.now() - request.receivedAt),
                });
            }
        },
        onMalformed: reason => metrics.count("requests", { outcome: "not-run", reason }),
        healthy: () => true,
    });

    const targetFollower = follow(
        objects.targetKind,
        all => measure("targets", () => registry.applyList(all)),
        events => measure("targets", () => registry.applyChanges(events)),
    );
    followExisting(objects.tableKind, putTable);
    followExisting(storeKinds.ownership, object => measure("ownership", () => ownerships.put(object)));
    const coordinationFollower = follow(
        storeKinds.coordination,
        all => all.forEach(object => putCoordination(object, false)),
        events => events.forEach(event => putCoordination(event.object, event.removed)),
    );
    tables.onChange(applyTable);

    const isReady = (): boolean => !stopping && tables.current() !== undefined && started;
    let started = false;
    const health = await openHttpEndpoint(settings.health.listen, () => ({
        statusCode: isReady() ? 200 : 503,
        contentType: "text/plain",
        body: "",
    }));
    const metricsServer = settings.metrics === undefined ? undefined : await openHttpEndpoint(
        settings.metrics.listen,
        () => ({ statusCode: 200, contentType: "text/plain; version=0.0.4", body: options.metricsText() }),
    );

    void Promise.all(followers.map(follower => follower.synced)).then(() => {
        started = !signal.aborted;
        log.info("host-ready", { version: tables.current()?.table.version, calls: JSON.stringify(store.calls()) });
    });

    const untilIdle = async (until: number): Promise<void> => {
        while (callers.inFlight() > 0 && clock.now() < until) {
            await clock.sleep(inFlightCheckMilliseconds);
        }
    };

    return {
        stop: async () => {
            const endAt = clock.now() + settings.stopping.grace - lastMilliseconds;
            stopping = true;
            log.info("host-stopping", { inFlight: callers.inFlight() });
            callers.disableKeepAlive();
            await Promise.all([...keepers.values()].map(keeper => keeper.resign()));
            await clock.sleep(balancerMilliseconds);
            callers.stopAccepting();
            await untilIdle(endAt);
            log.info("host-stopped", { inFlight: callers.inFlight(), calls: JSON.stringify(store.calls()) });
            lifetime.abort();
            health.close();
            metricsServer?.close();
            options.ownershipLink.close();
            await callers.close();
            store.close();
            await metrics.close();
        },
    };
};
