/**
 * The addresses on which a host listens: health, metrics, links of other hosts, and callers.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../contracts/clock.ts";
import type { ResidentSettings } from "../../contracts/residentsettings.ts";
import { type DescriptorPart, descriptorParts } from "../../decisions/descriptors.ts";
import type { CallerLink, createCallerLink } from "../../links/callers.ts";
import { limitConnections } from "../../links/connectionlimit.ts";
import type { Descriptors } from "../../links/descriptors.ts";
import { type HttpEndpointAnswer, openHttpEndpoint } from "../../links/httpendpoint.ts";
import { listenWithRetries } from "../../links/listening.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import { openPeerEndpoint, type PeerService } from "../../links/peers.ts";

/** What of a link for callers follows from its address. */
export type CallersEndpoint = Pick<Parameters<typeof createCallerLink>[0], "bindAddress" | "limitConnections"> & {
    port: number;
};

export type HostAddressesOptions = {
    settings: Pick<ResidentSettings, "health" | "metrics" | "links" | "callers">;
    isReady: () => boolean;
    /** Returns all metrics as text. */
    metricsText: () => string;
    /** Services for other hosts, by their paths. */
    services: Readonly<Record<string, PeerService>>;
    /** Called when other hosts can connect. */
    onLinksOpen: () => void;
    openCallers: (endpoint: CallersEndpoint) => Promise<CallerLink>;
    descriptors: Descriptors;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    /** Ends the wait for addresses that can not be opened yet. */
    startSignal: AbortSignal;
    signal: AbortSignal;
};

/** Opens all addresses, the callers' last, and waits for those that another process still has. */
export const openHostAddresses = async (options: HostAddressesOptions): Promise<CallerLink> => {
    const { settings, services, descriptors, clock, log, metrics, startSignal, signal } = options;
    const limitOf =
        (part: DescriptorPart) =>
        (server: Server, isIdle?: (socket: Socket) => boolean, close?: (socket: Socket) => void): void =>
            limitConnections(server, { part, descriptors, clock }, isIdle, close);
    const listening = { clock, log, metrics, signal: startSignal };

    const openEndpoint = (
        part: "health" | "metrics",
        listen: string,
        answer: () => HttpEndpointAnswer,
    ): Promise<void> => {
        const open = (): Promise<void> => openHttpEndpoint(listen, answer, signal, limitOf(descriptorParts[part]));
        return listenWithRetries({ name: part, address: listen }, open, listening);
    };
    const openMetrics = (listen: string): Promise<void> =>
        openEndpoint("metrics", listen, () => {
            descriptors.report();
            return { statusCode: 200, contentType: "text/plain; version=0.0.4", body: options.metricsText() };
        });
    const openLinks = (): Promise<void> =>
        openPeerEndpoint(
            settings.links.listen,
            services,
            { descriptors, log, metrics, signal },
            limitOf(descriptorParts.hosts),
        );
    const openCallers = (): Promise<CallerLink> => {
        const [bindAddress, port] = settings.callers.listen.split(":");
        const limit = limitOf(descriptorParts.callers);
        return options.openCallers({ bindAddress, port: Number(port), limitConnections: limit });
    };

    // Each tells what the start waits for, so neither waits for the other.
    await Promise.all([
        openEndpoint("health", settings.health.listen, () => ({
            statusCode: options.isReady() ? 200 : 503,
            contentType: "text/plain",
            body: "",
        })),
        settings.metrics === undefined ? undefined : openMetrics(settings.metrics.listen),
    ]);
    await listenWithRetries({ name: "links", address: settings.links.listen }, openLinks, listening);
    options.onLinksOpen();
    // Last, since a host that is asked to stop while it waits for another address has no requests to complete.
    return listenWithRetries({ name: "callers", address: settings.callers.listen }, openCallers, listening);
};
