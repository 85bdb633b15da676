/**
 * The tasks of one host that decide which target owns which keys: renewer, prober, witness, heartbeat, leases and
 * coordinator, wired together.
 */
import type { Clock } from "../contracts/clock.ts";
import { divisions } from "../contracts/pool.ts";
import type { Settings } from "../contracts/settings.ts";
import type { Candidate } from "../decisions/assign.ts";
import { defaultProbeOptions } from "../decisions/detect.ts";
import type { SlotHash } from "../decisions/hash.ts";
import type { RevisionTracker } from "../decisions/revisiontracker.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import type { PlatformLink } from "../links/platform.ts";
import { rankHosts } from "../zones/relays.ts";
import type { AssignerReport } from "./assigner.ts";
import { createCoordinator } from "./coordinator.ts";
import { createHeartbeat } from "./heartbeat.ts";
import { createLeases } from "./leases.ts";
import { createLoadCounter, type LoadCounter } from "./loads.ts";
import type { ObjectView } from "./objects.ts";
import { createPeers, type Peers } from "./peers.ts";
import { startProber } from "./prober.ts";
import { createRenewer } from "./renewer.ts";
import type { TargetViews } from "./target.ts";
import { startWitness } from "./witness.ts";

export type OwnershipOptions = {
    host: string;
    incarnation: string;
    platform: Pick<PlatformLink, "get" | "put">;
    objects: ObjectView;
    views: TargetViews;
    revisionTracker: RevisionTracker;
    links: Peers;
    slotHash: SlotHash;
    settings: Settings["ownership"];
    /** Maximum time for which a request may run at a target. */
    longestDeadlineMilliseconds: number;
    /** Number of unfinished requests for owned keys of the pool that were sent under a revision below `revision`. */
    unfinishedBelow: (pool: string, revision: number) => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type PoolOwnership = {
    /** Revision of the assignment in force; 0 when there is none. */
    revision: number;
    /** The host that holds the lease of the pool; undefined when none does. */
    coordinator: string | undefined;
    /** Milliseconds for which this host may still act on the revision. */
    currentMilliseconds: number;
    /** Reasons why a decision is pending or the revision may not be used; empty when there are none. */
    waiting: string[];
    /** Present only on the coordinator of the pool. */
    assigner: AssignerReport | undefined;
};

/** `hostsHeard` names the hosts whose heartbeats this host receives. */
export type OwnershipReport = { hostsHeard: string[]; pools: Record<string, PoolOwnership> };

export type Ownership = { loads: LoadCounter; report: () => OwnershipReport };

/** A live host that this host alone does not hear stays a candidate for this long. */
const unheardMilliseconds = 1_500;

/** Starts all ownership tasks. They run until the signal aborts. */
export const createOwnership = (options: OwnershipOptions): Ownership => {
    const { host, objects, revisionTracker, clock, settings } = options;
    const peers = createPeers(host, options.links, options.log);
    const ranking = (pool: string, names: readonly string[]): string[] =>
        rankHosts(options.slotHash, `coordinator-${pool}`, names.map(name => ({ name, zone: "" }))).map(({ name }) =>
            name
        );
    const timing = { ...settings, longestDeadlineMilliseconds: options.longestDeadlineMilliseconds };
    const heartbeat = createHeartbeat({ ...options, peers });
    const leases = createLeases({ ...options, heartbeat, ranking });
    const coordinatorOf = (pool: string): string | undefined => leases.holder(pool);
    const slotOf = (pool: string, key: string): number =>
        options.slotHash(key, objects.get("pools", pool)?.value.slotCount ?? 1);
    const lastLiveAt = new Map<string, number>();
    const everHeard = new Set<string>();

    /**
     * Hosts that an assignment may name. A host that most others do not hear either is excluded at once, since requests
     * wait for its successor as claim keeper. A host that only this one does not hear stays a candidate for a while,
     * since its link may come back.
     */
    const candidates = (): Candidate[] => {
        const now = clock.now();
        const heard = heartbeat.heardHosts();
        heard.forEach(name => everHeard.add(name));
        const isLost = (name: string): boolean => everHeard.has(name) && heartbeat.isLost(name);
        const live = objects.list("status").filter(({ value }) => value.state === "live");
        for (const { name } of live) {
            if (name === host || heard.has(name) || !lastLiveAt.has(name)) {
                lastLiveAt.set(name, now);
            }
        }
        return live
            .filter(({ name }) => !isLost(name) && now - (lastLiveAt.get(name) ?? now) < unheardMilliseconds)
            .map(({ name, value }) => ({ name, zone: value.zone }));
    };

    const renewer = createRenewer({ ...options, ...settings, peers, slotOf });
    startWitness({
        ...options,
        peers,
        timing,
        freshnessMilliseconds: settings.freshnessMilliseconds,
        onAssignmentAccepted: renewer.renewNow,
    });
    startProber({
        ...options,
        probedTargets: renewer.probedTargets,
        coordinatorOf,
        peers,
        probe: defaultProbeOptions,
    });
    const coordinator = createCoordinator({
        ...options,
        peers,
        leases,
        candidates,
        slotOf,
        timing,
    });

    const reportPool = (pool: string, assigner: AssignerReport | undefined): PoolOwnership => {
        const revision = objects.get("assignments", pool)?.value.revision ?? 0;
        const currentMilliseconds = Math.round(revisionTracker.remaining(pool, revision, clock.now()));
        const isByKey = objects.get("pools", pool)?.value.division === divisions.byKey;
        const notCurrent = isByKey && revision > 0 && currentMilliseconds === 0
            ? `Revision ${revision} is not confirmed, so that this host neither routes nor renews by it.`
            : undefined;
        const waiting = [assigner?.waiting, leases.waitingReason(pool), notCurrent].filter(reason =>
            reason !== undefined
        );
        return { revision, coordinator: leases.holder(pool), currentMilliseconds, waiting, assigner };
    };

    return {
        loads: createLoadCounter({ ...options, coordinatorOf, peers }),
        report: () => {
            const assigners = coordinator.report();
            const names = objects.list("pools").map(pool => pool.name);
            return {
                hostsHeard: [...heartbeat.heardHosts()].sort(),
                pools: Object.fromEntries(names.map(name => [name, reportPool(name, assigners[name])])),
            };
        },
    };
};
