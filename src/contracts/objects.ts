/**
 * Objects of the platform: what it keeps for the system, by kind and name, each with a version that only goes up.
 */
import { z } from "zod";
import { assignmentSchema } from "./assignment.ts";
import { allowanceSchema, planSchema } from "./plan.ts";
import { poolSchema } from "./pool.ts";

/** What a host tells the others about itself when it starts, and what it reports while it runs. */
export const hostStatusSchema = z.strictObject({
    zone: z.string(),
    /** Fresh for each start of the process. */
    incarnation: z.string(),
    /** IP address and port for links between hosts. */
    peerAddress: z.string(),
    /** IP address and port of the operators' endpoint. */
    operatorAddress: z.string(),
    /** Relative capacity of the machine. */
    size: z.number().positive(),
    state: z.enum(["live", "leaving"]),
    /** Once it hears neither the platform nor a majority of the hosts, the host stops admitting after this time. */
    isolationMilliseconds: z.number().positive().default(10_000),
});

/** The lease of the coordinator of one pool. */
export const leaseSchema = z.strictObject({
    holder: z.string(),
    incarnation: z.string(),
    /** Counts up with each renewal, so that others can see by their own clocks that it is held. */
    renewal: z.int().min(0),
});

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

/** An object as the platform gives it. The value is checked by the reader of its kind. */
export const storedObjectSchema = z.strictObject({
    kind: z.enum(Object.keys(objectSchemas) as [ObjectKind, ...ObjectKind[]]),
    name: z.string(),
    /** Position of the write in the order of all writes of the platform; the version of the object. */
    version: z.int().min(1),
    /** Chosen by the writer; lets it know its own write after a lost reply. */
    writeId: z.string(),
    /** A deleted object stays as a tombstone, so that its version never goes back. */
    deleted: z.boolean(),
    value: z.unknown(),
});
export type StoredObject = z.infer<typeof storedObjectSchema>;
