/**
 * `carobpier run` as a process of its own. Guards against one that ends by itself.
 */
import test, { type ExecutionContext } from "ava";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { until } from "../system.ts";
import { mainFile } from "./program.ts";

/** A module that throws at SIGUSR2 what nobody catches. */
const thrower = `process.on("SIGUSR2", () => {
    void Promise.reject(new Error("odd rejection"));
    throw new Error("odd exception");
});`;

/** Returns ports that were free just now. */
const freePorts = async (count: number): Promise<number[]> => {
    const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => (server.address() as { port: number }).port);
    await Promise.all(servers.map(server => once(server.close(), "close")));
    return ports;
};

/** Starts a host, whose platform refuses connections, with ports for callers, other hosts and operators. */
const startProgram = async (t: ExecutionContext) => {
    const folder = await mkdtemp(join(tmpdir(), "run-"));
    const [callers, peers, operators] = await freePorts(3);
    const settings = {
        host: { name: "h1", zone: "z1" },
        platform: { url: "http://127.0.0.1:1" },
        callers: { port: callers },
        peers: { port: peers, keyFiles: ["key"] },
        operators: { port: operators },
    };
    await writeFile(join(folder, "settings.yaml"), JSON.stringify(settings));
    await writeFile(join(folder, "key"), "key");
    const preload = `--import=data:text/javascript,${encodeURIComponent(thrower)}`;
    const words = ["--import=tsx", preload, mainFile, "run", "--settings", join(folder, "settings.yaml")];
    const start = () => {
        const child = spawn(process.execPath, words, { stdio: ["ignore", "pipe", "inherit"] });
        let log = "";
        child.stdout.setEncoding("utf8").on("data", (text: string) => {
            log += text;
        });
        const exitCode = once(child, "exit").then(([code]: unknown[]) => code);
        let isEnded = false;
        void exitCode.then(() => {
            isEnded = true;
        });
        t.teardown(async () => {
            child.kill("SIGKILL");
            await exitCode;
            await rm(folder, { recursive: true, force: true });
        });
        return { child, exitCode, hasEnded: () => isEnded, log: () => log };
    };
    const isListening = async (port: number): Promise<boolean> => {
        const answer = await request(`http://127.0.0.1:${port}/health`).catch(() => undefined);
        await answer?.body.dump();
        return answer?.statusCode === 503;
    };
    return { callers, peers, operators, start, isListening };
};

test("an exception and a rejection that nobody caught do not end the process", async t => {
    const { operators, callers, start, isListening } = await startProgram(t);
    const { child, exitCode, hasEnded, log } = start();
    await until(() => isListening(operators));
    child.kill("SIGUSR2");
    await until(() => hasEnded() || log().includes("odd exception") && log().includes("odd rejection"));
    t.regex(log(), /event=unexpected-exception .*origin=uncaughtException/);
    t.regex(log(), /event=unexpected-exception .*origin=unhandledRejection/);
    t.true(await isListening(callers));
    child.kill("SIGTERM");
    t.is(await exitCode, 0);
});
