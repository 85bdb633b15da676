/**
 * A planned stop of the resident host under load: what it has accepted is answered, and what comes too late to end before
 * the process does is refused at once.
 */
import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    type Answer,
    buildProgram,
    entry,
    limits,
    type Program,
    route,
    sendRequest,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

const graceMilliseconds = 6_000;
/** The load balancer sends nothing more to a host this long after its readiness check failed first. */
const balancerMilliseconds = 2_300;

const setUp = async (workMilliseconds: number, kind: string, grace?: string) => {
    const store = await startStoreStandIn();
    const backend = await startBackendStandIn({ id: "i-1", slots: 50, queue: 50, workMilliseconds, isSharded: false });
    store.put("servers", "i-1", { ...entry("orders", backend), slots: 50 });
    const routes = { r1: { ...route("a.example", "orders", kind), timeout: "10s", targetLatency: "9s" } };
    store.put("config", "main", { version: "r3", routes, services, limits });
    const program = await startProgram(store, { grace });
    await waitUntil(
        "the host is ready",
        () => sendRequest(program.healthPort, "/").then(answer => answer.statusCode === 200, () => false),
    );
    const close = (): void => {
        program.child.kill("SIGKILL");
        [store, backend].forEach(part => part.close());
    };
    return { backend, program, close };
};

let lastId = 0;
const headers = (): Record<string, string> => {
    lastId += 1;
    return { host: "a.example", "request-id": `s-${lastId}`, "request-deadline": "9500" };
};

/** Resolves to undefined when the connection ends without an answer. */
const send = (program: Program): Promise<Answer | undefined> =>
    sendRequest(program.callersPort, "/a/x", headers(), "POST").catch(() => undefined);

test("a planned stop under load answers every request that the load balancer still sends", async t => {
    const { program, close } = await setUp(40, "unsafe");
    t.teardown(close);
    const pending: Array<Promise<Answer | undefined>> = [];
    let writtenInTime = 0;
    let stoppedAt = Infinity;
    const startedAt = performance.now();
    while (performance.now() < stoppedAt + balancerMilliseconds) {
        pending.push(send(program));
        await sleep(20);
        if (performance.now() < stoppedAt + balancerMilliseconds) {
            writtenInTime = pending.length;
        }
        if (stoppedAt === Infinity && performance.now() > startedAt + 500) {
            stoppedAt = performance.now();
            program.child.kill("SIGTERM");
        }
    }
    // This process may stand still before it writes the last request, which the load balancer then sends no more.
    const answers = (await Promise.all(pending)).slice(0, writtenInTime);
    t.true(answers.length > 100);
    t.deepEqual(answers.filter(answer => answer?.statusCode !== 200), []);
    const [code] = await once(program.child, "exit");
    t.is(code, 0);
});

for (const kind of ["safe", "unsafe"]) {
    test(`a ${kind} request that can not end before a stopping host does is answered before that`, async t => {
        const { program, close } = await setUp(8_000, kind);
        t.teardown(close);
        const answer = send(program);
        await sleep(200);
        const stoppedAt = performance.now();
        program.child.kill("SIGTERM");
        t.is((await answer)?.statusCode, 504, "it may have run");
        t.true(performance.now() - stoppedAt < graceMilliseconds);
    });

    test(`a ${kind} request whose body ends late in a planned stop is refused at once and not passed on`, async t => {
        const { backend, program, close } = await setUp(4_000, kind);
        t.teardown(close);
        const socket = connect(program.callersPort, "127.0.0.1");
        await once(socket, "connect");
        const lines = Object.entries(headers()).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        socket.write(`POST /a/x HTTP/1.1\r\n${lines}content-length: 2\r\n\r\n`);
        program.child.kill("SIGTERM");
        await sleep(3_300);
        socket.write("ab");
        const sentAt = performance.now();
        const answer = await new Promise<string>(resolve => {
            socket.once("data", bytes => resolve(String(bytes)));
            socket.once("close", () => resolve("closed without an answer"));
            setTimeout(() => resolve("no answer in time"), 5_000);
        });
        t.regex(answer, /^HTTP\/1.1 503 .*host-stopping/s);
        t.regex(answer, /retry-after: \d/);
        t.true(performance.now() - sentAt < 300);
        t.is(backend.arrivals.length, 0);
        socket.destroy();
    });
}

for (const kind of ["safe", "unsafe"]) {
    test.serial(`a ${kind} request that can not end within a short grace is refused at once and not passed on`, async t => {
        const { backend, program, close } = await setUp(4_000, kind, "2s");
        t.teardown(close);
        program.child.kill("SIGTERM");
        await sleep(1_150);
        const sentAt = performance.now();
        const answer = await send(program);
        t.is(answer?.statusCode, 503);
        t.true(performance.now() - sentAt < 300);
        t.is(backend.arrivals.length, 0);
    });

    test.serial(`a ${kind} request that ends just before the last sixth of a short grace is answered`, async t => {
        const { backend, program, close } = await setUp(1_130, kind, "1500ms");
        t.teardown(close);
        const answer = send(program);
        await waitUntil("the request runs", () => backend.arrivals.length === 1);
        program.child.kill("SIGTERM");
        t.is((await answer)?.statusCode, 200);
    });
}

test.serial("a host that reads the signal late refuses what comes after half of the grace and can not end in time", async t => {
    const { backend, program, close } = await setUp(4_000, "unsafe");
    t.teardown(close);
    program.child.kill("SIGSTOP");
    program.child.kill("SIGTERM");
    const signalledAt = performance.now();
    await sleep(900);
    program.child.kill("SIGCONT");
    await sleep(signalledAt + 3_080 - performance.now());
    t.is((await send(program))?.statusCode, 503);
    t.is(backend.arrivals.length, 0);
});

test.serial("a host that reads the signal late answers what it breaks off before its grace is over", async t => {
    const { backend, program, close } = await setUp(8_000, "unsafe");
    t.teardown(close);
    const answer = send(program);
    await waitUntil("the request runs", () => backend.arrivals.length === 1);
    program.child.kill("SIGSTOP");
    program.child.kill("SIGTERM");
    const signalledAt = performance.now();
    await sleep(800);
    program.child.kill("SIGCONT");
    t.is((await answer)?.statusCode, 504);
    const afterMilliseconds = performance.now() - signalledAt;
    t.true(afterMilliseconds < graceMilliseconds, `${afterMilliseconds} ms`);
    t.true(afterMilliseconds > graceMilliseconds * 5 / 6, `${afterMilliseconds} ms`);
});

test.before(buildProgram);
