/**
 * Settings of a resident host: schema and defaults. The file is YAML; durations are written as `1500ms` or `2.5s`.
 */
import { isIPv4 } from "node:net";
import { z } from "zod";
import { durationSchema } from "./duration.ts";

const maxPort = 65_535;

/** Whether a text is an IPv4 address with a port, as `10.0.0.1:8080`. */
const isAddress = (text: string): boolean => {
    const [host, port, ...rest] = text.split(":");
    return rest.length === 0 && isIPv4(host) && /^[1-9]\d{0,4}$/.test(port ?? "") && Number(port) <= maxPort;
};

const addressSchema = z.string().refine(isAddress, "an IP address with a port");

export const residentSettingsSchema = z.object({
    host: z.object({
        name: z.string().min(1),
        zone: z.string().min(1),
        /** Processor of the machine: the fraction of a core that the process may use, and the speed of a core. */
        processor: z.object({ share: z.number().positive().default(1), speed: z.number().positive().default(1) })
            .prefault({}),
        /** Speed of the machine's link in Mbit/s, none or 0 where the deployment does not tell. */
        linkMegabits: z.number().nonnegative().nullish().transform(speed =>
            speed === 0 ? undefined : speed ?? undefined
        ),
    }),
    callers: z.object({
        listen: addressSchema,
        maxBufferedBodyBytes: z.int().positive().default(67_108_864),
        /** Requests that are read on a connection before the answers to those ahead of them are written. */
        maxRequestsAhead: z.int().min(1).default(64),
        /** Bytes of answers that wait on a connection, above which no more requests are read from it. */
        maxConnectionBytes: z.int().positive().default(262_144),
        /** Bytes of requests and answers held for all connections, bodies left out. */
        maxHeldBytes: z.int().positive().default(33_554_432),
    }),
    health: z.object({ listen: addressSchema }),
    /** Where other hosts follow this one as a reader of the store, and send load reports while it is a coordinator. */
    links: z.object({ listen: addressSchema }),
    metrics: z.object({ listen: addressSchema }).optional(),
    /** `timeout` is the longest time within a call during which the store may send nothing. */
    store: z.object({ address: addressSchema, timeout: durationSchema.prefault("500ms") }),
    /** Time from the stop signal to the end of the process. */
    stopping: z.object({ grace: durationSchema.prefault("6s") }).prefault({}),
    /** Longest validity of a grant that targets accept. */
    ownership: z.object({ maxHold: durationSchema.prefault("10s") }).prefault({}),
    retries: z.object({
        /** Resends in a window of ten seconds, as a fraction of all requests of all hosts. */
        ratio: z.number().min(0).max(1).default(0.2),
        /** Resends that all hosts together may make in that window regardless of the number of requests. */
        slack: z.number().min(0).default(10),
    }).prefault({}),
    /** Whether the operators may empty zones of requests, and the longest time until an emptied zone gets none any more. */
    evacuations: z.object({ within: durationSchema }).nullish().transform(value => value ?? undefined),
    /**
     * By how much all hosts together may exceed, within any second, the requests that a cold target takes: a factor of
     * their number, and a number beside it. Where it is not set, cold targets have no limit of their own.
     */
    coldTargets: z.object({ factor: z.number().min(1), slack: z.number().min(0) }).nullish()
        .transform(value => value ?? undefined),
    /**
     * Descriptors that the deployment allows the process, none or 0 where it does not tell and the process's own limit
     * holds. `files` of them are kept for files.
     */
    descriptors: z.object({
        limit: z.int().nonnegative().nullish().transform(limit => (limit ?? 0) === 0 ? undefined : limit ?? undefined),
        files: z.int().nonnegative().default(48),
    }).prefault({}),
    logs: z.object({ level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info") }).prefault({}),
});

export type ResidentSettings = z.infer<typeof residentSettingsSchema>;
