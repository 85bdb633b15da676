/**
 * The link to operators: an HTTP endpoint of each host that gives its health and its status as JSON.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

export type OperatorLink = { address: string; close: () => Promise<void> };

export type OperatorLinkOptions = {
    host: string;
    port: number;
    healthy: () => boolean;
    status: () => unknown;
};

/** Opens the endpoint: `GET /health` answers 200 or 503, `GET /status` the host's status. */
export const createOperatorLink = async (options: OperatorLinkOptions): Promise<OperatorLink> => {
    const server = createServer((request, response) => {
        if (request.url === "/health") {
            response.writeHead(options.healthy() ? 200 : 503).end();
            return;
        }
        if (request.url === "/status") {
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(options.status()));
            return;
        }
        response.writeHead(404).end();
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, resolve);
    });
    const { port } = server.address() as AddressInfo;
    return {
        address: `${options.host}:${port}`,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
};
