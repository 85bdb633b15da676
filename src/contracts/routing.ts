/**
 * The route table: which requests go to which pools, how long they may take and how often they may be sent. A host uses
 * one version of it at a time.
 */
import type { RouteKind } from "./pool.ts";

/** The share of a route's requests that goes to one pool, in proportion to its weight. */
export type RouteShare = { pool: string; weight: number };

/** A route in the route table. */
export type TableRoute = {
    name: string;
    /** Host name of the request, in lower case and without a port. */
    host: string;
    /** Path prefix; starts and ends with a slash. */
    prefix: string;
    kind: RouteKind;
    /** Longest time after which the caller gets an answer. */
    timeoutMilliseconds: number;
    /** Latency objective: a later answer is worth less to the caller. */
    objectiveMilliseconds: number;
    /** 0 is the most urgent. */
    priority: number;
    /** Number of targets to which one request may be sent. */
    maxAttempts: number;
    /** Has at least one entry. */
    shares: RouteShare[];
};

/** A pool in the route table. */
export type TablePool = {
    name: string;
    /** Number of connections that one target accepts from all hosts together. */
    maxConnections: number;
    /** Whether each key has one owner, which the pool's ownership object names. */
    isSharded: boolean;
    /** Path at which its targets answer without work; undefined if there is none. */
    healthPath?: string | undefined;
    /** Time for which a target serves keys slowly after it received them without their former owner's state. */
    coldKeysMilliseconds: number;
    /** How targets that have just started are to be used; undefined when the table does not limit it. */
    coldTargets?: ColdTargets | undefined;
};

/** Targets of a pool that are cold: from their start on, or when they become cold again. */
export type ColdTargets = {
    /** Time for which a target is cold after its start. */
    milliseconds: number;
    /** Requests per second that a cold target takes from all hosts together. */
    requestsPerSecond: number;
};

/** Limits on the size of requests and on the time that a caller may take to send them. */
export type CallerLimits = {
    maxHeadBytes: number;
    maxBodyBytes: number;
    headTimeoutMilliseconds: number;
    idleTimeoutMilliseconds: number;
};

export type RouteTable = {
    version: number;
    routes: TableRoute[];
    pools: Map<string, TablePool>;
    limits: CallerLimits;
};

/** Incarnation of a target that does not tell when it started. */
export const unknownIncarnation = "unknown";

/** A target as the platform's registry announces it. */
export type RegisteredTarget = {
    name: string;
    /** Changes with each start of the target. */
    incarnation: string;
    pool: string;
    /** IP address and port. */
    address: string;
    zone: string;
    /** Number of requests that the target runs at the same time. */
    slots: number;
    /** Whether the target is about to stop and gets no new requests. */
    leaving: boolean;
    /** Remaining time for which the target is slow after its start. */
    warmupMilliseconds: number;
    /** Whether the target's zone is evacuated, so that it gets no new requests until that ends. */
    evacuated?: boolean | undefined;
};
