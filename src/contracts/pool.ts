/**
 * Pools: the targets that serve one kind of request for one customer, how keys are divided among the targets, and how
 * requests on each route may be run.
 */
import { z } from "zod";

/** How a pool distributes requests: each key has one owner, or any target may serve any request. */
export const divisions = { byKey: "by-key", any: "any" } as const;
export type Division = (typeof divisions)[keyof typeof divisions];

/** Whether a request may run more than once: `idempotent` may, `once` runs at most one time. */
export const routeKinds = { idempotent: "idempotent", once: "once" } as const;
export type RouteKind = (typeof routeKinds)[keyof typeof routeKinds];

const nameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    "a name of lower-case letters, digits, dots and hyphens",
);

export const targetSchema = z.strictObject({
    name: nameSchema,
    /** IP address and port, `10.0.0.7:8080`. */
    address: z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, "an IP address with a port"),
    zone: nameSchema,
    /** Requests that the target runs at the same time. */
    concurrency: z.int().min(1).max(10_000),
    /** Connections that the target accepts from all hosts together. */
    connections: z.int().min(1).max(100_000),
    /** Relative speed: a target with speed 2 takes twice the load of a target with speed 1. */
    speed: z.number().positive().max(1_000).default(1),
    /** Operators set this before they remove a target from the pool: its slots move away while it still serves. */
    leaving: z.boolean().default(false),
});

export const routeSchema = z.strictObject({
    name: nameSchema,
    /** HTTP method in upper case, or `*` for any method. */
    method: z.string().regex(/^(\*|[A-Z]+)$/, "an upper-case method or *"),
    /** Path prefix within the pool, starting with `/`. */
    path: z.string().startsWith("/"),
    kind: z.enum(Object.values(routeKinds)),
    /** A deferrable request may be queued behind all other requests. */
    deferrable: z.boolean().default(false),
});

export const poolSchema = z.strictObject({
    customer: nameSchema,
    division: z.enum(Object.values(divisions)),
    /**
     * Whether the targets enforce grants: they refuse requests for keys without a valid grant, and stop serving when it
     * expires by their own clock.
     */
    checksGrants: z.boolean(),
    slotCount: z.int().min(1).max(65_536).default(1_024),
    targets: z.array(targetSchema).max(1_000),
    routes: z.array(routeSchema).min(1).max(100),
});

export type Target = z.infer<typeof targetSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Pool = z.infer<typeof poolSchema>;
