import test from "ava";
import { editObject } from "../../src/commands/objectoperations.ts";
import { waitUntilInForce } from "../../src/commands/wait.ts";
import type { Edit } from "../../src/decisions/edits.ts";
import { systemClock } from "../../src/links/clock.ts";
import { startSystem, testToken } from "../system.ts";
import { createOperator, hashToken } from "./operators.ts";

const nextToken = "next-token";

test("rotating a token refuses no request, and every host refuses the old token once it is removed", async t => {
    const system = await startSystem({ hostNames: ["host-a", "host-b", "host-c"] });
    await Promise.all(system.hosts.map(host => system.untilAnswered(host, { key: "tray-7" })));
    const operator = createOperator("operator", system.platform);
    const reasons: string[] = [];
    let token = testToken;
    let running = true;
    const callers = system.hosts.map(async host => {
        while (running) {
            const headers = { authorization: `Bearer ${token}` };
            const result = await system.call(host, { key: "tray-7", headers });
            reasons.push(result.reason);
        }
    });

    /** Edits the plan and waits until no host serves by an older version. */
    const editAndWait = async (edits: Edit[]): Promise<boolean> => {
        const options = operator.options();
        const { place, version } = await editObject(options, "hallam", edits);
        const { platform, write } = options;
        const wait = { platform, write, clock: systemClock, timeoutMilliseconds: 60_000 };
        return (await waitUntilInForce(place, version, wait)).everywhere;
    };
    t.true(await editAndWait([{ action: "add", path: "tokenHashes", value: hashToken(nextToken) }]));
    token = nextToken;
    const switchedAt = reasons.length;
    while (reasons.length < switchedAt + 30) {
        await systemClock.sleep(10);
    }
    t.true(await editAndWait([{ action: "remove", path: "tokenHashes", value: hashToken(testToken) }]));
    for (const host of system.hosts) {
        const refused = await system.call(host, { key: "tray-7", headers: { authorization: `Bearer ${testToken}` } });
        t.deepEqual([refused.outcome, refused.reason], ["not-run", "unknown-caller"]);
    }
    running = false;
    await Promise.all(callers);
    t.deepEqual(reasons.filter(reason => reason === "unknown-caller"), []);
    await Promise.all([operator.close(), system.close()]);
});
