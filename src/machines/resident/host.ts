/**
 * A resident host: one process on the users' platform. It reads route table, targets and ownership from the platform's
 * store, routes callers' requests, and can take over as coordinator of the pools' key ranges.
 */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { Clock } from "../../contracts/clock.ts";
import { loansPath } from "../../contracts/loanmessages.ts";
import type { ObjectStore, StoreObject } from "../../contracts/objectstore.ts";
import type { OwnershipLink, PlatformObjects, ResidentRequest, TargetProtocol } from "../../contracts/resident.ts";
import type { ResidentSettings } from "../../contracts/residentsettings.ts";
import type { RegisteredTarget, RouteTable } from "../../contracts/routing.ts";
import { loadsPath, statePath } from "../../contracts/statemessages.ts";
import { type CallerLink, type CallerProtocol, createCallerLink } from "../../links/callers.ts";
import type { Descriptors } from "../../links/descriptors.ts";
import { readHeap } from "../../links/heap.ts";
import { loadReportPath } from "../../links/loadreports.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { createPeerDialer } from "../../links/peers.ts";
import { createRequestLedger } from "../../links/requestledger.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";
import { repeatTask } from "../longtasks.ts";
import { createCallerLog, type PlannedWork } from "./callerlog.ts";
import { storeKinds } from "./coordination.ts";
import { createEvacuations } from "./evacuations.ts";
import { createEventLoopMonitor } from "./eventloopmonitor.ts";
import { createFleetFacts } from "./fleetfacts.ts";
import { createGateway } from "./gateway.ts";
import { monitorHeap } from "./heapmonitor.ts";
import { type CallersEndpoint, openHostAddresses } from "./hostaddresses.ts";
import { createLoadReporter } from "./loadreporter.ts";
import { createLoans } from "./loans.ts";
import { createOwnershipCache } from "./ownershipcache.ts";
import { measureOfOthers } from "./ownmeasures.ts";
import { createPoolControllers } from "./poolcontrollers.ts";
import { processKind, registerProcess } from "./processes.ts";
import { createRangeController, type RangeController } from "./rangecontroller.ts";
import { createRouteTableHolder } from "./routetableholder.ts";
import { createSharingHosts } from "./sharinghosts.ts";
import { createStateSpread } from "./statespread.ts";
import { createStoreWatchers } from "./storewatchers.ts";
import { lowerLimit } from "./targetchooser.ts";
import { countedAs } from "./targetlimits.ts";
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
    /** Counts the connections of this host. */
    descriptors: Descriptors;
    log: Log;
    metrics: Metrics;
    /** Returns all metrics as text. */
    metricsText: () => string;
    /** Returns the monotonic time of the last reload of the settings; undefined before the first. */
    reloadedAt: () => number | undefined;
    /** Ends the wait for addresses that can not be opened yet, when it aborts while the host starts. */
    startSignal: AbortSignal;
};

export type ResidentHost = {
    /** Whether the host has ever read the whole state from the store. */
    wasReady: () => boolean;
    /**
     * Completes the requests in flight and stops. Resolves when all have ended or the grace period has. New ones are served for
     * the given time, by default until the load balancer sends none.
     */
    stop: (servingMilliseconds?: number) => Promise<void>;
};

/** Limit on the time in which a connection to another host is opened. */
const peerHandshakeMilliseconds = 400;
/** A host that starts waits no longer than this to be told what the others know of targets and requests. */
const maxUntilToldMilliseconds = 1_000;
/** Largest body that the host reads, even if the route table allows more. */
const maxBodyBytes = 67_108_864;
const maxHeadBytes = 16_384;
/** Time until the load balancer sends nothing more: it removes a host after two failed checks, a second apart. */
const balancerRemovalMilliseconds = 2_400;
/** Largest part of the grace period after which a request is still taken that may last beyond its end. */
const maxServingShare = 0.5;
/** Part of the grace period, at its end, in which sends may be broken off. */
const lastShare = 1 / 6;
/** The grace period at which the times below are reached; shorter ones have shorter times. */
const fullGraceMilliseconds = 3_000;
/** Time in which the last answers are written before all connections are closed. */
const lastAnswerMilliseconds = 200;
/** Time in which a stop accepts the connections that wait, also if it is late. */
const minAcceptMilliseconds = 200;
/** Part of the grace period that remains when all connections are closed, even those with requests in flight. */
const forcedCloseMilliseconds = 300;
/** Value of the metric's label `reason` for requests that a target answered. */
const noReason = "none";
const inFlightCheckMilliseconds = 50;
const coldGaugeMilliseconds = 1_000;
/** The slack of resends is divided by at least this many hosts, since some may not be counted yet. */
const minHostsSharingSlack = 24;
/** Each host stays below the retry ratio that all share by this factor, since hosts see different parts of the load. */
const retryRatioFactor = 0.85;

