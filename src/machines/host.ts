/**
 * An entry host. It creates the tasks and links of this process, connects them and disposes of them.
 */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../contracts/clock.ts";
import type { Finding } from "../contracts/finding.ts";
import type { HostStatus } from "../contracts/objects.ts";
import type { Reason } from "../contracts/outcome.ts";
import type { Target } from "../contracts/pool.ts";
import type { Settings } from "../contracts/settings.ts";
import { type DescriptorPart, descriptorParts } from "../decisions/descriptors.ts";
import { createSlotHash } from "../decisions/hash.ts";
import type { AdmissionBlock } from "../decisions/isolation.ts";
import { createRevisionTracker } from "../decisions/revisiontracker.ts";
import { createCallerProtocol } from "../links/callerprotocol.ts";
import { createCallerLink } from "../links/callers.ts";
import { systemClock } from "../links/clock.ts";
import { limitConnections } from "../links/connectionlimit.ts";
import { createDescriptors, readOpenFilesLimit } from "../links/descriptors.ts";
import { createHostLinks, type HostTraffic } from "../links/hosts.ts";
import { listenWithRetries } from "../links/listening.ts";
import type { Log } from "../links/logs.ts";
import { createMetrics, type Metrics } from "../links/metrics.ts";
import { createOperatorLink } from "../links/operators.ts";
import { createPlatformLink } from "../links/platform.ts";
import { createFleet, type FleetReport } from "./fleet.ts";
import { repeatTask, runAlone } from "./longtasks.ts";
import { createObjectView, type ObjectState } from "./objects.ts";
import { createOwnership, type OwnershipReport } from "./ownership.ts";
import { createRequestPath, type RequestReport } from "./requestpath.ts";
import { createTargetViews } from "./target.ts";

export type HostOptions = {
    settings: Settings;
    /** Shared keys of the links between hosts. The host signs with the first and accepts all. */
    peerKeys: Buffer[];
    /** Bearer token that the host presents to the platform. */
    platformToken?: string;
    log: Log;
    /** Created from the settings by default, and then closed with the host. */
    metrics?: Metrics;
    /** The system clock by default. */
    clock?: Clock;
    /** Ends the wait for an address that can not be opened yet, and with it the start. */
    startSignal?: AbortSignal;
};

/** The status of a host, which its operators' endpoint returns as JSON. */
export type HostReport = {
    host: string;
    zone: string;
    incarnation: string;
    state: "starting" | "live" | "leaving";
    inFlight: number;
    peers: string[];
    platformCalls: Record<string, number>;
    /** Version and state of each object on this host. */
    objects: ObjectState[];
    /** Newest accepted version of each object, by `kind/name`. */
    versions: Record<string, number>;
    fleet: FleetReport;
    /** Bytes sent and received on links between hosts. */
    peerTraffic: HostTraffic;
    findings: Finding[];
    ownership: OwnershipReport;
    counters: Record<string, number>;
} & RequestReport;

/** Version of one object on a host, which the operators' endpoint returns as JSON. */
export type HostObjectStatus = {
    host: string;
    incarnation: string;
    /** Why the host admits no requests; undefined while it admits them. */
    bar: AdmissionBlock | undefined;
    /** Newest accepted version; 0 for none. */
    version: number;
    /** Version that is in force; 0 for none. */
    inForce: number;
    /** When the version in force came into force, in milliseconds since the epoch. */
    since: number;
};

export type Host = {
    name: string;
    callerAddress: string;
    operatorAddress: string;
    peerAddress: string;
    report: () => HostReport;
    /** Stops gracefully: fails the health check of the balancer, finishes requests in flight and closes all sockets. */
    stop: () => Promise<void>;
    /** Closes all sockets at once. Requests in flight are aborted. */
    kill: () => Promise<void>;
};

/** Time for the balancer to notice the failed health check before the host stops accepting connections. */
const balancerNoticeMilliseconds = 200;
const stopPollMilliseconds = 10;
const descriptorReportIntervalMilliseconds = 5_000;

