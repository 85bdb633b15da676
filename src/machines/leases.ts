/**
 * The coordinator leases of the pools. This host takes the lease of a pool by a conditional write when it ranks best
 * for the pool, or when the holder is gone and no host that ranks higher has taken the lease in the meantime.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import type { Lease } from "../contracts/objects.ts";
import {
    defaultLeaseOptions,
    holdsLease,
    type HostRanking,
    type LeaseView,
    shouldTakeLease,
} from "../decisions/lease.ts";
import type { Log } from "../links/logs.ts";
import type { Metrics } from "../links/metrics.ts";
import type { PlatformLink } from "../links/platform.ts";
import { writeOnce } from "./conditionalwrite.ts";
import type { Heartbeat } from "./heartbeat.ts";
import { forEachAlone, keepRunning, runAlone } from "./longtasks.ts";
import type { ObjectView } from "./objects.ts";

export type LeasesOptions = {
    host: string;
    incarnation: string;
    platform: Pick<PlatformLink, "get" | "put">;
    objects: ObjectView;
    heartbeat: Heartbeat;
    ranking: HostRanking;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type Leases = {
    /** Whether this host holds the lease of the pool. */
    holds: (pool: string) => boolean;
    /** The host that holds the lease of the pool; undefined when none does. */
    holder: (pool: string) => string | undefined;
    /** Why a lease that this host should take could not be taken; undefined when there is no such lease. */
    waitingReason: (pool: string) => string | undefined;
};

const checkIntervalMilliseconds = 100;
/** Time allowed for linking to a new host before its silence counts. */
const linkingMilliseconds = 2_000;
const firstRetryMilliseconds = 200;
const maxRetryMilliseconds = 2_000;
const firstAloneWaitMilliseconds = 2_000;
const maxAloneWaitMilliseconds = 60_000;
const leaseName = (pool: string): string => `coordinator-${pool}`;

/** Attempts to take the lease of one pool. */
type Attempt = {
    /** Earliest time of the next write. */
    notBefore: number;
    /** Time to wait after the next write, in milliseconds. */
    delay: number;
    /** How long this host waits, while it hears no other host, before it takes a lease that another host holds. */
    aloneWaitMilliseconds: number;
    /** Why the last write failed; undefined when it did not. */
    reason: string | undefined;
};

/** Starts to check the leases of all pools until the signal aborts. */
export const createLeases = (options: LeasesOptions): Leases => {
    const { host, incarnation, objects, heartbeat, clock, log, signal } = options;
    const startedAt = clock.now();
    const goneSince = new Map<string, number>();
    const seenSince = new Map<string, number>();
    const heardSince = new Map<string, number>();
    const attempts = new Map<string, Attempt>();
    let aloneSince: number | undefined;

    const leaseOf = (pool: string): Lease | undefined => objects.get("leases", leaseName(pool))?.value;

    /** Whether the host has left or is leaving, or is lost as far as this host can tell. */
    const isGone = (name: string): boolean => {
        const status = objects.get("status", name)?.value;
        const hasLeft = status === undefined || status.state === "leaving";
        const isNew = clock.now() - (seenSince.get(name) ?? clock.now()) < linkingMilliseconds;
        return name !== host && (hasLeft || (!isNew && (heartbeat.isLost(name) || heartbeat.hearsNoHost())));
    };

    const liveHosts = (): string[] =>
        objects.list("status")
            .filter(({ name, value }) => value.state === "live" && (name === host || heartbeat.heardHosts().has(name)))
            .map(({ name }) => name);

    /** Records since when each host has been known, heard or gone, and since when this host has been alone. */
    const trackHosts = (now: number): void => {
        aloneSince = heartbeat.hearsNoHost() ? aloneSince ?? now : undefined;
        const heard = heartbeat.heardHosts();
        for (const { name } of objects.list("status")) {
            seenSince.set(name, seenSince.get(name) ?? now);
            if (isGone(name)) {
                goneSince.set(name, goneSince.get(name) ?? now);
            }
            else {
                goneSince.delete(name);
            }
            if (heard.has(name)) {
                heardSince.set(name, heardSince.get(name) ?? now);
            }
            else {
                heardSince.delete(name);
            }
        }
    };

    const leaseViewOf = (pool: string, now: number): LeaseView => {
        const ranked = options.ranking(pool, liveHosts());
        const held = leaseOf(pool);
        const gone = held === undefined ? undefined : goneSince.get(held.holder);
        const isListed = held !== undefined && objects.get("status", held.holder) !== undefined;
        const since = ranked[0] === host ? startedAt : heardSince.get(ranked[0] ?? "") ?? now;
        return {
            host,
            incarnation,
            held,
            ranked,
            holderGoneMilliseconds: held !== undefined && !isListed && held.holder !== host
                ? Infinity
                : gone === undefined
                ? undefined
                : now - gone,
            bestHeardMilliseconds: now - since,
        };
    };

    /** Tries to take the lease of the pool by one conditional write. */
    const take = async (pool: string, attempt: Attempt): Promise<void> => {
        const name = leaseName(pool);
        const current = objects.get("leases", name);
        const value: Lease = { holder: host, incarnation, renewal: (current?.value.renewal ?? 0) + 1 };
        const request = {
            kind: "leases",
            name,
            value,
            ifVersion: current?.version ?? 0,
            writeId: randomUUID(),
        } as const;
        attempt.notBefore = Infinity;
        try {
            const result = await writeOnce(options.platform, request, signal);
            if (result.item !== undefined) {
                objects.accept(result.item);
            }
            log.info("lease-taken", { pool, won: result.written });
            attempt.delay = firstRetryMilliseconds;
            attempt.reason = undefined;
        }
        catch (error) {
            attempt.reason = `The lease can not be taken: ${messageOf(error)}`;
            attempt.delay = Math.min(maxRetryMilliseconds, attempt.delay * 2);
            log.warn("lease-failed", { pool, error: messageOf(error) });
        }
        attempt.notBefore = clock.now() + attempt.delay;
    };

    const check = (pool: string, now: number): void => {
        const attempt = attempts.get(pool) ?? {
            notBefore: 0,
            delay: firstRetryMilliseconds,
            aloneWaitMilliseconds: firstAloneWaitMilliseconds,
            reason: undefined,
        };
        attempts.set(pool, attempt);
        const view = leaseViewOf(pool, now);
        if (!shouldTakeLease(view, defaultLeaseOptions)) {
            attempt.reason = undefined;
            return;
        }
        if (now < attempt.notBefore) {
            return;
        }
        if (aloneSince !== undefined && view.held !== undefined && view.held.holder !== host) {
            if (now - aloneSince < attempt.aloneWaitMilliseconds) {
                return;
            }
            attempt.aloneWaitMilliseconds = Math.min(maxAloneWaitMilliseconds, attempt.aloneWaitMilliseconds * 2);
        }
        void runAlone("leases", () => take(pool, attempt), options);
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            const now = clock.now();
            trackHosts(now);
            forEachAlone("leases", objects.list("pools"), ({ name }) => check(name, now), options);
            await clock.sleep(checkIntervalMilliseconds, signal);
        }
    };

    void keepRunning("leases", run, options);
    return {
        holds: pool => holdsLease(leaseViewOf(pool, clock.now())),
        holder: pool => leaseOf(pool)?.holder,
        waitingReason: pool => attempts.get(pool)?.reason,
    };
};
