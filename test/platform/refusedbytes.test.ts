/**
 * Callers that send bytes that are no request behind one that runs, or never read its answer, against the built program.
 */
import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import { buildProgram, entry, firstRoutes, isReady, limits, services, startProgram, waitUntil } from "./program.ts";

test("a running request's answer is not replaced by the refusal of bytes behind it", async t => {
    const store = await startStoreStandIn();
    const backend = await startBackendStandIn({
        id: "i-1",
        slots: 5,
        queue: 5,
        workMilliseconds: 500,
        isSharded: false,
    });
    store.put("servers", "i-1", entry("orders", backend));
    store.put("config", "main", { version: "r1", routes: firstRoutes, services, limits });
    const program = await startProgram(store);
    t.teardown(() => {
        program.child.kill("SIGKILL");
        [store, backend].forEach(part => part.close());
    });
    await waitUntil("the host is ready", () => isReady(program));
    const socket = connect(program.callersPort, "127.0.0.1");
    let received = "";
    socket.on("data", part => {
        received += String(part);
    });
    socket.write("POST /a/y HTTP/1.1\r\nhost: orders.example\r\nrequest-id: q-1\r\nrequest-deadline: 1400\r\n\r\n");
    await sleep(200);
    socket.write("no request\r\n\r\n");
    await once(socket, "close");
    t.deepEqual(received.match(/HTTP\/1\.1 \d+|request-id: [^\r]+/gi), [
        "HTTP/1.1 200",
        "request-id: q-1",
        "HTTP/1.1 400",
    ]);
    await waitUntil("the refusal is logged", () => program.log().includes("event=caller-bytes-refused"));
    t.regex(program.log(), /event=caller-bytes-refused reason=malformed-request due=1/);
});

test("a caller that never reads a large answer is given up after the idle time", async t => {
    const store = await startStoreStandIn();
    const body = "x".repeat(8_000_000);
    const backend = await startBackendStandIn({
        id: "i-1",
        slots: 5,
        queue: 5,
        workMilliseconds: 5,
        isSharded: false,
        bodyOf: () => body,
    });
    store.put("servers", "i-1", entry("orders", backend));
    const routes = { r2: { ...firstRoutes.r2, timeout: "20s" } };
    const shortLimits = { ...limits, headerTimeout: "1s", idleTimeout: "2s" };
    store.put("config", "main", { version: "r1", routes, services, limits: shortLimits });
    const program = await startProgram(store);
    t.teardown(() => {
        program.child.kill("SIGKILL");
        [store, backend].forEach(part => part.close());
    });
    await waitUntil("the host is ready", () => isReady(program));
    const startAt = performance.now();
    const socket = connect(program.callersPort, "127.0.0.1").pause();
    t.teardown(() => socket.destroy());
    socket.write("POST /a/y HTTP/1.1\r\nhost: orders.example\r\nrequest-id: q-1\r\n\r\n");
    await waitUntil("the end is logged", () => program.log().includes("event=caller-connection-ended"));
    t.regex(program.log(), /event=caller-connection-ended reason=caller-stalled by=caller due=1 request=q-1/);
    t.log(`after ${Math.round(performance.now() - startAt)} ms`);
    t.true(performance.now() - startAt < 8_000);
    t.regex(program.log(), /event=request-ended request=q-1 outcome=unknown/);
});

test.before(buildProgram);
