/**
 * The route table: which requests go to which pools, how long they may take and how often they may be sent. One
 * version of it is in force on a host at a time.
 */
import type { RouteKind } from "./pool.ts";

/** A part of a route's requests that goes to one pool. */
export type RouteShare = { pool: string; weight: number };

export type TableRoute = {
    name: string;
    /** Host name that the caller asks for, in lower case and without a port. */
    host: string;
    /** Begins and ends with a slash. */
    prefix: string;
    kind: RouteKind;
    /** The longest time that a caller is kept waiting. */
    timeoutMilliseconds: number;
    /** An answer after this time is worth less to the caller. */
    objectiveMilliseconds: number;
    /** 0 is the most urgent. */
    priority: number;
    /** Targets to which one request may be sent. */
    maxAttempts: number;
    /** One entry or more. */
    shares: RouteShare[];
};

export type TablePool = {
    name: string;
    /** Connections that one target accepts from all hosts together. */
    maxConnections: number;
    /** Whether each key has one owner, named by the pool's ownership. */
    isSharded: boolean;
    /** How long keys stay slow at a target that got them without their former owner's state. */
    coldKeysMilliseconds: number;
};

/** Bounds on what a caller may send and how long it may take. */
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

/** A target as the platform's registry announces it. */
export type RegisteredTarget = {
    name: string;
    /** Changes with each start of the target. */
    incarnation: string;
    pool: string;
    /** IP address and port. */
    address: string;
    zone: string;
    /** Requests that the target runs at the same time. */
    slots: number;
    leaving: boolean;
    /** How much longer the target stays slow after its start. */
    warmupMilliseconds: number;
};
