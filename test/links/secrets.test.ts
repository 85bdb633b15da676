/**
 * Tokens and keys in logs and statuses.
 */
import test from "ava";
import { createLog } from "../../src/links/logs.ts";
import { startSystem, testToken, until } from "../system.ts";

const wrongToken = "wrong-token";

test("no log line and no status contains a token or a key", async t => {
    const lines: string[] = [];
    const log = createLog({ level: "debug", write: line => lines.push(line) });
    const system = await startSystem({ log, hostNames: ["host-a", "host-b"] });
    await until(() => system.hosts.every(host => host.report().peers.length === 1));
    const [host] = system.hosts;
    await system.untilAnswered(host, { key: "tray-7" });
    const refused = await system.call(host, { key: "tray-7", headers: { authorization: `Bearer ${wrongToken}` } });
    t.is(refused.reason, "unknown-caller");
    await host.stop();
    const outputs = [...lines, JSON.stringify(system.hosts.map(each => each.report()))];
    for (const secret of [testToken, wrongToken, "test-key"]) {
        t.deepEqual(outputs.filter(line => line.includes(secret)), []);
    }
    t.true(lines.length > 0);
    await system.close();
});
