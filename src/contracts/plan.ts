/**
 * Plans and allowances, which operators edit. A plan names a customer, the tokens of its callers and its limits; the
 * allowance of the same name lists the pools, routes and keys that the plan may use.
 */
import { z } from "zod";

const tokenHashSchema = z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 hash of a token in hexadecimal");

export const rateSchema = z.strictObject({
    /** Requests per second, for all hosts together. */
    perSecond: z.number().positive(),
    /** Requests that may arrive at once, for all hosts together. */
    burst: z.number().min(1),
});

export const planSchema = z.strictObject({
    customer: z.string().min(1),
    /** SHA-256 hash of each accepted bearer token; two or more while tokens are rotated. */
    tokenHashes: z.array(tokenHashSchema).max(16),
    rate: rateSchema.optional(),
    /** Requests in flight at the same time, for all hosts together. */
    concurrency: z.int().min(1).optional(),
});

export const allowedUseSchema = z.strictObject({
    pool: z.string().min(1),
    /** Names of allowed routes; when absent, all routes of the pool are allowed. */
    routes: z.array(z.string().min(1)).optional(),
    /** Allowed prefixes of keys; when absent, all keys are allowed. */
    keyPrefixes: z.array(z.string()).optional(),
    rate: rateSchema.optional(),
});

export const allowanceSchema = z.strictObject({ uses: z.array(allowedUseSchema).max(1_000) });

export type Rate = z.infer<typeof rateSchema>;
export type Plan = z.infer<typeof planSchema>;
export type AllowedUse = z.infer<typeof allowedUseSchema>;
export type Allowance = z.infer<typeof allowanceSchema>;
