/**
 * Runs the built program as a process against stand-ins of the store and of backends: start, requests, grants, a move,
 * reload, loss of the store and stop. Also checks that the log tells the cause of failed requests, as
 * docs/OPERATIONS.md describes.
 */
import test from "ava";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    buildProgram,
    entry,
    firstRoutes,
    isReady,
    limits,
    linesOf,
    requestOrder,
    requestStock,
    route,
    sendRequest,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

test.before(buildProgram);

test("a host starts, serves, follows changes of the platform and stops", async t => {
    const store = await startStoreStandIn();
    const backend = (id: string, ownsKeys: boolean) =>
        startBackendStandIn({ id, slots: 2, queue: 2, workMilliseconds: 60, isSharded: ownsKeys });
    const [left, right, orders] = await Promise.all([
        backend("i-left", true),
        backend("i-right", true),
        backend("i-orders", false),
    ]);
    const program = await startProgram(store);
    t.teardown(() => {
        program.child.kill("SIGKILL");
        [store, left, right, orders].forEach(part => part.close());
    });

    await waitUntil(
        "the health address answers",
        () => sendRequest(program.healthPort, "/").then(() => true, () => false),
    );
    t.is((await sendRequest(program.healthPort, "/")).statusCode, 503, "not ready without a route table");

    store.put("servers", "i-left", entry("stock", left));
    store.put("servers", "i-right", entry("stock", right));
    store.put("servers", "i-orders", entry("orders", orders));
    store.put("servers", "i-odd", { service: 7, address: "nowhere" });
    store.put("config", "main", { version: "r3", routes: firstRoutes, services, limits });
    await waitUntil("the host is ready", async () => (await sendRequest(program.healthPort, "/")).statusCode === 200);
    await waitUntil("all keys are held", () => [0, 65_535].every(key => left.ownsKey(key) || right.ownsKey(key)));
    t.regex(program.log(), /event=target-entry-unreadable target=i-odd/);

    await waitUntil("keys are served", async () => (await requestStock(program, "warm", 100)).statusCode === 200);
    const served = await requestStock(program, "s1", 60_000);
    t.is(served.statusCode, 200);
    t.regex(String(served.headers["response-signature"]), /signature$/);
    t.is(served.headers["request-id"], "s1");
    t.is(
        (await sendRequest(program.callersPort, "/a/", { host: "nobody.example", "request-id": "n1" })).statusCode,
        404,
    );

    store.put("config", "main", { version: "r4", routes: "broken", services, limits });
    store.put("config", "main", {
        version: "r5",
        routes: { ...firstRoutes, r3: { ...route("stock.example", "stock", "safe"), pathPrefix: "/new/" } },
        services,
        limits,
    });
    await waitUntil("the added route is used", async () => {
        const answer = await sendRequest(program.callersPort, "/new/", {
            host: "stock.example",
            "request-id": "n2",
            "shard-key": "5",
        });
        return answer.statusCode === 200;
    });
    store.put("config", "main", { version: "r4", routes: firstRoutes, services, limits });
    await sleep(300);
    t.is(
        (await sendRequest(program.callersPort, "/new/", {
            host: "stock.example",
            "request-id": "n3",
            "shard-key": "5",
        })).statusCode,
        200,
    );

    store.put("servers", "i-left", entry("stock", left, "draining"));
    await waitUntil(
        "all keys have moved",
        () => right.ownsKey(0) && right.ownsKey(65_535) && !left.ownsKey(0) && !left.ownsKey(65_535),
    );
    await waitUntil(
        "moved keys are served",
        async () => (await requestStock(program, "moved", 100)).body === "served by i-right",
    );

    writeFileSync(program.file, "host: [");
    program.child.kill("SIGHUP");
    await waitUntil("the broken settings are refused", () => program.log().includes("event=settings-refused"));
    writeFileSync(program.file, program.settings);
    t.is((await requestStock(program, "s2", 100)).statusCode, 200);

    store.faults.silent = true;
    await sleep(5_000);
    t.is((await requestStock(program, "s3", 100)).statusCode, 200, "keys are served while the store is silent");
    store.faults.silent = false;

    const inFlight = requestOrder(program, "last");
    await sleep(20);
    program.child.kill("SIGTERM");
    t.is((await inFlight).statusCode, 200, "a request in flight is answered during the stop");
    t.is((await sendRequest(program.healthPort, "/")).statusCode, 503, "not ready as soon as the stop begins");
    t.is(
        (await requestOrder(program, "after")).statusCode,
        200,
        "requests are served while the load balancer still sends them",
    );
    const [code] = await once(program.child, "exit");
    t.is(code, 0);
    t.regex(program.log(), /event=host-stopped/);
    [left, right, orders].forEach(part => t.true([...part.runCounts.values()].every(count => count === 1)));
});

