/**
 * A host that reads the store for others while the store serves it all kinds but the manifest, against the built program.
 */
import test from "ava";
import { createServer, request as forward } from "node:http";
import type { AddressInfo } from "node:net";
import { startStoreStandIn, type StoreStandIn } from "../../stand-ins/resident/store.ts";
import {
    buildProgram,
    firstRoutes,
    isReady,
    limits,
    type Program,
    route,
    sendRequest,
    services,
    startProgram,
    waitUntil,
} from "./program.ts";

const boundMilliseconds = 2_000;

type Blindness = "none" | "silent" | "refused";

/** Passes calls on to the store. While it is blind, calls for the manifest get no answer, or 503. */
const startRelay = async (store: StoreStandIn) => {
    const fault: { blindness: Blindness } = { blindness: "none" };
    const [host, port] = store.address.split(":");
    const server = createServer((received, reply) => {
        const isHidden = (): boolean =>
            fault.blindness !== "none" && received.url?.startsWith("/v1/objects/config") === true;
        if (isHidden()) {
            if (fault.blindness === "refused") {
                reply.writeHead(503).end();
            }
            return;
        }
        const passed = forward(
            { host, port, path: received.url, method: received.method, headers: received.headers },
            answer => {
                if (!isHidden()) {
                    reply.writeHead(answer.statusCode ?? 500, answer.headers);
                    answer.pipe(reply);
                }
            },
        );
        passed.on("error", () => reply.destroy());
        reply.on("close", () => passed.destroy());
        received.pipe(passed);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const close = (): void => {
        server.close();
        server.closeAllConnections();
    };
    return { store: { ...store, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }, fault, close };
};

const sourceOf = ({ log }: Program): string | undefined =>
    [...log().matchAll(/event=state-source-changed (?:before=\S+ )?source=(\S+)/g)].at(-1)?.[1];

/** Whether the host knows the route that was added. */
const servesAdded = async ({ callersPort }: Program): Promise<boolean> => {
    const headers = { host: "added.example", "request-id": "a1", "request-deadline": "300" };
    const answer = await sendRequest(callersPort, "/a/x", headers).catch(() => undefined);
    return answer !== undefined && answer.statusCode !== 404;
};

test.before(buildProgram);

for (const blindness of ["silent", "refused"] as const) {
    test.serial(`hosts whose reader's calls for the manifest are ${blindness} have a change in time`, async t => {
        const store = await startStoreStandIn();
        store.put("config", "main", { version: "r1", routes: firstRoutes, services, limits });
        const relays = await Promise.all([0, 1, 2, 3].map(() => startRelay(store)));
        const hosts = await Promise.all(relays.map((relay, index) => startProgram(relay.store, { name: `h${index}` })));
        t.teardown(() => {
            hosts.forEach(({ child }) => child.kill("SIGKILL"));
            relays.forEach(({ close }) => close());
            store.close();
        });
        await waitUntil("all are ready", async () => (await Promise.all(hosts.map(isReady))).every(Boolean));
        await waitUntil("three follow the fourth", () => hosts.filter(host => sourceOf(host) === "store").length === 1);
        const reader = hosts.findIndex(host => sourceOf(host) === "store");
        relays[reader].fault.blindness = blindness;
        const added = { ...firstRoutes, r3: route("added.example", "orders", "safe") };
        store.put("config", "main", { version: "r2", routes: added, services, limits });
        const changedAt = performance.now();
        await waitUntil(
            "the followers serve the added route",
            async () =>
                (await Promise.all(hosts.filter((...[, index]) => index !== reader).map(servesAdded))).every(Boolean),
        );
        t.true(performance.now() - changedAt < boundMilliseconds, `${performance.now() - changedAt} ms`);
    });
}
