/**
 * A target that becomes cold again while it serves: real processes with the deployment's settings for cold targets. Guards
 * against a host that does not apply them, so that the target gets more than the bound.
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

const rate = 2.5;
const bound = rate * 1.5 + 8;
const requestsPerSecond = 80;
const warmMilliseconds = 2_000;
const coldMilliseconds = 6_000;
/** All hosts know of a changed entry after this time. */
const knownMilliseconds = 2_500;

const mostInSecond = (arrivals: number[], from: number, to: number): number => {
    const counted = arrivals.filter(at => at >= from && at < to);
    return Math.max(0, ...counted.map(start => counted.filter(at => at >= start && at <= start + 1_000).length));
};

for (const sharded of [true, false]) {
    test.serial(`a target ${sharded ? "with" : "without"} keys that becomes cold gets no more from two hosts than the bound`, async t => {
        const store = await startStoreStandIn();
        const service = sharded ? "stock" : "orders";
        const backends = await Promise.all(
            ["i-1", "i-2"].map(id =>
                startBackendStandIn({ id, slots: 8, queue: 8, workMilliseconds: 10, isSharded: sharded })
            ),
        );
        backends.forEach((backend, index) => store.put("servers", `i-${index + 1}`, entry(service, backend)));
        const coldService = { ...services[service], warmup: "3s", warmupPerS: rate };
        store.put("config", "main", {
            version: "r3",
            routes: { r1: route("a.example", service, "safe") },
            services: { ...services, [service]: coldService },
            limits,
        });
        const moreSettings = ["coldTargets: { factor: 1.5, slack: 8 }"];
        const programs = [
            await startProgram(store, { name: "h1", moreSettings }),
            await startProgram(store, { name: "h2", moreSettings }),
        ];
        t.teardown(() => {
            programs.forEach(({ child }) => child.kill("SIGKILL"));
            [store, ...backends].forEach(part => part.close());
        });
        await waitUntil("both hosts are ready", async () => (await Promise.all(programs.map(isReady))).every(Boolean));
        if (sharded) {
            const isOwned = (key: number): boolean => backends.some(backend => backend.ownsKey(key));
            await waitUntil("all keys are owned", () => [0, 30_000, 65_535].every(isOwned));
        }
        const [cold] = backends;
        const pending: Array<Promise<unknown>> = [];
        const startedAt = performance.now();
        let coldAt = Infinity;
        for (let number = 0; performance.now() < startedAt + warmMilliseconds + coldMilliseconds; number += 1) {
            if (coldAt === Infinity && performance.now() > startedAt + warmMilliseconds) {
                coldAt = performance.now();
                store.put("servers", "i-1", { ...entry(service, cold), warmupLeft: "8000ms", seq: 2 });
            }
            const headers = {
                host: "a.example",
                "request-id": `c-${number}`,
                "request-deadline": "1200",
                "shard-key": String(number * 977 % 65_536),
            };
            pending.push(sendRequest(programs[number % programs.length].callersPort, "/a/x", headers));
            await sleep(1_000 / requestsPerSecond);
        }
        await Promise.all(pending);
        const warm = mostInSecond(cold.arrivals, startedAt, coldAt);
        const most = mostInSecond(cold.arrivals, coldAt + knownMilliseconds, Infinity);
        const used = cold.arrivals.filter(at => at >= coldAt + knownMilliseconds).length;
        t.log(JSON.stringify({ warm, most, used }));
        t.true(warm > bound, `${warm} a second while it is warm`);
        t.true(most <= bound, `${most} a second while it is cold`);
        t.true(used >= 3, `${used} requests while it is cold`);
    });
}

test.before(buildProgram);
