/**
 * Objects that the platform stores for the system, by kind and name. The version of an object only increases.
 */
import { z } from "zod";
import { assignmentSchema } from "./assignment.ts";
import { allowanceSchema, planSchema } from "./plan.ts";
import { poolSchema } from "./pool.ts";

/** What a host publishes about itself when it starts and while it runs. */
export const hostStatusSchema = z.strictObject({
    zone: z.string(),
    /** New for each start of the process. */
    incarnation: z.string(),
    /** IP address and port for links between hosts. */
    peerAddress: z.string(),
    /** IP address and port of the operators' endpoint. */
    operatorAddress: z.string(),
    /** Capacity of the machine relative to other hosts. */
    size: z.number().positive(),
    state: z.enum(["live", "leaving"]),
    /** The host stops admitting requests after hearing neither the platform nor a majority of hosts for this time. */
    isolationMilliseconds: z.number().positive().default(10_000),
});

/** The lease that makes a host the coordinator of one pool. */
export const leaseSchema = z.strictObject({
    holder: z.string(),
    incarnation: z.string(),
    /** Increases with each renewal, so that other hosts can tell by their own clocks that the lease is held. */
    renewal: z.int().min(0),
});

/** Schema of the value of each kind of object. */
export const objectSchemas = {
    pools: poolSchema,
    plans: planSchema,
    allowances: allowanceSchema,
    assignments: assignmentSchema,
    leases: leaseSchema,
    status: hostStatusSchema,
} as const;

export type ObjectKind = keyof typeof objectSchemas;
export type ObjectValue<Kind extends ObjectKind> = z.infer<(typeof objectSchemas)[Kind]>;
export type HostStatus = z.infer<typeof hostStatusSchema>;
export type Lease = z.infer<typeof leaseSchema>;

/** An object as the platform returns it. The reader of the kind validates `value`. */
export const storedObjectSchema = z.strictObject({
    kind: z.enum(Object.keys(objectSchemas) as [ObjectKind, ...ObjectKind[]]),
    name: z.string(),
    /** Version of the object: the position of its last write in the order of all writes to the platform. */
    version: z.int().min(1),
    /** Chosen by the writer, which recognises its own write by it after a lost reply. */
    writeId: z.string(),
    /** A deleted object is kept as a tombstone, so that its version never decreases. */
    deleted: z.boolean(),
    value: z.unknown(),
});
export type StoredObject = z.infer<typeof storedObjectSchema>;
