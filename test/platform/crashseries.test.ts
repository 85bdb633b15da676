/**
 * A day in the shape of the users' record: twenty targets of one service, started again under new names some seconds
 * after each crash; a caller whose request crashes each target that runs it, and which comes again at all hosts; sound
 * requests of the same route beside it. Guards against a request that goes on crashing targets, and against sound
 * requests that are refused for it.
 */
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { type BackendStandIn, startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    type Answer,
    buildProgram,
    entry,
    isReady,
    limits,
    type Program,
    route,
    sendRequest,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

test.before(buildProgram);

const targetCount = 20;
const hostCount = 4;
const playMilliseconds = 12_000;
/** The rule counts retries that are sent this long after the third crash. */
const stableMilliseconds = 3_000;
const maxLateCrashes = 3;
const poisonPath = "/a/poison/1";
const poisonCaller = "poison";
/** An entry lapses after three heartbeats without a word of its target. */
const lapseMilliseconds = 2_600;

type Case = {
    title: string;
    /** Query of the request that crashes targets, by the number of the send. */
    query: (send: number) => string;
    /** Path of the sound requests, by their number. */
    soundPath: (send: number) => string;
    /** Address from which the sound requests come. */
    soundAddress: string;
    /** Time that sound requests run, and that others run until they crash their target. */
    workMilliseconds: number;
    crashAfterMilliseconds: () => number;
    /** Share of the targets that answer the crashing request with 500 in place of a crash. */
    failingShare: number;
};

const plain: Omit<Case, "title"> = {
    query: () => "",
    soundPath: send => `/a/sound/${send}`,
    soundAddress: "127.0.0.1",
    workMilliseconds: 60,
    crashAfterMilliseconds: () => 20 + Math.random() * 300,
    failingShare: 0,
};

const cases: Case[] = [
    { ...plain, title: "the same request" },
    { ...plain, title: "another query each time", query: send => `?page=${send}` },
    {
        ...plain,
        title: "the path of sound requests of other callers",
        soundPath: send => send % 4 === 0 ? poisonPath : `/a/sound/${send}`,
        soundAddress: "127.0.0.2",
    },
    {
        ...plain,
        title: "the path of sound requests of other callers that run longer",
        soundPath: send => send % 4 === 0 ? poisonPath : `/a/sound/${send}`,
        soundAddress: "127.0.0.2",
        workMilliseconds: 400,
        crashAfterMilliseconds: () => 5,
    },
    { ...plain, title: "some targets that fail it without a crash", failingShare: 0.6 },
];

const setUp = async ({ failingShare, workMilliseconds, crashAfterMilliseconds }: Case) => {
    const store = await startStoreStandIn();
    const backends: BackendStandIn[] = [];
    const lives: Array<{ backend: BackendStandIn; at: number }> = [];
    for (let index = 0; index < targetCount; index += 1) {
        const put = (): void =>
            store.put("servers", backend.id(), entry("orders", backend, "ready", 1_000 + backend.crashes()));
        const backend = await startBackendStandIn({
            id: `i-${index}`,
            isRenamed: true,
            slots: 3,
            queue: 4,
            workMilliseconds,
            isSharded: false,
            onRestart: put,
            onCrash: id => {
                lives.push({ backend, at: performance.now() });
                setTimeout(() => store.remove("servers", id), lapseMilliseconds);
            },
        });
        backend.faults.crashPath = poisonPath;
        backend.faults.crashCaller = poisonCaller;
        backend.faults.crashAfterMilliseconds = crashAfterMilliseconds;
        backend.faults.downMilliseconds = 1_500;
        backend.faults.crashPathStatus = index < targetCount * failingShare ? 500 : 0;
        backends.push(backend);
        put();
    }
    const routes = { r1: { ...route("orders.example", "orders", "safe"), timeout: "5s", targetLatency: "800ms" } };
    store.put("config", "main", { version: "r3", routes, services, limits });
    const programs: Program[] = [];
    const close = (): void => {
        programs.forEach(({ child }) => child.kill("SIGKILL"));
        [store, ...backends].forEach(part => part.close());
    };
    for (let index = 0; index < hostCount; index += 1) {
        programs.push(await startProgram(store, { name: `h${index}` }));
    }
    return { programs, crashes: () => lives.map(({ at }) => at), close };
};

for (const play of cases) {
    const { title, query, soundPath, soundAddress } = play;
    test.serial(`a request that crashes targets, ${title}: three late crashes at most, and sound requests are served`, async t => {
        const { programs, crashes, close } = await setUp(play);
        t.teardown(close);
        await waitUntil("all are ready", async () => (await Promise.all(programs.map(isReady))).every(Boolean));
        let sends = 0;
        const send = (path: string, localAddress: string, caller: string): Promise<Answer | undefined> => {
            sends += 1;
            const headers = {
                host: "orders.example",
                "request-id": `r-${sends}`,
                "request-deadline": "3000",
                caller,
            };
            const { callersPort } = programs[sends % programs.length];
            return sendRequest(callersPort, path, headers, "GET", localAddress).catch(() => undefined);
        };
        const endAt = performance.now() + playMilliseconds;
        const sound: Array<Promise<Answer | undefined>> = [];
        const playSound = async (): Promise<void> => {
            while (performance.now() < endAt) {
                sound.push(send(soundPath(sound.length), soundAddress, "sound"));
                await sleep(25);
            }
        };
        const playPoison = async (): Promise<void> => {
            for (let times = 0; performance.now() < endAt; times += 1) {
                await send(`${poisonPath}${query(times)}`, "127.0.0.1", poisonCaller);
                await sleep(100);
            }
        };
        await Promise.all([playSound(), playPoison()]);
        const times = crashes();
        const late = times.filter(at => at > times[2] + stableMilliseconds).length;
        const answers = await Promise.all(sound);
        const served = answers.filter(answer => answer?.statusCode === 200).length / answers.length;
        const quarantined = answers.filter(answer => answer?.headers["carobpier-reason"] === "quarantined").length;
        t.log(`${times.length} crashes, ${late} late; served ${served.toFixed(3)}; ${quarantined} quarantined`);
        programs.flatMap(({ log }) => log().split("\n")).filter(line =>
            / event=(request-quarantined|request-answered-in-quarantine) /.test(line)
        ).forEach(line => t.log(line));
        t.true(times.length >= 3);
        t.true(late <= maxLateCrashes, `${late} late crashes of ${times.length}`);
        t.true(quarantined <= answers.length / 500, `${quarantined} sound requests of ${answers.length} refused`);
    });
}