/** Guards against a host that was taken for gone, and that no other knows any more. */
test("a host whose registration was removed registers the same process again, and goes on", async t => {
    const store = await startStoreStandIn();
    store.put("config", "main", { version: "r3", routes: firstRoutes, services, limits });
    const program = await startProgram(store);
    t.teardown(() => {
        program.child.kill("SIGKILL");
        store.close();
    });
    await waitUntil("the host is ready", () => isReady(program));
    const registration = store.read("hosts", "h1");
    t.not(registration, undefined);
    store.remove("hosts", "h1");
    await waitUntil("the host registers again", () => store.read("hosts", "h1") !== undefined);
    t.deepEqual(store.read("hosts", "h1"), registration);
    t.true(await isReady(program));
    t.regex(program.log(), /event=registration-gone/);
});

test("a host that cannot listen on one of its addresses stays, is not ready, and tells it", async t => {
    const store = await startStoreStandIn();
    t.teardown(store.close);
    const program = await startProgram(store, { linksPort: Number(store.address.split(":")[1]), grace: "2s" });
    t.teardown(() => program.child.kill("SIGKILL"));
    const end = once(program.child, "exit").then(([exitCode]) => exitCode as number);
    await waitUntil("the address is told", () => /event=address-in-use for=links .*EADDRINUSE/.test(program.log()));
    t.is(await Promise.race([end, sleep(5_000, "running", { ref: false })]), "running");
    t.is((await sendRequest(program.healthPort, "/")).statusCode, 503);
    await t.throwsAsync(sendRequest(program.callersPort, "/"), { code: "ECONNREFUSED" });
    program.child.kill("SIGTERM");
    t.is(await end, 0);
});

test("three kinds of failed requests are traced from the id to the cause, as docs/OPERATIONS.md says", async t => {
    const store = await startStoreStandIn();
    const loneBackend = await startBackendStandIn({
        id: "i-lone",
        slots: 1,
        queue: 30,
        workMilliseconds: 250,
        isSharded: true,
    });
    const orders = await startBackendStandIn({
        id: "i-orders",
        slots: 2,
        queue: 2,
        workMilliseconds: 60,
        isSharded: false,
    });
    const program = await startProgram(store);
    t.teardown(() => {
        program.child.kill("SIGKILL");
        [store, loneBackend, orders].forEach(part => part.close());
    });
    store.put("servers", "i-lone", entry("stock", loneBackend));
    store.put("servers", "i-orders", entry("orders", orders));
    store.put("config", "main", { version: "r3", routes: firstRoutes, services, limits });
    await waitUntil(
        "the host is ready",
        () => sendRequest(program.healthPort, "/").then(answer => answer.statusCode === 200, () => false),
    );
    await waitUntil("keys are served", async () => (await requestStock(program, "warm", 1)).statusCode === 200);

    const burst = await Promise.all([...new Array(30).keys()].map(index => requestStock(program, `burst-${index}`, 1)));
    const refusedAt = burst.findIndex(answer => answer.headers["carobpier-reason"] === "deadline-unreachable");
    t.true(refusedAt >= 0);
    t.is(burst[refusedAt].statusCode, 503);
    t.true(Number(burst[refusedAt].headers["retry-after"]) > 0);
    await sleep(700);
    const refusedLines = linesOf(program, `burst-${refusedAt}`).join("\n");
    t.regex(
        refusedLines,
        /event=placement-refused .*target=i-lone .*expectedMilliseconds=\d+.*load=.*toldAgeMilliseconds=/,
    );
    t.regex(refusedLines, /event=request-ended .*outcome=not-run reason=deadline-unreachable key=1 version=3/);

    orders.faults.loseAnswers = true;
    const lost = await requestOrder(program, "lost-1");
    t.is(lost.statusCode, 502);
    t.is(orders.runCounts.get("lost-1"), 1, "a request that may have run is not sent again");
    await sleep(700);
    const lostLines = linesOf(program, "lost-1").join("\n");
    t.regex(lostLines, /event=send-failed .*target=i-orders reason=connection-lost notRun=false send=1/);
    t.regex(lostLines, /event=request-ended .*outcome=unknown reason=connection-lost/);

    store.faults.silent = true;
    loneBackend.faults.silent = true;
    await sleep(4_500);
    store.remove("servers", "i-lone");
    store.faults.silent = false;
    await waitUntil("the key has no owner", async () => {
        const answer = await requestStock(program, "ownerless", 1);
        return answer.headers["carobpier-reason"] === "no-owner";
    });
    await sleep(700);
    t.regex(linesOf(program, "ownerless").join("\n"), /event=request-ended .*reason=no-owner key=1/);
    t.regex(program.log(), /event=store-lost .*event=store-regained/s);
    t.regex(program.log(), /event=grant-failed .*target=i-lone/);
});
