/**
 * Targets that leave, or that want no requests for a while, and say so in their answers only: real processes against
 * stand-ins that count what arrives.
 */
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { type BackendStandIn, startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn, type StoreStandIn } from "../../stand-ins/resident/store.ts";
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

type Setup = { store: StoreStandIn; backends: BackendStandIn[]; programs: Program[] };

/** Starts hosts with targets of one pool and waits until requests can be served. */
const setUp = async (backendCount: number, hostCount: number, sharded: boolean): Promise<Setup> => {
    const store = await startStoreStandIn();
    const service = sharded ? "stock" : "orders";
    const backends: BackendStandIn[] = [];
    for (let index = 0; index < backendCount; index += 1) {
        const id = `i-${index}`;
        const backend = await startBackendStandIn({ id, slots: 4, queue: 4, workMilliseconds: 20, isSharded: sharded });
        backends.push(backend);
        store.put("servers", id, entry(service, backend));
    }
    const routes = { r1: route("a.example", service, "safe") };
    store.put("config", "main", { version: "r3", routes, services, limits });
    const setup: Setup = { store, backends, programs: [] };
    try {
        for (let index = 0; index < hostCount; index += 1) {
            setup.programs.push(await startProgram(store, { name: `h${index}` }));
        }
        await waitUntil(
            "all hosts are ready",
            async () => (await Promise.all(setup.programs.map(isReady))).every(Boolean),
        );
        if (sharded) {
            await waitUntil(
                "all keys are owned",
                () => [0, 30_000, 65_535].every(key => backends.some(backend => backend.ownsKey(key))),
            );
        }
        return setup;
    }
    catch (error) {
        close(setup);
        throw error;
    }
};

const close = ({ store, backends, programs }: Setup): void => {
    programs.forEach(({ child }) => child.kill("SIGKILL"));
    [store, ...backends].forEach(part => part.close());
};

let sent = 0;

/** Sends requests at all hosts in turn for a while and returns the answers. */
const load = async (programs: Program[], milliseconds: number): Promise<Answer[]> => {
    const pending: Array<Promise<Answer>> = [];
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
        sent += 1;
        const headers = {
            host: "a.example",
            "request-id": `n-${sent}`,
            "request-deadline": "1200",
            "shard-key": String(sent * 977 % 65_536),
        };
        pending.push(sendRequest(programs[sent % programs.length].callersPort, "/a/x", headers));
        await sleep(25);
    }
    return Promise.all(pending);
};

/** Sends requests until the condition holds, for 15 s at most. */
const loadUntil = async (programs: Program[], condition: () => boolean): Promise<void> => {
    for (let tries = 0; !condition() && tries < 15; tries += 1) {
        await load(programs, 1_000);
    }
};

const countBetween = (arrivals: number[], from: number, to: number): number =>
    arrivals.filter(at => at >= from && at < to).length;

const pauseSeconds = 8;
/** Requests that were under way when a host was turned away have arrived after this time. */
const graceMilliseconds = 500;
/** What may still arrive from each host, from half a second after it was turned away to the end of the pause. */
const maxDuringPause = 2;

for (const sharded of [false, true]) {
    test(`a target ${sharded ? "that owns keys" : "without keys"} that asked for a pause gets no request from the hosts that it turned away`, async t => {
        const setup = await setUp(sharded ? 2 : 1, 2, sharded);
        t.teardown(() => close(setup));
        const { backends: [pausing], programs } = setup;
        await load(programs, 1_000);
        pausing.faults.shed = true;
        pausing.faults.retryAfter = String(pauseSeconds);
        const answers: Answer[] = [];
        const wereAsked = (): boolean => programs.every(({ log }) => /target-notice .*pauseMilliseconds=/.test(log()));
        const firstAskedAt = performance.now();
        for (let tries = 0; !wereAsked() && tries < 20; tries += 1) {
            answers.push(...await load(programs, 500));
        }
        t.true(wereAsked(), "both hosts were turned away");
        pausing.faults.shed = false;
        const from = performance.now() + graceMilliseconds;
        const to = firstAskedAt + pauseSeconds * 1_000;
        answers.push(...await load(programs, to - performance.now()));
        const during = countBetween(pausing.arrivals, from, to);
        t.true(to > from && during <= maxDuringPause * programs.length, `${during} requests during the pause`);
        const refused = answers.filter(answer => answer.statusCode === 503);
        t.true(refused.every(answer => Number(answer.headers["retry-after"]) > 0));
        const isUsedAgain = (): boolean => countBetween(pausing.arrivals, to, Infinity) > 0;
        await loadUntil(programs, isUsedAgain);
        t.true(isUsedAgain(), "used again");
    });
}

