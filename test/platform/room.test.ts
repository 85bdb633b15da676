/**
 * How much of its targets a host uses: many requests at once at targets with slots for all of them, real processes.
 */
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    buildProgram,
    entry,
    isReady,
    limits,
    route,
    sendRequest,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

const slots = 50;
const requests = 40;
const rounds = 3;
/** Hosts know by then that the requests of the round before have ended. */
const pauseMilliseconds = 500;
/** Until then, hosts leave room to others that may have joined with them. */
const joinedMilliseconds = 5_500;

for (
    const { hosts, sharded } of [{ hosts: 1, sharded: false }, { hosts: 3, sharded: false }, {
        hosts: 1,
        sharded: true,
    }]
) {
    const pool = sharded ? "that owns keys" : "without keys";
    test(`a target ${pool} with ${slots} slots answers ${requests} requests at once that ${hosts} host(s) send`, async t => {
        const store = await startStoreStandIn();
        const service = sharded ? "stock" : "orders";
        const backend = await startBackendStandIn({
            id: "i-1",
            slots,
            queue: 10,
            workMilliseconds: 500,
            isSharded: sharded,
        });
        store.put("servers", "i-1", { ...entry(service, backend), slots });
        store.put("config", "main", {
            version: "r3",
            routes: { r1: { ...route("a.example", service, "safe"), targetLatency: "1000ms" } },
            services,
            limits,
        });
        const names = Array.from({ length: hosts }, (...[, index]) => `h${index + 1}`);
        const programs = await Promise.all(names.map(name => startProgram(store, { name })));
        t.teardown(() => {
            programs.forEach(({ child }) => child.kill("SIGKILL"));
            [store, backend].forEach(part => part.close());
        });
        await waitUntil("all hosts are ready", async () => (await Promise.all(programs.map(isReady))).every(Boolean));
        await waitUntil("all keys are owned", () => !sharded || [0, 65_535].every(key => backend.ownsKey(key)));
        await sleep(joinedMilliseconds);
        const ask = async (number: number): Promise<unknown> => {
            const headers = {
                host: "a.example",
                "request-id": `q-${number}`,
                "request-deadline": "1400",
                "shard-key": String(number * 977 % 65_536),
            };
            const { statusCode, headers: { "carobpier-reason": reason } } = await sendRequest(
                programs[number % hosts].callersPort,
                "/a/x",
                headers,
            );
            return statusCode === 200 ? "answered" : reason;
        };
        for (let round = 0; round < rounds; round += 1) {
            const numbers = Array.from({ length: requests }, (...[, index]) => round * requests + index);
            const ended = await Promise.all(numbers.map(ask));
            const answered = ended.filter(result => result === "answered").length;
            await sleep(pauseMilliseconds);
            t.is(answered, requests, `round ${round + 1}: ${[...new Set(ended)].join(", ")}`);
        }
    });
}

/** Without loans, a host has a third of 65 connections, and its requests have no time to wait for them. */
const borrowedFrom = 30;
const roundMilliseconds = 200;
const maxRounds = 60;

test(`one of three hosts that gets all requests borrows connections, so that a target answers more than ${borrowedFrom} at once`, async t => {
    const store = await startStoreStandIn();
    const backend = await startBackendStandIn({
        id: "i-1",
        slots,
        queue: 10,
        workMilliseconds: 500,
        isSharded: false,
    });
    store.put("servers", "i-1", { ...entry("orders", backend), slots });
    store.put("config", "main", {
        version: "r3",
        routes: { r1: { ...route("a.example", "orders", "safe"), targetLatency: "1000ms" } },
        services,
        limits,
    });
    const programs = await Promise.all(["h1", "h2", "h3"].map(name => startProgram(store, { name })));
    t.teardown(() => {
        programs.forEach(({ child }) => child.kill("SIGKILL"));
        [store, backend].forEach(part => part.close());
    });
    await waitUntil("all hosts are ready", async () => (await Promise.all(programs.map(isReady))).every(Boolean));
    await sleep(joinedMilliseconds);
    const answeredOf: number[] = [];
    while (answeredOf.length < maxRounds && Math.max(0, ...answeredOf) <= borrowedFrom) {
        const answers = await Promise.all(Array.from({ length: requests }, async (...[, index]) => {
            const headers = {
                host: "a.example",
                "request-id": `q-${answeredOf.length}-${index}`,
                "request-deadline": "900",
            };
            return (await sendRequest(programs[0].callersPort, "/a/x", headers)).statusCode;
        }));
        answeredOf.push(answers.filter(statusCode => statusCode === 200).length);
        await sleep(roundMilliseconds);
    }
    t.log(answeredOf.join(", "));
    t.true(Math.max(...answeredOf) > borrowedFrom, answeredOf.join(", "));
});

test.before(buildProgram);
