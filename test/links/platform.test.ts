/**
 * The link to the platform, whose answers may have any form.
 */
import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { PlatformError } from "../../src/contracts/errors.ts";
import { createPlatformLink, type PlatformLink } from "../../src/links/platform.ts";

const calls: Record<string, (link: PlatformLink) => Promise<unknown>> = {
    get: link => link.get("pools", "name"),
    list: link => link.list(0),
    put: link => link.put({ kind: "pools", name: "name", value: {}, ifVersion: 0, writeId: "w1" }),
    watch: link => link.watch(0, 10),
    hosts: link => link.hosts(),
};

const answers = [
    { title: "a body that is not JSON", statusCode: 200, body: "<html>", message: /answer to \S+ is not valid JSON/ },
    {
        title: "a conflict that is not JSON",
        statusCode: 409,
        body: "<html>",
        message: /answer to \S+ is not valid JSON|answered 409/,
    },
    { title: "an empty body", statusCode: 200, body: "", message: /wrong shape/ },
    { title: "another shape", statusCode: 200, body: "{\"odd\":1}", message: /wrong shape/ },
    { title: "a conflict of another shape", statusCode: 409, body: "{\"odd\":1}", message: /wrong shape|answered 409/ },
    { title: "an error", statusCode: 500, body: "<html>", message: /answered 500/ },
];

for (const { title, statusCode, body, message } of answers) {
    test(`${title} fails each call with an error of the platform that tells it`, async t => {
        const server = createServer((...[, response]) => response.writeHead(statusCode).end(body));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        t.teardown(() => server.close());
        const { port } = server.address() as AddressInfo;
        const link = createPlatformLink({ url: `http://127.0.0.1:${port}`, timeoutMilliseconds: 5_000 });
        t.teardown(link.close);
        for (const [name, call] of Object.entries(calls)) {
            await t.throwsAsync(call(link), { instanceOf: PlatformError, message }, name);
        }
    });
}
