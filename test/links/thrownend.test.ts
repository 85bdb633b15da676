/**
 * Receivers of answers that throw. Guards against the loss of another exchange, which uses the connection next.
 */
import test from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createExchangeLink } from "../../src/links/exchange.ts";
test("a receiver that throws at the end of an answer does not end the next exchange on the connection", async t => {
    const server = createServer((...[, response]) => void setTimeout(() => response.end("x"), 50));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    let exchanges = 0;
    const link = createExchangeLink({
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        connections: () => 1,
        keptConnections: () => 1,
        connectMilliseconds: 500,
        targetConnections: {
            limit: connect => connect,
            begin: () => {
                exchanges += 1;
                return () => {
                    exchanges -= 1;
                };
            },
        },
    });
    const send = (throws: boolean) =>
        new Promise<string>(resolve => {
            link.send({ method: "GET", path: "/", headers: [], body: undefined }, {
                mayStart: () => true,
                onHead: () => undefined,
                onBytes: () => true,
                onEnd: () => {
                    resolve("ended");
                    if (throws) {
                        throw new Error("thrown");
                    }
                },
                onFailure: (stage, error) => resolve(`${stage} ${error.message}`),
            });
        });
    const all = await Promise.all([send(true), send(false)]);
    t.deepEqual(all, ["ended", "ended"]);
    t.is(exchanges, 0);
});
