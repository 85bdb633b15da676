/**
 * The coordinator is cut off from the store and from the other machine, and goes on to renew grants as it may. One
 * backend loses the path to the machine that takes over.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    createConsumer,
    doubleHolds,
    limits,
    openLink,
    route,
    runScript,
    send,
    sleep,
    startBackend,
    startHost,
    startStore,
    waitUntil,
    isReady,
} from "../standins.mjs";

const nodeCutMilliseconds = 12_000;
const serverCutMilliseconds = 10_000;
/** RULES.md, OWNER: "hold the same keys for over half a second". */
const doubleHoldMilliseconds = 500;

await runScript(dirname(fileURLToPath(import.meta.url)), async script => {
    const { note, trouble } = script;
    const store = startStore(script);
    const backends = [];
    for (const id of ["i-a", "i-b", "i-c"]) {
        backends.push(await startBackend(script, store, { id, service: "stock", zone: "z1", sharded: true, slots: 8 }));
    }
    backends.forEach(backend => backend.join());
    store.put("config", "main", {
        version: "r3",
        routes: { r1: route("stock.example", "stock", "safe") },
        services: { stock: { healthPath: "/health", maxConnections: 120, sharded: true, warm: "2s" } },
        limits,
    });
    const views = [await store.view(), await store.view()];
    const hosts = [];
    const links = [];
    /** Links from host to backend: `paths[host][backend]`. */
    const paths = [[], []];
    for (const index of [0, 1]) {
        for (const backend of backends) {
            const link = await openLink(script, backend.address);
            paths[index].push(link);
            views[index].addresses.set(backend.address, link.address);
        }
    }
    for (const index of [0, 1]) {
        const host = await startHost(script, { name: `front-${index + 1}`, zone: `z${index + 1}`, view: views[index] });
        hosts.push(host);
        const link = await openLink(script, host.links);
        links.push(link);
        views[1 - index].addresses.set(host.links, link.address);
    }
    for (const host of hosts) {
        await waitUntil(`${host.name} is ready`, () => isReady(host));
    }
    await waitUntil("all keys are held", () => [0, 30_000, 65_535].every(key =>
        backends.some(backend => backend.holdOf(key) !== undefined)));

    let sending = true;
    const agent = createConsumer();
    const pending = [];
    const traffic = (async () => {
        while (sending) {
            for (const host of hosts) {
                pending.push(send(script, host, {
                    route: "stock.example",
                    key: Math.floor(Math.random() * 65_536),
                    agent,
                }));
            }
            await sleep(20);
        }
    })();
    await sleep(4_000);

    const leader = store.read("coordination", "stock").coordinator.startsWith("front-1/") ? 0 : 1;
    const follower = 1 - leader;
    note(`${hosts[leader].name} is the coordinator`);
    if (trouble) {
        note(`${hosts[leader].name} is cut off from the store and from ${hosts[follower].name}`);
        views[leader].cut = true;
        links.forEach(link => link.cut("silent"));
        await sleep(1_800);
        note(`i-a loses the path to ${hosts[follower].name}`);
        paths[follower][0].cut("reset");
        await sleep(serverCutMilliseconds);
        note(`i-a has the path to ${hosts[follower].name} again`);
        paths[follower][0].heal();
        await sleep(nodeCutMilliseconds - 1_800 - serverCutMilliseconds);
        note(`${hosts[leader].name} is no longer cut off`);
        views[leader].cut = false;
        links.forEach(link => link.heal());
        await sleep(3_000);
    }
    else {
        await sleep(nodeCutMilliseconds + 3_000);
    }
    sending = false;
    await traffic;
    const answers = await Promise.all(pending);
    note(`${answers.length} requests, ${answers.filter(answer => answer.status === 200).length} served`);
    hosts.forEach(host => host.log.split("\n").filter(line => /hold-lapsed|coordinator-|target-lost/.test(line))
        .forEach(line => note(`log of ${host.name}: ${line}`)));
    if (!answers.some(answer => answer.status === 200)) {
        throw new Error("No request was served.");
    }
    return doubleHolds(backends, doubleHoldMilliseconds);
});
