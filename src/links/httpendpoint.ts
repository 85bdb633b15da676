/**
 * A small HTTP server that answers every request with the result of one function; serves health checks and metrics.
 */
import { createServer } from "node:http";
import type { Socket } from "node:net";

export type HttpEndpointAnswer = { statusCode: number; contentType: string; body: string };

export type HttpEndpoint = { close: () => void };

/**
 * Listens on `address:port` and answers every request, whatever its method and path, with the result of `answer`.
 *
 * @param onConnection called with each connection that is accepted.
 */
export const openHttpEndpoint = (
    listen: string,
    answer: () => HttpEndpointAnswer,
    onConnection?: (socket: Socket) => void,
): Promise<HttpEndpoint> =>
    new Promise((resolve, reject) => {
        const [host, port] = listen.split(":");
        const server = createServer((incoming, response) => {
            incoming.resume();
            const { statusCode, contentType, body } = answer();
            response.writeHead(statusCode, { "content-type": contentType, "content-length": Buffer.byteLength(body) });
            response.end(body);
        });
        server.on("connection", socket => onConnection?.(socket));
        server.once("error", reject);
        server.listen(Number(port), host, () => {
            resolve({
                close: () => {
                    server.close();
                    server.closeAllConnections();
                },
            });
        });
    });
