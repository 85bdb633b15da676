/**
 * An entry host: this process with its tasks and links. The host owns all of them and disposes of them.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { Finding } from "../contracts/finding.ts";
import type { HostStatus } from "../contracts/objects.ts";
import type { Settings } from "../contracts/settings.ts";
import { createCurrency } from "../decisions/currency.ts";
import { createSlotHash } from "../decisions/hash.ts";
import { createCallerLink } from "../links/callers.ts";
import { systemClock } from "../links/clock.ts";
import { createHostLinks } from "../links/hosts.ts";
import type { Log } from "../links/logs.ts";
import { createMetrics } from "../links/metrics.ts";
import { createOperatorLink } from "../links/operators.ts";
import { createPlatformLink, type PlatformLink } from "../links/platform.ts";
import { createCoordinator } from "./coordinator.ts";
import { createFollower } from "./follower.ts";
import { createObjectView } from "./objects.ts";
import { createRenewer } from "./renewer.ts";
import { createRequestPath, type RequestReport } from "./requests.ts";
import { createTargetViews } from "./target.ts";

export type HostOptions = {
    settings: Settings;
    /** Shared keys of the links between hosts: the first signs, all are accepted. */
    peerKeys: Buffer[];
    /** Bearer token for the platform. */
    platformToken?: string;
    log: Log;
    clock?: Clock;
};

export type HostReport = {
    host: string;
    zone: string;
    incarnation: string;
    state: "starting" | "live" | "leaving";
    inFlight: number;
    peers: string[];
    platformCalls: Record<string, number>;
    /** Bytes on the links to other hosts so far. */
    peerTraffic: { sentBytes: number; receivedBytes: number };
    versions: Record<string, number>;
    findings: Finding[];
    counters: Record<string, number>;
} & RequestReport;

export type Host = {
    name: string;
    callerAddress: string;
    operatorAddress: string;
    peerAddress: string;
    report: () => HostReport;
    /** Graceful shutdown: leaves the balancer, finishes what is in flight, closes every socket. */
    stop: () => Promise<void>;
    /** Ends at once; what is in flight is cut off. */
    kill: () => Promise<void>;
};

const balancerNoticeMilliseconds = 200;
const stopPollMilliseconds = 10;

const announce = async (platform: PlatformLink, name: string, status: HostStatus): Promise<void> => {
    const current = await platform.get("status", name);
    await platform.put({
        kind: "status",
        name,
        value: status,
        ifVersion: current?.version ?? 0,
        writeId: randomUUID(),
    });
};

/**
 * Starts a host and resolves when all its sockets listen.
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
    const life = new AbortController();
    const { signal } = life;
    const metrics = createMetrics(settings.metrics);
    const { timeoutMilliseconds, url } = settings.platform;
    const platform = createPlatformLink({ url, timeoutMilliseconds, token: options.platformToken, sourceAddress });
    const objects = createObjectView();
    const currency = createCurrency();
    const slotHash = await createSlotHash();
    const views = createTargetViews(target => Math.max(1, Math.floor(target.connections / 2)), sourceAddress);
    let state: HostReport["state"] = "starting";

    const hosts = await createHostLinks({
        name,
        zone,
        incarnation,
        host: address,
        port: settings.peers.port,
        sourceAddress,
        keys: options.peerKeys,
        maxFrameBytes: settings.peers.maxFrameBytes,
        queueLength: settings.peers.queueLength,
        clock,
        log,
        metrics,
        signal,
    });
    const { freshnessMilliseconds, renewalMilliseconds, timeToLiveMilliseconds } = settings.ownership;
    const follower = createFollower({ platform, objects, currency, freshnessMilliseconds, clock, log, signal });
    const requests = createRequestPath({
        settings,
        objects,
        views,
        currency,
        slotHash,
        hosts,
        ready: follower.ready,
        clock,
        log,
        metrics,
        signal,
    });
    const callers = await createCallerLink({
        host: address,
        settings: settings.callers,
        clock,
        serve: requests.serve,
        onDone: requests.noteDone,
        onMalformed: requests.noteMalformed,
        healthy: () => state === "live",
    });

    const report = (): HostReport => ({
        host: name,
        zone,
        incarnation,
        state,
        inFlight: callers.inFlight(),
        peers: hosts.connected(),
        platformCalls: platform.calls(),
        peerTraffic: hosts.traffic(),
        versions: Object.fromEntries(objects.stored().map(item => [`${item.kind}/${item.name}`, item.version])),
        findings: objects.findings(),
        counters: metrics.snapshot(),
        ...requests.report(),
    });

    const operators = await createOperatorLink({
        host: address,
        port: settings.operators.port,
        healthy: () => state === "live",
        status: report,
    });
    const ownStatus = (): HostStatus => ({
        zone,
        incarnation,
        peerAddress: settings.peers.announcedAddress ?? hosts.address,
        operatorAddress: operators.address,
        size,
        state: state === "leaving" ? "leaving" : "live",
    });

    objects.onChange("status", () => {
        hosts.setPeers(objects.list("status").map(item => ({ name: item.name, address: item.value.peerAddress })));
    });
    createRenewer({
        host: name,
        objects,
        views,
        currency,
        renewalMilliseconds,
        timeToLiveMilliseconds,
        clock,
        log,
        signal,
    });
    createCoordinator({
        host: name,
        platform,
        objects,
        candidates: () => objects.list("status").map(item => ({ name: item.name, zone: item.value.zone })),
        clock,
        log,
        signal,
    });

    const tryToAnnounce = async (): Promise<void> => {
        try {
            await announce(platform, name, ownStatus());
        }
        catch (error) {
            log.warn("announcement-failed", { error: messageOf(error) });
        }
    };

    void follower.ready.then(async () => {
        state = "live";
        log.info("host-live", { host: name, zone, callers: callers.address });
        await tryToAnnounce();
    });

    const dispose = async (): Promise<void> => {
        life.abort();
        await Promise.all([callers.close(), operators.close(), views.close(), platform.close(), metrics.close()]);
    };

    return {
        name,
        callerAddress: callers.address,
        operatorAddress: operators.address,
        peerAddress: hosts.address,
        report,
        stop: async () => {
            state = "leaving";
            log.info("host-leaving", { host: name, inFlight: callers.inFlight() });
            await tryToAnnounce();
            await clock.sleep(balancerNoticeMilliseconds);
            callers.stopAccepting();
            while (callers.inFlight() > 0) {
                await clock.sleep(stopPollMilliseconds);
            }
            await dispose();
            log.info("host-stopped", { host: name });
        },
        kill: dispose,
    };
};
