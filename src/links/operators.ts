/**
 * The link to operators: an HTTP endpoint on each host that answers with the host's health and, as JSON, its status and
 * the state of single objects on it.
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { paceRequests } from "./httpendpoint.ts";

/** `address` is the IP address and port on which the endpoint listens. */
export type OperatorLink = { address: string; close: () => Promise<void> };

export type OperatorLinkOptions = {
    /** IP address on which the endpoint listens. */
    bindAddress: string;
    port: number;
    /** Limits the connections of the server. */
    limitConnections?: (server: Server) => void;
    /** Answers the health check. */
    healthy: () => boolean;
    /** The status of the host, which is written as JSON. */
    status: () => unknown;
    /** The state of one object on the host, which is written as JSON. */
    objectStatus: (kind: string, name: string) => unknown;
};

/** Decodes a percent-encoded name; undefined when it has a wrong escape. */
const decodeName = (encoded: string): string | undefined => {
    try {
        return decodeURIComponent(encoded);
    }
    catch {
        return undefined;
    }
};

/**
 * Opens the endpoint. `GET /health` answers 200 or 503, `GET /status` answers with the status of the host, and
 * `GET /standing/KIND/NAME` with the state of one object, or 400 when its name has a wrong escape.
 */
export const createOperatorLink = async (options: OperatorLinkOptions): Promise<OperatorLink> => {
    // Without a limit on the idle time, whose end may come ahead of a request that has arrived.
    const server = createServer({ keepAliveTimeout: 0 }, (request, response) => {
        if (request.url === "/health") {
            response.writeHead(options.healthy() ? 200 : 503).end();
            return;
        }
        if (request.url === "/status") {
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(options.status()));
            return;
        }
        const [, root, kind, encodedName] = (request.url ?? "").split("/");
        if (root === "standing" && kind !== undefined && encodedName !== undefined) {
            const name = decodeName(encodedName);
            if (name === undefined) {
                response.writeHead(400).end();
                return;
            }
            const objectStatus = options.objectStatus(kind, name);
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(objectStatus));
            return;
        }
        response.writeHead(404).end();
    });
    paceRequests(server);
    options.limitConnections?.(server);
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
