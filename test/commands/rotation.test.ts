import test from "ava";
import { editObject } from "../../src/commands/objectoperations.ts";
import { waitUntilInForce } from "../../src/commands/wait.ts";
import type { Edit } from "../../src/decisions/edits.ts";
import { systemClock } from "../../src/links/clock.ts";
import { startSystem, testToken } from "../system.ts";
import { createOperator, hashToken } from "./operators.ts";

const nextToken = "next-token";

test("tokens are rotated without a refused request, and the old one is revoked at once", async t => {
    const system = await startSystem({ hostNames: ["host-a", "host-b", "host-c"] });
    await Promise.all(system.hosts.map(host => system.untilAnswered(host, { key: "tray-7" })));
    const operator = createOperator("operator", system.platform);
    const outcomes: string[] = [];
    let token = testToken;
    let running = true;
    const callers = system.hosts.map(async host => {
        while (running) {
            const headers = { authorization: `Bearer ${token}` };
            const result = await system.call(host, { key: "tray-7", headers });
            outcomes.push(result.reason);
        }
    });

    const edit = async (edits: Edit[]): Promise<boolean> => {
        const options = operator.options();
        const { place, version } = await editObject(options, "hallam", edits);
        const { platform, write } = options;
        const wait = { platform, write, clock: systemClock, timeoutMilliseconds: 60_000 };
        return (await waitUntilInForce(place, version, wait)).everywhere;
    };
    t.true(await edit([{ action: "add", path: "tokenHashes", value: hashToken(nextToken) }]));
    token = nextToken;
    const switchedAt = outcomes.length;
    while (outcomes.length < switchedAt + 30) {
        await systemClock.sleep(10);
    }
    t.true(await edit([{ action: "remove", path: "tokenHashes", value: hashToken(testToken) }]));
    for (const host of system.hosts) {
        const old = await system.call(host, { key: "tray-7", headers: { authorization: `Bearer ${testToken}` } });
        t.deepEqual([old.outcome, old.reason], ["not-run", "unknown-caller"]);
    }
    running = false;
    await Promise.all(callers);
    t.deepEqual(outcomes.filter(reason => reason === "unknown-caller"), []);
    await Promise.all([operator.close(), system.close()]);
});
