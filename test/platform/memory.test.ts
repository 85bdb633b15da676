/**
 * Memory of the program while others write much into the store. Guards against ends by the limit of the heap, which leave
 * no line, and by that of the machine.
 */
import test, { type ExecutionContext } from "ava";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
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

test.before(buildProgram);

/** Of the smallest machines. */
const machineMegabytes = 285;

const times = (count: number): number[] => [...Array.from({ length: count }).keys()];

/** Time to write and to read 200 MB a few times. */
const rereadMilliseconds = 60_000;

const valueBytes = 1_000_000;
/** Texts of values in JSON, by the word that stands for each in objects of the store, which sends the texts. */
const largeTexts = {
    "@texts@": JSON.stringify("x".repeat(valueBytes)),
    "@objects@": JSON.stringify(times(valueBytes / 3).map(() => ({}))),
    "@keys@": JSON.stringify(Object.fromEntries(times(valueBytes / 10).map(index => [index.toString(36), 0]))),
} as const;
type Large = keyof typeof largeTexts;
const larges = Object.keys(largeTexts) as Large[];

const insertLarge = (text: string): string =>
    Object.entries(largeTexts).reduce((before, [word, large]) => before.replaceAll(JSON.stringify(word), large), text);

const peakMegabytes = ({ child }: Program): number => {
    const [, kilobytes] = readFileSync(`/proc/${child.pid}/status`, "utf8").match(/VmHWM:\s+(\d+) kB/) ?? [];
    return Number(kilobytes) / 1_024;
};

type Case = {
    title: string;
    /** Writes objects before the program starts. */
    before?: (store: StoreStandIn) => void;
    /** Writes objects while it runs. */
    meanwhile?: (store: StoreStandIn) => Promise<void>;
    /** Time until the program is ready, if longer than usual. */
    readyMilliseconds?: number;
};

/** An entry of a target that nobody can use, and what it has beside. */
const largeEntry = (labels: Large, seq = 1) => ({
    service: "orders",
    address: "127.0.0.1:9",
    zone: "z1",
    slots: 1,
    state: "gone",
    seq,
    labels,
});

const putEntries = (store: StoreStandIn, count: number, large: Large, seq?: number): void =>
    times(count).forEach(index => store.put("servers", `l${index}`, largeEntry(large, seq)));

const cases: Case[] = [
    ...larges.map(large => ({
        title: `200 entries of 1 MB of ${large}`,
        before: (store: StoreStandIn) => putEntries(store, 200, large),
    })),
    ...larges.map(large => ({
        title: `entries of 1 MB of ${large} that come by dozens`,
        meanwhile: async (store: StoreStandIn) => {
            for (const round of times(10)) {
                putEntries(store, 12, large, round);
                await sleep(300);
            }
        },
    })),
    {
        title: "200 objects of 1 MB beside the manifest",
        before: store => times(200).forEach(index => store.put("config", `l${index}`, { labels: "@texts@" })),
    },
    ...["hosts", "coordination", "ownership"].flatMap(kind =>
        larges.map(large => ({
            title: `200 objects of 1 MB of ${large} of the kind ${kind}, which only hosts write,`,
            before: (store: StoreStandIn) =>
                times(200).forEach(index => store.put(kind, `l${index}`, { process: "l/1", labels: large })),
            readyMilliseconds: rereadMilliseconds,
        }))
    ),
    {
        title: "objects of 1 MB of a kind that only hosts write and that come by dozens",
        meanwhile: async store => {
            for (const round of times(10)) {
                times(12).forEach(index => store.put("ownership", `l${round}-${index}`, { labels: "@objects@" }));
                await sleep(300);
            }
        },
    },
    {
        title: "40 entries of 1 MB at once",
        meanwhile: async store => {
            putEntries(store, 40, "@texts@");
            await sleep(3_000);
        },
    },
];

const hasEnded = ({ child }: Program): boolean =>
    [child.exitCode, child.signalCode].some(end => (end ?? undefined) !== undefined);

