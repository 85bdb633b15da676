/**
 * The processes that `passthrough.ts` compares: a bare pass-through, or one host.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { pipeline } from "node:stream/promises";
import { Pool as ConnectionPool } from "undici";
import { settingsSchema } from "../src/contracts/settings.ts";
import { silentLog } from "../src/links/logs.ts";
import { createHost } from "../src/machines/host.ts";

const hopHeaders = new Set(["connection", "host", "keep-alive", "transfer-encoding"]);

const startBare = async (target: string): Promise<string> => {
    const pool = new ConnectionPool(`http://${target}`, { connections: 64, pipelining: 1 });
    const server = createServer((incoming, response) => {
        const headers = Object.fromEntries(Object.entries(incoming.headers).filter(([name]) => !hopHeaders.has(name)));
        pool.request({ method: "GET", path: incoming.url ?? "/", headers })
            .then(answer => {
                const passed = Object.entries(answer.headers).filter(([name]) => !hopHeaders.has(name));
                response.writeHead(answer.statusCode, Object.fromEntries(passed));
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
process.send?.(await (kind === "host" ? startHost(argument) : startBare(argument)));