/** How a host refuses requests while it may not admit any. */
const barRefusals: Record<AdmissionBlock, { reason: Reason; detail: string }> = {
    starting: { reason: "host-starting", detail: "The host has not caught up with the platform yet." },
    paused: { reason: "host-starting", detail: "The host was paused and has not caught up yet." },
    isolated: { reason: "host-isolated", detail: "The host hears neither the platform nor a majority of the hosts." },
    replaced: { reason: "host-stopping", detail: "Another process has taken the host's place." },
};

/**
 * Starts a host. Resolves when all its sockets listen, which may be before the host has read the platform. Waits for an
 * address that another process holds; rejects when `startSignal` aborts meanwhile.
 *
 * @example
 * const host = await createHost({ settings, peerKeys: [key], log });
 * await host.stop();
 */
export const createHost = async (options: HostOptions): Promise<Host> => {
    const { settings, log } = options;
    const clock = options.clock ?? systemClock;
    const { name, zone, address, size, sourceAddress } = settings.host;
    const incarnation = randomUUID();
    const lifetime = new AbortController();
    const { signal } = lifetime;
    setMaxListeners(0, signal);
    const metrics = options.metrics ?? createMetrics(settings.metrics);
    const { timeoutMilliseconds, url } = settings.platform;
    const platform = createPlatformLink({ url, timeoutMilliseconds, token: options.platformToken, sourceAddress });
    const objects = createObjectView();
    const revisionTracker = createRevisionTracker();
    const slotHash = await createSlotHash();
    const { limit, files } = settings.descriptors;
    const limits = { process: readOpenFilesLimit(), stated: limit === 0 ? undefined : limit, files };
    const descriptors = createDescriptors({ limits, clock, log, metrics });
    const limitOf =
        (part: DescriptorPart) =>
        (server: Server, isIdle?: (socket: Socket) => boolean, close?: (socket: Socket) => void): void =>
            limitConnections(server, { part, descriptors, clock }, isIdle, close);
    const connectionsOf = (target: Target): number => Math.max(1, Math.floor(target.connections / 2));
    const views = createTargetViews(connectionsOf, sourceAddress, descriptors);
    let state: HostReport["state"] = "starting";
    let markReady: () => void = () => undefined;
    const ready = new Promise<void>(resolve => {
        markReady = resolve;
    });

    /** Close what this host has opened. */
    const closers: Array<() => Promise<void>> = [views.close, platform.close];
    if (options.metrics === undefined) {
        closers.push(metrics.close);
    }
    const dispose = async (): Promise<void> => {
        lifetime.abort();
        await Promise.all(closers.map(close => close()));
    };
    const listening = { clock, log, metrics, signal: options.startSignal ?? signal };
    /** Opens an address of this host, and closes what was opened before if that fails for good. */
    const open = async <Endpoint>(part: string, port: number, listen: () => Promise<Endpoint>): Promise<Endpoint> => {
        try {
            return await listenWithRetries({ name: part, address: `${address}:${port}` }, listen, listening);
        }
        catch (error) {
            await dispose();
            throw error;
        }
    };

    /** Number of unfinished requests; none before the callers' address is open. */
    let inFlight = (): number => 0;
    const openLinks = () =>
        createHostLinks({
            name,
            zone,
            incarnation,
            bindAddress: address,
            port: settings.peers.port,
            limitConnections: limitOf(descriptorParts.hosts),
            descriptors,
            sourceAddress,
            sharedKeys: options.peerKeys,
            maxFrameBytes: settings.peers.maxFrameBytes,
            queueLength: settings.peers.queueLength,
            clock,
            log,
            metrics,
            signal,
        });
    const hosts = await open("links", settings.peers.port, openLinks);
    const ownStatus = (): HostStatus => ({
        zone,
        incarnation,
        peerAddress: settings.peers.announcedAddress ?? hosts.address,
        operatorAddress: operators.address,
        size,
        state: state === "leaving" ? "leaving" : "live",
        isolationMilliseconds: settings.isolationMilliseconds,
    });

    const fleet = createFleet({
        settings,
        incarnation,
        platform,
        objects,
        revisionTracker,
        links: hosts,
        slotHash,
        ownStatus,
        clock,
        log,
        metrics,
        signal,
    });
    const ownership = createOwnership({
        host: name,
        incarnation,
        platform,
        objects,
        views,
        revisionTracker,
        links: hosts,
        slotHash,
        settings: settings.ownership,
        longestDeadlineMilliseconds: settings.callers.maxDeadlineMilliseconds,
        unfinishedBelow: (pool, revision) => requests.unfinishedBelow(pool, revision),
        clock,
        log,
        metrics,
        signal,
    });
    const requests = createRequestPath({
        settings,
        objects,
        views,
        revisionTracker,
        slotHash,
        hosts,
        countLoad: ownership.loads.count,
        announcedAt: fleet.announcedAt,
        ready,
        clock,
        log,
        metrics,
        signal,
    });
    const isHealthy = (): boolean => state === "live" && fleet.admissionBlock() === undefined;
    const openCallers = () =>
        createCallerLink({
            bindAddress: address,
            settings: settings.callers,
            protocol: createCallerProtocol(settings.callers),
            limitConnections: limitOf(descriptorParts.callers),
            clock,
            serve: async request => {
                const bar = fleet.admissionBlock();
                return bar === undefined ? requests.serve(request) : { kind: "refusal", ...barRefusals[bar] };
            },
            onDone: requests.recordDone,
            onMalformed: requests.recordMalformed,
            onException: (error, request) =>
                log.error("request-exception", {
                    request,
                    error: error instanceof Error ? error.stack : String(error),
                }),
            healthy: isHealthy,
        });

    const report = (): HostReport => ({
        host: name,
        zone,
        incarnation,
        state,
        inFlight: inFlight(),
        peers: hosts.connected(),
        platformCalls: platform.callCounts(),
        objects: objects.states(),
        versions: Object.fromEntries(objects.stored().map(item => [`${item.kind}/${item.name}`, item.version])),
        fleet: fleet.report(),
        peerTraffic: hosts.traffic(),
        findings: objects.findings(),
        ownership: ownership.report(),
        counters: metrics.snapshot(),
        ...requests.report(),
    });

    const openOperators = () =>
        createOperatorLink({
            bindAddress: address,
            port: settings.operators.port,
            limitConnections: limitOf(descriptorParts.health),
            healthy: isHealthy,
            status: report,
            objectStatus: (kind, object): HostObjectStatus => {
                const status = objects.states().find(item => item.kind === kind && item.name === object);
                const { version, inForce, since } = status ?? { version: 0, inForce: 0, since: 0 };
                return { host: name, incarnation, bar: fleet.admissionBlock(), version, inForce, since };
            },
        });
    const operators = await open("operators", settings.operators.port, openOperators);
    closers.push(operators.close);
    // Last, since a host that is asked to stop while it waits for another address has no requests to complete.
    const callers = await open("callers", settings.callers.port, openCallers);
    closers.push(callers.close);
    inFlight = callers.inFlight;
    void repeatTask("descriptors", () => descriptorReportIntervalMilliseconds, descriptors.report, {
        clock,
        log,
        metrics,
        signal,
    });
    const start = async (): Promise<void> => {
        await fleet.start();
        state = "live";
        markReady();
        log.info("host-live", { host: name, zone, callers: callers.address });
    };
    void runAlone("start", start, { log, metrics });

    return {
        name,
        callerAddress: callers.address,
        operatorAddress: operators.address,
        peerAddress: hosts.address,
        report,
        stop: async () => {
            state = "leaving";
            log.info("host-leaving", { host: name, inFlight: callers.inFlight() });
            await fleet.announceLeaving();
            await clock.sleep(balancerNoticeMilliseconds);
            await callers.stopAccepting();
            while (callers.inFlight() > 0) {
                await clock.sleep(stopPollMilliseconds);
            }
            await fleet.removeAnnouncement();
            await dispose();
            log.info("host-stopped", { host: name });
        },
        kill: dispose,
    };
};
