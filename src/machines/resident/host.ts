/**
 * A resident host: one process on the users' platform. It reads route table, targets and ownership from the platform's
 * store, routes callers' requests, and can take over as coordinator of the pools' key ranges.
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
    /** Returns the processor time that this process has used, in milliseconds. */
    processorMilliseconds: () => number;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    log: Log;
    metrics: Metrics;
    /** Returns all metrics as text. */
    metricsText: () => string;
};

export type ResidentHost = {
    /** Completes the requests in flight and stops. Resolves when all have ended or the grace period has. */
    stop: () => Promise<void>;
};

/** Wait of one watch call. A watch on a silent connection fails after this and the time-out of a call. */
const watchMilliseconds = 3_000;
/** Largest body that the host reads, even if the route table allows more. */
const maxBodyBytes = 67_108_864;
const maxHeadBytes = 16_384;
/** Time until the load balancer sends nothing more: it removes a host after two failed checks, a second apart. */
const balancerRemovalMilliseconds = 2_400;
/** Part of the grace period that remains when all connections are closed, even those with requests in flight. */
const forcedCloseMilliseconds = 300;
/** Value of the metric's label `reason` for requests that a target answered. */
const noReason = "none";
const inFlightCheckMilliseconds = 50;
/** The slack of resends is divided by at least this many hosts, since some may not be counted yet. */
const minHostsSharingSlack = 24;
/** Each host stays below the retry ratio that all share by this factor, since hosts see different parts of the load. */
const retryRatioFactor = 0.85;