/** Logs and measures the era of the store, which rises when the store comes back from an older copy. */
const reportEra = ({ store, log, metrics }: Pick<ResidentHostOptions, "store" | "log" | "metrics">): void => {
    let before: number | undefined;
    store.onEra(era => {
        log.info("store-era-changed", { before, era });
        metrics.gauge("store-era", era);
        before = era;
    });
};

/** Starts the host. Resolves when it accepts requests. When the start signal aborts before, it rejects and has closed all. */
export const startResidentHost = async (options: ResidentHostOptions): Promise<ResidentHost> => {
    const { settings, store, objects, descriptors, clock, metrics, random } = options;
    const { zone, linkMegabits, processor: { share, speed } } = settings.host;
    const log = options.log.child({ host: settings.host.name });
    const lifetime = new AbortController();
    const { signal } = lifetime;
    setMaxListeners(0, signal);
    const processName = `${settings.host.name}/${randomUUID().slice(0, 8)}`;
    let stopping = false;
    let tableChangedAt: number | undefined;
    const plannedWork = (): PlannedWork => ({ isStopping: stopping, reloadedAt: options.reloadedAt(), tableChangedAt });

    log.info("host-starting", {
        process: processName,
        zone,
        listen: settings.callers.listen,
        store: settings.store.address,
    });

    reportEra({ store, log, metrics });

    const { processorMilliseconds } = options;
    const { measure, lateness } = createEventLoopMonitor({ processorMilliseconds, clock, log, metrics, signal });
    monitorHeap({ readHeap, clock, log, metrics, signal });

    const peerOptions = { descriptors, log, metrics, signal };
    const dial = createPeerDialer(peerHandshakeMilliseconds, peerOptions);
    const self: ReaderCandidate = {
        name: settings.host.name,
        zone,
        address: settings.links.listen,
        processor: share * speed,
        linkMegabits,
    };
    let acceptsLinks = (): void => undefined;
    const acceptingLinks = new Promise<void>(resolve => {
        acceptsLinks = resolve;
    });
    const processes = registerProcess({
        store,
        self: processName,
        host: self,
        clock,
        log,
        signal,
        listening: acceptingLinks,
    });
    const followedEvacuations = settings.evacuations && {
        kind: objects.evacuationKind,
        withinMilliseconds: settings.evacuations.within,
    };
    const { source, server, sharedLoads } = createStateSpread({
        self,
        store,
        objects,
        evacuations: followedEvacuations,
        processes,
        isStopping: () => stopping,
        onSourceChange: () => watchers.retryNow(),
        dial,
        clock,
        random,
        log,
        metrics,
        signal,
    });

    const watchers = createStoreWatchers({ store: source, clock, log, metrics, signal });

    const routeTable = createRouteTableHolder({ decode: objects.decodeTable, log });
    const acceptTableObject = (object: StoreObject): void => {
        if (object.name === objects.tableName) {
            measure("table", () => routeTable.put(object));
        }
    };
    const poolOf = (name: string) => routeTable.current()?.table.pools.get(name);

    const evacuations = followedEvacuations && createEvacuations({
        countTargets: evacuated => registry.ofZone(evacuated).length,
        coldMilliseconds: pool => poolOf(pool)?.coldTargets?.milliseconds ?? 0,
        clock,
        log,
        metrics,
    });
    const registry = createTargetRegistry({
        decode: objects.decodeTarget,
        reachableSince: () => targetWatcher?.reachableSince(),
        evacuations,
        clock,
        log,
        signal,
    });
    registry.onChange(sharedLoads.measures.setTarget);
    const loans = createLoans({
        others: () => processes.hosts().filter(({ name }) => name !== settings.host.name),
        grant: (target, asked) => targetStates.grantConnections(target, asked),
        isWithinPart: target => targetStates.isWithinPart(target),
        onChange: target => targetStates.applyLimit(target),
        dial,
        random,
        clock,
        log,
        metrics,
        signal,
    });
    const targetStates = createTargetStates({
        registry,
        findPool: poolOf,
        sharingHosts: createSharingHosts({
            self: settings.host.name,
            processes,
            reachableSince: () => processWatcher.reachableSince(),
            clock,
        }),
        requestsOfOthers: sharedLoads.requestsOfOthers,
        recordOwnRequests: sharedLoads.record,
        loans,
        coldBound: settings.coldTargets,
        onCold: target => facts.limits.prepare(countedAs(target, true).pool),
        descriptors,
        clock,
        signal,
    });
    const limitOf = (target: RegisteredTarget): number | undefined => {
        const state = targetStates.get(target.name);
        return lowerLimit(facts.notices.limitOf(target), state && targetStates.coldLimit(state)?.perSecond);
    };
    sharedLoads.measures.onMeasure(({ name, incarnation }, measure, isOwn) => {
        const state = targetStates.get(name);
        // What this host measured is recorded with each attempt.
        if (state !== undefined && state.target.incarnation === incarnation && !isOwn) {
            const isLimited = state.pace.concurrency(clock.now()) !== Infinity;
            targetStates.recordMeasure(state, measureOfOthers(measure, isLimited));
        }
    });
    const ownerships = createOwnershipCache(clock, log, signal);
    const loadReporter = createLoadReporter({
        dial,
        coordinatorAddress: pool => {
            const controller = controllers.get(pool);
            return controller?.isCoordinator() === true ? "self" : controller?.reportsAddress();
        },
        knownMilliseconds: sharedLoads.measures.knownMilliseconds,
        measure,
        clock,
        log,
        metrics,
        signal,
    });
    const createController = (pool: string): RangeController =>
        createRangeController({
            pool,
            self: processName,
            store,
            link: options.ownershipLink,
            processes,
            registry,
            reportsAddress: settings.links.listen,
            processor: share * speed,
            loads: loadReporter.loadsOf(pool),
            work: loadReporter.workOf(pool),
            limitOf,
            reachableSince: () => coordinationWatcher.reachableSince(),
            rememberedOwnership: () => ownerships.getRemembered(pool),
            news: facts.coordinators.of(pool),
            maxHoldMilliseconds: settings.ownership.maxHold,
            clock,
            wallClock: options.wallClock,
            measure,
            random,
            log,
            metrics,
            signal,
        });
    const controllers = createPoolControllers(createController, log);

    const applyTable = (table: RouteTable): void => {
        tableChangedAt = clock.now();
        targetStates.applyLimits();
        const { idleTimeoutMilliseconds, headTimeoutMilliseconds } = table.limits;
        callers.setTimeouts(idleTimeoutMilliseconds, headTimeoutMilliseconds);
        for (const pool of table.pools.values()) {
            if (pool.isSharded) {
                controllers.start(pool.name);
            }
        }
    };

    const facts = createFleetFacts({
        self,
        process: processName,
        processes,
        removesHosts: () => !stopping && controllers.coordinatesFirstPool(),
        registry,
        targetStates,
        dial,
        random,
        clock,
        log,
        metrics,
        signal,
    });
    facts.coordinators.listen(controllers.get);
    if (settings.coldTargets !== undefined) {
        const recordCold = (): void => metrics.gauge("cold-targets", targetStates.coldCount());
        void repeatTask("cold-targets", () => coldGaugeMilliseconds, recordCold, { clock, log, metrics, signal });
    }

    const gateway = createGateway({
        routeTable,
        targetStates,
        ownerships,
        protocol: options.targetProtocol,
        suspicions: facts.suspicions,
        notices: facts.notices,
        limits: facts.limits,
        zone,
        retryRatio: settings.retries.ratio * retryRatioFactor,
        retrySlack: () => settings.retries.slack / Math.max(minHostsSharingSlack, processes.hostCount() ?? 0),
        recordKey: loadReporter.recordKey,
        recordWork: loadReporter.recordWork,
        requestsOfOthers: sharedLoads.requestsOfOthers,
        measures: sharedLoads.measures,
        random,
        clock,
        log,
        metrics,
    });

    const callerLog = createCallerLog({ log, metrics, clock, lateness, plannedWork });
    const openCallers = ({ bindAddress, port, limitConnections }: CallersEndpoint): Promise<CallerLink> =>
        createCallerLink<ResidentRequest>({
            bindAddress,
            limitConnections,
            settings: { port, maxHeadBytes, maxBodyBytes, maxBufferedBodyBytes: settings.callers.maxBufferedBodyBytes },
            heldLimits: {
                maxRequestsAhead: settings.callers.maxRequestsAhead,
                maxConnectionBytes: settings.callers.maxConnectionBytes,
                maxHostBytes: settings.callers.maxHeldBytes,
            },
            metrics,
            protocol: options.callerProtocol,
            clock,
            serve: gateway.serve,
            onDone: (request, outcome, reason) => {
                metrics.count("requests", { outcome, reason: reason ?? noReason });
                if (reason !== undefined) {
                    callerLog.logRequestEnd({
                        request: request.id,
                        outcome,
                        reason,
                        key: request.key,
                        version: routeTable.current()?.table.version,
                        afterMilliseconds: Math.round(clock.now() - request.receivedAt),
                    });
                }
            },
            ...callerLog,
            ledger: createRequestLedger(metrics),
            healthy: () => true,
        });

    const services = {
        [loadReportPath]: loadReporter.service,
        [statePath]: server.service,
        [loadsPath]: sharedLoads.service,
        [loansPath]: loans.service,
        ...facts.services,
    };
    let started = false;
    let wasReady = false;
    const isReady = (): boolean => !stopping && routeTable.current() !== undefined && started;
    /** Ends all tasks and closes all that was opened but the callers' address. */
    const close = (): void => {
        lifetime.abort();
        options.ownershipLink.close();
        store.close();
    };
    const callers = await openHostAddresses({
        settings,
        isReady,
        metricsText: options.metricsText,
        services,
        onLinksOpen: () => acceptsLinks(),
        openCallers,
        descriptors,
        clock,
        log,
        metrics,
        startSignal: options.startSignal,
        signal,
    }).catch((error: unknown) => {
        close();
        throw error;
    });

    const targetWatcher = watchers.watch(
        objects.targetKind,
        (all, position) => measure("targets", () => registry.applyList(all, position)),
        events => measure("targets", () => registry.applyChanges(events)),
    );
    watchers.watchObjects(objects.tableKind, acceptTableObject);
    watchers.watchObjects(storeKinds.ownership, object => measure("ownership", () => ownerships.put(object)));
    const coordinationWatcher = watchers.watch(
        storeKinds.coordination,
        all => all.forEach(object => controllers.applyCoordination(object, false)),
        events => events.forEach(event => controllers.applyCoordination(event.object, event.removed)),
    );
    const onHosts = (): void => {
        source.reconsider();
        targetStates.applyLimits();
    };
    const processWatcher = watchers.watch(
        processKind,
        (all, position) => {
            processes.applyList(all, position);
            onHosts();
        },
        (events, position) => {
            processes.applyChanges(events, position);
            onHosts();
        },
    );
    if (evacuations !== undefined) {
        watchers.watch(objects.evacuationKind, evacuations.applyList, evacuations.applyChanges);
    }
    routeTable.onChange(applyTable);

    // A host that served at once would send requests to targets of which the others know that they leave.
    const told = processes.known.then(() => facts.waitUntilTold(maxUntilToldMilliseconds));
    void Promise.all([told, watchers.synced()]).then(() => {
        started = !signal.aborted;
        wasReady ||= started;
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
        wasReady: () => wasReady,
        stop: async (servingMilliseconds = balancerRemovalMilliseconds) => {
            const { grace } = settings.stopping;
            const scale = Math.min(1, grace / fullGraceMilliseconds);
            // A late host reads the signal late, while its grace runs.
            const late = lateness();
            const maxEarlier = grace * lastShare - (forcedCloseMilliseconds + lastAnswerMilliseconds) * scale;
            const endAt = clock.now() + grace - forcedCloseMilliseconds * scale - Math.min(late, maxEarlier);
            stopping = true;
            log.info("host-stopping", { inFlight: callers.inFlight() });
            gateway.stop({
                endsAt: endAt - lastAnswerMilliseconds * scale,
                refusesFrom: clock.now() + Math.min(servingMilliseconds, grace * maxServingShare - late),
            });
            server.announce();
            callers.disableKeepAlive();
            // The store may never answer, so nothing waits for it.
            controllers.resign();
            await clock.sleep(Math.min(servingMilliseconds, endAt - clock.now()));
            await callers.stopAccepting(Math.max(minAcceptMilliseconds, (endAt - clock.now()) / 2));
            await waitUntilIdle(endAt);
            log.info("host-stopped", { inFlight: callers.inFlight(), calls: JSON.stringify(store.callCounts()) });
            close();
            await callers.close();
            await metrics.close();
        },
    };
};
