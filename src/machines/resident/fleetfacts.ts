/**
 * What resident hosts tell one another without the store: requests that crash targets, targets that leave, limits of
 * targets, coordinators of pools, and which hosts are there.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerDialer, PeerService } from "../../links/peers.ts";
import { digestHash } from "../../zones/digesthash.ts";
import { rankedBefore, rankedBeforeByCapacity, rankGossipPeers } from "../../zones/gossippeers.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";
import {
    coordinatorGossipSchema,
    type CoordinatorNews,
    createCoordinatorNews,
    retiredGossipKind,
    termGossipKind,
} from "./coordinatornews.ts";
import {
    absentGossipKind,
    absentGossipSchema,
    createGoneHosts,
    presencePath,
    presentGossipKind,
    presentGossipSchema,
} from "./gonehosts.ts";
import { createGossip, type Gossip, gossipPath } from "./gossip.ts";
import { keepLastResult } from "./lastresult.ts";
import type { Processes } from "./processes.ts";
import { crashGossipKind, crashGossipSchema, createSuspicions, type Suspicions } from "./suspicions.ts";
import { createTargetLimits, isColdGroup, limitsPath, type TargetLimits } from "./targetlimits.ts";
import {
    createTargetNotices,
    leavingGossipKind,
    leavingGossipSchema,
    limitGossipKind,
    limitGossipSchema,
    type TargetNotices,
} from "./targetnotices.ts";
import type { TargetRegistry } from "./targetregistry.ts";
import type { TargetStates } from "./targetstates.ts";

export type FleetFacts = {
    suspicions: Suspicions;
    notices: TargetNotices;
    limits: TargetLimits;
    coordinators: CoordinatorNews;
    /** See `Gossip`. */
    waitUntilTold: Gossip["waitUntilTold"];
    /** Services that other hosts connect to, by path. */
    services: Record<string, PeerService>;
};

export type FleetFactsOptions = {
    self: ReaderCandidate;
    /** Name of this process. */
    process: string;
    processes: Pick<Processes, "hosts" | "others" | "remove">;
    /** Whether it is for this host to remove the registrations of hosts that are gone. */
    removesHosts: () => boolean;
    registry: Pick<TargetRegistry, "markLeaving">;
    targetStates: Pick<TargetStates, "get">;
    dial: PeerDialer;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Starts to tell other hosts, and to learn from them. */
export const createFleetFacts = (options: FleetFactsOptions): FleetFacts => {
    const { self, processes, registry, targetStates, dial, random, clock, log, metrics, signal } = options;
    const { hosts } = processes;
    const gossipPeersFor = keepLastResult((known: readonly ReaderCandidate[]) =>
        rankGossipPeers(digestHash, self, known)
    );
    const gossip = createGossip({
        self: self.name,
        kinds: {
            [crashGossipKind]: crashGossipSchema,
            [leavingGossipKind]: leavingGossipSchema,
            [limitGossipKind]: limitGossipSchema,
            [absentGossipKind]: absentGossipSchema,
            [presentGossipKind]: presentGossipSchema,
            [termGossipKind]: coordinatorGossipSchema,
            [retiredGossipKind]: coordinatorGossipSchema,
        },
        peers: () => gossipPeersFor(hosts()),
        dial,
        clock,
        log,
        metrics,
        signal,
    });
    const limits = createTargetLimits({
        rankedBefore: group =>
            (isColdGroup(group) ? rankedBeforeByCapacity : rankedBefore)(digestHash, `limits/${group}`, self, hosts()),
        dial,
        clock,
        log,
        metrics,
        signal,
    });
    const goneHosts = createGoneHosts({
        self: self.name,
        processes,
        isResponsible: options.removesHosts,
        gossip,
        dial,
        clock,
        log,
        metrics,
        signal,
    });
    return {
        suspicions: createSuspicions({ gossip, targetStates, random, clock, log, metrics }),
        notices: createTargetNotices({
            gossip,
            onLeaving: registry.markLeaving,
            onLimit: limits.prepare,
            clock,
            log,
            metrics,
        }),
        limits,
        coordinators: createCoordinatorNews(options.process, gossip),
        waitUntilTold: gossip.waitUntilTold,
        services: { [gossipPath]: gossip.service, [limitsPath]: limits.service, [presencePath]: goneHosts.service },
    };
};
