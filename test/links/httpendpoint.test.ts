/**
 * The addresses of health, metrics and operators keep connections until their callers or the limit on connections end them, so
 * that no request is lost at the end of an idle time.
 */
import test from "ava";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { openHttpEndpoint } from "../../src/links/httpendpoint.ts";
import { createOperatorLink } from "../../src/links/operators.ts";
import { freePort, sendRequest } from "../platform/program.ts";

/** Node's own limit on the idle time of a connection is 5 s, and one second of slack. */
const idleMilliseconds = 4_800;
const holdMilliseconds = 1_700;

/** A caller in a thread of its own, which sends a request at once and one more on the same connection when it is told to. */
const callerProgram = `
    const { connect } = require("node:net");
    const { parentPort, workerData: port } = require("node:worker_threads");
    const socket = connect(port, "127.0.0.1");
    let received = "";
    const tell = isEnded => parentPort.postMessage({ statuses: received.match(/HTTP\\/1.1 \\d+/gm) ?? [], isEnded });
    socket.on("data", part => { received += part; tell(false); });
    socket.on("error", () => undefined);
    socket.on("close", () => tell(true));
    const send = () => socket.write("GET /health HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n");
    parentPort.on("message", delay => setTimeout(send, delay));
    send();`;

type Told = { statuses: string[]; isEnded: boolean };

/** Each opens an address until the signal aborts and returns its port. */
const addresses: Record<string, (signal: AbortSignal) => Promise<number>> = {
    "health and metrics": async signal => {
        const port = await freePort();
        const answer = () => ({ statusCode: 200, contentType: "text/plain", body: "an answer" });
        await openHttpEndpoint(`127.0.0.1:${port}`, answer, signal);
        return port;
    },
    operators: async signal => {
        const link = await createOperatorLink({
            bindAddress: "127.0.0.1",
            port: 0,
            healthy: () => true,
            status: () => ({}),
            objectStatus: () => ({}),
        });
        signal.addEventListener("abort", () => void link.close());
        return Number(link.address.split(":")[1]);
    },
};

for (const [address, open] of Object.entries(addresses)) {
    test.serial(`a request that arrives while the event loop is held over the end of Node's idle time is answered: ${address}`, async t => {
        const ending = new AbortController();
        t.teardown(() => ending.abort());
        const caller = new Worker(callerProgram, { eval: true, workerData: await open(ending.signal) });
        t.teardown(() => caller.terminate());
        await once(caller, "message");
        await sleep(idleMilliseconds);
        // The timers of the next turn come ahead of its reads.
        await new Promise(resolve => setImmediate(resolve));
        caller.postMessage(100);
        const until = performance.now() + holdMilliseconds;
        while (performance.now() < until) {
            // The caller is in another thread and goes on.
        }
        const [told] = await once(caller, "message") as [Told];
        t.deepEqual(told, { statuses: ["HTTP/1.1 200", "HTTP/1.1 200"], isEnded: false });
    });
}

test("health and metrics answer a request that offers another protocol", async t => {
    const ending = new AbortController();
    t.teardown(() => ending.abort());
    const port = await addresses["health and metrics"](ending.signal);
    const offer = { connection: "upgrade, http2-settings", upgrade: "h2c", "http2-settings": "AAMAAABk" };
    const { statusCode, body } = await Promise.race([
        sendRequest(port, "/", offer),
        sleep(2_000, { statusCode: 0, body: "no answer" }),
    ]);
    t.deepEqual({ statusCode, body }, { statusCode: 200, body: "an answer" });
});
