/**
 * The leases of coordinators: this host takes the lease of a pool when it is its turn, by a conditional write.
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
import type { PlatformLink } from "../links/platform.ts";
import { writeOnce } from "./conditionalwrite.ts";
import type { Heartbeat } from "./heartbeat.ts";
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
    signal: AbortSignal;
};

export type Leases = {
    /** Whether this host holds the lease of the pool. */
    holds: (pool: string) => boolean;
    /** The host that holds the lease of the pool; undefined when none does. */
    holder: (pool: string) => string | undefined;
    /** Why a lease that should be taken could not be; undefined when there is nothing to report. */
    waitingReason: (pool: string) => string | undefined;
};

const roundMilliseconds = 100;
/** Time that the links to a new host may take before its silence counts. */
const newMilliseconds = 2_000;
const firstRetryMilliseconds = 200;
const maxRetryMilliseconds = 2_000;
const firstAloneMilliseconds = 2_000;
const maxAloneMilliseconds = 60_000;
const leaseName = (pool: string): string => `coordinator-${pool}`;

/** `aloneMilliseconds` is how long a host that hears no other waits before it takes a lease that another holds. */
type Attempt = { notBefore: number; delay: number; aloneMilliseconds: number; reason: string | undefined };

/** Starts to watch over the leases of all pools until the signal aborts. */
export const createLeases = (options: LeasesOptions): Leases => {
    const { host, incarnation, objects, heartbeat, clock, log, signal } = options;
    const startedAt = clock.now();
    const goneSince = new Map<string, number>();
    const seenSince = new Map<string, number>();
    const heardSince = new Map<string, number>();
    const attempts = new Map<string, Attempt>();
    let aloneSince: number | undefined;

    const heldOf = (pool: string): Lease | undefined => objects.get("leases", leaseName(pool))?.value;

    const isGone = (name: string): boolean => {
        const status = objects.get("status", name)?.value;
        const isLeft = status === undefined || status.state === "leaving";
        const isNew = clock.now() - (seenSince.get(name) ?? clock.now()) < newMilliseconds;
        return name !== host && (isLeft || (!isNew && (heartbeat.isLost(name) || heartbeat.hearsNoHost())));
    };

    const liveHosts = (): string[] =>
        objects.list("status")
            .filter(({ name, value }) => value.state === "live" && (name === host || heartbeat.heardHosts().has(name)))
            .map(({ name }) => name);

    const noteHosts = (now: number): void => {
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

    const viewOf = (pool: string, now: number): LeaseView => {
        const ranked = options.ranking(pool, liveHosts());
        const held = heldOf(pool);
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
            aloneMilliseconds: firstAloneMilliseconds,
            reason: undefined,
        };
        attempts.set(pool, attempt);
        const view = viewOf(pool, now);
        if (!shouldTakeLease(view, defaultLeaseOptions)) {
            attempt.reason = undefined;
            return;
        }
        if (now < attempt.notBefore) {
            return;
        }
        if (aloneSince !== undefined && view.held !== undefined && view.held.holder !== host) {
            if (now - aloneSince < attempt.aloneMilliseconds) {
                return;
            }
            attempt.aloneMilliseconds = Math.min(maxAloneMilliseconds, attempt.aloneMilliseconds * 2);
        }
        void take(pool, attempt);
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            const now = clock.now();
            noteHosts(now);
            for (const { name } of objects.list("pools")) {
                check(name, now);
            }
            await clock.sleep(roundMilliseconds, signal);
        }
    };

    void run();
    return {
        holds: pool => holdsLease(viewOf(pool, clock.now())),
        holder: pool => heldOf(pool)?.holder,
        waitingReason: pool => attempts.get(pool)?.reason,
    };
};
