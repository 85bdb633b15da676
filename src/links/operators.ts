/**
 * The link to operators: an HTTP endpoint of each host that gives its health, its status and how one object stands on
 * it as JSON.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

export type OperatorLink = { address: string; close: () => Promise<void> };

export type OperatorLinkOptions = {
    bindAddress: string;
    port: number;
    healthy: () => boolean;
    status: () => unknown;
    /** How an object stands on the host. */
    objectStatus: (kind: string, name: string) => unknown;
};

/**
 * Opens the endpoint: `GET /health` answers 200 or 503, `GET /status` the host's status, and
 * `GET /standing/KIND/NAME` how one object stands.
 */
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
        const [, root, kind, name] = (request.url ?? "").split("/");
        if (root === "standing" && kind !== undefined && name !== undefined) {
            const standing = options.objectStatus(kind, decodeURIComponent(name));
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(standing));
            return;
        }
        response.writeHead(404).end();
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.bindAddress, resolve);
    });
    const { port } = server.address() as AddressInfo;
    return {
        address: `${options.bindAddress}:${port}`,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
};
