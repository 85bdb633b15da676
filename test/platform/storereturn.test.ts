/**
 * The built program while the store comes back from an older copy.
 */
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    buildProgram,
    entry,
    freePort,
    isReady,
    limits,
    route,
    sendRequest,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

test.before(() => buildProgram());

/** Guards against hosts that are blind to all later manifests and targets, with or without a sign by the store. */
for (const isOvertaken of [false, true]) {
    test.serial(`a store that comes back from a copy${isOvertaken ? ", its revisions past the known ones" : ""}: confirmed routes and later ones are served`, async t => {
        const store = await startStoreStandIn();
        const backends = await Promise.all(
            ["i-0", "i-1"].map(id =>
                startBackendStandIn({ id, slots: 4, queue: 4, workMilliseconds: 5, isSharded: false })
            ),
        );
        const metricsPort = await freePort();
        const manifest = (version: number) => ({
            version: `r${version}`,
            routes: {
                first: route("r1.example", "orders", "safe"),
                last: route(`r${version}.example`, "orders", "safe"),
            },
            services: { orders: services.orders },
            limits,
        });
        store.put("config", "main", manifest(1));
        store.put("servers", "i-0", entry("orders", backends[0]));
        const program = await startProgram(store, { metricsPort });
        t.teardown(() => {
            program.child.kill("SIGKILL");
            backends.forEach(backend => backend.close());
            store.close();
        });
        const statusOf = async (version: number): Promise<number> => {
            const headers = {
                host: `r${version}.example`,
                "request-id": `r${version}-${Math.random()}`,
                "request-deadline": "1000",
            };
            return (await sendRequest(program.callersPort, "/a/x", headers)).statusCode;
        };
        await waitUntil("the host is ready", () => isReady(program));
        const copy = store.copy();
        for (let version = 2; version <= 13; version += 1) {
            store.put("config", "main", manifest(version));
        }
        await waitUntil("the manifest is in force", async () => await statusOf(13) === 200);
        await store.goAway();
        await sleep(1_000);
        await store.returnFrom(copy);
        if (isOvertaken) {
            Array.from({ length: 40 }, (...[, index]) => store.put("other", `o${index}`, index));
        }
        for (let check = 0; check < 6; check += 1) {
            t.is(await statusOf(13), 200);
            await sleep(100);
        }
        store.put("config", "main", manifest(13));
        store.put("config", "main", manifest(14));
        await waitUntil("a route of the next manifest is served", async () => await statusOf(14) === 200, 2_500);
        store.remove("servers", "i-0");
        store.put("servers", "i-1", entry("orders", backends[1]));
        await waitUntil("only the target that registered later is used", async () => await statusOf(14) === 200, 2_500);
        t.regex(program.log(), /event=store-era-changed .*before=1 era=2/);
        await waitUntil(
            "the era is among the metrics",
            async () => /^carobpier_store_era 2$/m.test((await sendRequest(metricsPort, "/")).body),
        );
        t.false(program.log().includes("store-era-refused"));
        store.faults.namedEra = () => "none";
        await waitUntil("the era is refused", () => program.log().includes("event=store-era-refused"));
        t.regex(program.log(), /event=store-era-refused .*told=none known=2/);
        const refusals = program.log().split("event=store-era-refused").length - 1;
        await sleep(2_000);
        t.true(program.log().split("event=store-era-refused").length - 1 - refusals <= 4);
        t.is(await statusOf(14), 200);
    });
}
