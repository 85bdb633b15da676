/**
 * Settings of an entry host: shapes and defaults. The file is YAML; `links/settings.ts` reads it.
 */
import { z } from "zod";

const port = z.int().min(0).max(65_535);
const milliseconds = z.number().positive();

export const settingsSchema = z.strictObject({
    host: z.strictObject({
        name: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "a name of lower-case letters, digits, dots and hyphens"),
        zone: z.string().min(1),
        /** IP address that other hosts and callers reach. */
        address: z.string().min(1).default("127.0.0.1"),
        /** IP address from which connections to others are made; the system chooses when left out. */
        sourceAddress: z.string().min(1).optional(),
        /** Relative capacity of the machine. */
        size: z.number().positive().default(1),
    }),
    platform: z.strictObject({
        url: z.url("a URL such as http://10.0.0.10:8090"),
        /** File that holds the bearer token. */
        tokenFile: z.string().optional(),
        timeoutMilliseconds: milliseconds.default(1_000),
    }),
    callers: z.strictObject({
        port: port.default(8_080),
        maxHeadBytes: z.int().min(1_024).default(16_384),
        maxBodyBytes: z.int().min(0).default(1_048_576),
        /** Bodies of all requests together that wait to be sent. */
        maxBufferedBodyBytes: z.int().min(0).default(67_108_864),
        defaultDeadlineMilliseconds: milliseconds.default(2_000),
        maxDeadlineMilliseconds: milliseconds.default(30_000),
    }).prefault({}),
    peers: z.strictObject({
        port: port.default(8_081),
        /** IP address and port that other hosts dial, where it differs from the listening one. */
        announcedAddress: z.string().min(1).optional(),
        /** Files that hold shared keys. The first signs; any of them is accepted, so that keys can be rotated. */
        keyFiles: z.array(z.string()).default([]),
        maxFrameBytes: z.int().min(1_024).default(4_194_304),
        queueLength: z.int().min(1).default(1_024),
    }).prefault({}),
    operators: z.strictObject({ port: port.default(8_082) }).prefault({}),
    ownership: z.strictObject({
        timeToLiveMilliseconds: milliseconds.default(400),
        renewalMilliseconds: milliseconds.default(100),
        freshnessMilliseconds: milliseconds.default(1_000),
        leaseMilliseconds: milliseconds.default(2_000),
    }).prefault({}),
    requests: z.strictObject({
        /** Requests that wait for one target. */
        queueLength: z.int().min(0).default(64),
        /** Requests of all pools together that wait for an owner. */
        heldLength: z.int().min(0).default(1_024),
        /** Time in which a target that started is brought up to its full share. */
        rampMilliseconds: milliseconds.default(2_000),
        /** Lateness of the host's own turns from which it refuses requests. */
        latenessMilliseconds: milliseconds.default(40),
        retryBudgetRatio: z.number().min(0).max(1).default(0.1),
        claimEntries: z.int().min(1).default(200_000),
        claimAgeMilliseconds: milliseconds.default(300_000),
        quarantineAgeMilliseconds: milliseconds.default(600_000),
    }).prefault({}),
    /** A host that hears neither the platform nor a majority of the hosts for longer stops admitting. */
    isolationMilliseconds: milliseconds.default(10_000),
    logs: z.strictObject({
        level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
    }).prefault({}),
    /** StatsD over UDP; off when left out. */
    metrics: z.strictObject({
        address: z.string(),
        port,
        prefix: z.string().default("carobpier."),
    }).optional(),
});

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsInput = z.input<typeof settingsSchema>;
