/**
 * A planned stop of a process whose event loop is held while the stop is due to close connections.
 */
import test from "ava";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import { connectStrictly } from "../connections.ts";
import { buildProgram, firstRoutes, isReady, limits, services, startProgram, waitUntil } from "./program.ts";

const connections = 10;
const request = "GET /a/x HTTP/1.1\r\nhost: orders.example\r\nrequest-id: s-1\r\nrequest-deadline: 1200\r\n\r\n";

/** Times are in milliseconds from SIGTERM. */
const cases = [
    { title: "the close of idle connections", grace: "6s", holdAt: 2_100, heldFor: 700 },
    { title: "the end of the grace", grace: "3s", holdAt: 2_200, heldFor: 800 },
];

/** What each connection receives until it ends. */
const read = (socket: Socket): { received: string } => {
    const state = { received: "" };
    socket.on("data", part => state.received += String(part));
    socket.on("error", () => undefined);
    return state;
};

for (const { title, grace, holdAt, heldFor } of cases) {
    test(`requests that arrive while a stopping process is held are answered: ${title}`, async t => {
        const store = await startStoreStandIn();
        t.teardown(store.close);
        store.put("config", "main", { version: "r3", routes: firstRoutes, services, limits });
        const program = await startProgram(store, { grace, preload: "./test/soak/hold.cjs" });
        t.teardown(() => program.child.kill("SIGKILL"));
        await waitUntil("the host is ready", () => isReady(program));
        const open = (): Socket => connectStrictly(program.callersPort, "127.0.0.1");
        const kept = Array.from({ length: connections }, open);
        const states = kept.map(read);
        kept.forEach(socket => socket.write(request));
        await waitUntil("the first requests are answered", () => states.every(({ received }) => received !== ""));
        states.forEach(state => state.received = "");
        program.child.kill("SIGTERM");
        await sleep(holdAt);
        writeFileSync(`${program.file}.hold`, String(heldFor));
        program.child.kill("SIGUSR2");
        await sleep(150);
        const added = Array.from({ length: connections }, open);
        states.push(...added.map(read));
        [...kept, ...added].forEach(socket => socket.write(request));
        const [code] = await once(program.child, "exit");
        await sleep(100);
        t.is(code, 0);
        const unanswered = states.filter(({ received }) => !received.startsWith("HTTP/1.1 503"));
        t.is(unanswered.length, 0);
    });
}

test.before(buildProgram);
