/**
 * Settings of an entry host: schema and defaults. The file is YAML; `links/settings.ts` reads it.
 */
import { z } from "zod";

const portSchema = z.int().min(0).max(65_535);
const millisecondsSchema = z.number().positive();

export const settingsSchema = z.strictObject({
    host: z.strictObject({
        name: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "a name of lower-case letters, digits, dots and hyphens"),
        zone: z.string().min(1),
        /** IP address at which other hosts and callers reach this host. */
        address: z.string().min(1).default("127.0.0.1"),
        /** Local IP address for outgoing connections; the operating system chooses one when absent. */
        sourceAddress: z.string().min(1).optional(),
        /** Capacity of the machine relative to other hosts. */
        size: z.number().positive().default(1),
    }),
    platform: z.strictObject({
        url: z.url("a URL such as http://10.0.0.10:8090"),
        /** File that holds the bearer token. */
        tokenFile: z.string().optional(),
        timeoutMilliseconds: millisecondsSchema.default(1_000),
    }),
    callers: z.strictObject({
        port: portSchema.default(8_080),
        maxHeadBytes: z.int().min(1_024).default(16_384),
        maxBodyBytes: z.int().min(0).default(1_048_576),
        /** Limit for all request bodies together that wait to be sent. */
        maxBufferedBodyBytes: z.int().min(0).default(67_108_864),
        defaultDeadlineMilliseconds: millisecondsSchema.default(2_000),
        maxDeadlineMilliseconds: millisecondsSchema.default(30_000),
    }).prefault({}),
    peers: z.strictObject({
        port: portSchema.default(8_081),
        /** IP address and port to which other hosts connect, when they differ from those on which the host listens. */
        announcedAddress: z.string().min(1).optional(),
        /** Files with shared keys. The first key signs; all of them are accepted, so that keys can be rotated. */
        keyFiles: z.array(z.string()).default([]),
        maxFrameBytes: z.int().min(1_024).default(4_194_304),
        queueLength: z.int().min(1).default(1_024),
    }).prefault({}),
    operators: z.strictObject({ port: portSchema.default(8_082) }).prefault({}),
    descriptors: z.strictObject({
        /** Descriptors that the deployment allows the process; 0 for the process's own limit. */
        limit: z.int().min(0).default(0),
        /** Descriptors that are kept for files. */
        files: z.int().min(0).default(48),
    }).prefault({}),
    ownership: z.strictObject({
        /** Validity of a grant. */
        timeToLiveMilliseconds: millisecondsSchema.default(400),
        /** Interval at which grants are renewed. */
        renewalMilliseconds: millisecondsSchema.default(100),
        /** Time for which a revision counts as current after it was confirmed. */
        freshnessMilliseconds: millisecondsSchema.default(1_000),
    }).prefault({}),
    requests: z.strictObject({
        /** Maximum number of requests that wait for one target. */
        queueLength: z.int().min(0).default(64),
        /** Maximum number of requests of all pools together that wait for the owner of their key. */
        heldLength: z.int().min(0).default(1_024),
        /** Time over which the share of a newly started target is raised to its full size. */
        rampMilliseconds: millisecondsSchema.default(2_000),
        /** Event loop lateness from which the host refuses requests. */
        latenessMilliseconds: millisecondsSchema.default(40),
        /** Maximum number of retries as a fraction of recent requests. */
        retryBudgetRatio: z.number().min(0).max(1).default(0.1),
        /** Maximum number of claims that the host stores as a claim keeper. */
        claimEntries: z.int().min(1).default(200_000),
        /** Time for which a claim is stored. */
        claimAgeMilliseconds: millisecondsSchema.default(300_000),
        /** Time after which a crash no longer counts against a request. */
        quarantineAgeMilliseconds: millisecondsSchema.default(600_000),
    }).prefault({}),
    /** The host stops admitting requests after hearing neither the platform nor a majority of hosts for this time. */
    isolationMilliseconds: millisecondsSchema.default(10_000),
    logs: z.strictObject({
        level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
    }).prefault({}),
    /** StatsD over UDP; disabled when absent. */
    metrics: z.strictObject({
        address: z.string(),
        port: portSchema,
        prefix: z.string().default("carobpier."),
    }).optional(),
});

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsInput = z.input<typeof settingsSchema>;
