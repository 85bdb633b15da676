/**
 * Descriptors of the resident host: the built program with a small limit on its open files, and more callers than that.
 */
import test from "ava";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { WebSocket } from "ws";
import { startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn, type StoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    buildProgram,
    entry,
    firstRoutes,
    freePort,
    isReady,
    limits,
    type Program,
    requestOrder,
    sendRequest,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

const openFiles = 256;

/** More than the process may open. */
const callerCount = 300;
const closeMilliseconds = 1_000;

type Fleet = {
    ports: Record<"links" | "health" | "metrics", number>;
    store: StoreStandIn;
    program: Program;
    readMetric: (name: string) => Promise<number | undefined>;
    /** Waits until the host has taken that many connections at an address. */
    waitForConnections: (part: string, count: number) => Promise<void>;
    close: () => void;
};

const startFleet = async (openFilesAllowed = openFiles, moreSettings: string[] = []): Promise<Fleet> => {
    const store = await startStoreStandIn();
    const backend = await startBackendStandIn({ id: "i-1", slots: 4, queue: 8, workMilliseconds: 5, isSharded: false });
    store.put("servers", "i-1", entry("orders", backend));
    store.put("config", "main", { version: "r1", routes: firstRoutes, services, limits });
    const [metricsPort, linksPort] = [await freePort(), await freePort()];
    const program = await startProgram(store, { openFiles: openFilesAllowed, metricsPort, linksPort, moreSettings });
    await waitUntil("the host is ready", () => isReady(program));
    const readMetric = async (name: string): Promise<number | undefined> => {
        await sendRequest(metricsPort, "/");
        const line = (await sendRequest(metricsPort, "/")).body.split("\n").find(text => text.startsWith(name));
        return line === undefined ? undefined : Number(line.slice(name.length));
    };
    return {
        store,
        program,
        ports: { links: linksPort, health: program.healthPort, metrics: metricsPort },
        readMetric,
        waitForConnections: (part, count) =>
            waitUntil(`${count} connections of ${part} are taken`, async () => {
                const names = [
                    `carobpier_descriptors{part="${part}"} `,
                    `carobpier_descriptors_used_up{part="${part}",closed="idle"} `,
                    `carobpier_descriptors_used_up{part="${part}",closed="new"} `,
                ];
                const taken = await Promise.all(names.map(name => readMetric(name).catch(() => 0)));
                return taken.reduce<number>((sum, number = 0) => sum + number, 0) >= count;
            }),
        close: () => {
            program.child.kill("SIGKILL");
            [store, backend].forEach(part => part.close());
        },
    };
};

test("the metrics tell the descriptors in use by part, and the limit", async t => {
    const { program, readMetric, close } = await startFleet();
    t.teardown(close);
    t.is((await requestOrder(program, "o-1")).statusCode, 200);
    t.is(await readMetric("carobpier_descriptor_limit "), openFiles);
    for (
        const [part, least] of [["callers", 0], ["targets", 1], ["hosts", 0], ["store", 1], ["health", 0], [
            "metrics",
            1,
        ]] as const
    ) {
        const count = await readMetric(`carobpier_descriptors{part="${part}"} `);
        t.true(count !== undefined && count >= least && count < 20, `${part}: ${count}`);
    }
});

const orderText = (id: string): string =>
    `POST /a/y HTTP/1.1\r\nhost: orders.example\r\nrequest-id: ${id}\r\nrequest-deadline: 1200\r\ncontent-length: 0\r\n\r\n`;

/** Opens a connection, and tells what became of its first request after a while: `answered`, `closed` or `silent`. */
const askOnNewConnection = (port: number, id: string): Promise<string> =>
    new Promise(resolve => {
        const socket = connect(port, "127.0.0.1", () => socket.write(orderText(id)));
        const finish = (result: string): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(result);
        };
        const timer = setTimeout(() => finish("silent"), closeMilliseconds);
        socket.on("data", bytes => finish(String(bytes).startsWith("HTTP/1.1 200") ? "answered" : String(bytes)));
        socket.on("error", error => finish(`closed: ${error.message}`));
        socket.on("close", () => finish("closed"));
    });