/** What a host learned of a target that leaves, and when it was told by others. */
const linesAbout = ({ log }: Program, target: string): string[] =>
    log().split("\n").filter(line =>
        /event=(gossip-told|host-ready|host-starting) /.test(line)
        || (/event=target-(leaving|notice) /.test(line) && line.includes(target))
    );

/** Time from the first answer that says that a target leaves to when no new request may reach it. */
const drainMilliseconds = 2_000;
/** The late host ranks before the others, which open the links of gossip to it once they know it. */
const lateName = "h4";

for (const sharded of [false, true]) {
    test(`a target ${sharded ? "that owns keys" : "without keys"} that says in its answers that it leaves gets no request after the drain time, also from a host that starts later`, async t => {
        const setup = await setUp(2, 2, sharded);
        t.teardown(() => close(setup));
        const { store, backends: [leaver], programs } = setup;
        await load(programs, 1_500);
        leaver.faults.leaving = true;
        const flaggedAt = performance.now();
        const wasAsked = (): boolean => countBetween(leaver.arrivals, flaggedAt, Infinity) > 0;
        // Hosts may prefer the other target while a few requests are under way, and then nobody knows that this one leaves.
        for (let tries = 0; !wasAsked() && tries < 20; tries += 1) {
            await Promise.all(Array.from({ length: 4 }, () => load(programs, 250)));
        }
        t.true(wasAsked(), "a host was told");
        const startedAt = leaver.arrivals.find(at => at >= flaggedAt) ?? flaggedAt;
        const wallStartedAt = Date.now() - performance.now() + startedAt;
        const answers = await load(programs, drainMilliseconds + 1_000);
        const since = startedAt + drainMilliseconds + 500;
        const drained = await load(programs, 1_500);
        const logTrace = (): void => {
            const lateArrivals = leaver.arrivals.filter(at => at >= since).map(at => Math.round(at - startedAt));
            t.log(`arrivals after ${lateArrivals.join(", ")} ms of ${new Date(wallStartedAt).toISOString()}`);
            programs.flatMap(program => linesAbout(program, leaver.id())).forEach(line => t.log(line));
        };
        logTrace();
        t.is(countBetween(leaver.arrivals, since, Infinity), 0, "requests after the drain time");
        const refused = drained.filter(answer => answer.statusCode !== 200);
        t.deepEqual(
            refused.map(answer => [answer.headers["carobpier-reason"], answer.body]),
            [],
            "others serve what it served",
        );
        const servedShare = answers.filter(answer => answer.statusCode === 200).length / answers.length;
        t.true(servedShare >= 0.9, `${servedShare} served while it leaves`);

        const late = await startProgram(store, { name: lateName });
        programs.push(late);
        await waitUntil("the late host is ready", () => isReady(late));
        await load([late], 1_500);
        logTrace();
        t.is(countBetween(leaver.arrivals, since, Infinity), 0, "requests of a host that started later");

        leaver.faults.leaving = false;
        store.put("servers", "i-0", entry(sharded ? "stock" : "orders", leaver, "ready", 2_000));
        const isUsedAgain = (): boolean => countBetween(leaver.arrivals, since, Infinity) > 0;
        await loadUntil(programs, isUsedAgain);
        t.true(isUsedAgain(), "used again once it has started again");
    });
}

test.before(buildProgram);
