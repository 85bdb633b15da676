/**
 * Starts the built program as a process against stand-ins of the store and of backends, and sends requests to it.
 */
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer, type Server, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { BackendStandIn } from "../../stand-ins/resident/backend.ts";
import type { StoreStandIn } from "../../stand-ins/resident/store.ts";
import { connectStrictly } from "../connections.ts";

export type Answer = { statusCode: number; headers: Record<string, unknown>; body: string };
export type Program = {
    child: ChildProcess;
    log: () => string;
    /** Standard error. */
    errors: () => string;
    callersPort: number;
    healthPort: number;
    file: string;
    settings: string;
};

/** Below the ports that systems give to outgoing connections, which may take a free one before the program does. */
const portRange = { first: 20_000, count: 12_000 };
/** Ports that one process of tests hands out, beside the first, which it holds. */
const portsPerProcess = 120;

const listenOn = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });

/** Takes ports that no other process of tests hands out, by listening on the first of them until the process ends. */
const claimPorts = async (): Promise<number> => {
    for (;;) {
        const slice = Math.floor(Math.random() * portRange.count / portsPerProcess);
        const first = portRange.first + slice * portsPerProcess;
        const holder = await listenOn(first);
        if (holder) {
            holder.unref();
            return first;
        }
    }
};

let claim: Promise<number> | undefined;
let handedOut = 0;

/** A port that is free and that no test was given before, as a program listens on it only some time later. */
export const freePort = async (): Promise<number> => {
    claim ??= claimPorts();
    const first = await claim;
    for (;;) {
        handedOut += 1;
        const port = first + 1 + handedOut % (portsPerProcess - 1);
        const server = await listenOn(port);
        if (server) {
            await new Promise(resolve => server.close(resolve));
            return port;
        }
    }
};

export const sendRequest = (
    port: number,
    path: string,
    headers: Record<string, string> = {},
    method = "GET",
    localAddress = "127.0.0.1",
): Promise<Answer> =>
    new Promise((resolve, reject) => {
        const createConnection = (): Socket => connectStrictly(port, "127.0.0.1", localAddress);
        const options = { path, method, headers: { host: `127.0.0.1:${port}`, ...headers }, createConnection };
        const outgoing = httpRequest(options, response => {
            const parts: Buffer[] = [];
            response.on("data", (part: Buffer) => parts.push(part));
            response.on("end", () => {
                const body = Buffer.concat(parts).toString("utf8");
                resolve({ statusCode: response.statusCode ?? 0, headers: response.headers, body });
            });
            response.on("error", reject);
        });
        outgoing.on("error", reject);
        outgoing.end();
    });

export const waitUntil = async (
    description: string,
    condition: () => Promise<boolean> | boolean,
    limitMilliseconds = 15_000,
): Promise<void> => {
    const endAt = performance.now() + limitMilliseconds;
    while (!await condition()) {
        if (performance.now() > endAt) {
            throw new Error(`Did not happen within ${limitMilliseconds} ms: ${description}.`);
        }
        await sleep(50);
    }
};

export const isReady = (program: Program): Promise<boolean> =>
    sendRequest(program.healthPort, "/").then(answer => answer.statusCode === 200, () => false);

export const route = (host: string, service: string, kind: string) => ({
    host,
    pathPrefix: "/a/",
    kind,
    timeout: "1500ms",
    targetLatency: "500ms",
    priority: 1,
    service,
    maxAttempts: 2,
});
export const services = {
    stock: { healthPath: "/health", maxConnections: 100, sharded: true, warm: "2s" },
    orders: { healthPath: "/health", maxConnections: 100 },
};
export const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeout: "3000ms", idleTimeout: "15000ms" };
export const firstRoutes = {
    r1: route("stock.example", "stock", "safe"),
    r2: route("orders.example", "orders", "unsafe"),
};

export const entry = (service: string, backend: Pick<BackendStandIn, "address">, state = "ready", born = 1_000) => ({
    service,
    address: backend.address,
    zone: "z1",
    version: "v1",
    slots: 2,
    state,
    warmupLeft: "0ms",
    seq: 1,
    born,
});

/**
 * Ends the program with the process of the test that started it, also when its set-up fails: the program does not keep
 * that process alive.
 */
const endWithProcess = (child: ChildProcess): void => {
    child.unref();
    (child.stdout as Socket | null)?.unref();
    (child.stderr as Socket | null)?.unref();
    const kill = (): void => void child.kill("SIGKILL");
    process.once("exit", kill);
    child.once("exit", () => process.off("exit", kill));
};

