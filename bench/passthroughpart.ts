/**
 * Worker program of `passthrough.ts`. A process of it runs a target, a bare pass-through or one host.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { pipeline } from "node:stream/promises";
import { Pool as ConnectionPool } from "undici";
import { settingsSchema } from "../src/contracts/settings.ts";
import { silentLog } from "../src/links/logs.ts";
import { createHost } from "../src/machines/host.ts";

const hopByHopHeaders = new Set(["connection", "host", "keep-alive", "transfer-encoding"]);

const startTarget = async (): Promise<string> => {
    const body = "x".repeat(512);
    const server = createServer((request, response) => {
        response.writeHead(200, {
            "content-type": "text/plain",
            "content-length": body.length,
            "request-id": String(request.headers["request-id"] ?? ""),
            "target-outcome": "ran",
            "target-clock": "1",
            "target-incarnation": "bench",
            "target-load": "0",
        });
        response.end(body);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const startPassThrough = async (target: string): Promise<string> => {
    const pool = new ConnectionPool(`http://${target}`, { connections: 64, pipelining: 1 });
    const server = createServer((incoming, response) => {
        const headers = Object.fromEntries(
            Object.entries(incoming.headers).filter(([name]) => !hopByHopHeaders.has(name)),
        );
        pool.request({ method: "GET", path: incoming.url ?? "/", headers })
            .then(answer => {
                const passedHeaders = Object.entries(answer.headers).filter(([name]) => !hopByHopHeaders.has(name));
                response.writeHead(answer.statusCode, Object.fromEntries(passedHeaders));
                return pipeline(answer.body, response);
            })
            .catch(() => response.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const startHost = async (platformUrl: string): Promise<string> => {
    const host = await createHost({
        settings: settingsSchema.parse({
            host: { name: "host-a", zone: "zone-1" },
            platform: { url: platformUrl },
            callers: { port: 0 },
            peers: { port: 0 },
            operators: { port: 0 },
        }),
        peerKeys: [Buffer.from("bench-key")],
        log: silentLog,
    });
    while (host.report().state !== "live") {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    return host.callerAddress;
};

const [, , kind, argument] = process.argv;
const startFunctions = { target: startTarget, bare: startPassThrough, host: startHost };
void startFunctions[kind as keyof typeof startFunctions](argument).then(address => process.send?.(address));

/** Answers any message with the processor time used so far, in microseconds. */
process.on("message", () => {
    const { user, system } = process.cpuUsage();
    process.send?.(user + system);
});
