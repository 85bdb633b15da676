/**
 * Starts a small complete system in the process of a test: hosts, and stand-ins for the platform and the targets.
 */
import { createHash } from "node:crypto";
import { Agent, type Dispatcher } from "undici";
import type { Clock } from "../src/contracts/clock.ts";
import { type Pool, poolSchema } from "../src/contracts/pool.ts";
import { settingsSchema } from "../src/contracts/settings.ts";
import { type Log, silentLog } from "../src/links/logs.ts";
import { createHost, type Host } from "../src/machines/host.ts";
import { createPlatformStandIn, type PlatformStandIn } from "../stand-ins/platform.ts";
import { createTargetStandIn, type TargetStandIn, type TargetStandInOptions } from "../stand-ins/target.ts";

export type SystemOptions = {
    hostNames?: string[];
    targetCount?: number;
    target?: Partial<TargetStandInOptions>;
    pool?: Partial<Pool>;
    /** Merged into the settings of each host. */
    settings?: Record<string, unknown>;
    log?: Log;
    clock?: Clock;
};

export type CallOptions = {
    method?: string;
    path?: string;
    key?: string;
    headers?: Record<string, string>;
    body?: string;
};

export type CallResult = { statusCode: number; outcome: string; reason: string; body: string };

export type System = {
    platform: PlatformStandIn;
    targets: TargetStandIn[];
    hosts: Host[];
    /** Starts another host. `own` is merged into the `host` section of its settings. */
    startHost: (name: string, own?: Record<string, unknown>) => Promise<Host>;
    /** Sends a request to a host as a caller. */
    call: (host: Host, options?: CallOptions) => Promise<CallResult>;
    /** Repeats the request until a target answers it. */
    untilAnswered: (host: Host, options?: CallOptions) => Promise<CallResult>;
    close: () => Promise<void>;
};

export const testToken = "test-token";
/** Turns load shedding off, since a busy test machine runs late. The tests of load shedding simulate lateness. */
const noLoadSheddingMilliseconds = 1_000_000;

export const testPool = "orders";

const pollMilliseconds = 20;

/** Long enough that a slow machine does not change the outcome of a request. */
const longDeadlineMilliseconds = "30000";

/** Waits until the condition holds. Only the timeout of the test runner limits the wait. */
export const until = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
    while (!await condition()) {
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
};

const testRoutes = [
    { name: "place", method: "POST", path: "/", kind: "once" },
    { name: "check", method: "*", path: "/", kind: "idempotent" },
];

const writeObjects = (platform: PlatformStandIn, targets: TargetStandIn[], pool: Partial<Pool> | undefined): void => {
    platform.write(
        "pools",
        testPool,
        poolSchema.parse({
            customer: "hallam",
            division: "by-key",
            checksGrants: true,
            slotCount: 64,
            targets: targets.map((target, index) => ({
                name: target.name,
                address: target.address,
                zone: `zone-${index % 3 + 1}`,
                concurrency: 3,
                connections: 120,
            })),
            routes: testRoutes,
            ...pool,
        }),
    );
    const tokenHashes = [createHash("sha256").update(testToken).digest("hex")];
    platform.write("plans", "hallam", { customer: "hallam", tokenHashes });
    platform.write("allowances", "hallam", { uses: [{ pool: testPool }] });
};

/** Starts a system with the given hosts, targets and pool. Close it at the end of the test. */
export const startSystem = async (options: SystemOptions = {}): Promise<System> => {
    const platform = await createPlatformStandIn();
    const agent = new Agent();
    const targets: TargetStandIn[] = [];
    for (let index = 1; index <= (options.targetCount ?? 2); index += 1) {
        targets.push(
            await createTargetStandIn({
                name: `target-${index}`,
                checksGrants: true,
                byKey: true,
                slotCount: options.pool?.slotCount ?? 64,
                concurrency: 3,
                connections: 120,
                serviceMilliseconds: 1,
                ...options.target,
            }),
        );
    }
    writeObjects(platform, targets, options.pool);
    const hosts: Host[] = [];

    const startHost = async (name: string, own: Record<string, unknown> = {}): Promise<Host> => {
        const host = await createHost({
            settings: settingsSchema.parse({
                host: { name, zone: `zone-${hosts.length % 3 + 1}`, ...own },
                platform: { url: platform.url },
                peers: { port: 0 },
                operators: { port: 0 },
                ...options.settings,
                callers: { port: 0, ...options.settings?.["callers"] as object | undefined },
                requests: {
                    latenessMilliseconds: noLoadSheddingMilliseconds,
                    ...options.settings?.["requests"] as object | undefined,
                },
            }),
            peerKeys: [Buffer.from("test-key")],
            log: options.log ?? silentLog,
            clock: options.clock,
        });
        hosts.push(host);
        return host;
    };

    const call = async (host: Host, callOptions: CallOptions = {}): Promise<CallResult> => {
        const response = await agent.request({
            origin: `http://${host.callerAddress}`,
            method: (callOptions.method ?? "GET") as Dispatcher.HttpMethod,
            path: callOptions.path ?? `/${testPool}/trays`,
            headers: {
                authorization: `Bearer ${testToken}`,
                "carobpier-deadline": longDeadlineMilliseconds,
                ...(callOptions.key === undefined ? {} : { "carobpier-key": callOptions.key }),
                ...callOptions.headers,
            },
            body: callOptions.body,
        });
        return {
            statusCode: response.statusCode,
            outcome: String(response.headers["carobpier-outcome"]),
            reason: String(response.headers["carobpier-reason"] ?? "none"),
            body: await response.body.text(),
        };
    };

    for (const name of options.hostNames ?? ["host-a"]) {
        await startHost(name);
    }
    return {
        platform,
        targets,
        hosts,
        startHost,
        call,
        untilAnswered: async (host, callOptions) => {
            let result = await call(host, callOptions);
            while (result.outcome !== "answered") {
                await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
                result = await call(host, callOptions);
            }
            return result;
        },
        close: async () => {
            await Promise.all(hosts.map(host => host.kill()));
            await agent.destroy();
            await Promise.all(targets.map(target => target.close()));
            await platform.close();
        },
    };
};