export type ProgramOptions = {
    name?: string;
    /** Port for the links to other hosts. */
    linksPort?: number;
    linksHost?: string;
    grace?: string;
    /** Port of the metrics; none by default. */
    metricsPort?: number;
    /** Limit on the open files of the process; that of this process by default. */
    openFiles?: number;
    /** Descriptor of standard output; without it, the lines are kept for `log`. */
    output?: number;
    /** Descriptor of standard error. */
    errorOutput?: number;
    /** Environment beside PATH; by default, the variable that names the settings file. */
    environment?: Record<string, string>;
    /** Prepares the settings file in place of writing it. */
    prepareFile?: (file: string, settings: string) => void;
    zone?: string;
    /** Share of a core that the settings name. */
    processorShare?: number;
    /** Ports of an earlier process, to start again at its addresses. */
    ports?: { callersPort: number; healthPort: number };
    /** The built program; that of this tree if left out. */
    path?: string;
    /** Module that is loaded before the program. */
    preload?: string | undefined;
    /** Lines that are added to the settings. */
    moreSettings?: string[];
    /** Settings of the callers' address beside it, as YAML. */
    callers?: string;
    /** Limit on the old part of the heap. */
    heapMegabytes?: number;
};

/** As in deploy/system.toml. */
const defaultHeapMegabytes = 128;

export const startProgram = async (
    store: StoreStandIn,
    {
        name = "h1",
        linksPort,
        linksHost = "127.0.0.1",
        grace = "6s",
        metricsPort,
        openFiles,
        output,
        errorOutput,
        environment,
        prepareFile = writeFileSync,
        zone = "z1",
        processorShare = 1,
        ports,
        path = "target/carobpier.cjs",
        preload,
        moreSettings = [],
        callers = "",
        heapMegabytes = defaultHeapMegabytes,
    }: ProgramOptions = {},
): Promise<Program> => {
    const { callersPort, healthPort } = ports ?? { callersPort: await freePort(), healthPort: await freePort() };
    const linksAt = linksPort ?? await freePort();
    const file = join(mkdtempSync(join(tmpdir(), "carobpier-")), "settings.yaml");
    const settings = [
        `host: { name: ${name}, zone: ${zone}, processor: { share: ${processorShare} } }`,
        `callers: { listen: "127.0.0.1:${callersPort}"${callers && `, ${callers}`} }`,
        `health: { listen: "127.0.0.1:${healthPort}" }`,
        `links: { listen: "${linksHost}:${linksAt}" }`,
        `store: { address: "${store.address}" }`,
        `stopping: { grace: ${grace} }`,
        metricsPort === undefined ? "" : `metrics: { listen: "127.0.0.1:${metricsPort}" }`,
        ...moreSettings,
    ].join("\n");
    prepareFile(file, settings);
    const programArguments = [`--max-old-space-size=${heapMegabytes}`, "--max-semi-space-size=2"];
    const words = [...programArguments, ...(preload === undefined ? [] : ["--require", preload]), path];
    const limited = ["-c", `ulimit -n ${openFiles} && exec "$0" "$@"`, process.execPath, ...words];
    const [command, args] = openFiles === undefined ? [process.execPath, words] : ["sh", limited];
    const child = spawn(command, args, {
        env: { PATH: process.env["PATH"], ...(environment ?? { CAROBPIER_BOOT: file }) },
        stdio: ["ignore", output ?? "pipe", errorOutput ?? "pipe"],
    });
    endWithProcess(child);
    let log = "";
    let errors = "";
    child.stderr?.on("data", part => {
        errors += String(part);
        process.stderr.write(String(part));
    });
    child.stdout?.on("data", part => {
        log += String(part);
    });
    return { child, log: () => log, errors: () => errors, callersPort, healthPort, file, settings };
};

export const requestStock = (program: Program, id: string, key: number): Promise<Answer> =>
    sendRequest(program.callersPort, "/a/x", {
        host: "stock.example",
        "request-id": id,
        "shard-key": String(key),
        "request-deadline": "1200",
    });

export const requestOrder = (program: Program, id: string): Promise<Answer> =>
    sendRequest(
        program.callersPort,
        "/a/y",
        { host: "orders.example", "request-id": id, "request-deadline": "1200" },
        "POST",
    );

export const linesOf = (program: Program, id: string): string[] =>
    program.log().split("\n").filter(line => line.includes(`request=${id}`));

/** Builds the program that `startProgram` runs. */
export const buildProgram = (): void => {
    execFileSync(process.execPath, ["--import=tsx", "scripts/buildresident.ts"], { stdio: "inherit" });
};