/** Starts the host. Resolves when it accepts requests. */
export const startResidentHost = async (options: ResidentHostOptions): Promise<ResidentHost> => {
    const { settings, store, objects, clock, metrics, random } = options;
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

    const watchers: StoreWatcher[] = [];
    const watch = (
        kind: string,
        onList: (all: StoreObject[]) => void,
        onChanges: (events: StoreEvent[]) => void,
    ): StoreWatcher => {
        const watcher = createStoreWatcher({
            store,
            kind,
            waitMilliseconds: watchMilliseconds,
            onList,
            onChanges,
            onRecovered: () => watchers.forEach(other => other.retryNow()),
            clock,
            log,
            signal,
        });
        watchers.push(watcher);
        return watcher;
    };
    /** Watches a kind of which removals are ignored. */
    const watchIgnoringRemovals = (kind: string, onObject: (object: StoreObject) => void): StoreWatcher =>
        watch(kind, all => all.forEach(onObject), events => {
            events.filter(event => !event.removed).forEach(event => onObject(event.object));
        });

    const processes = registerProcess({ store, self, processor: share * speed, clock, log, signal });
    const routeTable = createRouteTableHolder({ decode: objects.decodeTable, log });
    const acceptTableObject = (object: StoreObject): void => {
        if (object.name === objects.tableName) {
            measure("table", () => routeTable.put(object));
        }
    };
    const poolOf = (name: string) => routeTable.current()?.table.pools.get(name);

    const registry = createTargetRegistry({
        decode: objects.decodeTarget,
        reachableSince: () => targetWatcher?.reachableSince(),
        clock,
        log,
        signal,
    });
    const controllers = new Map<string, RangeController>();
    const targetStates = createTargetStates({ registry, findPool: poolOf, clock, signal });
    const ownerships = createOwnershipCache(clock, log, signal);
    const loadReporter = await createLoadReporter({
        listen: settings.reports.listen,
        coordinatorAddress: pool => {
            const controller = controllers.get(pool);
            return controller?.isCoordinator() === true ? "self" : controller?.reportsAddress();
        },
        measure,
        clock,
        signal,
    });
    const lastCoordination = new Map<string, StoreObject>();

    const startController = (pool: string): void => {
        const controller = createRangeController({
            pool,
            self,
            store,
            link: options.ownershipLink,
            processes,
            registry,
            reportsAddress: settings.reports.listen,
            processor: share * speed,
            loads: loadReporter.loadsOf(pool),
            work: loadReporter.workOf(pool),
            incarnationOf: async (target, callSignal) => {
                const object = await store.get(objects.targetKind, target, callSignal);
                const decoded = object === undefined ? undefined : objects.decodeTarget(object);
                return typeof decoded === "object" ? decoded.incarnation : undefined;
            },
            reachableSince: () => coordinationWatcher.reachableSince(),
            maxHoldMilliseconds: settings.ownership.maxHold,
            clock,
            wallClock: options.wallClock,
            measure,
            random,
            log,
            metrics,
            signal,
        });
        controllers.set(pool, controller);
        const lastObject = lastCoordination.get(pool);
        if (lastObject !== undefined) {
            controller.applyCoordination(lastObject);
        }
    };

    const applyCoordination = (object: StoreObject, removed: boolean): void => {
        lastCoordination.set(object.name, object);
        controllers.get(object.name)?.applyCoordination(removed ? undefined : object);
    };

    const applyTable = (table: RouteTable): void => {
        const { idleTimeoutMilliseconds, headTimeoutMilliseconds } = table.limits;
        callers.setTimeouts(idleTimeoutMilliseconds, headTimeoutMilliseconds);
        for (const pool of table.pools.values()) {
            if (pool.isSharded && !controllers.has(pool.name)) {
                startController(pool.name);
            }
        }
    };

    const gateway = createGateway({
        routeTable,
        targetStates,
        ownerships,
        protocol: options.targetProtocol,
        zone,
        retryRatio: settings.retries.ratio * retryRatioFactor,
        retrySlack: () => settings.retries.slack / Math.max(minHostsSharingSlack, processes.hostCount() ?? 0),
        recordKey: loadReporter.recordKey,
        recordWork: loadReporter.recordWork,
        random,
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
                    version: routeTable.current()?.table.version,
                    afterMilliseconds: Math.round(clock.now() - request.receivedAt),
                });
            }
        },
        onMalformed: reason => metrics.count("requests", { outcome: "not-run", reason }),
        healthy: () => true,
    });

    const targetWatcher = watch(
        objects.targetKind,
        all => measure("targets", () => registry.applyList(all)),
        events => measure("targets", () => registry.applyChanges(events)),
    );
    watchIgnoringRemovals(objects.tableKind, acceptTableObject);
    watchIgnoringRemovals(storeKinds.ownership, object => measure("ownership", () => ownerships.put(object)));
    const coordinationWatcher = watch(
        storeKinds.coordination,
        all => all.forEach(object => applyCoordination(object, false)),
        events => events.forEach(event => applyCoordination(event.object, event.removed)),
    );
    routeTable.onChange(applyTable);

    const isReady = (): boolean => !stopping && routeTable.current() !== undefined && started;
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

    void Promise.all(watchers.map(watcher => watcher.synced)).then(() => {
        started = !signal.aborted;
        log.info("host-ready", {
            version: routeTable.current()?.table.version,
            calls: JSON.stringify(store.callCounts()),
        });
    });

    const waitUntilIdle = async (until: number): Promise<void> => {
        while (callers.inFlight() > 0 && clock.now() < until) {
            await clock.sleep(inFlightCheckMilliseconds);
        }
    };

    return {
        stop: async () => {
            const endAt = clock.now() + settings.stopping.grace - forcedCloseMilliseconds;
            stopping = true;
            log.info("host-stopping", { inFlight: callers.inFlight() });
            callers.disableKeepAlive();
            await Promise.all([...controllers.values()].map(controller => controller.resign()));
            await clock.sleep(balancerRemovalMilliseconds);
            callers.stopAccepting();
            await waitUntilIdle(endAt);
            log.info("host-stopped", { inFlight: callers.inFlight(), calls: JSON.stringify(store.callCounts()) });
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
