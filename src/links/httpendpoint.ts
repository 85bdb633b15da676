/**
 * A small HTTP server that answers every request with the result of one function; serves health checks and metrics.
 */
import { createServer, type Server } from "node:http";

export type HttpEndpointAnswer = { statusCode: number; contentType: string; body: string };

/** Requests between machines of a deployment are small, and those that do not arrive must not keep others out. */
export const requestTimeouts = { headersTimeout: 2_000, requestTimeout: 4_000, connectionsCheckingInterval: 500 };

/** Creates a server that accepts upgraded connections only. */
export const createUpgradeServer = (limitConnections?: (server: Server) => void): Server => {
    const server = createServer(requestTimeouts, (request, response) => {
        request.resume();
        response.writeHead(426).end();
    });
    limitConnections?.(server);
    return server;
};

/**
 * Listens on `address:port` and answers every request, whatever its method and path, with the result of `answer`.
 * Resolves when it listens.
 *
 * @param signal closes the server and its connections.
 * @param limitConnections limits the connections of the server.
 */
export const openHttpEndpoint = (
    listen: string,
    answer: () => HttpEndpointAnswer,
    signal: AbortSignal,
    limitConnections?: (server: Server, isIdle: () => boolean) => void,
): Promise<void> =>
    new Promise((resolve, reject) => {
        const [host, port] = listen.split(":");
        // Without a limit on the idle time, whose end may come ahead of a request that has arrived.
        const server = createServer({ ...requestTimeouts, keepAliveTimeout: 0 }, (incoming, response) => {
            incoming.resume();
            const { statusCode, contentType, body } = answer();
            response.writeHead(statusCode, { "content-type": contentType, "content-length": Buffer.byteLength(body) });
            response.end(body);
        });
        // Requests are answered as they arrive, so any connection may be closed for another.
        limitConnections?.(server, () => true);
        server.once("error", reject);
        server.listen(Number(port), host, () => {
            const close = (): void => {
                server.close();
                server.closeAllConnections();
            };
            signal.addEventListener("abort", close, { once: true });
            if (signal.aborted) {
                close();
            }
            resolve();
        });
    });