const openIdleCaller = async (port: number, text: string): Promise<Socket> => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.resume();
    await once(socket, "connect");
    socket.write(text);
    return socket;
};

const idleKinds: Array<[string, (id: string) => string]> = [
    ["sent nothing", () => ""],
    ["were answered once", orderText],
];

for (const [title, textOf] of idleKinds) {
    test(`with more callers than descriptors that ${title}, the host goes on in all its duties`, async t => {
        const { store, program, readMetric, waitForConnections, close } = await startFleet();
        const callers: Socket[] = [];
        const second = await startBackendStandIn({
            id: "i-2",
            slots: 4,
            queue: 8,
            workMilliseconds: 5,
            isSharded: false,
        });
        t.teardown(() => {
            close();
            second.close();
            callers.forEach(socket => socket.destroy());
        });
        for (let number = 0; number < callerCount; number += 1) {
            callers.push(await openIdleCaller(program.callersPort, textOf(`c-${number}`)));
        }
        // A connection is idle only some time after the host took it, and the system takes those that wait for it.
        await waitForConnections("callers", callerCount);
        await sleep(500);
        const results: string[] = [];
        for (let number = 0; number < 10; number += 1) {
            results.push(await askOnNewConnection(program.callersPort, `n-${number}`));
        }
        // The target runs in this process, so that the host may refuse a request when the machine is busy.
        const isGiven = (result: string): boolean => result === "answered" || /deadline-unreachable/.test(result);
        t.deepEqual(results.filter(result => !isGiven(result)), [], `new callers; ${program.log()}`);
        await waitUntil(
            "a new caller is answered by the target",
            async () => await askOnNewConnection(program.callersPort, `w-${performance.now()}`) === "answered",
        );

        store.resetConnections();
        store.put("servers", "i-2", entry("orders", second));
        store.remove("servers", "i-1");
        await waitUntil("the target is used that the store tells of only then", async () => {
            await askOnNewConnection(program.callersPort, `t-${performance.now()}`);
            return second.arrivals.length > 0;
        });
        writeFileSync(program.file, `${program.settings}\nlogs: { level: debug }`);
        program.child.kill("SIGHUP");
        await waitUntil("the settings are read", () => program.log().includes("event=settings-read"));
        t.notRegex(program.log(), /settings-refused/);
        t.true(await isReady(program));
        const openCallers = Number(await readMetric(`carobpier_descriptors{part="callers"} `));
        t.true(openCallers < openFiles / 2, `${openCallers} connections of callers`);

        program.child.kill("SIGTERM");
        const [exitCode] = await once(program.child, "exit") as [number];
        t.is(exitCode, 0);
    });
}

test("halves of requests at the address of health keep no check out", async t => {
    const { program, ports, close } = await startFleet();
    const halves: Socket[] = [];
    t.teardown(() => {
        close();
        halves.forEach(socket => socket.destroy());
    });
    for (let number = 0; number < 20; number += 1) {
        halves.push(await openIdleCaller(ports.health, "GET / HTTP/1.1\r\nx"));
    }
    await sleep(500);
    for (let check = 0; check < 3; check += 1) {
        t.true(await isReady(program));
    }
});

for (const address of ["links", "health", "metrics"] as const) {
    test(`more idle connections than descriptors at the address of ${address} keep nobody out`, async t => {
        const { program, ports, readMetric, waitForConnections, close } = await startFleet();
        const idle: Socket[] = [];
        t.teardown(() => {
            close();
            idle.forEach(socket => socket.destroy());
        });
        for (let number = 0; number < callerCount; number += 1) {
            idle.push(await openIdleCaller(ports[address], ""));
        }
        await waitForConnections(address === "links" ? "hosts" : address, callerCount);
        await sleep(500);
        t.is(await askOnNewConnection(program.callersPort, "n-1"), "answered", program.log());
        t.true(await isReady(program));
        t.is(await readMetric("carobpier_descriptor_limit "), openFiles);
        const link = new WebSocket(`ws://127.0.0.1:${ports.links}/state`);
        await once(link, "open");
        link.terminate();
    });
}

