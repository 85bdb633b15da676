/**
 * `carobpier run` as a process of its own. Guards against one that ends by itself.
 */
import test, { type ExecutionContext } from "ava";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { connect, createServer } from "node:net";
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
const startProgram = async (t: ExecutionContext, changes: Record<string, unknown> = {}) => {
    const folder = await mkdtemp(join(tmpdir(), "run-"));
    const [callers, links, operators] = await freePorts(3);
    const settings = {
        host: { name: "h1", zone: "z1" },
        platform: { url: "http://127.0.0.1:1" },
        callers: { port: callers },
        peers: { port: links, keyFiles: ["key"] },
        operators: { port: operators },
        ...changes,
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
    return { ports: { callers, links, operators }, start, isListening };
};

test("an exception and a rejection that nobody caught do not end the process", async t => {
    const { ports, start, isListening } = await startProgram(t);
    const { child, exitCode, hasEnded, log } = start();
    await until(() => isListening(ports.operators));
    child.kill("SIGUSR2");
    await until(() => hasEnded() || log().includes("odd exception") && log().includes("odd rejection"));
    t.regex(log(), /event=unexpected-exception .*origin=uncaughtException/);
    t.regex(log(), /event=unexpected-exception .*origin=unhandledRejection/);
    t.true(await isListening(ports.callers));
    child.kill("SIGTERM");
    t.is(await exitCode, 0);
});

for (const held of ["callers", "links", "operators"] as const) {
    test(`a start waits for an address that another process holds: ${held}`, async t => {
        const { ports, start, isListening } = await startProgram(t);
        const holder = createServer().listen(ports[held], "127.0.0.1");
        await once(holder, "listening");
        const { child, exitCode, hasEnded, log } = start();
        await until(() => hasEnded() || new RegExp(`event=address-in-use .*for=${held}`).test(log()));
        t.false(hasEnded());
        if (held === "callers") {
            t.true(await isListening(ports.operators));
        }
        await once(holder.close(), "close");
        await until(() => isListening(ports.callers));
        child.kill("SIGTERM");
        t.is(await exitCode, 0);
    });
}

test("a stop ends a start that waits for an address", async t => {
    const { ports, start } = await startProgram(t);
    const holder = createServer().listen(ports.callers, "127.0.0.1");
    await once(holder, "listening");
    const { child, exitCode, hasEnded, log } = start();
    await until(() => hasEnded() || log().includes("event=address-in-use"));
    child.kill("SIGTERM");
    t.is(await exitCode, 0);
    t.regex(log(), /event=program-stopped-at-start/);
    holder.close();
});

for (const full of ["callers", "links", "operators"] as const) {
    test(`connections beyond the descriptors of their part leave the other addresses open: ${full}`, async t => {
        const { ports, start, isListening } = await startProgram(t, { descriptors: { limit: 100 } });
        const { log } = start();
        await until(() => isListening(ports.callers));
        const sockets = Array.from({ length: 100 }, () => connect(ports[full], "127.0.0.1"));
        let open = sockets.length;
        sockets.forEach(socket => {
            socket.on("error", () => undefined).on("close", () => {
                open -= 1;
            }).resume();
            // A request in part, of which none may be closed for another one.
            socket.write("GET /x HTTP/1.1\r\n");
        });
        await until(() => open < 50);
        t.true(open > 0);
        t.regex(log(), /event=descriptors-used-up/);
        for (const port of [ports.callers, ports.operators].filter(other => other !== ports[full])) {
            t.true(await isListening(port));
        }
        sockets.forEach(socket => socket.destroy());
    });
}
