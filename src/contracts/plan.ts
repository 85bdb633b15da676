/**
 * Plans and allowances: the two lists that operators edit. A plan names a customer, its callers and its limits; the
 * allowance of the same name lists what the plan may use.
 */
import { z } from "zod";

const tokenHash = z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 hash of a token in hexadecimal");

export const rateSchema = z.strictObject({
    /** Requests a second, over all hosts together. */
    perSecond: z.number().positive(),
    /** Requests that may come at once, over all hosts together. */
    burst: z.number().min(1),
});

export const planSchema = z.strictObject({
    customer: z.string().min(1),
    /** SHA-256 of each accepted bearer token; two or more during a rotation. */
    tokenHashes: z.array(tokenHash).max(16),
    rate: rateSchema.optional(),
    /** Requests in flight at the same time, over all hosts together. */
    concurrency: z.int().min(1).optional(),
});

export const allowedUseSchema = z.strictObject({
    pool: z.string().min(1),
    /** Names of allowed routes; all routes of the pool when left out. */
    routes: z.array(z.string().min(1)).optional(),
    /** Allowed beginnings of keys; all keys when left out. */
    keyPrefixes: z.array(z.string()).optional(),
    rate: rateSchema.optional(),
});

export const allowanceSchema = z.strictObject({ uses: z.array(allowedUseSchema).max(1_000) });

export type Rate = z.infer<typeof rateSchema>;
export type Plan = z.infer<typeof planSchema>;
export type AllowedUse = z.infer<typeof allowedUseSchema>;
export type Allowance = z.infer<typeof allowanceSchema>;