const beyondCases = [
    { openFilesAllowed: 256, callers: 500, kind: "sent nothing", textOf: () => "" },
    { openFilesAllowed: 256, callers: 500, kind: "sent half a head", textOf: () => "POST /a/y HTTP/1.1\r\nx" },
    { openFilesAllowed: 1_024, callers: 1_500, kind: "sent nothing", textOf: () => "" },
    { openFilesAllowed: 1_024, callers: 1_500, kind: "were answered once", textOf: orderText },
    { openFilesAllowed: 1_024, callers: 1_500, kind: "sent half a head", textOf: () => "POST /a/y HTTP/1.1\r\nx" },
];
const statedDescriptors = 4_100;

for (const { openFilesAllowed, callers: count, kind, textOf } of beyondCases) {
    const title =
        `${statedDescriptors} descriptors stated, ${openFilesAllowed} open files, ${count} callers that ${kind}`;
    test.serial(`${title}: the host keeps health checks, store and reloads`, async t => {
        const { program, store, readMetric, close } = await startFleet(openFilesAllowed, [
            `descriptors: { limit: ${statedDescriptors}, files: 48 }`,
        ]);
        const second = await startBackendStandIn({
            id: "i-2",
            slots: 4,
            queue: 8,
            workMilliseconds: 5,
            isSharded: false,
        });
        const callers: Socket[] = [];
        t.teardown(() => {
            close();
            second.close();
            callers.forEach(socket => socket.destroy());
        });
        for (let number = 0; number < count; number += 50) {
            const ids = Array.from({ length: 50 }, (...[, index]) => `c-${number + index}`);
            callers.push(...await Promise.all(ids.map(id => openIdleCaller(program.callersPort, textOf(id)))));
        }
        t.true(await Promise.race([isReady(program), sleep(2_000, false)]), "health");
        // Until then, most callers may wait for the host in the system's queue.
        await waitUntil("the host has met the shortage", async () => {
            const limit = await readMetric("carobpier_descriptor_limit ").catch(() => undefined);
            return limit !== undefined && limit < openFilesAllowed;
        });
        const startAt = performance.now();
        const metrics = Promise.all([
            readMetric("carobpier_descriptor_limit "),
            readMetric(`carobpier_descriptors{part="callers"} `),
        ]);
        const [limit = Infinity, open = Infinity] = await Promise.race([metrics, sleep(2_000, [])]);
        t.true(limit < openFilesAllowed, `limit ${limit}`);
        writeFileSync(program.file, `${program.settings}\nlogs: { level: debug }`);
        program.child.kill("SIGHUP");
        await waitUntil("the settings are read", () => program.log().includes("event=settings-read "));
        const readAfter = performance.now() - startAt;
        store.put("servers", "i-2", entry("orders", second));
        store.remove("servers", "i-1");
        await waitUntil("the target is used that the store tells of only then", async () => {
            await askOnNewConnection(program.callersPort, `t-${performance.now()}`);
            return second.arrivals.length > 0;
        });
        t.log(`limit ${limit}, callers ${open}, settings read after ${Math.round(readAfter)} ms`);
        t.true(readAfter < 2_000, `settings read after ${readAfter} ms`);
        t.notRegex(program.log(), /EMFILE|settings-read-delayed/);
        await waitUntil("the connections of callers are within their part", async () => {
            const part = await readMetric(`carobpier_descriptor_part{part="callers"} `) ?? 0;
            return (await readMetric(`carobpier_descriptors{part="callers"} `) ?? Infinity) <= part;
        });
        t.true(await isReady(program));
    });
}

test.before(buildProgram);
