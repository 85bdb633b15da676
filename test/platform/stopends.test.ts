/**
 * Ends of a stop: whatever does not answer, read or end meanwhile, the process ends within its grace with code 0.
 */
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { type AddressInfo, connect, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type BackendStandIn, startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn, type StoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    buildProgram,
    entry,
    firstRoutes,
    isReady,
    limits,
    type Program,
    requestStock,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

test.before(buildProgram);

type Parts = { store: StoreStandIn; backend: BackendStandIn; program: Program; trickle: () => void };

const largeBody = "x".repeat(24_000_000);

/** A relay to the store, which once asked begins each answer, goes on by a byte every 200 ms, and never ends it. */
const startRelay = async (
    t: ExecutionContext,
    store: StoreStandIn,
): Promise<{ address: string; trickle: () => void }> => {
    let isTrickling = false;
    const [host, port] = store.address.split(":");
    const server = createServer(socket => {
        const onward = connect(Number(port), host);
        onward.on("data", bytes => isTrickling || socket.write(bytes));
        onward.on("error", () => undefined);
        let drip: NodeJS.Timeout | undefined;
        socket.on("error", () => undefined);
        socket.on("close", () => {
            clearInterval(drip);
            onward.destroy();
        });
        socket.on("data", bytes => {
            if (isTrickling) {
                socket.write("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 1000000\r\n\r\n");
                drip ??= setInterval(() => socket.write(" "), 200);
                return;
            }
            onward.write(bytes);
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => void server.close());
    const trickle = (): void => {
        isTrickling = true;
    };
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, trickle };
};

const setUp = async (t: ExecutionContext, grace: string): Promise<Parts> => {
    const store = await startStoreStandIn();
    const options = { id: "i-1", slots: 20, queue: 20, workMilliseconds: 20, isSharded: true, bodyOf: () => largeBody };
    const backend = await startBackendStandIn(options);
    store.put("servers", "i-1", entry("stock", backend));
    store.put("config", "main", { version: "r3", routes: firstRoutes, services, limits });
    const relay = await startRelay(t, store);
    const program = await startProgram({ ...store, address: relay.address }, { grace });
    t.teardown(() => {
        program.child.kill("SIGKILL");
        [store, backend].forEach(part => part.close());
    });
    await waitUntil("the host is ready", () => isReady(program));
    // The large answer is cut off by the time-out of its route while the machine is busy.
    const isServed = (): Promise<boolean> =>
        requestStock(program, "warm", 1).then(answer => answer.statusCode === 200, () => false);
    await waitUntil("keys are served", isServed);
    return { store, backend, program, trickle: relay.trickle };
};

/** Sends a request and never reads its answer. */
const sendWithoutReading = async ({ program }: Parts): Promise<void> => {
    const socket = connect(program.callersPort, "127.0.0.1");
    socket.on("error", () => undefined);
    await once(socket, "connect");
    socket.write("GET /a/x HTTP/1.1\r\nhost: stock.example\r\nrequest-id: unread\r\nshard-key: 1\r\n\r\n");
    await sleep(300);
};

const cases: Array<{ title: string; grace: string; prepare: (parts: Parts) => Promise<void> | void }> = [
    { title: "nothing is wrong", grace: "6s", prepare: () => undefined },
    {
        title: "the store is silent",
        grace: "6s",
        prepare: async ({ store }) => {
            store.faults.silent = true;
            await sleep(100);
        },
    },
    {
        title: "store and targets are silent",
        grace: "6s",
        prepare: async ({ store, backend, program }) => {
            store.faults.silent = true;
            backend.faults.silent = true;
            void requestStock(program, "silent", 1).catch(() => undefined);
            await sleep(100);
        },
    },
    { title: "answers of the store never end", grace: "6s", prepare: ({ trickle }) => trickle() },
    { title: "a caller never reads a large answer", grace: "6s", prepare: sendWithoutReading },
    {
        title: "a caller never ends its head",
        grace: "6s",
        prepare: async ({ program }) => {
            const socket = connect(program.callersPort, "127.0.0.1").on("error", () => undefined);
            await once(socket, "connect");
            socket.write("GET /a/x HTTP/1.1\r\nhost: st");
        },
    },
    { title: "the grace is shorter than a stop takes", grace: "1s", prepare: () => undefined },
    {
        title: "the settings are lost meanwhile",
        grace: "6s",
        prepare: ({ program }) => writeFileSync(program.file, ""),
    },
];

for (const { title, grace, prepare } of cases) {
    test.serial(`a stop while ${title} ends the process within its grace, with code 0`, async t => {
        t.timeout(40_000);
        const parts = await setUp(t, grace);
        await prepare(parts);
        const stoppedAt = performance.now();
        parts.program.child.kill("SIGTERM");
        const end = once(parts.program.child, "exit").then(([code]) => code as number);
        t.is(await Promise.race([end, sleep(12_000, "still running", { ref: false })]), 0);
        const tookMilliseconds = Math.round(performance.now() - stoppedAt);
        t.log(`${tookMilliseconds} ms`);
        t.true(tookMilliseconds < Number.parseInt(grace, 10) * 1_000, `${tookMilliseconds} ms`);
    });
}
