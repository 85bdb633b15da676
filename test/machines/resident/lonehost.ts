/**
 * A resident host without a store, for tests of what it makes of the bytes that targets send.
 */
import { platformObjects } from "../../../platform/objects.ts";
import { callerProtocol, targetProtocol } from "../../../platform/protocols.ts";
import type { ConnectionEnd } from "../../../src/links/callerconnections.ts";
import { createCallerLink } from "../../../src/links/callers.ts";
import { systemClock } from "../../../src/links/clock.ts";
import type { Descriptors } from "../../../src/links/descriptors.ts";
import { type Log, silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createGateway } from "../../../src/machines/resident/gateway.ts";
import { createOwnershipCache } from "../../../src/machines/resident/ownershipcache.ts";
import { createRouteTableHolder } from "../../../src/machines/resident/routetableholder.ts";
import type { Suspicions } from "../../../src/machines/resident/suspicions.ts";
import { createTargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createTargetStates, type TargetStates } from "../../../src/machines/resident/targetstates.ts";
import { noLimits, noNotices } from "./nonotices.ts";
import { noSuspicions } from "./nosuspicions.ts";

export type HostOptions = {
    /** Addresses of the targets. */
    addresses: string[];
    kind?: "safe" | "unsafe";
    timeoutMilliseconds: number;
    maxAttempts?: number;
    descriptors?: Descriptors;
    /** Path of the targets' health check; none by default. */
    healthPath?: string;
    log?: Log;
    /** Creates the suspicions of the host; it suspects no request by default. */
    createSuspicions?: (targetStates: TargetStates) => Suspicions;
};

/** Starts a host without a store, whose only pool has these targets. */
export const startHost = async (
    {
        addresses,
        kind = "safe",
        timeoutMilliseconds,
        maxAttempts = 1,
        descriptors,
        healthPath,
        log = silentLog,
        createSuspicions = () => noSuspicions,
    }: HostOptions,
) => {
    const lifetime = new AbortController();
    const common = { clock: systemClock, log: silentLog, signal: lifetime.signal };
    const tables = createRouteTableHolder({ decode: platformObjects.decodeTable, log: silentLog });
    const route = {
        host: "orders.example",
        pathPrefix: "/",
        kind,
        timeout: `${timeoutMilliseconds}ms`,
        targetLatency: "400ms",
        service: "orders",
        maxAttempts,
    };
    const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeout: "3s", idleTimeout: "15s" };
    const spec = {
        version: "r1",
        routes: { r: route },
        services: { orders: { maxConnections: 100, healthPath } },
        limits,
    };
    tables.put({ name: "main", revision: 1, value: spec });
    const registry = createTargetRegistry({ decode: platformObjects.decodeTarget, reachableSince: () => 0, ...common });
    const views = createTargetStates({
        registry,
        findPool: name => tables.current()?.table.pools.get(name),
        sharingHosts: () => ({ count: 1, place: 0, isSettled: true }),
        requestsOfOthers: () => undefined,
        recordOwnRequests: () => undefined,
        descriptors,
        ...common,
    });
    registry.applyList(
        addresses.map((address, index) => ({
            name: `i-${index + 1}`,
            revision: index + 1,
            value: { service: "orders", address, zone: "z", slots: 2, state: "ready", born: 1 },
        })),
        addresses.length,
    );
    const gateway = createGateway({
        suspicions: createSuspicions(views),
        notices: noNotices,
        limits: noLimits,
        routeTable: tables,
        targetStates: views,
        ownerships: createOwnershipCache(systemClock, silentLog, lifetime.signal),
        protocol: targetProtocol,
        zone: "z",
        retryRatio: 0.2,
        retrySlack: () => 10,
        recordKey: () => undefined,
        recordWork: () => undefined,
        requestsOfOthers: () => undefined,
        random: () => 0.5,
        clock: systemClock,
        log,
        metrics: createMetrics(),
    });
    const ends: ConnectionEnd[] = [];
    const link = await createCallerLink({
        bindAddress: "127.0.0.1",
        settings: { port: 0, maxHeadBytes: 16_384, maxBodyBytes: 65_536, maxBufferedBodyBytes: 1_048_576 },
        protocol: callerProtocol,
        clock: systemClock,
        serve: gateway.serve,
        onDone: () => undefined,
        onMalformed: () => undefined,
        onConnectionEnd: end => ends.push(end),
        healthy: () => true,
    });
    const close = async (): Promise<void> => {
        lifetime.abort();
        await link.close();
    };
    return { link, ends, close };
};
