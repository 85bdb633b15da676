/**
 * A small server for one question: an address that answers by a function, for health checks and metrics.
 */
import { createServer } from "node:http";

export type PlainAnswer = { statusCode: number; contentType: string; body: string };

export type PlainServer = { close: () => void };

/** Listens on `address:port` and answers every request with what the function gives. */
export const openPlainServer = (listen: string, answer: () => PlainAnswer): Promise<PlainServer> =>
    new Promise((resolve, reject) => {
        const [host, port] = listen.split(":");
        const server = createServer((incoming, response) => {
            incoming.resume();
            const { statusCode, contentType, body } = answer();
            response.writeHead(statusCode, { "content-type": contentType, "content-length": Buffer.byteLength(body) });
            response.end(body);
        });
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
