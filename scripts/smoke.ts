/**
 * Tries the built program from an empty folder: version, help, a run that stops gracefully on one signal, and one that
 * ends at once on the second.
 */
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { createAllowance, createPlan, createPool, hallam } from "../bench/customers.ts";
import { createPlatformStandIn, type PlatformStandIn } from "../stand-ins/platform.ts";
import { createTargetStandIn, type TargetStandIn } from "../stand-ins/target.ts";

const program = resolve("dist/carobpier");
const folder = mkdtempSync(join(tmpdir(), "carobpier-smoke-"));
const pollMilliseconds = 50;

const expect = (name: string, found: unknown, wanted: unknown): void => {
    if (found !== wanted) {
        throw new Error(`${name} gave ${String(found)} instead of ${String(wanted)}.`);
    }
    process.stdout.write(`smoke: ${name} is ${String(found)}.\n`);
};

const exitOf = (child: ChildProcess): Promise<number | string> =>
    new Promise(done => child.once("exit", (code, signal) => done(code ?? String(signal))));

/** A port that was free a moment ago. */
const freePort = (): Promise<number> =>
    new Promise(done => {
        const server: Server = createServer();
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => done(port));
        });
    });

const writeSettings = async (platform: PlatformStandIn): Promise<number> => {
    const callerPort = await freePort();
    writeFileSync(join(folder, "peer.key"), "smoke-key\n");
    writeFileSync(
        join(folder, "settings.yaml"),
        [
            "host: { name: smoke-1, zone: midlands-a }",
            `platform: { url: "${platform.url}" }`,
            `callers: { port: ${callerPort} }`,
            "peers: { port: 0, keyFiles: [peer.key] }",
            "operators: { port: 0 }",
        ].join("\n"),
    );
    return callerPort;
};

const start = (): ChildProcess =>
    spawn(program, ["run", "--settings", "settings.yaml"], { cwd: folder, stdio: ["ignore", "ignore", "inherit"] });

const request = async (port: number, key: string): Promise<number> => {
    try {
        const response = await fetch(`http://127.0.0.1:${port}/tray-stock/item`, {
            headers: { authorization: `Bearer ${hallam.token}`, "carobpier-key": key, "carobpier-deadline": "30000" },
        });
        await response.text();
        return response.status;
    }
    catch {
        return 0;
    }
};

const untilServed = async (port: number): Promise<void> => {
    while (await request(port, "tray-1") !== 200) {
        await new Promise(done => setTimeout(done, pollMilliseconds));
    }
};

const tryStops = async (port: number, target: TargetStandIn): Promise<void> => {
    const first = start();
    const firstExit = exitOf(first);
    await untilServed(port);
    expect("a request", await request(port, "tray-2"), 200);
    first.kill("SIGTERM");
    expect("the exit code after one signal", await firstExit, 0);

    const second = start();
    const secondExit = exitOf(second);
    await untilServed(port);
    const ran = target.executions.length;
    const cutOff = request(port, "tray-3");
    while (target.executions.length === ran) {
        await new Promise(done => setTimeout(done, 1));
    }
    target.freeze();
    second.kill("SIGTERM");
    await new Promise(done => setTimeout(done, pollMilliseconds));
    second.kill("SIGTERM");
    expect("the exit code after a second signal", await secondExit, 1);
    expect("the request that was cut off", await cutOff, 0);
};

const smoke = async (): Promise<void> => {
    const version = execFileSync(program, ["--version"], { cwd: folder, encoding: "utf8" });
    expect("the name in --version", version.split("/")[0], "carobpier");
    execFileSync(program, ["--help"], { cwd: folder });
    const platform = await createPlatformStandIn();
    const shape = { ...hallam.pools[0], targets: 1, serviceMilliseconds: 200 };
    const target = await createTargetStandIn({
        name: "tray-stock-1",
        checksGrants: true,
        byKey: true,
        concurrency: shape.concurrency,
        connections: shape.connections,
        serviceMilliseconds: shape.serviceMilliseconds,
    });
    platform.write("pools", shape.name, createPool(shape, [target]));
    platform.write("plans", hallam.name, createPlan(hallam));
    platform.write("allowances", hallam.name, { uses: createAllowance(hallam).uses.slice(0, 1) });
    await tryStops(await writeSettings(platform), target);
    target.thaw();
    await target.close();
    await platform.close();
};

await smoke().finally(() => rmSync(folder, { recursive: true }));
