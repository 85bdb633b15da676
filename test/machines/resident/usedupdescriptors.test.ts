/**
 * What callers get while the host has no descriptor left for connections to targets.
 */
import test from "ava";
import { systemClock } from "../../../src/links/clock.ts";
import { createDescriptors } from "../../../src/links/descriptors.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { sendRequest } from "../../platform/program.ts";
import { headOf, startRawTarget } from "../../rawtarget.ts";
import { startHost } from "./lonehost.ts";

const ask = async (address: string, id: string): Promise<number> => {
    const port = Number(address.split(":")[1]);
    return (await sendRequest(port, "/a", { host: "orders.example", "request-id": id })).statusCode;
};

test("a target is not blocked while the host has no descriptor for a connection to it", async t => {
    const metrics = createMetrics();
    const limits = { process: 16, stated: undefined, files: 0 };
    const descriptors = createDescriptors({ limits, clock: systemClock, log: silentLog, metrics });
    const target = await startRawTarget([(socket, id) => socket.write(`${headOf(id, "content-length: 0")}`)]);
    const host = await startHost({ addresses: [target.address], timeoutMilliseconds: 800, descriptors });
    t.teardown(async () => {
        await target.close();
        await host.close();
    });
    const others = [1, 2, 3, 4].map(() => descriptors.open("targets"));
    for (const id of ["a", "b", "c"]) {
        t.is(await ask(host.link.address, id), 503);
    }
    others[0]();
    t.is(await ask(host.link.address, "d"), 200);
    t.is(metrics.snapshot()["descriptors-used-up{part=targets,closed=new}"], 12, "three requests of four sends");
});
