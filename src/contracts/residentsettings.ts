/**
 * Settings of a resident host: shapes and defaults. The file is YAML; durations are written as `1500ms` or `2.5s`.
 */
import { z } from "zod";
import { durationSchema } from "./duration.ts";

const address = z.string().regex(/^[0-9.]+:\d{1,5}$/, "an IP address with a port");

export const residentSettingsSchema = z.object({
    host: z.object({
        name: z.string().min(1),
        zone: z.string().min(1),
        /** Processor of the machine: the part of a core that the process has, and how fast a core is. */
        processor: z.object({ share: z.number().positive().default(1), speed: z.number().positive().default(1) })
            .prefault({}),
    }),
    callers: z.object({ listen: address, maxBufferedBodyBytes: z.int().positive().default(67_108_864) }),
    health: z.object({ listen: address }),
    /** Where other hosts send load reports while this one balances a pool. */
    reports: z.object({ listen: address }),
    metrics: z.object({ listen: address }).optional(),
    /** `timeout` is the longest silence of the store in a call. */
    store: z.object({ address, timeout: durationSchema.prefault("500ms") }),
    /** Time between the signal to stop and the end of the process. */
    stopping: z.object({ grace: durationSchema.prefault("6s") }).prefault({}),
    /** The longest hold of a grant that targets accept. */
    ownership: z.object({ maxHold: durationSchema.prefault("10s") }).prefault({}),
    retries: z.object({
        /** Sends beyond the first in a window of ten seconds, as a part of all requests of all hosts. */
        ratio: z.number().min(0).max(1).default(0.2),
        /** Sends of all hosts together that need no requests in the window. */
        slack: z.number().min(0).default(10),
    }).prefault({}),
    logs: z.object({ level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info") }).prefault({}),
});

export type ResidentSettings = z.infer<typeof residentSettingsSchema>;
