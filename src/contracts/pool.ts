/**
 * Pools: the targets that serve one kind of request for one customer, how keys are divided between them, and what
 * each route promises to its callers.
 */
import { z } from "zod";

/** How a pool spreads requests: each key has one owner, or any target may serve. */
export const divisions = { byKey: "by-key", any: "any" } as const;
export type Division = (typeof divisions)[keyof typeof divisions];

/** Whether a request may be run again: `idempotent` may, `once` must run at most one time. */
export const routeKinds = { idempotent: "idempotent", once: "once" } as const;
export type RouteKind = (typeof routeKinds)[keyof typeof routeKinds];

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "a name of lower-case letters, digits, dots and hyphens");

export const targetSchema = z.strictObject({
    name,
    /** IP address and port, `10.0.0.7:8080`. */
    address: z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, "an IP address with a port"),
    zone: name,
    /** Requests that the target runs at the same time. */
    concurrency: z.int().min(1).max(10_000),
    /** Connections that the target accepts, from all hosts together. */
    connections: z.int().min(1).max(100_000),
    /** Relative speed: a target of speed 2 takes twice the load of one of speed 1. */
    speed: z.number().positive().max(1_000).default(1),
    /** Set by operators before a target is taken out of the pool: its slots move away while it still serves. */
    leaving: z.boolean().default(false),
});

export const routeSchema = z.strictObject({
    name,
    /** Upper-case method, or `*` for any. */
    method: z.string().regex(/^(\*|[A-Z]+)$/, "an upper-case method or *"),
    /** Path prefix below the pool, beginning with `/`. */
    path: z.string().startsWith("/"),
    kind: z.enum(Object.values(routeKinds)),
    /** A deferrable request may wait behind all others. */
    deferrable: z.boolean().default(false),
});

export const poolSchema = z.strictObject({
    customer: name,
    division: z.enum(Object.values(divisions)),
    /** True when the targets refuse owned keys without a live grant and stop by their own clock. */
    checksGrants: z.boolean(),
    slotCount: z.int().min(1).max(65_536).default(1_024),
    targets: z.array(targetSchema).max(1_000),
    routes: z.array(routeSchema).min(1).max(100),
});

export type Target = z.infer<typeof targetSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Pool = z.infer<typeof poolSchema>;
