/**
 * Sends random answers of a target over real sockets. Only a complete answer to the same request may be passed on.
 */
import test from "ava";
import fc from "fast-check";
import { headOf, openExchange, requestOf, startRawTarget } from "../rawtarget.ts";

const fragment = fc.constantFrom(
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\n",
    "request-id: {id}\r\n",
    "request-id: other\r\n",
    "target-outcome: not-run\r\n",
    "content-length: 5\r\n",
    "content-length: 50\r\n",
    "transfer-encoding: chunked\r\n",
    "\r\n",
    "whole",
    "0\r\n\r\n",
    "\0",
);

test("random bytes are never passed on as an answer unless they answer the request", async t => {
    let bytes = "";
    const target = await startRawTarget([(socket, id) => socket.end(bytes.replaceAll("{id}", id), "latin1")]);
    t.teardown(target.close);
    await fc.assert(
        fc.asyncProperty(fc.array(fragment, { maxLength: 10 }), async parts => {
            bytes = parts.join("");
            const exchange = openExchange(target.address);
            const attempt = await exchange.send(requestOf());
            await exchange.close();
            const isOwn = bytes.includes("request-id: {id}");
            const isCounted = exchange.view.outstanding === 0 && exchange.samples.length === 1;
            return isCounted && (attempt.kind === "failed" || isOwn);
        }),
        { seed: 13, numRuns: 150 },
    );
    bytes = `${headOf("{id}", "content-length: 5")}whole`;
    const exchange = openExchange(target.address);
    t.teardown(exchange.close);
    t.is((await exchange.send(requestOf())).kind, "answered");
});