const assertPeak = (t: ExecutionContext, program: Program): void => {
    const peak = peakMegabytes(program);
    t.log(`peak ${Math.round(peak)} MB`);
    t.true(peak < machineMegabytes, `${peak} MB`);
};

const maxBodyBytes = 8_388_608;
const manifest = { version: "r1", routes: firstRoutes, services, limits: { ...limits, maxBodyBytes } };

const startWith = async (t: ExecutionContext, { before }: Pick<Case, "before">): Promise<[Program, StoreStandIn]> => {
    const store = await startStoreStandIn(insertLarge);
    t.teardown(store.close);
    const backend = await startBackendStandIn({ id: "i-1", slots: 2, queue: 2, workMilliseconds: 5, isSharded: false });
    t.teardown(backend.close);
    store.put("config", "main", manifest);
    store.put("servers", "i-1", entry("orders", backend));
    before?.(store);
    const program = await startProgram(store);
    t.teardown(() => program.child.kill("SIGKILL"));
    return [program, store];
};

for (const testCase of cases) {
    test.serial(`${testCase.title} do not end the program`, async t => {
        t.timeout(90_000);
        const [program, store] = await startWith(t, testCase);
        const isReadyOrOver = async () => hasEnded(program) || await isReady(program);
        await waitUntil("the host is ready or has ended", isReadyOrOver, testCase.readyMilliseconds);
        t.false(hasEnded(program));
        await testCase.meanwhile?.(store);
        await sleep(1_500);
        t.false(hasEnded(program));
        t.is((await requestOrder(program, "1")).statusCode, 200);
        assertPeak(t, program);
    });
}

test.serial("the metrics tell the heap and its limit", async t => {
    const store = await startStoreStandIn();
    t.teardown(store.close);
    const metricsPort = await freePort();
    const program = await startProgram(store, { metricsPort });
    t.teardown(() => program.child.kill("SIGKILL"));
    const read = () => sendRequest(metricsPort, "/").then(({ body }) => body, () => "");
    const gauges = /carobpier_heap_used_bytes (\d+)[^]*carobpier_heap_limit_bytes (\d+)/;
    await waitUntil("the heap is told", async () => gauges.test(await read()));
    const [, used, limit] = (await read()).match(gauges)?.map(Number) ?? [];
    t.true(used > 0 && used < limit && limit < machineMegabytes * 1_048_576, `${used} of ${limit}`);
});

/** Sends requests with the header and the bytes of a body that is not complete. */
const sendBodies = (t: ExecutionContext, program: Program, callers: number, header: string, bytes: Buffer): void => {
    const head = ["POST /a/y HTTP/1.1", "host: orders.example", "request-deadline: 20000", header].join("\r\n");
    for (const index of times(callers)) {
        const socket = connect(program.callersPort, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(`${head}\r\nrequest-id: c${index}\r\n\r\n`);
        socket.write(bytes);
        t.teardown(() => socket.destroy());
    }
};

const largeBody = Buffer.alloc(maxBodyBytes - 1);
const tinyChunks = Buffer.from("1\r\nx\r\n".repeat(65_536));
const bodies = [
    {
        title: "bodies that come in chunks of one byte",
        send: (t: ExecutionContext, program: Program) =>
            sendBodies(t, program, 40, "transfer-encoding: chunked", tinyChunks),
    },
    {
        title: "200 bodies of 8 MB",
        send: (t: ExecutionContext, program: Program) =>
            sendBodies(t, program, 200, `content-length: ${maxBodyBytes}`, largeBody),
    },
];

for (const { title, send } of bodies) {
    test.serial(`${title} do not end the program`, async t => {
        t.timeout(90_000);
        const [program] = await startWith(t, {});
        await waitUntil("the host is ready", () => isReady(program));
        send(t, program);
        await sleep(5_000);
        t.false(hasEnded(program));
        t.is((await requestOrder(program, "1")).statusCode, 200);
        assertPeak(t, program);
    });
}
